package composition

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	ring "eelgrassring.dev"
)

// lateEvent is the result of a call that the composer gets at a later time.
type lateEvent struct {
	at    time.Time
	event Event
}

// lateResults runs a simulation whose calls have their results up to maxLag late, and
// lose some responses of orders that were executed.
type lateResults struct {
	sim    *simulation
	c      *Composer
	maxLag time.Duration
	// promptShare is the share of results that come at once. They overtake the results of
	// earlier calls to the same server.
	promptShare float64
	events      []lateEvent
}

// lag returns how late the next result comes.
func (l *lateResults) lag() time.Duration {
	if l.sim.random.Float64() < l.promptShare {
		return 0
	}
	return time.Duration(l.sim.random.Int64N(int64(l.maxLag)))
}

func (l *lateResults) perform(actions []Action) {
	for _, a := range actions {
		var e Event
		switch a := a.(type) {
		case SendOrder:
			before := l.sim.servers[a.ID].server.Orders
			outcome := l.sim.deliverOrder(a.ID, a.Order)
			hasBegun := a.Order.Kind != ring.OrderLeave && l.sim.servers[a.ID].server.Orders > before
			if l.sim.random.IntN(5) == 0 {
				outcome = OutcomeUnknown
			}
			e = OrderEnded{ID: a.ID, Order: a.Order, Observation: a.Observation, Outcome: outcome, HasBegun: hasBegun && outcome == OutcomeDone}
		case Inspect:
			s := l.sim.servers[a.ID]
			result := Inspected{ID: a.ID, Answered: l.sim.isReachable(s), Refused: s.isEnded()}
			if result.Answered {
				result.Server, result.Leaving = s.report(), a.WithHealth && !s.stopsAt.IsZero()
			}
			e = result
		default:
			continue
		}
		l.events = append(l.events, lateEvent{l.sim.now.Add(l.lag()), e})
	}
}

func (l *lateResults) run(duration time.Duration) {
	for end := l.sim.now.Add(duration); l.sim.now.Before(end); {
		l.sim.advanceTick()
		due := l.events
		l.events = nil
		for _, e := range due {
			if l.sim.now.Before(e.at) {
				l.events = append(l.events, e)
				continue
			}
			l.perform(l.c.Step(e.event, l.sim.now))
		}
		l.perform(l.c.Step(ViewUpdated{View: l.sim.view()}, l.sim.now))
	}
}

func simulateLateResults(t *testing.T, seed uint64, restarts bool) *simulation {
	t.Helper()
	sim, c := newOpenSimulation(t, 2)
	sim.random = newSimulation(seed+1, 0, 0).random
	sim.delayedShare = 0.4
	sim.pinsRequests = seed%2 == 1
	l := &lateResults{sim: sim, c: c, maxLag: 700 * time.Millisecond}
	term := ring.Revision(8)
	for range 60 {
		id := ring.VM(fmt.Sprintf("v%d-%02d", sim.random.IntN(2), sim.random.IntN(11)))
		duration := time.Duration(500+sim.random.IntN(3000)) * time.Millisecond
		switch sim.random.IntN(20) {
		case 0:
			l.c, l.events = New(Config{Options: DefaultOptions(), Term: term}), nil
			term++
		case 1, 2:
			sim.killServer(id)
		case 3, 4, 5:
			if !sim.servers[id].alive && (restarts || !sim.servers[id].listed) {
				sim.restartServer(id)
			}
		case 6, 7:
			sim.silence(id, duration, time.Duration(sim.random.IntN(2000))*time.Millisecond)
		case 8, 9:
			sim.pause(id, duration)
		case 10:
			if restarts { // A quick restart of a running server under its ID.
				sim.restartServer(id)
			}
		}
		l.run(500 * time.Millisecond)
	}
	return sim
}

// TestMembersStayInUseUnderLateResults guards against TWO and PARTIAL while results of
// inspections and orders come late or are lost, and orders are executed late.
func TestMembersStayInUseUnderLateResults(t *testing.T) {
	for _, restarts := range []bool{false, true} {
		t.Run(fmt.Sprint("restarts ", restarts), func(t *testing.T) {
			checkSeeds(t, *seedCount, func(t *testing.T, seed uint64) *simulation { return simulateLateResults(t, seed, restarts) })
		})
	}
}

// TestLostMemberIsReplacedByTheSameModelWithLateResults guards against small replicas of
// the first former members that are seen outside, when the entry shows that the head left
// before the response to its order does, or that is lost.
func TestLostMemberIsReplacedByTheSameModelWithLateResults(t *testing.T) {
	for _, lag := range []time.Duration{time.Millisecond, 60 * time.Millisecond, 250 * time.Millisecond} {
		for seed := range uint64(6) {
			sim := newSimulation(seed, 3, 35)
			c := New(Config{Options: DefaultOptions(), Term: 7})
			sim.run(c, 6*time.Second)
			sim.hasTraffic = true
			sim.run(c, 20*time.Second)
			sim.random = rand.New(rand.NewPCG(seed, 5))
			l := &lateResults{sim: sim, c: c, maxLag: lag}
			before := sim.countOpen("large")
			sim.killServer(sim.openHead("large", "d0").members[2])
			l.run(10 * time.Second)
			if after := sim.countOpen("large"); after < before {
				t.Errorf("results up to %s late, seed %d: %d large replicas are open, %d before", lag, seed, after, before)
			}
		}
	}
}

