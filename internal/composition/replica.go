package composition

import (
	"cmp"
	"maps"
	"slices"
	"time"

	ring "eelgrassring.dev"
)

// phase is the state of a replica in the composer.
type phase string

const (
	// phaseForming: members are joining; the head was not told to open.
	phaseForming phase = "forming"
	// phaseOpening: the head was told to open, and may be open.
	phaseOpening phase = "opening"
	// phaseOpen: the head was seen open.
	phaseOpen phase = "open"
	// phaseReleasing: the head was told to give the replica up.
	phaseReleasing phase = "releasing"
)

// member is a server in its place; a restarted one has lost it.
type member struct {
	id          ring.VM
	incarnation string
}

// replica is one replica that the composer formed or found.
type replica struct {
	group     ring.Group
	epoch     ring.Epoch
	model     ring.ReplicaModel
	members   []member
	phase     phase
	startedAt time.Time
	// deadline is when a forming replica is given up, and when a closing one is
	// ended at once.
	deadline time.Time
	// stalledSince is when the composer first heard that the replica stands still.
	stalledSince time.Time
	// isGraceful is set while a releasing head may finish its requests.
	isGraceful bool
	// isJoinRefused is set when a member will not join, released when the head gave
	// the replica up.
	isJoinRefused bool
	isReleased    bool
}

func (r *replica) head() member { return r.members[0] }

func (r *replica) hasMember(id ring.VM) bool {
	for _, m := range r.members {
		if m.id == id {
			return true
		}
	}
	return false
}

func (r *replica) memberIDs() []ring.VM {
	out := make([]ring.VM, len(r.members))
	for i, m := range r.members {
		out[i] = m.id
	}
	return out
}

// memberStatus is how a member is seen.
type memberStatus string

const (
	statusGood memberStatus = "good"
	// statusAbsent: no entry; it may be alive.
	statusAbsent memberStatus = "absent"
	// statusLeaving: it serves for a while and ends.
	statusLeaving memberStatus = "leaving"
	// statusLost: it is dead, restarted or in another replica.
	statusLost memberStatus = "lost"
	// statusAway: it has not joined yet, or has left.
	statusAway memberStatus = "away"
)

func (c *Composer) memberStatus(r *replica, m member) memberStatus {
	state := c.server(m.id)
	s, listed := c.listed[m.id]
	switch {
	case state.dead:
		return statusLost
	case !listed && state.leaving:
		return statusLeaving
	case !listed:
		return statusAbsent
	case s.Incarnation != m.incarnation || s.Place.Epoch > r.epoch:
		return statusLost
	case s.Leaving:
		return statusLeaving
	case s.Place.Epoch != r.epoch:
		return statusAway
	}
	return statusGood
}

// adopt takes over replicas that servers describe and the composer does not
// know: those of a controller before it.
func (c *Composer) adopt(now time.Time) {
	found := map[ring.Epoch][]ring.Server{}
	for _, s := range c.view.Servers {
		if s.Place.Group == "" || s.Place.IsStandby() || c.replicas[s.Place.Epoch] != nil || c.dropped[s.Place.Epoch] {
			continue
		}
		found[s.Place.Epoch] = append(found[s.Place.Epoch], s)
	}
	for _, epoch := range slices.Sorted(maps.Keys(found)) {
		c.adoptReplica(epoch, found[epoch], now)
	}
}

// adoptReplica takes a replica over. Members that are not listed leave gaps; a
// replica with a gap and an open head is released, one without an open head is
// no replica.
func (c *Composer) adoptReplica(epoch ring.Epoch, servers []ring.Server, now time.Time) {
	var head ring.Server
	for _, s := range servers {
		if s.Place.Rank == 0 {
			head = s
		}
	}
	model, known := c.model(modelOf(servers))
	if !known {
		model = ring.ReplicaModel{Name: modelOf(servers), Size: len(servers)}
	}
	isHeadLive := head.Place.State == ring.MemberOpen || head.Place.State == ring.MemberClosing
	r := &replica{group: servers[0].Place.Group, epoch: epoch, model: model, startedAt: now, deadline: now.Add(model.Load + c.options.JoinSlack)}
	r.members = membersByRank(servers)
	isWhole := len(r.members) == model.Size && head.ID != ""
	switch {
	case isWhole:
		delete(c.incomplete, epoch)
	case head.ID != "" && !isHeadLive:
		c.dropped[epoch] = true // It never opened, or is closed: nobody serves.
		return
	case !c.isGraceExpired(epoch, now):
		return
	}
	switch {
	case head.ID == "":
		c.freeOrphans(epoch, servers, now)
		return
	case isHeadLive && isWhole && head.Place.State == ring.MemberOpen:
		r.phase = phaseOpen
	case isHeadLive:
		r.phase, r.isGraceful, r.deadline = phaseReleasing, true, now.Add(c.options.CloseTimeout)
	case isWhole && head.Place.State != ring.MemberBroken:
		r.phase = phaseForming
	default:
		c.dropped[epoch] = true
		return
	}
	c.replicas[epoch] = r
	c.logDecision(Decision{Group: r.group, Epoch: epoch, Model: model.Name, What: "adopted as " + string(r.phase)})
}

