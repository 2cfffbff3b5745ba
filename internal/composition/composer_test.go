package composition

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
)

// newOpenSimulation returns a simulation with 11 servers in each domain, and the
// composer that formed its replicas: one of each model is open in each domain, with
// requests.
func newOpenSimulation(t *testing.T, domains int) (*simulation, *Composer) {
	t.Helper()
	sim := newSimulation(1, domains, 11)
	c := New(Config{Options: DefaultOptions(), Term: 7})
	sim.run(c, 6*time.Second)
	if sim.countOpen("large") != domains || sim.countOpen("small") != domains {
		t.Fatalf("%d large and %d small replicas are open, want %d each", sim.countOpen("large"), sim.countOpen("small"), domains)
	}
	sim.hasTraffic = true
	sim.run(c, time.Second)
	return sim, c
}

// checkNoViolations fails the test for each invariant that the simulation recorded
// as violated.
func checkNoViolations(t *testing.T, sim *simulation) {
	t.Helper()
	for _, v := range sim.violations {
		t.Error(v)
	}
}

// runUntil runs the simulation until done returns true, and returns the simulated
// time that this took. The test fails if it takes longer than limit.
func runUntil(t *testing.T, sim *simulation, c *Composer, limit time.Duration, done func() bool) time.Duration {
	t.Helper()
	begin := sim.now
	for sim.now.Sub(begin) < limit {
		sim.run(c, simTick)
		if done() {
			return sim.now.Sub(begin)
		}
	}
	t.Fatalf("condition not reached within %s", limit)
	return 0
}

func TestEveryDomainGetsOneReplicaOfEachModelAndSpares(t *testing.T) {
	is := is.New(t)
	sim, _ := newOpenSimulation(t, 6)
	loaded := map[ring.Model]int{}
	for _, s := range sim.servers {
		if s.server.Membership.IsStandby() {
			loaded[s.server.Model]++
		}
	}
	is.Equal(loaded, map[ring.Model]int{"large": 6, "small": 6}) // one spare per model and domain
	checkNoViolations(t, sim)
}

func TestReplicaCountsFollowTheShares(t *testing.T) {
	// Both models have half of the work. The one with half as many servers in a
	// replica must get twice as many replicas.
	is := is.New(t)
	sim := newSimulation(1, 6, 27)
	sim.service.Models[0].Size, sim.service.Models[0].Share = 12, 0.5
	sim.service.Models[1].Size, sim.service.Models[1].Share = 6, 0.5
	c := New(Config{Options: DefaultOptions(), Term: 7})
	sim.run(c, 8*time.Second)
	is.Equal(sim.countOpen("large"), 6)
	is.Equal(sim.countOpen("small"), 12)
	checkNoViolations(t, sim)
}

func TestSparesStageTheModelThatTheyHaveNotLoaded(t *testing.T) {
	is := is.New(t)
	sim, _ := newOpenSimulation(t, 1)
	for _, s := range sim.servers {
		if s.server.Membership.IsStandby() {
			is.Equal(len(s.server.Staged), 1)
			is.True(s.server.Staged[0] != s.server.Model)
		}
	}
}

func TestLostMemberIsReplacedWithinSecondsForEitherModel(t *testing.T) {
	is := is.New(t)
	sim, c := newOpenSimulation(t, 1)
	for range 2 { // At the second loss only the spare with the other model is left.
		sim.killServer(sim.openHead("large", "d0").members[3])
		took := runUntil(t, sim, c, 10*time.Second, func() bool { return sim.countOpen("large") == 1 })
		is.True(took < 3*time.Second)
	}
	checkNoViolations(t, sim)
}

func TestMembersAreInspectedBeforeAStalledReplicaIsReleased(t *testing.T) {
	is := is.New(t)
	sim, c := newOpenSimulation(t, 1)
	head := sim.openHead("large", "d0")
	dead := head.members[1]
	sim.killServer(dead)
	epoch := head.server.Membership.Epoch
	v := sim.view() // Nodes may learn late of the stall, with its whole duration.
	v.Stalled = map[ring.Epoch]time.Duration{epoch: 3 * time.Second}
	for _, a := range c.Step(ViewUpdated{View: v}, sim.now) {
		_, isOrder := a.(SendOrder)
		is.True(!isOrder)
	}
	for id := range sim.servers { // The responses arrive later; the VM of the dead member refuses the connection.
		c.Step(Inspected{ID: id, Answered: id != dead, Refused: id == dead}, sim.now)
	}
	is.True(c.server(dead).dead)
}

