package composition

import (
	"testing"
	"time"

	ring "eelgrassring.dev"
)

// TestFirstListedServerWithoutAReplicaDoesNotMakeATermTheFirst guards against taking the
// members of an earlier controller's open replica for free because the first entry listed
// in a term, after the store was down, is of a server in no replica.
func TestFirstListedServerWithoutAReplicaDoesNotMakeATermTheFirst(t *testing.T) {
	sim, _ := newOpenSimulation(t, 1)
	head := sim.openHead("large", "d0")
	sim.addServer("v0-99", "d0") // Started while there was no controller.
	for _, id := range sim.serverIDs() {
		if id != "v0-99" { // Its entry expired while the store was down, and is back soon.
			s := sim.servers[id]
			s.listed, s.refreshedAt = false, sim.now.Add(-time.Hour)
			s.disconnectedUntil = sim.now.Add(500 * time.Millisecond)
		}
	}
	head.disconnectedUntil = sim.now.Add(2 * time.Second) // Within the two seconds of the platform.
	sim.run(New(Config{Options: DefaultOptions(), Term: 8}), 5*time.Second)
	checkNoViolations(t, sim)
}

// TestRestartedHeadThatLateOrdersOpenIsNotDone guards against taking the members of a
// replica whose head restarted under its ID for free, while orders to join and to open
// without a response may open the replica in the new process, which has forgotten its
// epochs.
func TestRestartedHeadThatLateOrdersOpenIsNotDone(t *testing.T) {
	sim, c := newOpenSimulation(t, 1)
	head := sim.openHead("large", "d0")
	join, open := lateOrder(ring.OrderJoin, head), lateOrder(ring.OrderOpen, head)
	c.server(head.server.ID).unsettled = map[ring.Epoch]int{join.Epoch: 2} // As if their first attempts had no response.
	id := head.server.ID
	sim.restartServer(id)
	sim.servers[id].server.Staged = []ring.Model{"large"} // Hosts keep staged models.
	for _, m := range sim.servers {                       // The node of the controller does not reach them for a time; the store does.
		m.silentUntil = sim.now.Add(3 * time.Second)
	}
	sim.servers[id].silentUntil = sim.now.Add(6 * time.Second)
	sim.deliverLate(100*time.Millisecond, id, join)
	sim.deliverLate(2500*time.Millisecond, id, open)
	sim.run(c, 8*time.Second)
	checkNoViolations(t, sim)
}

// TestRestartedMemberThatALateJoinBringsBackIsNotTaken guards against an unconditional
// join of a member that restarted under its ID, in the first term, while an order to join
// without a response brings the new process into the replica, whose head is silent and
// open.
func TestRestartedMemberThatALateJoinBringsBackIsNotTaken(t *testing.T) {
	sim, c := newOpenSimulation(t, 1)
	head := sim.openHead("large", "d0")
	join := lateOrder(ring.OrderJoin, head)
	id := head.members[3]
	c.server(id).unsettled = map[ring.Epoch]int{join.Epoch: 1} // As if its first attempt had no response.
	sim.silence(head.server.ID, 5*time.Second, 0)
	sim.restartServer(id)
	sim.run(c, simTick) // The registry shows the new process.
	sim.servers[id].disconnectedUntil = sim.now.Add(2 * time.Second)
	sim.deliverLate(0, id, join)
	sim.run(c, 6*time.Second)
	checkNoViolations(t, sim)
}

// TestAnswerOfAPeerDoesNotShowAServerOutsideOfItsReplica guards against the response that
// only a peer got, which names no replica, being taken for a server that was seen in
// none.
func TestAnswerOfAPeerDoesNotShowAServerOutsideOfItsReplica(t *testing.T) {
	sim, c := newOpenSimulation(t, 1)
	head := sim.openHead("large", "d0")
	c.Step(Inspected{ID: head.server.ID, Answered: true, Server: ring.Server{Incarnation: head.server.Incarnation}}, sim.now)
	if s := c.server(head.server.ID); s.hasSeen && s.seenMembership.Epoch == 0 {
		t.Error("the open head counts as seen outside of every replica")
	}
}

// TestLostMemberIsReplacedByTheSameModelAfterAChangeOfTheController guards against
// forming small replicas of the first former members that were seen outside, while the
// others, the head first, are inspected later: the domain loses a replica of the model
// that is needed more.
func TestLostMemberIsReplacedByTheSameModelAfterAChangeOfTheController(t *testing.T) {
	for _, changesController := range []bool{false, true} {
		sim := newSimulation(1, 3, 35)
		c := New(Config{Options: DefaultOptions(), Term: 7})
		sim.run(c, 6*time.Second)
		sim.hasTraffic = true
		sim.run(c, 20*time.Second)
		if changesController {
			c = New(Config{Options: DefaultOptions(), Term: 8})
			sim.run(c, 6*time.Second)
		}
		before := sim.countOpen("large")
		sim.killServer(sim.openHead("large", "d0").members[2])
		sim.run(c, 10*time.Second)
		if after := sim.countOpen("large"); after < before {
			t.Errorf("new controller %v: %d large replicas are open, %d before", changesController, after, before)
		}
		checkNoViolations(t, sim)
	}
}

