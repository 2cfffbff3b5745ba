package composition

import (
	"maps"
	"time"

	ring "eelgrassring.dev"
)

// serverState is the composer's state of one server.
type serverState struct {
	incarnation string
	// entry is the server's most recent registry entry, and listedIn the number of the
	// last view that contained it.
	entry    *ring.Server
	listedIn int
	// replicas are the replicas of which the server is a member, at most one unless
	// registry entries contradict each other.
	replicas []*replica
	// misses counts the consecutive unanswered inspections. The server has not answered since
	// silentSince, and the last of them ended at missedAt. inspectedAt is when the last inspection
	// began, and isInspecting is set until it ends.
	misses       int
	silentSince  time.Time
	missedAt     time.Time
	inspectedAt  time.Time
	isInspecting bool
	dead         bool
	// slow is set while the server reports a Slowdown of at least MinSlowdown.
	slow bool
	// evacuated is set while the server's zone is evacuated.
	evacuated bool
	// leaving is set when the server answered that it is about to stop.
	leaving bool
	// unsettled counts by replica the orders to join and to open that were sent and whose
	// outcome is not known: the server may still execute them.
	unsettled map[ring.Epoch]int
	// lastOrderEpoch, lastOrderKind and lastOrderAt describe the last order to the server.
	lastOrderEpoch ring.Epoch
	lastOrderKind  ring.OrderKind
	lastOrderAt    time.Time
	// refusedAt is when the server last refused a conditional order.
	refusedAt time.Time
	// leftEpoch is the last replica that the server confirmed it is no longer in. An
	// earlier order to join may have brought it back since.
	leftEpoch ring.Epoch
	// lastGroup and lastEpoch are the replica with the largest epoch that the server is
	// known to have joined. It refuses orders to join one with a smaller epoch.
	lastGroup ring.Group
	lastEpoch ring.Epoch
	// seenOrders and seenMembership are the newest state of the server that an inspection
	// showed, or that follows from it and the orders of this composer since: the number of
	// orders that it had accepted and the replica that it was in. hasSeen is unset if that
	// state is known to be outdated.
	seenOrders     int64
	seenMembership ring.Membership
	hasSeen        bool
	// isNumberGuessed is set while seenOrders may be too large by the orders that were under
	// way when a report came. It suffices for a conditional order to leave, which proves by its
	// result that it was right.
	isNumberGuessed bool
	// observations counts the changes of the seen state, and firstObservation is the count
	// when this process of the server was first listed. An order carries the count of when
	// it was given.
	observations     int
	firstObservation int
	// inUseUntil is the time until which a head that is not listed may still use the
	// server as a member.
	inUseUntil time.Time
	// plansWaitUntil is until when no replica is planned in the server's domain because
	// the server is leaving plansWaitEpoch, its last replica, or was not seen yet.
	plansWaitUntil time.Time
	plansWaitEpoch ring.Epoch
	// loadedModel is the model with which the server was last ready. The server joins
	// another replica of this model without loading it.
	loadedModel ring.Model
	// loadingModel is the model that the server was ordered to load from the weight
	// store. It is empty when the load has ended or loadingUntil, its expected end,
	// has passed.
	loadingModel ring.Model
	loadingUntil time.Time
}

// isInUse reports whether a head that is not listed may still use the server.
func (s *serverState) isInUse(now time.Time) bool { return now.Before(s.inUseUntil) }

// isAvailable reports whether the server is neither dead nor about to stop, and may serve.
func (s *serverState) isAvailable() bool { return s.mayServe() && !s.dead && !s.leaving }

// mayServe reports whether the server's entry and zone let it be in a replica: it is not about
// to stop, and its zone is not evacuated.
func (s *serverState) mayServe() bool { return !s.entry.Leaving && !s.evacuated }

// holds reports whether the server can join a replica of the model without the weight
// store: it has loaded or staged the model.
func (s *serverState) holds(m ring.Model) bool { return s.loadedModel == m || s.entry.HasStaged(m) }

