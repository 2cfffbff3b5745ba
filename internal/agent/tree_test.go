package agent

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/clock"
	"eelgrassring.dev/internal/digest"
	"eelgrassring.dev/internal/standin/platform"
)

// TestNewsUpdatesStayWithinByteLimit checks the limit on a node's traffic while every
// node requests an urgent update each 100 ms.
func TestNewsUpdatesStayWithinByteLimit(t *testing.T) {
	runCluster(t, 30, func(is *is.I, tc *testCluster) {
		tc.writeConfig(1)
		tc.startRequests(18)
		tc.streamFor(3 * time.Second)
		tc.network.resetCounts()
		const seconds = 10
		for range seconds * 10 {
			tc.streamFor(100 * time.Millisecond)
			for _, a := range tc.agents {
				a.SendDigestSoon()
			}
		}
		for _, a := range tc.agents {
			bytes, _ := tc.network.sent(a.config.Name)
			is.True(bytes < seconds*maxBytesPerSecond)
		}
	})
}

// startRequests registers the given number of open replicas with one server each,
// and starts a request with a first event at each replica from every node.
func (tc *testCluster) startRequests(replicas int) {
	for i := range replicas {
		tc.putServer(headOfReplica(i))
	}
	time.Sleep(12 * time.Second)
	for _, a := range tc.agents {
		for _, r := range a.fleet.Replicas() {
			a.fleet.BeginRequest(r, 0, time.Now())
			a.fleet.ObserveEvent(r.Group, true, time.Now())
		}
	}
}

// headOfReplica returns the registry entry of the only member of an open replica.
func headOfReplica(i int) ring.Server {
	return ring.Server{
		ID: ring.VM(fmt.Sprintf("h%d", i)), Service: "s", Address: "unreachable", Model: "m", Domain: "d",
		Membership: ring.Membership{Group: ring.Group(fmt.Sprintf("g%d", i)), Epoch: ring.Epoch(i + 1), State: ring.MemberOpen},
	}
}

// putServer writes a server's registry entry to the store.
func (tc *testCluster) putServer(s ring.Server) {
	value, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	tc.writeKey("server/"+string(s.ID), value)
}

// streamFor waits for the duration and meanwhile records an event of each replica's
// streams at every node each 100 ms, so that no replica stalls.
func (tc *testCluster) streamFor(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, a := range tc.agents {
			for _, r := range a.fleet.Replicas() {
				a.fleet.ObserveEvent(r.Group, false, time.Now())
			}
		}
	}
}

func TestTreeSendsTotalLoadToEveryNode(t *testing.T) {
	const nodes = 30
	runCluster(t, nodes, func(is *is.I, tc *testCluster) {
		tc.writeConfig(1)
		tc.startRequests(3)
		tc.streamFor(3 * time.Second)
		for _, a := range tc.agents {
			for _, c := range a.fleet.Candidates("s", "m", nil, time.Now()) {
				is.Equal(c.Load, nodes)
			}
			is.Equal(a.NodeCount(), nodes)
		}
	})
}

func TestTreeDistributesRegistryChangesWithinASecond(t *testing.T) {
	runCluster(t, 30, func(is *is.I, tc *testCluster) {
		tc.writeConfig(1)
		tc.startRequests(2)
		tc.streamFor(time.Second)
		tc.putServer(ring.Server{ID: "h0", Service: "s", Model: "m", Domain: "d", Leaving: true, Membership: ring.Membership{Group: "g0", Epoch: 1, State: ring.MemberOpen}})
		time.Sleep(time.Second)
		for _, a := range tc.agents {
			s, known := a.fleet.Server("h0")
			is.True(known)
			is.True(s.Leaving)
		}
	})
}

// stopRegistryWatches makes the nodes below the root end their watches of the
// registry, which they do at the next change.
func (tc *testCluster) stopRegistryWatches() {
	for range 2 {
		tc.putServer(ring.Server{ID: "other", Service: "s", Model: "m", Domain: "d"})
		tc.streamFor(3 * time.Second)
	}
}

// nodesSendingTo returns the number of nodes whose registry entries allow requests to
// the replica.
func (tc *testCluster) nodesSendingTo(g ring.Group) int {
	return countNodesSendingTo(tc.agents, g)
}

// connectedNodesSendingTo returns the same number for the nodes that are not isolated.
func (tc *testCluster) connectedNodesSendingTo(g ring.Group) int {
	var connected []*Agent
	for _, a := range tc.agents {
		if !tc.network.isolated[a.config.Name] {
			connected = append(connected, a)
		}
	}
	return countNodesSendingTo(connected, g)
}