// TestInspectionWithoutAResultIsRepeated guards against a server that is never inspected
// again, and so may never join again, because the node dropped one inspection or its
// result.
func TestInspectionWithoutAResultIsRepeated(t *testing.T) {
	sim := newSimulation(1, 1, 3)
	for _, s := range sim.servers {
		s.server.Membership = ring.Membership{Group: "g5", Epoch: 5, Rank: 1, State: ring.MemberReady}
	}
	sim.hasTraffic = true
	c := New(Config{Options: DefaultOptions(), Term: 8})
	inspections := map[ring.VM]int{}
	for end := sim.now.Add(30 * time.Second); sim.now.Before(end); {
		sim.advanceTick()
		for _, a := range c.Step(ViewUpdated{View: sim.view()}, sim.now) {
			switch a := a.(type) {
			case SendOrder:
				c.Step(OrderEnded{ID: a.ID, Order: a.Order, Observation: a.Observation, Outcome: OutcomeDone}, sim.now)
				sim.servers[a.ID].server.Membership = ring.Membership{}
				c.Step(ViewUpdated{View: sim.view()}, sim.now)
			case Inspect:
				inspections[a.ID]++ // The result is dropped.
			}
		}
	}
	for id, n := range inspections {
		if n < 2 {
			t.Errorf("%s was inspected %d times in 30 s without a result", id, n)
		}
	}
}

// TestRefusedConditionalJoinIsNotRepeatedAtOnce guards against a loop of orders and
// inspections as fast as the network, while the report that an inspection gets is still
// older than the last accepted order.
func TestRefusedConditionalJoinIsNotRepeatedAtOnce(t *testing.T) {
	sim := newSimulation(1, 1, 3)
	sim.service.Models = sim.service.Models[1:]
	for _, s := range sim.servers {
		s.loaded, s.server.Staged = "small", []ring.Model{"small"}
		s.server.Membership = ring.Membership{Group: ring.StandbyGroup("5"), Epoch: 5, State: ring.MemberReady}
		s.server.Model = "small"
	}
	sim.hasTraffic = true
	c := New(Config{Options: DefaultOptions(), Term: 8})
	sim.advanceTick()
	start, orders := sim.now, 0
	actions := c.Step(ViewUpdated{View: sim.view()}, sim.now)
	for sim.now.Before(start.Add(400 * time.Millisecond)) { // The lag of reports.
		sim.now = sim.now.Add(5 * time.Millisecond) // One round trip.
		var next []Action
		for _, a := range actions {
			switch a := a.(type) {
			case SendOrder:
				if a.Order.HasExpected {
					orders++
					next = append(next, c.Step(OrderEnded{ID: a.ID, Order: a.Order, Observation: a.Observation, Outcome: OutcomeRefused}, sim.now)...)
				}
			case Inspect:
				next = append(next, c.Step(Inspected{ID: a.ID, Answered: true, Server: sim.servers[a.ID].server}, sim.now)...)
			}
		}
		actions = append(next, c.Step(ViewUpdated{View: sim.view()}, sim.now)...) // The controller steps after each event.
	}
	if orders > 3*4 {
		t.Errorf("%d conditional orders to 3 servers in 400 ms, all refused", orders)
	}
}

// TestOrderToAnEarlierProcessMakesTheJoinConditional guards against an unconditional join
// of a restarted server, which an order to its earlier process may bring into a replica.
func TestOrderToAnEarlierProcessMakesTheJoinConditional(t *testing.T) {
	sim, c := newOpenSimulation(t, 1)
	head := sim.openHead("large", "d0")
	epoch, id := head.server.Membership.Epoch, head.members[3]
	c.server(id).unsettled = map[ring.Epoch]int{epoch: 1}
	sim.restartServer(id)
	c.Step(ViewUpdated{View: sim.view()}, sim.now)
	c.ended[epoch] = endHeadMayBeOpen
	c.addOrder(id, ring.ReplicaOrder{Kind: ring.OrderJoin, Group: "g", Epoch: epoch + 100}, sim.now.Add(time.Second))
	order, isOrder := c.actions[len(c.actions)-1].(SendOrder)
	if !isOrder || !order.Order.HasExpected {
		t.Errorf("the last action is %+v, want a conditional order", c.actions[len(c.actions)-1])
	}
}
