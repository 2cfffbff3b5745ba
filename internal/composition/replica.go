package composition

import (
	"time"

	ring "eelgrassring.dev"
)

// phase is the stage of a replica, between its forming and its release, as tracked by
// the composer.
type phase string

const (
	// phaseForming: the members are joining; the head was not ordered to open yet.
	phaseForming phase = "forming"
	// phaseOpening: the head was ordered to open, which makes it take requests; it may
	// be open already.
	phaseOpening phase = "opening"
	// phaseOpen: the head's registry entry has said that it is open.
	phaseOpen phase = "open"
	// phaseReleasing: the head was ordered to close or leave the replica.
	phaseReleasing phase = "releasing"
)

// replicaEnd says what is known about the head of a replica that has ended.
type replicaEnd string

const (
	// endHeadDone: the head never opened or is in a newer replica, or it has left the
	// replica, is broken or has restarted and no late order can open it again. The
	// members may join other replicas.
	endHeadDone replicaEnd = "done"
	// endHeadMayBeOpen: the head does not respond, or a late order may still open it.
	// The members must leave the replica before they join another one.
	endHeadMayBeOpen replicaEnd = "may be open"
	// endOutOfSight: neither the head nor another member responds. If they return,
	// the replica is adopted again, as it may have continued meanwhile.
	endOutOfSight replicaEnd = "out of sight"
)

// member identifies a server process in a replica. A restarted server has another
// incarnation and is no longer the same member.
type member struct {
	id          ring.VM
	incarnation string
}

// replica is a replica that the composer formed or adopted. members are sorted
// by rank, the head first.
type replica struct {
	group   ring.Group
	epoch   ring.Epoch
	model   ring.ReplicaModel
	members []member
	// domain is the fabric domain of the head.
	domain ring.Domain
	phase  phase
	// startedAt is when the replica was formed or adopted, or its release began.
	startedAt time.Time
	// deadline has two meanings by phase. A forming replica is dropped at this time;
	// the head of a releasing replica is ordered to leave without finishing its
	// requests.
	deadline time.Time
	// stalledSince is since when the replica's streams are stalled although all members
	// answer, or zero if they are not stalled.
	stalledSince time.Time
	// limitedSince is since when the views have named the replica as limited, or zero.
	limitedSince time.Time
	// isGraceful is set while a releasing head may finish its requests.
	isGraceful bool
	// isResting is set while all members are in evacuated zones and the replica is not being
	// released.
	isResting bool
	// isAdopted is set if an earlier controller formed the replica. Orders of that
	// controller may still arrive late.
	isAdopted bool
	// isJoinRefused is set when a member refused to join.
	isJoinRefused bool
	// isReleased is set when the head has confirmed that it left the replica.
	isReleased bool
}

// head returns the member with rank 0, which takes the replica's requests.
func (r *replica) head() member { return r.members[0] }

// memberIDs returns the servers of the members by rank, in the form that an order to
// join contains.
func (r *replica) memberIDs() []ring.VM {
	out := make([]ring.VM, len(r.members))
	for i, m := range r.members {
		out[i] = m.id
	}
	return out
}

// isInService reports whether the replica serves, or will: it neither rests nor is released.
func (r *replica) isInService() bool { return r.phase != phaseReleasing && !r.isResting }

// updateResting sets which replicas rest. It logs the changes.
func (c *Composer) updateResting(now time.Time) {
	hasEvacuated := len(c.view.Evacuated) > 0
	if !hasEvacuated && !c.hadEvacuated {
		return
	}
	c.hadEvacuated = hasEvacuated
	for _, r := range c.replicasByEpoch() {
		isResting := r.phase != phaseReleasing
		for _, m := range r.members {
			isResting = isResting && c.server(m.id).evacuated
		}
		if isResting == r.isResting {
			continue
		}
		what, change := "rests: its zone is evacuated", -1
		if !isResting {
			what, change = "its zone is taken back", 1
		}
		r.isResting = isResting
		c.inUseCounts[r.model.Name] += change
		c.addDecision(Decision{Group: r.group, Epoch: r.epoch, Model: r.model.Name, What: what, Took: now.Sub(r.startedAt)})
	}
}

