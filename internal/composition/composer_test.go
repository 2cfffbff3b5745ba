package composition

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
)

// newOpenSimulation returns a world whose replicas are open, with traffic.
func newOpenSimulation(t *testing.T, domains int) (*simulation, *Composer) {
	t.Helper()
	w := newSimulation(1, domains, 11)
	c := New(Config{Options: DefaultOptions(), Term: 7})
	w.run(c, 6*time.Second)
	if w.countOpen("large") != domains || w.countOpen("small") != domains {
		t.Fatalf("%d large and %d small replicas are open, not %d each", w.countOpen("large"), w.countOpen("small"), domains)
	}
	w.hasTraffic = true
	w.run(c, time.Second)
	return w, c
}

func checkNoViolations(t *testing.T, w *simulation) {
	t.Helper()
	for _, f := range w.violations {
		t.Error(f)
	}
}

// runUntil runs the world until done holds and returns how long it took.
func runUntil(t *testing.T, w *simulation, c *Composer, limit time.Duration, done func() bool) time.Duration {
	t.Helper()
	begin := w.now
	for w.now.Sub(begin) < limit {
		w.run(c, simTick)
		if done() {
			return w.now.Sub(begin)
		}
	}
	t.Fatalf("not done after %s", limit)
	return 0
}

func TestEveryDomainGetsOneReplicaOfEachModelAndSpares(t *testing.T) {
	is := is.New(t)
	w, _ := newOpenSimulation(t, 6)
	held := map[ring.Model]int{}
	for _, s := range w.servers {
		if s.server.Place.IsStandby() {
			held[s.server.Model]++
		}
	}
	is.Equal(held, map[ring.Model]int{"large": 6, "small": 6}) // one spare a model and domain
	checkNoViolations(t, w)
}

func TestReplicaCountsFollowTheShares(t *testing.T) {
	// Half of the work each, and twice as many servers in a replica of one: the
	// other gets twice as many replicas.
	is := is.New(t)
	w := newSimulation(1, 6, 27)
	w.service.Models[0].Size, w.service.Models[0].Share = 12, 0.5
	w.service.Models[1].Size, w.service.Models[1].Share = 6, 0.5
	c := New(Config{Options: DefaultOptions(), Term: 7})
	w.run(c, 8*time.Second)
	is.Equal(w.countOpen("large"), 6)
	is.Equal(w.countOpen("small"), 12)
	checkNoViolations(t, w)
}

func TestSparesStageTheModelThatTheyHaveNotLoaded(t *testing.T) {
	is := is.New(t)
	w, _ := newOpenSimulation(t, 1)
	for _, s := range w.servers {
		if s.server.Place.IsStandby() {
			is.Equal(len(s.server.Staged), 1)
			is.True(s.server.Staged[0] != s.server.Model)
		}
	}
}

func TestLostMemberIsReplacedWithinSecondsForEitherModel(t *testing.T) {
	is := is.New(t)
	w, c := newOpenSimulation(t, 1)
	for range 2 { // The second loss finds only the spare of the other model.
		w.kill(w.openHead("large", "d0").members[3])
		took := runUntil(t, w, c, 10*time.Second, func() bool { return w.countOpen("large") == 1 })
		is.True(took < 3*time.Second)
	}
	checkNoViolations(t, w)
}

func TestMembersAreInspectedBeforeAStalledReplicaIsReleased(t *testing.T) {
	is := is.New(t)
	w, c := newOpenSimulation(t, 1)
	head := w.openHead("large", "d0")
	dead := head.members[1]
	w.kill(dead)
	epoch := head.server.Place.Epoch
	v := w.view() // Nodes hear late that it stands still, and then for how long.
	v.Stalled = map[ring.Epoch]time.Duration{epoch: 3 * time.Second}
	for _, a := range c.Step(ViewUpdated{View: v}, w.now) {
		_, isOrder := a.(SendOrder)
		is.True(!isOrder)
	}
	for id := range w.servers { // The questions are answered, or not, after some time.
		c.Step(Inspected{ID: id, Answered: id != dead}, w.now)
	}
	is.True(c.server(dead).dead)
}