// simulateOvertakenResults plays 20 s in one domain of six servers that form replicas of
// three. Each server is silent, stands still or is replaced again and again, so that several
// orders to it are under way at the same time, and half of the results overtake others.
func simulateOvertakenResults(t *testing.T, seed uint64) *simulation {
	t.Helper()
	sim := newSimulation(seed, 1, 6)
	sim.service.Models = sim.service.Models[1:]
	sim.service.Models[0].LoadTime = 2 * time.Second
	sim.pinsRequests = seed%2 == 1
	c := New(Config{Options: DefaultOptions(), Term: 7})
	sim.run(c, 5*time.Second)
	sim.hasTraffic = true
	l := &lateResults{sim: sim, c: c, maxLag: 700 * time.Millisecond, promptShare: 0.5}
	ids := sim.serverIDs()
	for range 80 {
		id := ids[sim.random.IntN(len(ids))]
		duration := time.Duration(300+sim.random.IntN(1500)) * time.Millisecond
		switch sim.random.IntN(6) {
		case 0:
			if !sim.servers[id].alive {
				sim.restartServer(id)
			} else {
				sim.killServer(id)
			}
		case 1, 2:
			sim.silence(id, duration, 0)
		case 3, 4:
			sim.pause(id, duration)
		}
		l.run(250 * time.Millisecond)
	}
	return sim
}

// TestOvertakenResultsKeepMembersInUse guards against TWO: the result of an older order comes
// after that of a newer one and is taken for the server's state.
func TestOvertakenResultsKeepMembersInUse(t *testing.T) {
	checkSeeds(t, 10**seedCount, simulateOvertakenResults)
}

// TestResultsInReverseDoNotMoveAServerBack guards against TWO: a member of a replica counts as
// outside of it since the result of an older order to join comes after that of a newer one.
func TestResultsInReverseDoNotMoveAServerBack(t *testing.T) {
	sim, c := newOpenSimulation(t, 1)
	id := sim.openHead("large", "d0").members[1]
	s := c.server(id)
	s.setSeen(5, ring.Membership{})
	give := func(group ring.Group) SendOrder {
		c.actions = nil
		c.epoch++
		c.addOrder(id, ring.ReplicaOrder{Kind: ring.OrderJoin, Group: group, Epoch: c.epoch, Model: "large"}, sim.now)
		return c.actions[0].(SendOrder)
	}
	finish := func(o SendOrder) {
		c.Step(OrderEnded{ID: id, Order: o.Order, Outcome: OutcomeDone, HasBegun: true, Observation: o.Observation}, sim.now)
	}
	standby, newer := give(ring.StandbyGroup("1")), give("g2")
	finish(newer)
	finish(standby)
	c.ended[newer.Order.Epoch] = endHeadMayBeOpen
	if !c.mustLeaveFirst(s) {
		t.Errorf("the server counts as outside of replica %d, seen %+v", newer.Order.Epoch, s.seenMembership)
	}
}

// TestResultAfterAReportDoesNotTellTheState guards against a wrong seen state, in which a
// conditional order to join could be accepted: the report may contain the order of the result.
func TestResultAfterAReportDoesNotTellTheState(t *testing.T) {
	sim, c := newOpenSimulation(t, 1)
	id := sim.openHead("large", "d0").members[1]
	s := c.server(id)
	s.setSeen(5, ring.Membership{})
	c.actions = nil
	c.addOrder(id, ring.ReplicaOrder{Kind: ring.OrderOpen, Epoch: s.lastEpoch}, sim.now)
	o := c.actions[0].(SendOrder)
	s.recordReport(ring.Server{Orders: 6})
	c.Step(OrderEnded{ID: id, Order: o.Order, Outcome: OutcomeDone, HasBegun: true, Observation: o.Observation}, sim.now)
	c.ended[s.lastEpoch] = endHeadMayBeOpen
	if !c.mustLeaveFirst(s) {
		t.Errorf("the server counts as outside of its replica, seen %+v", s.seenMembership)
	}
}

// TestResultOfAnEarlierProcessSettlesNothing guards against TWO: the earlier process joined a
// replica, so orders with smaller epochs count as refused, but a process that has restarted
// does not know that epoch and executes one of them.
func TestResultOfAnEarlierProcessSettlesNothing(t *testing.T) {
	sim, c := newOpenSimulation(t, 1)
	id := sim.openHead("large", "d0").members[1]
	s := c.server(id)
	late := s.lastEpoch
	s.unsettled = map[ring.Epoch]int{late: 1}
	c.ended[late] = endHeadMayBeOpen
	c.actions = nil
	c.addOrder(id, ring.ReplicaOrder{Kind: ring.OrderJoin, Epoch: late + 100}, sim.now)
	o := c.actions[0].(SendOrder)
	sim.restartServer(id)
	c.Step(ViewUpdated{View: sim.view()}, sim.now)
	c.Step(OrderEnded{ID: id, Order: o.Order, Outcome: OutcomeDone, HasBegun: true, Observation: o.Observation}, sim.now)
	if !c.mustLeaveFirst(s) {
		t.Errorf("the new process counts as outside of replica %d, which a late order may bring it into", late)
	}
}