func TestLeavingMemberIsReplacedBeforeItStops(t *testing.T) {
	const drain = 2 * time.Second // minimum time between a server's leaving notice and its stop
	for _, rank := range []int{0, 2} {
		is := is.New(t)
		sim, c := newOpenSimulation(t, 1)
		leaving := sim.servers[sim.openHead("large", "d0").members[rank]]
		leaving.server.Leaving, leaving.stopsAt = true, sim.now.Add(2*drain)
		took := runUntil(t, sim, c, drain, func() bool {
			head := sim.openHead("large", "d0")
			return head != nil && !slices.Contains(head.members, leaving.server.ID)
		})
		is.True(took <= drain)
		checkNoViolations(t, sim)
	}
}

func TestLostHeadIsReplaced(t *testing.T) {
	sim, c := newOpenSimulation(t, 1)
	head := sim.openHead("small", "d0")
	sim.killServer(head.server.ID)
	runUntil(t, sim, c, 8*time.Second, func() bool { return sim.countOpen("small") == 1 })
	checkNoViolations(t, sim)
}

func TestMembersOfALostReplicaAreReservedForItsModel(t *testing.T) {
	is := is.New(t)
	sim, c := newOpenSimulation(t, 1)
	for range 3 { // The two spares replace two members; after the third loss no six servers are left.
		sim.killServer(sim.openHead("large", "d0").members[1])
		sim.run(c, 4*time.Second)
	}
	is.Equal(sim.countOpen("large"), 0)
	is.Equal(sim.countOpen("small"), 1) // the remaining members form no second small replica
	sim.addServer("new", "d0")
	runUntil(t, sim, c, 25*time.Second, func() bool { return sim.countOpen("large") == 1 })
	checkNoViolations(t, sim)
}

func TestHeadThatLeavesSilentlyIsReleasedBeforeItsMembersMove(t *testing.T) {
	// A head whose entry is gone serves for four more seconds. Then it refuses
	// connections while its last streams end.
	sim, c := newOpenSimulation(t, 1)
	head := sim.openHead("large", "d0")
	head.disconnectedUntil = sim.now.Add(time.Hour)
	head.refreshedAt = sim.now.Add(-time.Hour)
	head.stopsAt = sim.now.Add(4 * time.Second)
	runUntil(t, sim, c, 10*time.Second, func() bool { return sim.countOpen("large") == 1 && sim.openHead("large", "d0") != head })
	checkNoViolations(t, sim)
}

func TestDisconnectedMemberDoesNotEndItsReplica(t *testing.T) {
	is := is.New(t)
	sim, c := newOpenSimulation(t, 1)
	head := sim.openHead("large", "d0")
	epoch := head.server.Membership.Epoch
	sim.servers[head.members[2]].disconnectedUntil = sim.now.Add(10 * time.Second)
	sim.run(c, 12*time.Second)
	is.Equal(sim.openHead("large", "d0").server.Membership.Epoch, epoch)
	checkNoViolations(t, sim)
}

func TestSlowMemberIsReplacedWhileThereIsASpare(t *testing.T) {
	// One member of a replica is five times slower, and all streams of the replica
	// wait for it.
	is := is.New(t)
	sim, c := newOpenSimulation(t, 1)
	slowDown := func(n int) {
		head := sim.openHead("large", "d0")
		sim.servers[head.members[n]].server.Slowdown = 5
	}
	isFast := func() bool {
		head := sim.openHead("large", "d0")
		return head != nil && sim.view().Slow[head.server.Membership.Epoch] == 0
	}
	for n := range 2 {
		slowDown(n + 1)
		runUntil(t, sim, c, 6*time.Second, isFast)
	}
	slowDown(3) // All spares that are left are slow.
	epoch := sim.openHead("large", "d0").server.Membership.Epoch
	sim.run(c, 5*time.Second)
	is.Equal(sim.openHead("large", "d0").server.Membership.Epoch, epoch)
	checkNoViolations(t, sim)
}

func TestNewControllerAdoptsOpenReplicas(t *testing.T) {
	is := is.New(t)
	sim, _ := newOpenSimulation(t, 6)
	before := map[ring.Epoch]bool{}
	for _, s := range sim.servers {
		if s.server.Membership.State == ring.MemberOpen {
			before[s.server.Membership.Epoch] = true
		}
	}
	c := New(Config{Options: DefaultOptions(), Term: 8})
	sim.run(c, 3*time.Second)
	for _, s := range sim.servers {
		if s.server.Membership.State == ring.MemberOpen {
			is.True(before[s.server.Membership.Epoch]) // no new replica was formed
		}
	}
	checkNoViolations(t, sim)
}