func TestLeavingMemberIsReplacedBeforeItStops(t *testing.T) {
	const drain = 2 * time.Second // the shortest time that a server says it leaves before it ends
	for _, rank := range []int{0, 2} {
		is := is.New(t)
		w, c := newOpenSimulation(t, 1)
		leaving := w.servers[w.openHead("large", "d0").members[rank]]
		leaving.server.Leaving, leaving.endsAt = true, w.now.Add(2*drain)
		took := runUntil(t, w, c, drain, func() bool {
			head := w.openHead("large", "d0")
			return head != nil && !slices.Contains(head.members, leaving.server.ID)
		})
		is.True(took <= drain)
		checkNoViolations(t, w)
	}
}

func TestLostHeadIsReplaced(t *testing.T) {
	w, c := newOpenSimulation(t, 1)
	head := w.openHead("small", "d0")
	w.kill(head.server.ID)
	runUntil(t, w, c, 8*time.Second, func() bool { return w.countOpen("small") == 1 })
	checkNoViolations(t, w)
}

func TestMembersOfALostReplicaAreReservedForItsModel(t *testing.T) {
	is := is.New(t)
	w, c := newOpenSimulation(t, 1)
	for range 3 { // Two spares cover two losses; after the third six are not there.
		w.kill(w.openHead("large", "d0").members[1])
		w.run(c, 4*time.Second)
	}
	is.Equal(w.countOpen("large"), 0)
	is.Equal(w.countOpen("small"), 1) // no second small replica from the survivors
	w.add("new", "d0")
	runUntil(t, w, c, 25*time.Second, func() bool { return w.countOpen("large") == 1 })
	checkNoViolations(t, w)
}

func TestHeadThatLeavesSilentlyIsReleasedBeforeItsMembersMove(t *testing.T) {
	// Load pattern: a head's entry goes, it serves for four seconds more, then
	// it refuses connections while its last streams end.
	w, c := newOpenSimulation(t, 1)
	head := w.openHead("large", "d0")
	head.disconnectedUntil = w.now.Add(time.Hour)
	head.refreshedAt = w.now.Add(-time.Hour)
	head.endsAt = w.now.Add(4 * time.Second)
	runUntil(t, w, c, 10*time.Second, func() bool { return w.countOpen("large") == 1 && w.openHead("large", "d0") != head })
	checkNoViolations(t, w)
}

func TestDisconnectedMemberDoesNotEndItsReplica(t *testing.T) {
	is := is.New(t)
	w, c := newOpenSimulation(t, 1)
	head := w.openHead("large", "d0")
	epoch := head.server.Place.Epoch
	w.servers[head.members[2]].disconnectedUntil = w.now.Add(10 * time.Second)
	w.run(c, 12*time.Second)
	is.Equal(w.openHead("large", "d0").server.Place.Epoch, epoch)
	checkNoViolations(t, w)
}

func TestSlowMemberIsReplacedWhileThereIsASpare(t *testing.T) {
	// Load pattern: one member of a replica works five times slower, and all
	// streams of the replica wait for it.
	is := is.New(t)
	w, c := newOpenSimulation(t, 1)
	slow := func(n int) {
		head := w.openHead("large", "d0")
		w.servers[head.members[n]].server.Pace = 5
	}
	isQuick := func() bool {
		head := w.openHead("large", "d0")
		return head != nil && w.view().Slow[head.server.Place.Epoch] == 0
	}
	for n := range 2 {
		slow(n + 1)
		runUntil(t, w, c, 6*time.Second, isQuick)
	}
	slow(3) // No spare is left that is not slow itself.
	epoch := w.openHead("large", "d0").server.Place.Epoch
	w.run(c, 5*time.Second)
	is.Equal(w.openHead("large", "d0").server.Place.Epoch, epoch)
	checkNoViolations(t, w)
}