// countNodesSendingTo returns how many of the nodes have registry entries that allow
// requests to the replica.
func countNodesSendingTo(agents []*Agent, g ring.Group) int {
	n := 0
	for _, a := range agents {
		for _, r := range a.fleet.Replicas() {
			if r.Group == g && r.AcceptsRequests() {
				n++
			}
		}
	}
	return n
}

// TestNoNodeSendsToAnAbandonedReplica checks that no node chooses a replica that the
// controller no longer uses while the registry still shows its head as open. The
// messages between nodes must tell all of them, as only one node saw the stall.
func TestNoNodeSendsToAnAbandonedReplica(t *testing.T) {
	for _, nodes := range []int{3, 30} {
		runCluster(t, nodes, func(is *is.I, tc *testCluster) {
			value, err := json.Marshal(ring.Routing{Number: 1, Services: []ring.RoutedService{{Name: "s", Models: []ring.ReplicaModel{{Name: "m", Size: 1}}}}})
			is.NoErr(err)
			tc.writeKey("routing", value)
			tc.startRequests(2)
			for _, a := range tc.agents {
				for _, r := range a.fleet.Replicas() {
					if r.Group == "g0" {
						a.fleet.EndRequest(r.Group, true) // Below, only the first node begins a request at g0 again.
					}
				}
			}
			first := tc.agents[0].fleet
			g0 := first.Replicas()[0]
			first.BeginRequest(g0, 0, time.Now())
			first.ObserveEvent(g0.Group, true, time.Now())
			time.Sleep(time.Second) // g0 stalls, and its head answers no inspection.
			first.EndRequest(g0.Group, true)
			for range 60 { // The registry shows g0 as open for longer than any backoff after a failure.
				time.Sleep(100 * time.Millisecond)
				for _, a := range tc.agents {
					a.fleet.ObserveEvent("g1", false, time.Now())
					for _, c := range a.fleet.Candidates("s", "m", nil, time.Now()) {
						is.True(c.Replica.Group != "g0")
					}
				}
			}
		})
	}
}

func TestTreeDistributesThatAHeadLeftItsReplica(t *testing.T) {
	runCluster(t, 30, func(is *is.I, tc *testCluster) {
		tc.writeConfig(1)
		tc.startRequests(2)
		tc.stopRegistryWatches()
		is.Equal(tc.nodesSendingTo("g0"), 30)
		tc.putServer(ring.Server{ID: "h0", Service: "s", Model: "m", Domain: "d"})
		tc.streamFor(300 * time.Millisecond) // too short for the checksums to reveal the change
		is.Equal(tc.nodesSendingTo("g0"), 0)
		is.Equal(tc.nodesSendingTo("g1"), 30)
	})
}

func TestSummaryOfAnEarlierTermIsIgnored(t *testing.T) {
	runCluster(t, 30, func(is *is.I, tc *testCluster) {
		tc.writeConfig(1)
		tc.startRequests(1)
		for _, a := range tc.agents {
			if a.IsController() {
				continue
			}
			a.mu.Lock()
			term := a.tree.term
			a.mu.Unlock()
			a.applySummary("ghost", &digest.Summary{Root: "ghost", Term: term - 1, Sequence: 1 << 40, Nodes: 2}, clock.Instant{})
			a.mu.Lock()
			is.True(a.controller != "ghost")
			a.mu.Unlock()
		}
	})
}

func TestTreeRecoversLostRegistryEntries(t *testing.T) {
	runCluster(t, 30, func(is *is.I, tc *testCluster) {
		tc.writeConfig(1)
		tc.startRequests(2)
		tc.stopRegistryWatches()
		lossyUntil := time.Now().Add(700 * time.Millisecond)
		tc.network.setDrops(func(_ string, m digest.Message) bool { return len(m.Entries) > 0 && time.Now().Before(lossyUntil) })
		tc.putServer(ring.Server{ID: "h0", Service: "s", Model: "m", Domain: "d"})
		tc.putServer(ring.Server{ID: "plain", Service: "p", Address: "x"})
		tc.streamFor(2500 * time.Millisecond)
		is.Equal(tc.nodesSendingTo("g0"), 0)
		for _, a := range tc.agents {
			_, known := a.fleet.Server("plain")
			is.True(known)
		}
	})
}

