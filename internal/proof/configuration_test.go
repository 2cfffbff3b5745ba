package proof

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/fake"
	"eelgrassring.dev/internal/standin/platform"
)

// activationBound is the target: all nodes activate an accepted configuration
// within 3 s.
const activationBound = 3 * time.Second

// awaitConfiguration waits until all nodes have activated the configuration
// with this number or a newer one, and returns a violation for each node that
// has not done so within the bound.
func awaitConfiguration(s *fake.System, number int64, bound time.Duration) []string {
	var out []string
	start := time.Now()
	for time.Since(start) <= bound {
		if nodesBehind(s, number) == nil {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	for _, name := range nodesBehind(s, number) {
		out = append(out, fmt.Sprintf("%s has not activated configuration %d after %s", name, number, bound))
	}
	return out
}

// nodesBehind returns the nodes whose active configuration is older than number.
func nodesBehind(s *fake.System, number int64) []string {
	var out []string
	for _, name := range s.NodeNames() {
		if _, active := s.Node(name).Node.Table().Configuration(); active < number {
			out = append(out, name)
		}
	}
	return out
}

// A node must activate each accepted configuration within activationBound while
// it can reach the store or a peer.
func TestConfigurationIsActiveOnAllNodes(t *testing.T) {
	tests := []struct {
		name        string
		injectFault func(s *fake.System)
	}{
		{"no failure", func(*fake.System) {}},
		{"all watches stop delivering changes", func(s *fake.System) {
			for _, name := range s.NodeNames() {
				s.Node(name).Store.SetFault(platform.FaultSilentWatch)
			}
		}},
		{"one node disconnected from the store", func(s *fake.System) { s.Node("n2").Store.SetFault(platform.FaultSilent) }},
		{"one node disconnected from its peers", func(s *fake.System) {
			for _, other := range []string{"n1", "n3", "n4"} {
				s.Net.BlockLink("n2", other, true)
				s.Net.BlockLink(other, "n2", true)
			}
		}},
		{"store reachable by one node only", func(s *fake.System) {
			for _, name := range []string{"n1", "n2", "n3"} {
				s.Node(name).Store.SetFault(platform.FaultDown)
			}
		}},
		{"one node without the store cannot send to two peers", func(s *fake.System) {
			s.Node("n2").Store.SetFault(platform.FaultDown)
			s.Net.BlockLink("n2", "n1", true)
			s.Net.BlockLink("n2", "n3", true)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runSystem(t, newOptions(newDocument(1, 2, 1, 3), 4), func(is *is.I, s *fake.System) {
				test.injectFault(s)
				for number := int64(2); number <= 4; number++ {
					d := newDocument(1, 2, 1, 3)
					d.Workspaces[0].Limit = int(100 + number)
					s.Apply(number-1, d)
					is.Equal(awaitConfiguration(s, number, activationBound), nil)
				}
			})
		})
	}
}

// A node that reaches neither the store nor a peer keeps its old configuration;
// the checker must report it.
func TestCheckerDetectsInactiveConfiguration(t *testing.T) {
	runSystem(t, newOptions(newDocument(1, 2, 1, 3), 2), func(is *is.I, s *fake.System) {
		s.Node("n2").Store.SetFault(platform.FaultSilent)
		s.Net.BlockLink("n2", "n1", true)
		s.Net.BlockLink("n1", "n2", true)
		d := newDocument(1, 2, 1, 3)
		d.Workspaces[0].Limit = 7
		s.Apply(1, d)
		is.True(len(awaitConfiguration(s, 2, activationBound)) > 0)
	})
}

// An old configuration that the store delivers again must not replace a newer
// one, also not on a node that has just started.
func TestConfigurationNeverReverts(t *testing.T) {
	runSystem(t, newOptions(newDocument(1, 2, 1, 3), 3), func(is *is.I, s *fake.System) {
		old, ok, err := s.Keyspace.Get(context.Background(), "eelgrass/state/configuration")
		is.NoErr(err)
		is.True(ok)
		d := newDocument(1, 2, 1, 3)
		d.Workspaces[0].Limit = 7
		s.Apply(1, d)
		is.Equal(awaitConfiguration(s, 2, activationBound), nil)
		// The store delivers the old value as a new change, as a lagging replica
		// of it could.
		_, err = s.Keyspace.Commit(context.Background(), ring.Txn{Writes: []ring.Write{{Key: old.Key, Value: old.Value}}})
		is.NoErr(err)
		time.Sleep(5 * time.Second)
		s.StartNode("n4") // joins, reads the old value and gets the newer one from a peer
		time.Sleep(3 * time.Second)
		is.Equal(nodesBehind(s, 2), nil)
	})
}

// A node that starts while the store is down must get the configuration and the
// group records from its peers.
func TestNodeJoinsWhileTheStoreIsDown(t *testing.T) {
	runSystem(t, newOptions(newDocument(1, 2, 1, 3), 2), func(is *is.I, s *fake.System) {
		joined := s.StartNode("n3")
		joined.Store.SetFault(platform.FaultDown)
		// Its peers know it from the membership that it had before the outage.
		s.AddPeer("n3")
		is.NoErr(s.AwaitServingGroups(1, 5*time.Second))
		assertResponse(is, s.Do(fake.Chat("n3", keyA, "x", 5)), "x", 5)
	})
}

// An outage of the store must not fail requests. Groups that lose a member stop
// serving, and are formed again when the store is back.
func TestServingContinuesForAnHourWithoutStore(t *testing.T) {
	runSystem(t, newOptions(newDocument(2, 2, 1, 5), 2), func(is *is.I, s *fake.System) {
		for _, name := range s.NodeNames() {
			s.Node(name).Store.SetFault(platform.FaultDown)
		}
		time.Sleep(time.Hour)
		results := sendTraffic(s, 2*time.Second)
		is.Equal(countComplete(results), len(results)) // no request failed
		s.CrashEngine(members(s, "g1")[0].VM)
		time.Sleep(5 * time.Second)
		is.Equal(s.ServingGroups("n1"), 1) // no group is formed without the store
		for _, name := range s.NodeNames() {
			s.Node(name).Store.SetFault(platform.FaultNone)
		}
		is.NoErr(s.AwaitServingGroups(2, 20*time.Second))
		is.Equal(fake.CheckExclusive(s.Keyspace), nil)
	})
}

// When the store's response to an apply is lost, the apply must read back
// whether the configuration was written. If it was not, the outcome is unknown,
// because the write may still take effect.
func TestAmbiguousApplyIsResolvedByReading(t *testing.T) {
	runSystem(t, newOptions(newDocument(1, 2, 1, 3), 1), func(is *is.I, s *fake.System) {
		d := newDocument(1, 2, 1, 3)
		d.Workspaces[0].Limit = 7
		store := fake.NewStore(s.Keyspace)
		store.SetFault(platform.FaultResponseLost)
		result, err := s.TryApply(store, 1, d, "ambiguous")
		is.NoErr(err)
		is.Equal(string(result.Outcome), "accepted")
		is.Equal(result.Number, int64(2))

		dropping := fake.NewStore(s.Keyspace)
		dropping.SetFault(platform.FaultWriteLost)
		d.Workspaces[0].Limit = 8
		result, err = s.TryApply(dropping, 2, d, "lost")
		is.NoErr(err)
		is.Equal(string(result.Outcome), "unknown")

		down := fake.NewStore(s.Keyspace)
		down.SetFault(platform.FaultDown)
		_, err = s.TryApply(down, 2, d, "down")
		is.True(err != nil && !errors.Is(err, errors.ErrUnsupported)) // the failure is reported
	})
}

// Peers must consider a killed node as failed after 3 s.
func TestPeersDetectNodeFailure(t *testing.T) {
	runSystem(t, newOptions(newDocument(1, 2, 1, 3), 3), func(is *is.I, s *fake.System) {
		s.KillNode("n3")
		time.Sleep(3 * time.Second) // the target
		for _, p := range s.Node("n1").Node.Table().Peers() {
			is.Equal(p.IsLive(time.Now()), p.Name == "n2")
		}
	})
}

// Another node must become the controller and repair a group whose member
// failed together with the old controller.
func TestControllerIsReplaced(t *testing.T) {
	runSystem(t, newOptions(newDocument(1, 3, 1, 5), 3), func(is *is.I, s *fake.System) {
		failed := members(s, "g1")[1].VM
		s.KillNode(s.Controller())
		s.CrashEngine(failed)
		start := time.Now()
		is.NoErr(s.AwaitServingGroups(0, 3*time.Second))
		is.NoErr(s.AwaitServingGroups(1, 15*time.Second))
		t.Logf("controller and member failed at once: serving after %s", time.Since(start))
		is.True(members(s, "g1")[1].VM != failed) // another controller replaced the member
	})
}

// When no peer has the newer configuration, a restarted node activates the
// older one from the store; the checker must report the revert.
func TestCheckerDetectsRevert(t *testing.T) {
	runSystem(t, newOptions(newDocument(1, 2, 1, 3), 1), func(is *is.I, s *fake.System) {
		old, _, err := s.Keyspace.Get(context.Background(), "eelgrass/state/configuration")
		is.NoErr(err)
		d := newDocument(1, 2, 1, 3)
		d.Workspaces[0].Limit = 7
		s.Apply(1, d)
		is.Equal(awaitConfiguration(s, 2, activationBound), nil)
		stop := make(chan struct{})
		reverts := countReverts(s, stop)
		time.Sleep(time.Second)
		_, err = s.Keyspace.Commit(context.Background(), ring.Txn{Writes: []ring.Write{{Key: old.Key, Value: old.Value}}})
		is.NoErr(err)
		s.KillNode("n1")
		s.StartNode("n1")
		time.Sleep(3 * time.Second)
		close(stop)
		is.True(<-reverts > 0)
	})
}