// memberStatus says whether a server is still a member of its replica.
type memberStatus string

const (
	// statusGood: the server is listed as a member of the replica.
	statusGood memberStatus = "good"
	// statusAbsent: the server is not listed, but may be alive.
	statusAbsent memberStatus = "absent"
	// statusLeaving: the server still serves, but is about to stop.
	statusLeaving memberStatus = "leaving"
	// statusEvacuated: the server serves, but its zone is evacuated, and not that of all members.
	statusEvacuated memberStatus = "evacuated"
	// statusLost: the server is dead, has restarted or is in a newer replica.
	statusLost memberStatus = "lost"
	// statusAway: the server has not joined the replica yet or has left it.
	statusAway memberStatus = "away"
)

// memberStatus returns the status of a member of r by its registry entry and the
// last inspections.
func (c *Composer) memberStatus(r *replica, m member) memberStatus {
	state := c.server(m.id)
	s, listed := state.entry, c.isInView(state)
	switch {
	case state.dead:
		return statusLost
	case !listed && state.leaving:
		return statusLeaving
	case !listed:
		return statusAbsent
	case s.Incarnation != m.incarnation || s.Membership.Epoch > r.epoch:
		return statusLost
	case s.Leaving:
		return statusLeaving
	case s.Membership.Epoch != r.epoch:
		return statusAway
	case state.evacuated && !r.isResting:
		return statusEvacuated
	}
	return statusGood
}

// advanceReplica checks the members of one replica, gives the orders that its phase
// requires, and moves the replica to the next phase when its members have followed
// the orders.
func (c *Composer) advanceReplica(r *replica, now time.Time) {
	switch r.phase {
	case phaseForming:
		c.advanceForming(r, now)
	case phaseOpening:
		c.advanceOpening(r, now)
	case phaseOpen:
		c.advanceOpen(r, now)
	case phaseReleasing:
		c.advanceReleasing(r, now)
	}
}

// drop ends a replica and logs the reason. The members become free for other
// replicas, after they have left this one if its head may still be open; vm is the
// server that caused the end, if any.
func (c *Composer) drop(r *replica, reason string, vm ring.VM, now time.Time) {
	c.removeReplica(r)
	delete(c.incomplete, r.epoch)
	c.ended[r.epoch] = c.endOf(r)
	c.addDecision(Decision{Group: r.group, Epoch: r.epoch, Model: r.model.Name, What: reason, VM: vm, Took: now.Sub(r.startedAt)})
}

// endOf returns what is known about the head of a replica that ends now.
func (c *Composer) endOf(r *replica) replicaEnd {
	head := r.head()
	entry, listed := c.entryOf(head.id)
	hasNeverOpened := r.phase == phaseForming
	if hasNeverOpened || c.server(head.id).lastEpoch > r.epoch {
		return endHeadDone
	}
	isRestarted := listed && entry.Incarnation != head.incarnation
	isBroken := listed && entry.Membership.Epoch == r.epoch && entry.Membership.State == ring.MemberBroken
	if r.isReleased || isBroken || isRestarted {
		if r.isAdopted || c.server(head.id).unsettled[r.epoch] > 0 {
			return endHeadMayBeOpen
		}
		return endHeadDone
	}
	for _, m := range r.members {
		if c.isListed(m.id) && !c.server(m.id).dead {
			return endHeadMayBeOpen
		}
	}
	return endOutOfSight
}

