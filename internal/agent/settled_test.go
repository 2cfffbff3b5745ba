package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrassring.dev/internal/standin/platform"
)

// TestNodeThatStartsAfterARestoreAcceptsNoRevokedKey guards against CONFIG: a node that starts
// after the store came back from a copy knows no earlier era, takes the configuration of the copy
// for the newest one and accepts a key that was revoked long ago. One node or all of them start,
// with or without the store, after one restore or two, before or after the restore.
func TestNodeThatStartsAfterARestoreAcceptsNoRevokedKey(t *testing.T) {
	for _, c := range []struct {
		name      string
		restarted int
		restores  int
		before    bool // the nodes start before the restore
		fault     platform.Fault
	}{
		{"one node", 1, 1, false, platform.FaultNone},
		{"all nodes", 3, 1, false, platform.FaultNone},
		{"all nodes, two restores", 3, 2, false, platform.FaultNone},
		{"one node without the store", 1, 1, false, platform.FaultSilent},
		{"while the store is restored", 3, 1, true, platform.FaultNone},
	} {
		t.Run(c.name, func(t *testing.T) {
			runCluster(t, 3, func(is *is.I, tc *testCluster) {
				tc.writeConfig(1)
				time.Sleep(6 * time.Second)
				old := tc.keys.Copy()
				time.Sleep(300 * time.Millisecond)
				tc.writeConfig(2)
				time.Sleep(5300 * time.Millisecond) // Longer than the revocation may take.
				restart := func() {
					for i := range c.restarted {
						tc.restartNode(i, c.fault)
					}
				}
				if c.before {
					restart()
				}
				for range c.restores {
					tc.keys.Restore(old)
					time.Sleep(50 * time.Millisecond)
				}
				if !c.before {
					restart()
				}
				for range 30 { // The operator writes it again 1.5 s after the restore.
					time.Sleep(50 * time.Millisecond)
					for i, a := range tc.agents {
						if activeNumber(a) == 1 && a.acceptsActiveKeys() {
							t.Fatalf("node %d accepts the keys of version 1", i)
						}
					}
				}
				tc.writeConfig(2)
				time.Sleep(3 * time.Second)
				for _, a := range tc.agents {
					is.Equal(activeNumber(a), int64(2))
					is.True(a.acceptsActiveKeys())
				}
			})
		})
	}
}

// TestRestartedNodesAcceptKeysAtOnce guards against a wait at each start for a restore that there
// was not: of one node and of all, so that none can ask another.
func TestRestartedNodesAcceptKeysAtOnce(t *testing.T) {
	const limit = 600 * time.Millisecond // less than a node may wait for its first confirmation
	for _, nodes := range []int{3, 30} {
		for _, restarted := range []int{1, nodes} {
			runCluster(t, nodes, func(_ *is.I, tc *testCluster) {
				tc.writeConfig(1)
				time.Sleep(12 * time.Second)
				for i := range restarted {
					tc.restartNode(i, platform.FaultNone)
				}
				time.Sleep(limit)
				for i := range restarted {
					if !tc.agents[i].acceptsActiveKeys() {
						t.Errorf("%d of %d nodes restarted: node %d accepts no keys after %s", restarted, nodes, i, limit)
					}
				}
			})
		}
	}
}

// TestFirstStartWaitsForNoEra guards against a wait of 2.5 s when the whole system starts for the
// first time. Without that setting it must wait: the store may be a copy of before any group or key.
func TestFirstStartWaitsForNoEra(t *testing.T) {
	for _, isFirst := range []bool{false, true} {
		runCluster(t, 1, func(is *is.I, tc *testCluster) {
			a := tc.agents[0]
			a.config.IsFirstStart = isFirst
			tc.writeConfig(1)
			time.Sleep(time.Second)
			is.Equal(a.acceptsActiveKeys(), isFirst)
			is.Equal(a.isRestoring(), !isFirst)
			time.Sleep(2500 * time.Millisecond)
			is.True(a.acceptsActiveKeys())
		})
	}
}