func TestNewControllerWaitsForTheEntryOfAnOpenHead(t *testing.T) {
	// After an outage in which leases expired, the members' entries come back
	// before the head's.
	sim, _ := newOpenSimulation(t, 1)
	head := sim.openHead("large", "d0")
	head.listed, head.disconnectedUntil, head.refreshedAt = false, sim.now.Add(1500*time.Millisecond), sim.now.Add(-time.Hour)
	c := New(Config{Options: DefaultOptions(), Term: 8})
	sim.run(c, 5*time.Second)
	checkNoViolations(t, sim)
	if sim.openHead("large", "d0") != head {
		t.Error("the replica was not adopted")
	}
}

func TestMembersOfAnUnlistedHeadAreFreedAfterItMustHaveBroken(t *testing.T) {
	sim, _ := newOpenSimulation(t, 1)
	head := sim.openHead("large", "d0")
	head.disconnectedUntil, head.refreshedAt = sim.now.Add(time.Hour), sim.now.Add(-time.Hour)
	sim.advanceTick()
	c := New(Config{Options: DefaultOptions(), Term: 8})
	begin := sim.now
	left := false
	for sim.now.Sub(begin) < 12*time.Second {
		sim.run(c, simTick)
		for _, id := range head.members[1:] {
			membership := sim.servers[id].server.Membership
			left = left || membership.Epoch == 0
			if isTaken := membership.Epoch > head.server.Membership.Epoch; isTaken && sim.now.Sub(begin) < simBreakTimeout {
				t.Fatalf("%s joined another replica after %s, before the head must have broken", id, sim.now.Sub(begin))
			}
		}
	}
	if !left {
		t.Error("the members did not leave")
	}
}

func TestActiveHeadThatRefusesConnectionsIsNotDead(t *testing.T) {
	is := is.New(t)
	sim, c := newOpenSimulation(t, 1)
	head := sim.openHead("large", "d0").server
	for range 5 {
		c.Step(ViewUpdated{View: sim.view()}, sim.now)
		c.Step(Inspected{ID: head.ID, Refused: true}, sim.now)
	}
	is.True(!c.server(head.ID).dead)
	v := sim.view()
	delete(v.Active, head.Membership.Epoch)
	c.Step(ViewUpdated{View: v}, sim.now)
	c.Step(Inspected{ID: head.ID, Refused: true}, sim.now)
	is.True(c.server(head.ID).dead)
}

func TestServerIsNotDeadAfterOneUnansweredInspection(t *testing.T) {
	is := is.New(t)
	sim, c := newOpenSimulation(t, 1)
	id := sim.openHead("large", "d0").members[2]
	c.Step(ViewUpdated{View: sim.view()}, sim.now)
	c.Step(Inspected{ID: id}, sim.now) // a packet may have been lost
	is.True(!c.server(id).dead)
	c.Step(Inspected{ID: id}, sim.now)
	is.True(c.server(id).dead)
}

func TestEpochsIncreaseAcrossTerms(t *testing.T) {
	is := is.New(t)
	sim, c := newOpenSimulation(t, 1)
	next := New(Config{Options: DefaultOptions(), Term: 8})
	next.Step(ViewUpdated{View: sim.view()}, sim.now)
	is.True(next.epoch > c.epoch)
	old := New(Config{Options: DefaultOptions(), Term: 1}) // a new store, whose terms start again
	old.Step(ViewUpdated{View: sim.view()}, sim.now)
	is.True(old.epoch >= c.epoch-1)
}

// TestFencedMemberAbortsForming checks that a replica is not opened if one of its
// servers refuses to join because it has seen a larger epoch.
func TestFencedMemberAbortsForming(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 1, 3)
	sim.service.Models = sim.service.Models[1:]
	c := New(Config{Options: DefaultOptions(), Term: 7})
	sim.servers["v0-01"].maxEpoch = 1 << 40
	sim.run(c, 3*time.Second)
	is.Equal(sim.countOpen("small"), 0)
	checkNoViolations(t, sim)
}

func TestAllServersLoadAtOnceBeforeThereIsTraffic(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 40, 27) // 1,080 servers
	c := New(Config{Options: DefaultOptions(), Term: 7})
	sim.run(c, 4*time.Second)
	assigned := 0
	for _, s := range sim.servers {
		if s.server.Membership.Group != "" {
			assigned++
		}
	}
	is.Equal(assigned, len(sim.servers)) // each server was ordered to load a model
	checkNoViolations(t, sim)
}