// advanceForming orders the members to join until all are ready, and then orders the
// head to open. It drops the replica if a member is lost or refuses to join, or at
// the deadline.
func (c *Composer) advanceForming(r *replica, now time.Time) {
	ready := 0
	for _, m := range r.members {
		status := c.memberStatus(r, m)
		if c.server(m.id).evacuated {
			status = statusEvacuated // Also before it has joined.
		}
		switch status {
		case statusGood:
			if c.server(m.id).entry.Membership.State == ring.MemberReady {
				ready++
			}
		case statusAway:
			if c.mustLeaveFirst(c.server(m.id)) {
				c.orderToLeave(m.id, now)
			} else {
				c.addJoinOrder(r, m, now)
			}
		default:
			c.drop(r, "abandoned while forming", m.id, now)
			return
		}
	}
	switch {
	case r.isJoinRefused || now.After(r.deadline):
		c.drop(r, "abandoned: a member did not join", "", now)
	case ready == len(r.members):
		c.addDecision(Decision{Group: r.group, Epoch: r.epoch, Model: r.model.Name, What: "all members ready", Took: now.Sub(r.startedAt)})
		r.phase = phaseOpening
		c.advanceOpening(r, now)
	}
}

// addJoinOrder orders a member to join the replica.
func (c *Composer) addJoinOrder(r *replica, m member, now time.Time) {
	c.addOrder(m.id, ring.ReplicaOrder{Kind: ring.OrderJoin, Group: r.group, Epoch: r.epoch, Model: r.model.Name, Members: r.memberIDs()}, now)
}

// advanceOpening repeats the order to open until the head's registry entry says that
// it is open.
func (c *Composer) advanceOpening(r *replica, now time.Time) {
	if c.releaseIfUnhealthy(r, now) || r.isResting {
		return
	}
	head := r.head()
	if entry, _ := c.entryOf(head.id); entry.Membership.State == ring.MemberOpen {
		c.addDecision(Decision{Group: r.group, Epoch: r.epoch, Model: r.model.Name, What: "open", Took: now.Sub(r.startedAt)})
		r.phase = phaseOpen
		return
	}
	c.addOrder(head.id, ring.ReplicaOrder{Kind: ring.OrderOpen, Group: r.group, Epoch: r.epoch}, now)
}

// advanceOpen releases an open replica if a member is lost or leaving, if its streams
// have stalled for too long, if a spare can replace a slow member, or if another member
// could be the head without a limit.
func (c *Composer) advanceOpen(r *replica, now time.Time) {
	if c.releaseIfUnhealthy(r, now) {
		return
	}
	if stalled := c.view.Stalled[r.epoch]; stalled == 0 {
		r.stalledSince = time.Time{}
	} else {
		if r.stalledSince.IsZero() || c.hasSilentMember(r) {
			r.stalledSince = now
		}
		for _, m := range r.members {
			c.addInspection(m.id, now)
		}
		if stalled > c.options.StallTimeout && now.After(r.stalledSince.Add(c.options.StallInspectTime)) {
			c.release(r, false, "stalled although all members answer", "", now)
		}
	}
	if r.isResting {
		return
	}
	if c.view.Slow[r.epoch] > 0 && c.releaseIfSlow(r, now) || c.releaseIfLimited(r, now) {
		return
	}
	if head, listed := c.entryOf(r.head().id); listed && head.Membership.Epoch == r.epoch && head.Membership.State == ring.MemberReady {
		// The head was closed without an order of this composer; open it again.
		r.phase = phaseOpening
	}
}

// releaseIfSlow releases a replica with slow streams if a member reports that it is
// slow and a spare can be ready within the time to load the model from host memory.
// One slow member is enough, because all members wait for the slowest. It reports
// whether it released the replica.
func (c *Composer) releaseIfSlow(r *replica, now time.Time) bool {
	slow := ring.VM("")
	for _, m := range r.members {
		c.addInspection(m.id, now)
		if c.server(m.id).slow {
			slow = m.id
		}
	}
	if slow == "" {
		return false
	}
	for _, s := range c.freeServersIn(r.domain, now) {
		if !s.slow && c.joinTime(s, r.model, now) <= r.model.StagedLoadTime {
			c.release(r, false, "member slow", slow, now)
			return true
		}
	}
	return false
}

