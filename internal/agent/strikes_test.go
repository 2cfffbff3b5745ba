package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrassring.dev/internal/suspect"
)

// TestStrikesReachAllNodes guards against nodes that send a request on which servers have
// ended at another node: its caller repeats it at once, at any node.
func TestStrikesReachAllNodes(t *testing.T) {
	for _, nodes := range []int{3, 30, 90} {
		runCluster(t, nodes, func(is *is.I, tc *testCluster) {
			tc.writeConfig(1)
			time.Sleep(10 * time.Second)
			sender := tc.agents[nodes-1]
			sender.AnnounceStrike(suspect.Strike{Request: 7, Server: "s1", Incarnation: "1", IsStrong: true})
			sender.AnnounceStrike(suspect.Strike{Request: 7, Server: "s2", Incarnation: "1", IsStrong: true})
			time.Sleep(100 * time.Millisecond)
			missing := 0
			for _, a := range tc.agents {
				if a != sender && !a.config.Suspects.Find(7, time.Now()).IsRefused() {
					missing++
				}
			}
			is.Equal(missing, 0)
		})
	}
}