// TestLoadsStayWithinTheRate checks the rate at which servers begin loads from the
// weight store after all of them restarted while there are requests.
func TestLoadsStayWithinTheRate(t *testing.T) {
	for _, loadsAtOnce := range []int{8, 0} { // 0: any number of loads runs at full speed.
		checkLoadRate(t, loadsAtOnce)
	}
}

func checkLoadRate(t *testing.T, loadsAtOnce int) {
	t.Helper()
	const window, tolerance = 5 * time.Second, 1.1
	sim, c := newOpenSimulation(t, 6)
	sim.service.LoadsAtOnce = loadsAtOnce
	sim.loadStarts = nil
	for d := range 6 { // All servers restart without staged models.
		for i := range 11 {
			id := sim.serverIDs()[d*11+i]
			sim.restartServer(id)
			sim.servers[id].server.Staged = nil
		}
	}
	sim.run(c, 40*time.Second)
	limit := int(sim.service.LoadsPerSecond*window.Seconds()*tolerance) + 3
	for i, from := range sim.loadStarts {
		n := 0
		for _, at := range sim.loadStarts[i:] {
			if at.Sub(from) < window {
				n++
			}
		}
		if n > limit {
			t.Fatalf("%d loads began within %s; the limit is %d", n, window, limit)
		}
	}
	if len(sim.loadStarts) == 0 {
		t.Error("no load began")
	}
}

func TestInvariantsUnderMixedFailures(t *testing.T) {
	for seed := range uint64(40) {
		sim, c := newOpenSimulation(t, 3)
		sim.random.Uint64()
		injectFailures(sim, c, seed)
		if len(sim.violations) > 0 {
			t.Errorf("seed %d: %v", seed, sim.violations)
		}
	}
}

// injectFailures runs half a simulated minute with server failures and restarts,
// disconnections from the store, leaving servers, delayed orders and new controllers,
// chosen at random by the seed.
func injectFailures(sim *simulation, c *Composer, seed uint64) {
	sim.random = newSimulation(seed+100, 0, 0).random
	sim.delayedShare = 0.1
	term := ring.Revision(8)
	for range 60 {
		ids := sim.serverIDs()
		id := ids[sim.random.IntN(len(ids))]
		s := sim.servers[id]
		switch sim.random.IntN(12) {
		case 0, 1:
			sim.killServer(id)
		case 2, 3:
			if !s.alive {
				sim.restartServer(id)
			}
		case 4:
			s.disconnectedUntil = sim.now.Add(time.Duration(1+sim.random.IntN(10)) * time.Second)
		case 5:
			s.server.Leaving = true
			s.stopsAt = sim.now.Add(time.Duration(2+sim.random.IntN(4)) * time.Second)
		case 6:
			term++
			c = New(Config{Options: DefaultOptions(), Term: term})
		}
		sim.run(c, 500*time.Millisecond)
	}
}

// TestCheckerDetectsMembersTakenFromAnOpenHead checks that the simulation records a
// violation when a member joins another replica while its head is open.
func TestCheckerDetectsMembersTakenFromAnOpenHead(t *testing.T) {
	sim, _ := newOpenSimulation(t, 1)
	head := sim.openHead("large", "d0")
	sim.executeOrder(head.members[1], ring.ReplicaOrder{Kind: ring.OrderJoin, Group: "x", Epoch: 1 << 50, Model: "small", Members: head.members[1:2]})
	if len(sim.violations) == 0 {
		t.Error("the violation was not recorded")
	}
}

// TestCheckerDetectsAHeadOpenedWithoutItsMembers checks that the simulation records a
// violation when a head is ordered to open and its members have not joined.
func TestCheckerDetectsAHeadOpenedWithoutItsMembers(t *testing.T) {
	sim := newSimulation(1, 1, 3)
	sim.executeOrder("v0-00", ring.ReplicaOrder{Kind: ring.OrderJoin, Group: "x", Epoch: 5, Model: "small", Members: []ring.VM{"v0-00", "v0-01", "v0-02"}})
	sim.now = sim.now.Add(20 * time.Second)
	sim.advanceTick()
	sim.executeOrder("v0-00", ring.ReplicaOrder{Kind: ring.OrderOpen, Group: "x", Epoch: 5})
	if len(sim.violations) == 0 {
		t.Error("the violation was not recorded")
	}
}
