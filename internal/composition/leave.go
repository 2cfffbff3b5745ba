package composition

import (
	"time"

	ring "eelgrassring.dev"
)

// mayHeadBeOpen reports whether the head of a replica may be open for a server that is not
// known to be one of its members: the replica has ended and its head may be open, or it was
// adopted when the server was out of sight.
func (c *Composer) mayHeadBeOpen(epoch ring.Epoch) bool {
	if r, known := c.replicas[epoch]; known {
		return r.phase != phaseForming
	}
	end, ended := c.ended[epoch]
	return ended && end != endHeadDone
}

// isAwaited reports whether members of the replica are out of sight and it may be
// adopted when they are back.
func (c *Composer) isAwaited(epoch ring.Epoch) bool {
	_, incomplete := c.incomplete[epoch]
	return incomplete || c.ended[epoch] == endOutOfSight
}

// mayRejoin reports whether the server may be in a replica whose head may be open, or
// may be brought back into one by an earlier order. The server refuses the orders of
// earlier controllers once it has joined a replica of this term.
func (c *Composer) mayRejoin(s *serverState) bool {
	isOfEarlierTerm := s.lastEpoch <= c.termEpoch && !c.isFirst
	if isOfEarlierTerm || c.mayHeadBeOpen(s.lastEpoch) {
		return true
	}
	for epoch, n := range s.unsettled { // orders to an earlier process
		if n > 0 && c.mayHeadBeOpen(epoch) {
			return true
		}
	}
	return false
}

// mustLeaveFirst reports whether the server may be in a replica whose head may be open,
// because no inspection has shown it outside of one. The server may join another
// replica only after it has left that one, because the head would go on to use it.
func (c *Composer) mustLeaveFirst(state *serverState) bool {
	seen := state.seenMembership
	isOutside := state.hasSeen && !state.isNumberGuessed && (seen.Epoch == 0 || seen.IsStandby() || c.ended[seen.Epoch] == endHeadDone)
	return c.mayRejoin(state) && !isOutside
}

// orderFormerMembersToLeave orders the servers that must leave an ended replica to do
// so, except those that would not receive the order, are about to stop or are in an evacuated zone.
func (c *Composer) orderFormerMembersToLeave(now time.Time) {
	for _, state := range c.listed {
		if len(state.replicas) == 0 && state.mayServe() && !state.dead && !state.isInUse(now) && c.mustLeaveFirst(state) {
			if state.plansWaitUntil.IsZero() || state.plansWaitEpoch != state.lastEpoch {
				state.plansWaitUntil, state.plansWaitEpoch = now.Add(c.options.LeaveTimeout), state.lastEpoch
			}
			c.orderToLeave(state.entry.ID, now)
		}
	}
}

// orderToLeave orders a server to leave its last replica if that has ended and its head
// may be open. It inspects a server that has left, or that is in no such replica.
func (c *Composer) orderToLeave(id ring.VM, now time.Time) {
	state := c.server(id)
	isInEnded := c.ended[state.lastEpoch] == endHeadMayBeOpen
	switch {
	case !isInEnded && c.isAwaited(state.entry.Membership.Epoch):
		return
	case !isInEnded || state.leftEpoch == state.lastEpoch:
		c.addInspection(id, now)
		return
	}
	c.addOrder(id, ring.ReplicaOrder{Kind: ring.OrderLeave, Group: state.lastGroup, Epoch: state.lastEpoch}, now)
}

// recordLeft records that a server has confirmed that it is not in the replica. If the
// head of that replica may be open, it adds an inspection, as the server may join
// another replica only by an order that names its state outside of this one.
func (c *Composer) recordLeft(id ring.VM, epoch ring.Epoch, now time.Time) {
	s := c.server(id)
	s.leftEpoch = epoch
	if c.mayHeadBeOpen(epoch) && c.mustLeaveFirst(s) {
		c.addNextInspection(id, now)
	}
}

// domainsInTransition returns the domains in which servers are about to be free. Planning
// for the servers that are free already would leave the others without a replica.
func (c *Composer) domainsInTransition(now time.Time) map[ring.Domain]bool {
	out := map[ring.Domain]bool{}
	for _, state := range c.listed {
		if now.Before(state.plansWaitUntil) && state.plansWaitEpoch == state.lastEpoch && state.mayServe() && !state.dead && c.mustLeaveFirst(state) {
			out[state.entry.Domain] = true
		}
	}
	return out
}
