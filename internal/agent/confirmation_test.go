package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrassring.dev/internal/digest"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/standin/platform"
)

// acceptsActiveKeys reports whether the node accepts the keys of its active configuration.
func (a *Agent) acceptsActiveKeys() bool { return a.MayAcceptAPIKeys(a.configNumber()) }

// TestGapsOfConfirmationAreLogged checks that the log tells when a node stops and begins
// again to accept keys, once each, and what confirmed the configuration in between.
func TestGapsOfConfirmationAreLogged(t *testing.T) {
	runCluster(t, 2, func(is *is.I, tc *testCluster) {
		tc.writeConfig(1)
		time.Sleep(3 * time.Second)
		is.True(tc.agents[0].acceptsActiveKeys())
		is.Equal(tc.decisions.count(event.ConfigurationConfirmed.Name), 2) // the first of each node
		is.Equal(tc.decisions.count(event.KeysAccepted.Name), 1)
		tc.stores[0].SetFault(platform.FaultSilent)
		tc.network.isolate("a")
		time.Sleep(5 * time.Second)
		for range 3 {
			is.True(!tc.agents[0].acceptsActiveKeys())
		}
		is.Equal(tc.decisions.count(event.KeysNotAccepted.Name), 1)
		tc.network.rejoin("a")
		time.Sleep(time.Second)
		is.True(tc.agents[0].acceptsActiveKeys())
		is.Equal(tc.decisions.count(event.ConfigurationConfirmed.Name), 3)
		is.Equal(tc.decisions.count(event.KeysAccepted.Name), 2)
	})
}

// TestLateMessagesConfirmNothingNewer guards against a node that takes what a message said
// when it was sent for true when it handles the message. A node without the store, whose
// messages wait for 3 s, as they do while it stands still or is slow, would accept a key
// for 3 s longer than if they were lost.
func TestLateMessagesConfirmNothingNewer(t *testing.T) {
	for _, nodes := range []int{3, 30} {
		runCluster(t, nodes, func(is *is.I, tc *testCluster) {
			tc.writeConfig(1)
			time.Sleep(10 * time.Second)
			node := tc.nodeBelowRoot()
			tc.stores[node].SetFault(platform.FaultDown)
			tc.network.setDelay(nodeName(node), 3*time.Second)
			time.Sleep(6 * time.Second)
			tc.expectNoOldKeys(t)
		})
	}
}

// TestStandstillConfirmsNothingNewer guards against nodes that stand still while a key is
// revoked, handle the messages of before when they wake, and confirm the version with the
// key to the others.
func TestStandstillConfirmsNothingNewer(t *testing.T) {
	runCluster(t, 30, func(is *is.I, tc *testCluster) {
		tc.writeConfig(1)
		time.Sleep(10 * time.Second)
		for i, s := range tc.stores {
			s.SetFault(platform.FaultDown)
			if i%2 == 0 {
				tc.network.hold(nodeName(i), 4*time.Second)
			}
		}
		tc.expectNoOldKeys(t)
	})
}

// nodeBelowRoot returns the index of the first node that is not the controller.
func (tc *testCluster) nodeBelowRoot() int {
	if tc.agents[0].IsController() {
		return 1
	}
	return 0
}

// expectNoOldKeys revokes the key of version 1 while no node hands over the next version, and
// reports an error if a node that has version 1 accepts keys 5 s later.
func (tc *testCluster) expectNoOldKeys(t *testing.T) {
	const bound = 5 * time.Second // Config.Revocation
	tc.failsFetches = true
	tc.writeConfig(2)
	late, latest := map[string]bool{}, time.Duration(0)
	for revokedAt := time.Now(); time.Since(revokedAt) < 3*bound; time.Sleep(50 * time.Millisecond) {
		for _, a := range tc.agents {
			if since := time.Since(revokedAt); since > bound && activeNumber(a) == 1 && a.acceptsActiveKeys() {
				late[a.config.Name], latest = true, since
			}
		}
	}
	if len(late) > 0 {
		t.Errorf("%d of %d nodes accept a key until %s after its revocation; the bound is %s", len(late), len(tc.agents), latest, bound)
	}
}

// TestChildWithoutConfirmationConfirmsNothing guards against a node that adds the time since
// a child's report to the age -1 of a child that has no confirmation, and so takes the
// version for confirmed just now.
func TestChildWithoutConfirmationConfirmsNothing(t *testing.T) {
	runCluster(t, 14, func(is *is.I, tc *testCluster) {
		tc.writeConfig(1)
		time.Sleep(10 * time.Second)
		a := tc.agents[tc.nodeBelowRoot()]
		for i, s := range tc.stores {
			s.SetFault(platform.FaultDown)
			tc.network.isolate(nodeName(i))
		}
		time.Sleep(4500 * time.Millisecond)
		a.applyReport("child", &digest.Report{Name: "child", Nodes: 1, ConfigNumber: 1, ConfirmedAgeMillis: -1})
		time.Sleep(200 * time.Millisecond)
		report := a.buildReport(time.Now())
		is.Equal(report.ConfigNumber, int64(1))
		is.True(report.ConfirmedAgeMillis > 4000)
	})
}

// TestUnusableValueConfirmsNothing guards against a read of the store that finds a value
// which this node cannot use, or an older configuration, or none, and confirms the active one:
// what the operator wrote last may have revoked a key.
func TestUnusableValueConfirmsNothing(t *testing.T) {
	older := []byte(`{"Number":1}`)
	for name, write := range map[string]func(tc *testCluster){
		"unreadable": func(tc *testCluster) { tc.writeKey("routing", []byte("{")) },
		"older":      func(tc *testCluster) { tc.writeKey("routing", older) },
		"deleted":    func(tc *testCluster) { tc.deleteKey("routing") },
	} {
		for _, nodes := range []int{3, 30} {
			runCluster(t, nodes, func(is *is.I, tc *testCluster) {
				tc.writeConfig(2)
				time.Sleep(10 * time.Second)
				write(tc)
				time.Sleep(5 * time.Second)
				for _, a := range tc.agents {
					if a.acceptsActiveKeys() {
						t.Errorf("%s value, %d nodes: node %s accepts keys 5 s later", name, nodes, a.config.Name)
						break
					}
				}
				tc.writeConfig(3) // The next usable value ends it.
				time.Sleep(3 * time.Second)
				for _, a := range tc.agents {
					is.Equal(activeNumber(a), int64(3))
					is.True(a.acceptsActiveKeys())
				}
			})
		}
	}
}