// releaseIfUnhealthy releases or drops the replica if its head is broken or a member
// is lost or leaving, and reports whether it did. It inspects absent members. An
// absent head is treated like a leaving head.
func (c *Composer) releaseIfUnhealthy(r *replica, now time.Time) bool {
	head := r.head()
	switch c.memberStatus(r, head) {
	case statusLost, statusAway:
		c.drop(r, "head lost", head.id, now)
		return true
	case statusEvacuated:
		c.release(r, true, "member in an evacuated zone", head.id, now)
		return true
	case statusAbsent, statusLeaving:
		// The replica gets no more requests, but its head may still be open. The
		// members are free only after the head has left the replica or is dead.
		c.release(r, true, "head not listed or leaving", head.id, now)
		return true
	}
	if entry, _ := c.entryOf(head.id); entry.Membership.State == ring.MemberBroken {
		c.drop(r, "broken", "", now)
		return true
	}
	for _, m := range r.members {
		switch c.memberStatus(r, m) {
		case statusLost, statusAway:
			c.release(r, false, "member lost", m.id, now)
			return true
		case statusLeaving:
			c.release(r, true, "member leaving", m.id, now)
			return true
		case statusEvacuated:
			c.release(r, true, "member in an evacuated zone", m.id, now)
			return true
		case statusAbsent:
			c.addInspection(m.id, now)
		}
	}
	return false
}

// closeTimeout returns how long the head of a replica that is released may take to finish its
// requests. Where a member's zone is evacuated the members live on, so that it may take as long
// as it needs.
func (c *Composer) closeTimeout(r *replica) time.Duration {
	for _, m := range r.members {
		if c.server(m.id).evacuated {
			return c.options.EvacuationCloseTimeout
		}
	}
	return c.options.CloseTimeout
}

// release ends the use of a replica by ordering its head to leave. In a graceful
// release the head is first ordered to finish its requests. vm is the server that
// caused the release, if any.
func (c *Composer) release(r *replica, isGraceful bool, reason string, vm ring.VM, now time.Time) {
	c.addDecision(Decision{Group: r.group, Epoch: r.epoch, Model: r.model.Name, What: reason, VM: vm, Took: now.Sub(r.startedAt)})
	if r.isInService() {
		c.inUseCounts[r.model.Name]--
	}
	r.phase, r.isResting = phaseReleasing, false
	r.isGraceful, r.startedAt, r.deadline = isGraceful, now, now.Add(c.closeTimeout(r))
	c.inspectUnseen(r, now)
	c.advanceReleasing(r, now)
}

// inspectUnseen inspects the members whose state is not known, so that they can leave by
// a conditional order when the head has left.
func (c *Composer) inspectUnseen(r *replica, now time.Time) {
	for _, m := range r.members {
		if s := c.server(m.id); !s.hasSeen && c.isInView(s) {
			c.addInspection(m.id, now)
		}
	}
}

// advanceReleasing orders the head to close or leave, and drops the replica when the
// head has left it, is broken or is lost.
func (c *Composer) advanceReleasing(r *replica, now time.Time) {
	head := r.head()
	entry, listed := c.entryOf(head.id)
	state := entry.Membership.State
	if r.isGraceful && now.After(r.startedAt) && state == ring.MemberReady {
		// The head has finished its requests. It must leave too, because a late order
		// could open it again.
		r.isGraceful = false
	}
	switch status := c.memberStatus(r, head); {
	case status == statusLost, status == statusAway, r.isReleased:
		c.drop(r, "released", "", now)
		return
	case !listed:
		c.addInspection(head.id, now)
	case state == ring.MemberBroken:
		c.drop(r, "released", "", now)
		return
	}
	kind := ring.OrderLeave
	if r.isGraceful && now.Before(r.deadline) {
		kind = ring.OrderClose
	}
	c.addOrder(head.id, ring.ReplicaOrder{Kind: kind, Group: r.group, Epoch: r.epoch}, now)
}
