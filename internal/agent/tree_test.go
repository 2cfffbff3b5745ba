package agent

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/digest"
	"eelgrassring.dev/internal/standin/platform"
)

func TestNewsStaysWithinItsBytes(t *testing.T) {
	runCluster(t, 30, func(is *is.I, b *testCluster) {
		b.applyConfig(1)
		b.startRequests(18)
		b.streamFor(3 * time.Second)
		b.network.reset()
		const span = 10
		for range span * 10 {
			b.streamFor(100 * time.Millisecond)
			for _, a := range b.agents {
				a.SendDigestSoon()
			}
		}
		for _, a := range b.agents {
			bytes, _ := b.network.sent(a.config.Name)
			is.True(bytes < span*maxBytesPerSecond)
		}
	})
}

// startRequests gives every node some requests at each of the replicas.
func (b *testCluster) startRequests(replicas int) {
	for i := range replicas {
		s := ring.Server{ID: ring.VM(fmt.Sprintf("h%d", i)), Service: "s", Address: "unreachable", Model: "m", Domain: "d", Place: ring.Place{Group: ring.Group(fmt.Sprintf("g%d", i)), Epoch: ring.Epoch(i + 1), State: ring.MemberOpen}}
		b.putServer(s)
	}
	time.Sleep(12 * time.Second)
	for _, a := range b.agents {
		for _, r := range a.fleet.Replicas() {
			a.fleet.Begin(r, 0, time.Now())
			a.fleet.ObserveEvent(r.Group, true, time.Now())
		}
	}
}

func (b *testCluster) putServer(s ring.Server) {
	value, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	b.write("server/"+string(s.ID), value)
}

// streamFor keeps all streams going for a span.
func (b *testCluster) streamFor(span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, a := range b.agents {
			for _, r := range a.fleet.Replicas() {
				a.fleet.ObserveEvent(r.Group, false, time.Now())
			}
		}
	}
}

func TestTreeTellsEveryNodeTheLoadOfAll(t *testing.T) {
	const nodes = 30
	runCluster(t, nodes, func(is *is.I, b *testCluster) {
		b.applyConfig(1)
		b.startRequests(3)
		b.streamFor(3 * time.Second)
		for _, a := range b.agents {
			for _, c := range a.fleet.Candidates("s", "m", nil, time.Now()) {
				is.Equal(c.Load, nodes)
			}
			is.Equal(a.NodeCount(), nodes)
		}
	})
}

func TestTreeCarriesRegistryChangesWithinASecond(t *testing.T) {
	runCluster(t, 30, func(is *is.I, b *testCluster) {
		b.applyConfig(1)
		b.startRequests(2)
		b.streamFor(time.Second)
		b.putServer(ring.Server{ID: "h0", Service: "s", Model: "m", Domain: "d", Leaving: true, Place: ring.Place{Group: "g0", Epoch: 1, State: ring.MemberOpen}})
		time.Sleep(time.Second)
		for _, a := range b.agents {
			s, known := a.fleet.Server("h0")
			is.True(known)
			is.True(s.Leaving)
		}
	})
}

// stopRegistryWatches ends the nodes' own watches of the registry: each gives its watch up
// at the next change.
func (b *testCluster) stopRegistryWatches() {
	for range 2 {
		b.putServer(ring.Server{ID: "other", Service: "s", Model: "m", Domain: "d"})
		b.streamFor(3 * time.Second)
	}
}

// nodesSendingTo returns how many nodes send requests to the replica.
func (b *testCluster) nodesSendingTo(g ring.Group) int {
	n := 0
	for _, a := range b.agents {
		for _, r := range a.fleet.Replicas() {
			if r.Group == g && r.AcceptsRequests() {
				n++
			}
		}
	}
	return n
}

func TestNoNodeSendsToAReplicaThatTheControllerGaveUp(t *testing.T) {
	for _, nodes := range []int{3, 30} {
		runCluster(t, nodes, func(is *is.I, b *testCluster) {
			value, err := json.Marshal(ring.Routing{Number: 1, Services: []ring.RoutedService{{Name: "s", Models: []ring.ReplicaModel{{Name: "m", Size: 1}}}}})
			is.NoErr(err)
			b.write("routing", value)
			b.startRequests(2)
			for _, a := range b.agents {
				for _, r := range a.fleet.Replicas() {
					if r.Group == "g0" {
						a.fleet.End(r.Group, true) // but at the first node
					}
				}
			}
			first := b.agents[0].fleet
			g0 := first.Replicas()[0]
			first.Begin(g0, 0, time.Now())
			first.ObserveEvent(g0.Group, true, time.Now())
			time.Sleep(time.Second) // g0 stands still, and its head answers no question
			first.End(g0.Group, true)
			for range 60 { // its entry stands for longer than any suspicion
				time.Sleep(100 * time.Millisecond)
				for _, a := range b.agents {
					a.fleet.ObserveEvent("g1", false, time.Now())
					for _, c := range a.fleet.Candidates("s", "m", nil, time.Now()) {
						is.True(c.Replica.Group != "g0")
					}
				}
			}
		})
	}
}

