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
	run(t, 30, func(is *is.I, b *bench) {
		b.apply(1)
		b.busy(18)
		b.flow(3 * time.Second)
		b.hub.reset()
		const span = 10
		for range span * 10 {
			b.flow(100 * time.Millisecond)
			for _, a := range b.agents {
				a.TellSoon()
			}
		}
		for _, a := range b.agents {
			bytes, _ := b.hub.counted(a.config.Name)
			is.True(bytes < span*bytesPerSecond)
		}
	})
}

// busy gives every node some requests at each of the replicas.
func (b *bench) busy(replicas int) {
	for i := range replicas {
		s := ring.Server{ID: ring.VM(fmt.Sprintf("h%d", i)), Service: "s", Address: "unreachable", Model: "m", Domain: "d", Place: ring.Place{Group: ring.Group(fmt.Sprintf("g%d", i)), Epoch: ring.Epoch(i + 1), State: ring.MemberOpen}}
		b.put(s)
	}
	time.Sleep(12 * time.Second)
	for _, a := range b.agents {
		for _, r := range a.fleet.Replicas() {
			a.fleet.Begin(r, 0, time.Now())
			a.fleet.ObserveEvent(r.Group, true, time.Now())
		}
	}
}

func (b *bench) put(s ring.Server) {
	value, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	b.write("server/"+string(s.ID), value)
}

// flow keeps all streams going for a span.
func (b *bench) flow(span time.Duration) {
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
	run(t, nodes, func(is *is.I, b *bench) {
		b.apply(1)
		b.busy(3)
		b.flow(3 * time.Second)
		for _, a := range b.agents {
			for _, c := range a.fleet.Candidates("s", "m", nil, time.Now()) {
				is.Equal(c.Load, nodes)
			}
			is.Equal(a.Nodes(), nodes)
		}
	})
}

func TestTreeCarriesRegistryChangesWithinASecond(t *testing.T) {
	run(t, 30, func(is *is.I, b *bench) {
		b.apply(1)
		b.busy(2)
		b.flow(time.Second)
		b.put(ring.Server{ID: "h0", Service: "s", Model: "m", Domain: "d", Leaving: true, Place: ring.Place{Group: "g0", Epoch: 1, State: ring.MemberOpen}})
		time.Sleep(time.Second)
		for _, a := range b.agents {
			s, known := a.fleet.Server("h0")
			is.True(known)
			is.True(s.Leaving)
		}
	})
}

// followed ends the nodes' own watches of the registry: each gives its watch up
// at the next change.
func (b *bench) followed() {
	for range 2 {
		b.put(ring.Server{ID: "other", Service: "s", Model: "m", Domain: "d"})
		b.flow(3 * time.Second)
	}
}

