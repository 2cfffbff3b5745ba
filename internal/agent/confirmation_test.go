package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/standin/platform"
)

// TestGapsOfConfirmationAreLogged checks that the log tells when a node stops and begins
// again to accept keys, once each, and what confirmed the configuration in between.
func TestGapsOfConfirmationAreLogged(t *testing.T) {
	runCluster(t, 2, func(is *is.I, tc *testCluster) {
		tc.writeConfig(1)
		time.Sleep(3 * time.Second)
		is.True(tc.agents[0].MayAcceptAPIKeys())
		is.Equal(tc.decisions.count(event.ConfigurationConfirmed.Name), 2) // the first of each node
		is.Equal(tc.decisions.count(event.KeysAccepted.Name), 1)
		tc.stores[0].SetFault(platform.FaultSilent)
		tc.network.isolate("a")
		time.Sleep(5 * time.Second)
		for range 3 {
			is.True(!tc.agents[0].MayAcceptAPIKeys())
		}
		is.Equal(tc.decisions.count(event.KeysNotAccepted.Name), 1)
		tc.network.rejoin("a")
		time.Sleep(time.Second)
		is.True(tc.agents[0].MayAcceptAPIKeys())
		is.Equal(tc.decisions.count(event.ConfigurationConfirmed.Name), 3)
		is.Equal(tc.decisions.count(event.KeysAccepted.Name), 2)
	})
}