func TestTreeTellsThatAHeadLeftItsReplica(t *testing.T) {
	runCluster(t, 30, func(is *is.I, b *testCluster) {
		b.applyConfig(1)
		b.startRequests(2)
		b.stopRegistryWatches()
		is.Equal(b.nodesSendingTo("g0"), 30)
		b.putServer(ring.Server{ID: "h0", Service: "s", Model: "m", Domain: "d"})
		b.streamFor(300 * time.Millisecond) // before checksums could show it
		is.Equal(b.nodesSendingTo("g0"), 0)
		is.Equal(b.nodesSendingTo("g1"), 30)
	})
}

func TestSummaryOfAnEarlierRootIsNotHeard(t *testing.T) {
	runCluster(t, 30, func(is *is.I, b *testCluster) {
		b.applyConfig(1)
		b.startRequests(1)
		for _, a := range b.agents {
			if a.IsController() {
				continue
			}
			a.mu.Lock()
			term := a.tree.term
			a.mu.Unlock()
			a.applySummary("ghost", &digest.Summary{Root: "ghost", Term: term - 1, Sequence: 1 << 40, Nodes: 2})
			a.mu.Lock()
			is.True(a.controller != "ghost")
			a.mu.Unlock()
		}
	})
}

func TestTreeMakesGoodWhatDatagramsLost(t *testing.T) {
	runCluster(t, 30, func(is *is.I, b *testCluster) {
		b.applyConfig(1)
		b.startRequests(2)
		b.stopRegistryWatches()
		lossyUntil := time.Now().Add(700 * time.Millisecond)
		b.network.setDrops(func(_ string, m digest.Message) bool { return len(m.Entries) > 0 && time.Now().Before(lossyUntil) })
		b.putServer(ring.Server{ID: "h0", Service: "s", Model: "m", Domain: "d"})
		b.putServer(ring.Server{ID: "plain", Service: "p", Address: "x"})
		b.streamFor(2500 * time.Millisecond)
		is.Equal(b.nodesSendingTo("g0"), 0)
		for _, a := range b.agents {
			_, known := a.fleet.Server("plain")
			is.True(known)
		}
	})
}

func TestNodeThatBecomesControllerKnowsWhatItDropped(t *testing.T) {
	runCluster(t, 30, func(is *is.I, b *testCluster) {
		b.applyConfig(1)
		b.startRequests(2)
		b.stopRegistryWatches()
		old := b.isolateRoot()
		for _, a := range b.agents {
			if a != old { // A root that did not know h0 said so.
				a.applyBucketListing(&digest.BucketListing{Bucket: bucketOf("h0"), Revision: 1 << 40})
				_, known := a.fleet.Server("h0")
				is.True(!known)
			}
		}
		b.streamFor(5 * time.Second)
		for _, a := range b.agents {
			if a != old && a.IsController() {
				_, known := a.fleet.Server("h0")
				is.True(known)
				return
			}
		}
		t.Error("nobody rules")
	})
}

func TestReplicasThatAreOpenShowThatThereWasTraffic(t *testing.T) {
	runCluster(t, 1, func(is *is.I, b *testCluster) {
		a := b.agents[0]
		head := ring.Server{ID: "h0", Service: "s", Model: "m", Place: ring.Place{Group: "g", Epoch: 1, State: ring.MemberReady}}
		a.fleet.Put(head, 1)
		is.True(!a.hasOpenReplica())
		head.Place.State = ring.MemberOpen
		a.fleet.Put(head, 2)
		is.True(a.hasOpenReplica())
	})
}

func TestRollLeavesWhatIsNewerThanItsSenderKnows(t *testing.T) {
	runCluster(t, 1, func(is *is.I, b *testCluster) {
		a := b.agents[0]
		head := ring.Server{ID: "h0", Service: "s", Model: "m", Place: ring.Place{Group: "g", Epoch: 1, State: ring.MemberOpen}}
		a.fleet.Put(head, 9)
		a.applyBucketListing(&digest.BucketListing{Bucket: bucketOf("h0"), Revision: 8})
		_, known := a.fleet.Server("h0")
		is.True(known)
		a.applyBucketListing(&digest.BucketListing{Bucket: bucketOf("h0"), Revision: 9})
		_, known = a.fleet.Server("h0")
		is.True(!known)
		is.True(a.fleet.Put(head, 9)) // the same entry may come again
	})
}