// TestNewControllerRestoresDroppedEntries checks that a new controller lists the
// registry again and so recovers an entry that all nodes had dropped because the
// previous root did not know it.
func TestNewControllerRestoresDroppedEntries(t *testing.T) {
	runCluster(t, 30, func(is *is.I, tc *testCluster) {
		tc.writeConfig(1)
		tc.startRequests(2)
		tc.stopRegistryWatches()
		oldRoot := tc.isolateRoot()
		for _, a := range tc.agents {
			if a != oldRoot { // The listing is that of a root that does not know h0.
				a.applyBucketListing(&digest.BucketListing{Bucket: bucketOf("h0"), Revision: math.MaxInt64})
				_, known := a.fleet.Server("h0")
				is.True(!known)
			}
		}
		tc.streamFor(5 * time.Second)
		for _, a := range tc.agents {
			if a != oldRoot && a.IsController() {
				_, known := a.fleet.Server("h0")
				is.True(known)
				return
			}
		}
		t.Error("no other node became the controller")
	})
}

func TestHasOpenReplicaIgnoresReadyReplicas(t *testing.T) {
	runCluster(t, 1, func(is *is.I, tc *testCluster) {
		a := tc.agents[0]
		head := ring.Server{ID: "h0", Service: "s", Model: "m", Membership: ring.Membership{Group: "g", Epoch: 1, State: ring.MemberReady}}
		a.fleet.Put(head, 1)
		is.True(!a.hasOpenReplica())
		head.Membership.State = ring.MemberOpen
		a.fleet.Put(head, 2)
		is.True(a.hasOpenReplica())
	})
}

func TestBucketListingKeepsNewerEntries(t *testing.T) {
	runCluster(t, 1, func(is *is.I, tc *testCluster) {
		a := tc.agents[0]
		synctest.Wait() // The node's loops have started.
		head := ring.Server{ID: "h0", Service: "s", Model: "m", Membership: ring.Membership{Group: "g", Epoch: 1, State: ring.MemberOpen}}
		a.fleet.Put(head, 9)
		a.applyBucketListing(&digest.BucketListing{Bucket: bucketOf("h0"), Revision: 8})
		_, known := a.fleet.Server("h0")
		is.True(known)
		a.applyBucketListing(&digest.BucketListing{Bucket: bucketOf("h0"), Revision: 9})
		_, known = a.fleet.Server("h0")
		is.True(!known)
		is.True(a.fleet.Put(head, 9)) // the same revision can be added again
	})
}

func TestTreeRecoversWhenRootAndInnerNodesAreIsolated(t *testing.T) {
	runCluster(t, 30, func(is *is.I, tc *testCluster) {
		tc.writeConfig(1)
		tc.startRequests(1)
		tc.streamFor(2 * time.Second)
		for i, a := range tc.agents {
			if a.IsController() || i < 3 {
				tc.network.isolate(a.config.Name)
				tc.stores[i].SetFault(platform.FaultSilent)
			}
		}
		tc.streamFor(14 * time.Second) // time to elect a new root and to skip lost parents
		for _, a := range tc.agents {
			if tc.network.isolated[a.config.Name] {
				continue
			}
			if load := a.fleet.Candidates("s", "m", nil, time.Now())[0].Load; load < 25 || load > 30 {
				t.Errorf("node %s counts %d requests at the replica; want 25 to 30", a.config.Name, load)
			}
		}
	})
}

// isolateRoot disconnects the controller from all nodes and the store, and returns
// it.
func (tc *testCluster) isolateRoot() *Agent {
	for i, a := range tc.agents {
		if a.IsController() {
			tc.network.isolate(a.config.Name)
			tc.stores[i].SetFault(platform.FaultSilent)
			return a
		}
	}
	panic("no node is the controller")
}

// nodesBelowLoad returns the number of nodes that are not isolated and count fewer
// than minLoad requests at the first replica.
func (tc *testCluster) nodesBelowLoad(minLoad int) int {
	below := 0
	for _, a := range tc.agents {
		if load := a.fleet.Candidates("s", "m", nil, time.Now())[0].Load; !tc.network.isolated[a.config.Name] && load < minLoad {
			below++
		}
	}
	return below
}

func TestTreeKnowsAllLoadsSoonAfterRootDied(t *testing.T) {
	runCluster(t, 90, func(is *is.I, tc *testCluster) {
		tc.writeConfig(1)
		tc.startRequests(1)
		tc.stopRegistryWatches()
		tc.isolateRoot()
		tc.streamFor(6 * time.Second)
		is.True(tc.nodesBelowLoad(80) <= 4) // a few nodes may just be changing parents
	})
}