func TestNewControllerAdoptsOpenReplicas(t *testing.T) {
	is := is.New(t)
	w, _ := newOpenSimulation(t, 6)
	before := map[ring.Epoch]bool{}
	for _, s := range w.servers {
		if s.server.Place.State == ring.MemberOpen {
			before[s.server.Place.Epoch] = true
		}
	}
	c := New(Config{Options: DefaultOptions(), Term: 8})
	w.run(c, 3*time.Second)
	for _, s := range w.servers {
		if s.server.Place.State == ring.MemberOpen {
			is.True(before[s.server.Place.Epoch]) // nothing was formed anew
		}
	}
	checkNoViolations(t, w)
}

func TestNewControllerWaitsForTheEntryOfAnOpenHead(t *testing.T) {
	// After an outage in which leases ran out, the members' entries are back
	// before the head's.
	w, _ := newOpenSimulation(t, 1)
	head := w.openHead("large", "d0")
	head.listed, head.disconnectedUntil, head.refreshedAt = false, w.now.Add(1500*time.Millisecond), w.now.Add(-time.Hour)
	c := New(Config{Options: DefaultOptions(), Term: 8})
	w.run(c, 5*time.Second)
	checkNoViolations(t, w)
	if w.openHead("large", "d0") != head {
		t.Error("the replica was not adopted")
	}
}

func TestMembersOfAnUnlistedHeadAreFreedAfterItMustHaveBroken(t *testing.T) {
	w, _ := newOpenSimulation(t, 1)
	head := w.openHead("large", "d0")
	head.disconnectedUntil, head.refreshedAt = w.now.Add(time.Hour), w.now.Add(-time.Hour)
	w.tick()
	c := New(Config{Options: DefaultOptions(), Term: 8})
	begin := w.now
	left := false
	for w.now.Sub(begin) < 12*time.Second {
		w.run(c, simTick)
		for _, id := range head.members[1:] {
			place := w.servers[id].server.Place
			left = left || place.Epoch == 0
			if isTaken := place.Epoch > head.server.Place.Epoch; isTaken && w.now.Sub(begin) < simBreakTimeout {
				t.Fatalf("%s was taken after %s, before the head must have broken", id, w.now.Sub(begin))
			}
		}
	}
	if !left {
		t.Error("the members did not leave")
	}
}

func TestActiveHeadThatRefusesConnectionsIsNotDead(t *testing.T) {
	is := is.New(t)
	w, c := newOpenSimulation(t, 1)
	head := w.openHead("large", "d0").server
	for range 5 {
		c.Step(ViewUpdated{View: w.view()}, w.now)
		c.Step(Inspected{ID: head.ID, Refused: true}, w.now)
	}
	is.True(!c.server(head.ID).dead)
	v := w.view()
	delete(v.Active, head.Place.Epoch)
	c.Step(ViewUpdated{View: v}, w.now)
	c.Step(Inspected{ID: head.ID, Refused: true}, w.now)
	is.True(c.server(head.ID).dead)
}

func TestServerIsNotDeadAfterOneUnansweredInspection(t *testing.T) {
	is := is.New(t)
	w, c := newOpenSimulation(t, 1)
	id := w.openHead("large", "d0").members[2]
	c.Step(ViewUpdated{View: w.view()}, w.now)
	c.Step(Inspected{ID: id}, w.now) // a packet may be lost
	is.True(!c.server(id).dead)
	c.Step(Inspected{ID: id}, w.now)
	is.True(c.server(id).dead)
}

func TestEpochsIncreaseAcrossTerms(t *testing.T) {
	is := is.New(t)
	w, c := newOpenSimulation(t, 1)
	next := New(Config{Options: DefaultOptions(), Term: 8})
	next.Step(ViewUpdated{View: w.view()}, w.now)
	is.True(next.epoch > c.epoch)
	old := New(Config{Options: DefaultOptions(), Term: 1}) // a store that was set up anew
	old.Step(ViewUpdated{View: w.view()}, w.now)
	is.True(old.epoch >= c.epoch-1)
}

func TestFencedMemberAbortsForming(t *testing.T) {
	is := is.New(t)
	w := newSimulation(1, 1, 3)
	w.service.Models = w.service.Models[1:]
	c := New(Config{Options: DefaultOptions(), Term: 7})
	w.servers["v0-01"].maxEpoch = 1 << 40
	w.run(c, 3*time.Second)
	is.Equal(w.countOpen("small"), 0)
	checkNoViolations(t, w)
}