func TestTreeHealsWhenItsRootAndInnerNodesAreCutOff(t *testing.T) {
	runCluster(t, 30, func(is *is.I, b *testCluster) {
		b.applyConfig(1)
		b.startRequests(1)
		b.streamFor(2 * time.Second)
		for i, a := range b.agents {
			if a.IsController() || i < 3 {
				b.network.isolate(a.config.Name)
				b.stores[i].Set(platform.FaultSilent)
			}
		}
		b.streamFor(14 * time.Second) // heal
		for _, a := range b.agents {
			if b.network.isolated[a.config.Name] {
				continue
			}
			if load := a.fleet.Candidates("s", "m", nil, time.Now())[0].Load; load < 25 || load > 30 {
				t.Errorf("node %s counts %d requests", a.config.Name, load)
			}
		}
	})
}

// isolateRoot cuts the controller off from all nodes and the store, and returns it.
func (b *testCluster) isolateRoot() *Agent {
	for i, a := range b.agents {
		if a.IsController() {
			b.network.isolate(a.config.Name)
			b.stores[i].Set(platform.FaultSilent)
			return a
		}
	}
	panic("nobody rules")
}

// nodesBelowLoad returns how many nodes that are not cut off count fewer requests than
// that at a replica.
func (b *testCluster) nodesBelowLoad(least int) int {
	few := 0
	for _, a := range b.agents {
		if load := a.fleet.Candidates("s", "m", nil, time.Now())[0].Load; !b.network.isolated[a.config.Name] && load < least {
			few++
		}
	}
	return few
}

func TestTreeKnowsAllLoadsSoonAfterItsRootDied(t *testing.T) {
	runCluster(t, 90, func(is *is.I, b *testCluster) {
		b.applyConfig(1)
		b.startRequests(1)
		b.stopRegistryWatches()
		b.isolateRoot()
		b.streamFor(6 * time.Second)
		is.True(b.nodesBelowLoad(80) <= 4) // A node may be between two parents.
	})
}

func TestTreeIsWholeSoonAfterManyNodesCameBackAndTheRootDied(t *testing.T) {
	runCluster(t, 90, func(is *is.I, b *testCluster) {
		b.applyConfig(1)
		b.startRequests(18)
		b.stopRegistryWatches()
		for i, a := range b.agents { // Cut off for longer than their membership lasts.
			if i%3 == 0 && !a.IsController() {
				b.network.isolate(a.config.Name)
				b.stores[i].Set(platform.FaultDown)
			}
		}
		b.streamFor(12 * time.Second)
		for i, a := range b.agents {
			b.network.rejoin(a.config.Name)
			b.stores[i].Set(platform.FaultNone)
		}
		b.streamFor(time.Second)
		b.isolateRoot()
		b.streamFor(7 * time.Second)
		few := b.nodesBelowLoad(80)
		t.Logf("%d nodes do not know the load", few)
		is.True(few <= 4) // A node may be between two parents.
	})
}

func TestConfigurationComesThoughTheControllerHasNoStore(t *testing.T) {
	runCluster(t, 30, func(is *is.I, b *testCluster) {
		b.applyConfig(1)
		b.startRequests(1)
		b.streamFor(time.Second)
		for i, a := range b.agents {
			if a.IsController() {
				b.stores[i].Set(platform.FaultDown)
			}
		}
		b.applyConfig(2)
		b.streamFor(2500 * time.Millisecond)
		late := 0
		for i, a := range b.agents {
			if a.Routing().Number() != 2 {
				late++
				t.Logf("node %d has %d", i, a.Routing().Number())
			}
		}
		is.True(late <= 1) // all but the one without a store
	})
}

// controlCost are what control costs a node at a size.
type controlCost struct {
	bytes, messages int
	calls           float64
}

// measureControlCost counts ten seconds of a busy system.
func measureControlCost(t *testing.T, nodes int) (out controlCost) {
	const span = 10
	runCluster(t, nodes, func(is *is.I, b *testCluster) {
		b.applyConfig(1)
		b.startRequests(18)
		b.streamFor(3 * time.Second)
		b.network.reset()
		before := b.storeCalls()
		b.streamFor(span * time.Second)
		out.calls = float64(b.storeCalls()-before) / span
		for _, a := range b.agents {
			bytes, messages := b.network.sent(a.config.Name)
			out.bytes = max(out.bytes, bytes/span)
			out.messages = max(out.messages, messages/span)
		}
	})
	return out
}

func (b *testCluster) storeCalls() int {
	n := 0
	for _, s := range b.stores {
		c := s.Calls()
		n += c.Reads + c.Writes + c.Watches
	}
	return n
}

func TestControlCostsANodeTheSameAtAnySize(t *testing.T) {
	for _, nodes := range []int{7, 30, 90} {
		c := measureControlCost(t, nodes)
		t.Logf("%d nodes: at most %d bytes and %d messages a second at a node, %.1f store calls a second for all", nodes, c.bytes, c.messages, c.calls)
		if c.bytes > maxBytesPerSecond {
			t.Errorf("%d nodes: a node sends %d bytes a second", nodes, c.bytes)
		}
	}
}