// isGraceExpired reports whether the missing members of a replica have had the time
// to come back.
func (c *Composer) isGraceExpired(epoch ring.Epoch, now time.Time) bool {
	since, seen := c.incomplete[epoch]
	if !seen {
		c.incomplete[epoch] = now
		return false
	}
	return now.After(since.Add(c.options.EntryGrace))
}

// freeOrphans frees members whose head is not listed and that this composer never
// saw: the head may be open, cut off from the store. They leave, so that it
// breaks, and are free once it must have.
func (c *Composer) freeOrphans(epoch ring.Epoch, servers []ring.Server, now time.Time) {
	until := c.incomplete[epoch].Add(c.options.EntryGrace + c.options.BreakTimeout)
	if now.After(until) {
		c.dropped[epoch] = true
		c.logDecision(Decision{Group: servers[0].Place.Group, Epoch: epoch, Model: modelOf(servers), What: "members without a head are free"})
		return
	}
	for _, s := range servers {
		c.server(s.ID).inUseUntil = until
		c.send(s.ID, ring.ReplicaOrder{Kind: ring.OrderLeave, Group: s.Place.Group, Epoch: epoch}, now)
	}
}

func modelOf(servers []ring.Server) ring.Model {
	for _, s := range servers {
		if s.Model != "" {
			return s.Model
		}
	}
	return ""
}

// membersByRank orders members by rank, the head first.
func membersByRank(servers []ring.Server) []member {
	sorted := slices.Clone(servers)
	slices.SortStableFunc(sorted, func(a, b ring.Server) int { return cmp.Compare(a.Place.Rank, b.Place.Rank) })
	out := make([]member, len(sorted))
	for i, s := range sorted {
		out[i] = member{s.ID, s.Incarnation}
	}
	return out
}

