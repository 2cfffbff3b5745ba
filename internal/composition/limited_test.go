package composition

import (
	"testing"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
)

// limitHeads limits the heads of n open replicas of a model.
func (sim *simulation) limitHeads(m ring.Model, n int) {
	sim.limited = map[ring.VM]bool{}
	for _, id := range sim.serverIDs() {
		s := sim.servers[id]
		if s.server.Membership.State == ring.MemberOpen && s.server.Model == m && len(sim.limited) < n {
			sim.limited[id] = true
		}
	}
}

// limitedHeads counts the open replicas whose heads are limited.
func (sim *simulation) limitedHeads() int {
	n := 0
	for id, s := range sim.servers {
		if s.alive && s.server.Membership.State == ring.MemberOpen && sim.limited[id] {
			n++
		}
	}
	return n
}

// TestReplicaWithALimitedHeadGetsAnotherHead guards against servers that hold a model and
// serve few requests because only the head of their replica takes few.
func TestReplicaWithALimitedHeadGetsAnotherHead(t *testing.T) {
	is := is.New(t)
	sim, c := newOpenSimulation(t, 6)
	sim.limitHeads("large", 4)
	least := 6
	for range 60 {
		sim.run(c, 200*time.Millisecond)
		least = min(least, sim.countOpen("large"))
		is.Equal(sim.countOpen("small"), 6)
	}
	is.Equal(sim.limitedHeads(), 0)
	is.Equal(sim.countOpen("large"), 6)
	is.True(least >= 5) // one replica at a time
	checkNoViolations(t, sim)
}

// TestReplicaOfLimitedServersIsKept guards against a replica that is formed again and again
// although every server that could be its head is limited.
func TestReplicaOfLimitedServersIsKept(t *testing.T) {
	is := is.New(t)
	sim, c := newOpenSimulation(t, 2)
	sim.limited = map[ring.VM]bool{}
	for id := range sim.servers {
		sim.limited[id] = true
	}
	for range 20 {
		sim.run(c, 200*time.Millisecond)
		is.Equal(sim.countOpen("large"), 2)
		is.Equal(sim.countOpen("small"), 2)
	}
	checkNoViolations(t, sim)
}

// TestShortLimitLeavesTheHead guards against replicas that are out of use because of a limit
// that ends at once.
func TestShortLimitLeavesTheHead(t *testing.T) {
	is := is.New(t)
	sim, c := newOpenSimulation(t, 2)
	for range 5 {
		sim.limitHeads("large", 2)
		for range 10 {
			sim.run(c, DefaultOptions().LimitTime/20)
			is.Equal(sim.countOpen("large"), 2)
		}
		sim.limited = nil
		sim.run(c, time.Second)
		is.Equal(sim.countOpen("large"), 2)
	}
	checkNoViolations(t, sim)
}