// holdsNothing reports whether the server has neither loaded nor staged any model.
func (s *serverState) holdsNothing() bool { return s.loadedModel == "" && len(s.entry.Staged) == 0 }

// isLoading reports whether a load of a model from the weight store runs at the
// server, by an order of this composer.
func (s *serverState) isLoading(now time.Time) bool {
	return s.loadingModel != "" && now.Before(s.loadingUntil)
}

// isLoadingModel reports whether the server's running load is of the model.
func (s *serverState) isLoadingModel(m ring.Model, now time.Time) bool {
	return s.isLoading(now) && s.loadingModel == m
}

// recordReport updates the state by the server's response to an inspection. A report may
// lag and is outdated if it counts fewer orders than are known.
func (s *serverState) recordReport(report ring.Server) {
	s.recordJoin(report.Membership.Group, report.Membership.Epoch)
	if report.Orders < s.seenOrders && !s.isNumberGuessed {
		return
	}
	if !s.hasSeen || s.isNumberGuessed || report.Orders != s.seenOrders {
		s.setSeen(report.Orders, report.Membership)
	}
	if report.Membership.Epoch == s.leftEpoch {
		s.leftEpoch = 0 // It has not left yet, or has joined again.
	}
}

// recordJoin records that the server is or was in a replica.
func (s *serverState) recordJoin(group ring.Group, epoch ring.Epoch) {
	if epoch > s.lastEpoch {
		s.lastGroup, s.lastEpoch = group, epoch
		maps.DeleteFunc(s.unsettled, func(e ring.Epoch, _ int) bool { return e < epoch }) // The server refuses these.
	}
}

// recordNotSent records that an order was not sent, so that it may be given again at
// once.
func (s *serverState) recordNotSent(o ring.ReplicaOrder) {
	if s.lastOrderEpoch == o.Epoch && s.lastOrderKind == o.Kind {
		s.lastOrderEpoch, s.lastOrderKind, s.lastOrderAt = 0, "", time.Time{}
	}
	if o.Kind == ring.OrderStage && s.loadingModel == o.Model {
		s.loadingModel = ""
	}
}

// setSeen records a state that the server had when it had accepted that many orders.
func (s *serverState) setSeen(orders int64, membership ring.Membership) {
	s.seenOrders, s.seenMembership, s.hasSeen, s.isNumberGuessed = orders, membership, true, false
	s.observations++
}

// forgetSeen records that the state of the server is not known.
func (s *serverState) forgetSeen() {
	s.hasSeen, s.isNumberGuessed = false, false
	s.observations++
}

// isOfEarlierProcess reports whether an order was given to an earlier process of the server.
// Its result says nothing of this one.
func (s *serverState) isOfEarlierProcess(e OrderEnded) bool {
	return e.Observation < s.firstObservation
}

// recordDone updates the seen state by an order that the server has carried out. The result
// of a conditional order names the state that the order changed. That of another order is
// taken for the next state only if nothing has changed the seen state since the order was
// given; otherwise the order may have been carried out before or after that change. If the
// server has accepted further orders, the number is too small, and the server refuses a
// conditional order.
func (s *serverState) recordDone(e OrderEnded) {
	o := e.Order
	after := s.seenMembership
	switch o.Kind {
	case ring.OrderJoin:
		after = ring.Membership{Group: o.Group, Epoch: o.Epoch}
	case ring.OrderLeave:
		after = ring.Membership{}
	}
	isCounted := e.HasBegun || (o.Kind == ring.OrderLeave && o.HasExpected) // Other orders may have been counted or not.
	switch {
	case isCounted && o.HasExpected:
		if o.Expected >= s.seenOrders {
			s.setSeen(o.Expected+1, after)
		}
	case !s.hasSeen:
	case isCounted && e.Observation == s.observations && !s.isNumberGuessed:
		s.setSeen(s.seenOrders+1, after)
	case isCounted && o.Kind != ring.OrderJoin:
		s.seenOrders, s.isNumberGuessed = s.seenOrders+1, true
		s.observations++
	default:
		s.forgetSeen()
	}
}