// advance takes one replica a step further.
func (c *Composer) advance(r *replica, now time.Time) {
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

// drop forgets a replica; its members are free.
func (c *Composer) drop(r *replica, why string, culprit ring.VM, now time.Time) {
	delete(c.replicas, r.epoch)
	c.dropped[r.epoch] = true
	c.logDecision(Decision{Group: r.group, Epoch: r.epoch, Model: r.model.Name, What: why, VM: culprit, Took: now.Sub(r.startedAt)})
}

func (c *Composer) advanceForming(r *replica, now time.Time) {
	ready := 0
	for _, m := range r.members {
		switch c.memberStatus(r, m) {
		case statusGood:
			if c.listed[m.id].Place.State == ring.MemberReady {
				ready++
			}
		case statusAway:
			c.join(r, m, now)
		default:
			c.drop(r, "given up while forming", m.id, now)
			return
		}
	}
	switch {
	case r.isJoinRefused || now.After(r.deadline):
		c.drop(r, "given up: a member did not join", "", now)
	case ready == len(r.members):
		c.logDecision(Decision{Group: r.group, Epoch: r.epoch, Model: r.model.Name, What: "all members ready", Took: now.Sub(r.startedAt)})
		r.phase = phaseOpening
		c.advanceOpening(r, now)
	}
}

func (c *Composer) join(r *replica, m member, now time.Time) {
	c.send(m.id, ring.ReplicaOrder{Kind: ring.OrderJoin, Group: r.group, Epoch: r.epoch, Model: r.model.Name, Members: r.memberIDs()}, now)
}

func (c *Composer) advanceOpening(r *replica, now time.Time) {
	if c.releaseIfUnhealthy(r, now) {
		return
	}
	head := r.head()
	if c.listed[head.id].Place.State == ring.MemberOpen {
		c.logDecision(Decision{Group: r.group, Epoch: r.epoch, Model: r.model.Name, What: "open", Took: now.Sub(r.startedAt)})
		r.phase = phaseOpen
		return
	}
	c.send(head.id, ring.ReplicaOrder{Kind: ring.OrderOpen, Group: r.group, Epoch: r.epoch}, now)
}

func (c *Composer) advanceOpen(r *replica, now time.Time) {
	if c.releaseIfUnhealthy(r, now) {
		return
	}
	if still := c.view.Stalled[r.epoch]; still == 0 {
		r.stalledSince = time.Time{}
	} else {
		if r.stalledSince.IsZero() {
			r.stalledSince = now
		}
		for _, m := range r.members {
			c.inspect(m.id, now)
		}
		if still > c.options.StallTimeout && now.After(r.stalledSince.Add(c.options.StallInspectTime)) {
			c.release(r, false, "stands still though all members answer", "", now)
		}
	}
	if c.view.Slow[r.epoch] > 0 && c.releaseIfSlow(r, now) {
		return
	}
	if head, listed := c.listed[r.head().id]; listed && head.Place.Epoch == r.epoch && head.Place.State == ring.MemberReady {
		// Somebody closed it; it opens again.
		r.phase = phaseOpening
	}
}

// releaseIfSlow releases a slow replica when a member says that it is slow and a
// spare can take its place soon: all members wait for the slowest.
func (c *Composer) releaseIfSlow(r *replica, now time.Time) bool {
	slow := ring.VM("")
	for _, m := range r.members {
		c.inspect(m.id, now)
		if c.server(m.id).slow {
			slow = m.id
		}
	}
	if slow == "" {
		return false
	}
	for _, s := range c.freeServers(now)[c.server(r.head().id).entry.Domain] {
		if !c.server(s.ID).slow && c.joinTime(s, r.model, now) <= r.model.Warm {
			c.release(r, false, "member slow", slow, now)
			return true
		}
	}
	return false
}

// releaseIfUnhealthy looks for members that are lost, leaving or absent, and releases or
// drops the replica for them.
func (c *Composer) releaseIfUnhealthy(r *replica, now time.Time) bool {
	head := r.head()
	switch c.memberStatus(r, head) {
	case statusLost, statusAway:
		c.drop(r, "head lost", head.id, now)
		return true
	case statusAbsent, statusLeaving:
		// It gets no more requests, but may still be open: only its death, or
		// its own word, frees the members.
		c.release(r, true, "head not listed or leaving", head.id, now)
		return true
	}
	if c.listed[head.id].Place.State == ring.MemberBroken {
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
		case statusAbsent:
			c.inspect(m.id, now)
		}
	}
	return false
}

// release tells the head to give the replica up; a soft release lets it finish
// its requests first.
func (c *Composer) release(r *replica, soft bool, why string, culprit ring.VM, now time.Time) {
	c.logDecision(Decision{Group: r.group, Epoch: r.epoch, Model: r.model.Name, What: why, VM: culprit, Took: now.Sub(r.startedAt)})
	r.phase, r.isGraceful, r.startedAt, r.deadline = phaseReleasing, soft, now, now.Add(c.options.CloseTimeout)
	c.advanceReleasing(r, now)
}

func (c *Composer) advanceReleasing(r *replica, now time.Time) {
	head := r.head()
	entry, listed := c.listed[head.id]
	state := entry.Place.State
	// A head that finished its requests is ready again, and free.
	isClosed := r.isGraceful && now.After(r.startedAt) && state == ring.MemberReady
	switch standing := c.memberStatus(r, head); {
	case standing == statusLost, standing == statusAway, r.isReleased:
		c.drop(r, "released", "", now)
		return
	case !listed:
		c.inspect(head.id, now)
	case isClosed, state == ring.MemberBroken:
		c.drop(r, "released", "", now)
		return
	}
	kind := ring.OrderLeave
	if r.isGraceful && now.Before(r.deadline) {
		kind = ring.OrderClose
	}
	c.send(head.id, ring.ReplicaOrder{Kind: kind, Group: r.group, Epoch: r.epoch}, now)
}