// taking returns how many nodes send requests to the replica.
func (b *bench) taking(g ring.Group) int {
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
		run(t, nodes, func(is *is.I, b *bench) {
			value, err := json.Marshal(ring.Routing{Number: 1, Services: []ring.RoutedService{{Name: "s", Models: []ring.ReplicaModel{{Name: "m", Size: 1}}}}})
			is.NoErr(err)
			b.write("routing", value)
			b.busy(2)
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
	run(t, 30, func(is *is.I, b *bench) {
		b.apply(1)
		b.busy(2)
		b.followed()
		is.Equal(b.taking("g0"), 30)
		b.put(ring.Server{ID: "h0", Service: "s", Model: "m", Domain: "d"})
		b.flow(300 * time.Millisecond) // before checksums could show it
		is.Equal(b.taking("g0"), 0)
		is.Equal(b.taking("g1"), 30)
	})
}

func TestSummaryOfAnEarlierRootIsNotHeard(t *testing.T) {
	run(t, 30, func(is *is.I, b *bench) {
		b.apply(1)
		b.busy(1)
		for _, a := range b.agents {
			if a.IsController() {
				continue
			}
			a.mu.Lock()
			term := a.tree.term
			a.mu.Unlock()
			a.hearSummary("ghost", &digest.Summary{Root: "ghost", Term: term - 1, Sequence: 1 << 40, Nodes: 2})
			a.mu.Lock()
			is.True(a.controller != "ghost")
			a.mu.Unlock()
		}
	})
}

func TestTreeMakesGoodWhatDatagramsLost(t *testing.T) {
	run(t, 30, func(is *is.I, b *bench) {
		b.apply(1)
		b.busy(2)
		b.followed()
		lossyUntil := time.Now().Add(700 * time.Millisecond)
		b.hub.loses(func(_ string, m digest.Message) bool { return len(m.Entries) > 0 && time.Now().Before(lossyUntil) })
		b.put(ring.Server{ID: "h0", Service: "s", Model: "m", Domain: "d"})
		b.put(ring.Server{ID: "plain", Service: "p", Address: "x"})
		b.flow(2500 * time.Millisecond)
		is.Equal(b.taking("g0"), 0)
		for _, a := range b.agents {
			_, known := a.fleet.Server("plain")
			is.True(known)
		}
	})
}

func TestNodeThatBecomesControllerKnowsWhatItDropped(t *testing.T) {
	run(t, 30, func(is *is.I, b *bench) {
		b.apply(1)
		b.busy(2)
		b.followed()
		old := b.cutRoot()
		for _, a := range b.agents {
			if a != old { // A root that did not know h0 said so.
				a.hearRoll(&digest.Roll{Bucket: bucketOf("h0"), At: 1 << 40})
				_, known := a.fleet.Server("h0")
				is.True(!known)
			}
		}
		b.flow(5 * time.Second)
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
	run(t, 1, func(is *is.I, b *bench) {
		a := b.agents[0]
		head := ring.Server{ID: "h0", Service: "s", Model: "m", Place: ring.Place{Group: "g", Epoch: 1, State: ring.MemberReady}}
		a.fleet.Put(head, 1)
		is.True(!a.hasOpened())
		head.Place.State = ring.MemberOpen
		a.fleet.Put(head, 2)
		is.True(a.hasOpened())
	})
}

func TestRollLeavesWhatIsNewerThanItsSenderKnows(t *testing.T) {
	run(t, 1, func(is *is.I, b *bench) {
		a := b.agents[0]
		head := ring.Server{ID: "h0", Service: "s", Model: "m", Place: ring.Place{Group: "g", Epoch: 1, State: ring.MemberOpen}}
		a.fleet.Put(head, 9)
		a.hearRoll(&digest.Roll{Bucket: bucketOf("h0"), At: 8})
		_, known := a.fleet.Server("h0")
		is.True(known)
		a.hearRoll(&digest.Roll{Bucket: bucketOf("h0"), At: 9})
		_, known = a.fleet.Server("h0")
		is.True(!known)
		is.True(a.fleet.Put(head, 9)) // the same entry may come again
	})
}

func TestTreeHealsWhenItsRootAndInnerNodesAreCutOff(t *testing.T) {
	run(t, 30, func(is *is.I, b *bench) {
		b.apply(1)
		b.busy(1)
		b.flow(2 * time.Second)
		for i, a := range b.agents {
			if a.IsController() || i < 3 {
				b.hub.isolate(a.config.Name)
				b.stores[i].Set(platform.FaultSilent)
			}
		}
		b.flow(14 * time.Second) // heal
		for _, a := range b.agents {
			if b.hub.cut[a.config.Name] {
				continue
			}
			if load := a.fleet.Candidates("s", "m", nil, time.Now())[0].Load; load < 25 || load > 30 {
				t.Errorf("node %s counts %d requests", a.config.Name, load)
			}
		}
	})
}

// cutRoot cuts the controller off from all nodes and the store, and returns it.
func (b *bench) cutRoot() *Agent {
	for i, a := range b.agents {
		if a.IsController() {
			b.hub.isolate(a.config.Name)
			b.stores[i].Set(platform.FaultSilent)
			return a
		}
	}
	panic("nobody rules")
}

// unaware returns how many nodes that are not cut off count fewer requests than
// that at a replica.
func (b *bench) unaware(least int) int {
	few := 0
	for _, a := range b.agents {
		if load := a.fleet.Candidates("s", "m", nil, time.Now())[0].Load; !b.hub.cut[a.config.Name] && load < least {
			few++
		}
	}
	return few
}

func TestTreeKnowsAllLoadsSoonAfterItsRootDied(t *testing.T) {
	run(t, 90, func(is *is.I, b *bench) {
		b.apply(1)
		b.busy(1)
		b.followed()
		b.cutRoot()
		b.flow(6 * time.Second)
		is.True(b.unaware(80) <= 4) // A node may be between two parents.
	})
}

func TestTreeIsWholeSoonAfterManyNodesCameBackAndTheRootDied(t *testing.T) {
	run(t, 90, func(is *is.I, b *bench) {
		b.apply(1)
		b.busy(18)
		b.followed()
		for i, a := range b.agents { // Cut off for longer than their membership lasts.
			if i%3 == 0 && !a.IsController() {
				b.hub.isolate(a.config.Name)
				b.stores[i].Set(platform.FaultDown)
			}
		}
		b.flow(12 * time.Second)
		for i, a := range b.agents {
			b.hub.rejoin(a.config.Name)
			b.stores[i].Set(platform.FaultNone)
		}
		b.flow(time.Second)
		b.cutRoot()
		b.flow(7 * time.Second)
		few := b.unaware(80)
		t.Logf("%d nodes do not know the load", few)
		is.True(few <= 4) // A node may be between two parents.
	})
}

func TestConfigurationComesThoughTheControllerHasNoStore(t *testing.T) {
	run(t, 30, func(is *is.I, b *bench) {
		b.apply(1)
		b.busy(1)
		b.flow(time.Second)
		for i, a := range b.agents {
			if a.IsController() {
				b.stores[i].Set(platform.FaultDown)
			}
		}
		b.apply(2)
		b.flow(2500 * time.Millisecond)
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

// counts are what control costs a node at a size.
type counts struct {
	bytes, messages int
	calls           float64
}

// countAt counts ten seconds of a busy system.
func countAt(t *testing.T, nodes int) (out counts) {
	const span = 10
	run(t, nodes, func(is *is.I, b *bench) {
		b.apply(1)
		b.busy(18)
		b.flow(3 * time.Second)
		b.hub.reset()
		before := b.calls()
		b.flow(span * time.Second)
		out.calls = float64(b.calls()-before) / span
		for _, a := range b.agents {
			bytes, messages := b.hub.counted(a.config.Name)
			out.bytes = max(out.bytes, bytes/span)
			out.messages = max(out.messages, messages/span)
		}
	})
	return out
}

func (b *bench) calls() int {
	n := 0
	for _, s := range b.stores {
		c := s.Calls()
		n += c.Reads + c.Writes + c.Watches
	}
	return n
}

func TestControlCostsANodeTheSameAtAnySize(t *testing.T) {
	for _, nodes := range []int{7, 30, 90} {
		c := countAt(t, nodes)
		t.Logf("%d nodes: at most %d bytes and %d messages a second at a node, %.1f store calls a second for all", nodes, c.bytes, c.messages, c.calls)
		if c.bytes > bytesPerSecond {
			t.Errorf("%d nodes: a node sends %d bytes a second", nodes, c.bytes)
		}
	}
}