func TestAllServersLoadAtOnceBeforeThereIsTraffic(t *testing.T) {
	is := is.New(t)
	w := newSimulation(1, 40, 27) // 1,080 servers
	c := New(Config{Options: DefaultOptions(), Term: 7})
	w.run(c, 4*time.Second)
	held := 0
	for _, s := range w.servers {
		if s.server.Place.Group != "" {
			held++
		}
	}
	is.Equal(held, len(w.servers)) // Each was ordered to load something.
	checkNoViolations(t, w)
}

func TestLoadsStayWithinTheRate(t *testing.T) {
	const window, over = 5 * time.Second, 1.1
	w, c := newOpenSimulation(t, 6)
	w.loadStarts = nil
	for d := range 6 { // All domains restart with nothing on their hosts.
		for i := range 11 {
			id := w.ids()[d*11+i]
			w.restart(id)
			w.servers[id].server.Staged = nil
		}
	}
	w.run(c, 40*time.Second)
	limit := int(w.service.LoadsPerSecond*window.Seconds()*over) + 3
	for i, from := range w.loadStarts {
		n := 0
		for _, at := range w.loadStarts[i:] {
			if at.Sub(from) < window {
				n++
			}
		}
		if n > limit {
			t.Fatalf("%d loads began within %s; the limit is %d", n, window, limit)
		}
	}
	if len(w.loadStarts) == 0 {
		t.Error("nothing was loaded")
	}
}

func TestInvariantsUnderMixedFailures(t *testing.T) {
	for seed := range uint64(40) {
		w, c := newOpenSimulation(t, 3)
		w.random.Uint64()
		injectFailures(w, c, seed)
		if len(w.violations) > 0 {
			t.Errorf("seed %d: %v", seed, w.violations)
		}
	}
}

// injectFailures plays half a minute of deaths, restarts, cuts, departures, lost orders
// and new controllers.
func injectFailures(w *simulation, c *Composer, seed uint64) {
	w.random = newSimulation(seed+100, 0, 0).random
	w.delayedShare = 0.1
	term := ring.Revision(8)
	for range 60 {
		ids := w.ids()
		id := ids[w.random.IntN(len(ids))]
		s := w.servers[id]
		switch w.random.IntN(12) {
		case 0, 1:
			w.kill(id)
		case 2, 3:
			if !s.alive {
				w.restart(id)
			}
		case 4:
			s.disconnectedUntil = w.now.Add(time.Duration(1+w.random.IntN(10)) * time.Second)
		case 5:
			s.server.Leaving = true
			s.endsAt = w.now.Add(time.Duration(2+w.random.IntN(4)) * time.Second)
		case 6:
			term++
			c = New(Config{Options: DefaultOptions(), Term: term})
		}
		w.run(c, 500*time.Millisecond)
	}
}

func TestCheckerReportsMembersTakenFromAnOpenHead(t *testing.T) {
	w, _ := newOpenSimulation(t, 1)
	head := w.openHead("large", "d0")
	w.execute(head.members[1], ring.ReplicaOrder{Kind: ring.OrderJoin, Group: "x", Epoch: 1 << 50, Model: "small", Members: head.members[1:2]})
	if len(w.violations) == 0 {
		t.Error("the checker saw nothing")
	}
}

func TestCheckerReportsAHeadOpenedWithoutItsMembers(t *testing.T) {
	w := newSimulation(1, 1, 3)
	w.execute("v0-00", ring.ReplicaOrder{Kind: ring.OrderJoin, Group: "x", Epoch: 5, Model: "small", Members: []ring.VM{"v0-00", "v0-01", "v0-02"}})
	w.now = w.now.Add(20 * time.Second)
	w.tick()
	w.execute("v0-00", ring.ReplicaOrder{Kind: ring.OrderOpen, Group: "x", Epoch: 5})
	if len(w.violations) == 0 {
		t.Error("the checker saw nothing")
	}
}