func TestTreeRecoversWhenManyNodesReturnAndRootDies(t *testing.T) {
	runCluster(t, 90, func(is *is.I, tc *testCluster) {
		tc.writeConfig(1)
		tc.startRequests(18)
		tc.stopRegistryWatches()
		for i, a := range tc.agents { // A third of the nodes is disconnected for longer than MembershipTTL.
			if i%3 == 0 && !a.IsController() {
				tc.network.isolate(a.config.Name)
				tc.stores[i].SetFault(platform.FaultDown)
			}
		}
		tc.streamFor(12 * time.Second)
		for i, a := range tc.agents {
			tc.network.rejoin(a.config.Name)
			tc.stores[i].SetFault(platform.FaultNone)
		}
		tc.streamFor(time.Second)
		tc.isolateRoot()
		tc.streamFor(7 * time.Second)
		below := tc.nodesBelowLoad(80)
		t.Logf("%d nodes count fewer than 80 of the requests", below)
		is.True(below <= 4) // a few nodes may just be changing parents
	})
}

func TestConfigurationIsActiveThoughControllerHasNoStore(t *testing.T) {
	runCluster(t, 30, func(is *is.I, tc *testCluster) {
		tc.writeConfig(1)
		tc.startRequests(1)
		tc.streamFor(time.Second)
		for i, a := range tc.agents {
			if a.IsController() {
				tc.stores[i].SetFault(platform.FaultDown)
			}
		}
		tc.writeConfig(2)
		tc.streamFor(2500 * time.Millisecond)
		late := 0
		for i, a := range tc.agents {
			if a.Routing().Number() != 2 {
				late++
				t.Logf("node %d has configuration %d", i, a.Routing().Number())
			}
		}
		is.True(late <= 1) // only the node without a store may be late
	})
}

// controlCost is the traffic that coordinates the nodes: the most bytes and messages
// per second that any node sends to its peers, and the store calls per second of all
// nodes together.
type controlCost struct {
	bytesPerSecond, messagesPerSecond int
	callsPerSecond                    float64
}

// measureControlCost returns the mean controlCost over ten seconds of a cluster with
// the given number of nodes, which all have requests at 18 replicas.
func measureControlCost(t *testing.T, nodes int) (out controlCost) {
	const seconds = 10
	runCluster(t, nodes, func(is *is.I, tc *testCluster) {
		tc.writeConfig(1)
		tc.startRequests(18)
		tc.streamFor(3 * time.Second)
		tc.network.resetCounts()
		before := tc.storeCalls()
		tc.streamFor(seconds * time.Second)
		out.callsPerSecond = float64(tc.storeCalls()-before) / seconds
		for _, a := range tc.agents {
			bytes, messages := tc.network.sent(a.config.Name)
			out.bytesPerSecond = max(out.bytesPerSecond, bytes/seconds)
			out.messagesPerSecond = max(out.messagesPerSecond, messages/seconds)
		}
	})
	return out
}

// storeCalls returns the number of calls of all nodes to the store so far.
func (tc *testCluster) storeCalls() int {
	n := 0
	for _, s := range tc.stores {
		c := s.Calls()
		n += c.Reads + c.Writes + c.Watches
	}
	return n
}

func TestControlCostsPerNodeStayWithinByteLimit(t *testing.T) {
	for _, nodes := range []int{7, 30, 90} {
		c := measureControlCost(t, nodes)
		t.Logf("%d nodes: at most %d bytes and %d messages per second and node, %.1f store calls per second in total", nodes, c.bytesPerSecond, c.messagesPerSecond, c.callsPerSecond)
		if c.bytesPerSecond > maxBytesPerSecond {
			t.Errorf("%d nodes: a node sends %d bytes per second, which is over the limit", nodes, c.bytesPerSecond)
		}
	}
}

// TestAllNodesLearnThatAServerIsAboutToStop checks that a server's announcement, made
// to one node, reaches the others and so the controller, with few nodes and in the tree.
func TestAllNodesLearnThatAServerIsAboutToStop(t *testing.T) {
	for _, nodes := range []int{6, 30} {
		runCluster(t, nodes, func(is *is.I, tc *testCluster) {
			tc.writeConfig(1)
			tc.startRequests(2)
			tc.streamFor(time.Second)
			for _, a := range tc.agents {
				if !a.IsController() {
					s, known := a.fleet.Server("h0")
					is.True(known)
					is.True(a.fleet.MarkLeaving(s.ID, s.Incarnation, time.Now()))
					a.AnnounceLeaving(s)
					break
				}
			}
			tc.streamFor(time.Second)
			is.Equal(tc.nodesSendingTo("g0"), 0)
			is.Equal(tc.nodesSendingTo("g1"), nodes)
		})
	}
}
