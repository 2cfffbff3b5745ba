package composition

import (
	"cmp"
	"maps"
	"slices"
	"time"

	ring "eelgrassring.dev"
)

// adoptReplicas takes over the replicas of earlier controllers, and those of this one
// whose members all were out of sight and respond again. These are the replicas that
// registry entries name but the composer does not know.
func (c *Composer) adoptReplicas(now time.Time) {
	found := map[ring.Epoch][]ring.Server{}
	for _, s := range c.view.Servers {
		if s.Membership.Group == "" || s.Membership.IsStandby() || c.replicas[s.Membership.Epoch] != nil {
			continue
		}
		if end, ended := c.ended[s.Membership.Epoch]; ended && (end != endOutOfSight || c.server(s.ID).dead) {
			continue
		}
		found[s.Membership.Epoch] = append(found[s.Membership.Epoch], s)
	}
	for _, epoch := range slices.Sorted(maps.Keys(found)) {
		c.adoptReplica(epoch, found[epoch], now)
	}
}

// adoptReplica takes over one replica of an earlier controller. If its head is open and
// all its members are listed, the replica continues. If its head is listed but neither
// open nor closing, it is ended: an order of the earlier controller may still open it, or
// move a member to a newer replica, so only a replica with an epoch of this controller
// is opened. Otherwise, after EntryGrace, it is released, or its members are freed if
// its head is not listed.
func (c *Composer) adoptReplica(epoch ring.Epoch, servers []ring.Server, now time.Time) {
	var head ring.Server
	for _, s := range servers {
		if s.Membership.Rank == 0 {
			head = s
		}
	}
	if head.ID != "" && !isServing(head) {
		c.ended[epoch] = endHeadMayBeOpen
		return
	}
	model, known := c.modelByName(modelOf(servers))
	if !known {
		model = ring.ReplicaModel{Name: modelOf(servers), Size: len(servers)}
	}
	r := &replica{group: servers[0].Membership.Group, epoch: epoch, model: model, isAdopted: true, startedAt: now}
	r.members = membersByRank(servers)
	isComplete := len(r.members) == model.Size && head.ID != ""
	if isComplete {
		delete(c.incomplete, epoch)
	} else if !c.isGraceExpired(epoch, now) {
		return
	}
	switch {
	case head.ID == "":
		c.freeMembersOfUnlistedHead(epoch, servers, now)
		return
	case isComplete && head.Membership.State == ring.MemberOpen:
		r.phase = phaseOpen
	default:
		r.phase, r.isGraceful, r.deadline = phaseReleasing, true, now.Add(c.closeTimeout(r))
	}
	delete(c.ended, epoch)
	c.addReplica(r)
	c.addDecision(Decision{Group: r.group, Epoch: epoch, Model: model.Name, What: "adopted as " + string(r.phase)})
}

// isServing reports whether the head has requests or may get some.
func isServing(head ring.Server) bool {
	return head.Membership.State == ring.MemberOpen || head.Membership.State == ring.MemberClosing
}

// isGraceExpired reports whether members of a replica of an earlier controller have
// been missing from the registry for longer than EntryGrace. The first call for a
// replica starts the period and returns false.
func (c *Composer) isGraceExpired(epoch ring.Epoch, now time.Time) bool {
	since, seen := c.incomplete[epoch]
	if !seen {
		c.incomplete[epoch] = now
		return false
	}
	return now.After(since.Add(c.options.EntryGrace))
}

// freeMembersOfUnlistedHead frees the members of a replica whose head this composer
// never saw listed. The head may be open but disconnected from the store, so the
// members are ordered to leave, upon which the head ends its requests as broken. It
// should have done so by BreakTimeout after the grace period. From then on the members
// are free as those of a head that may be open, because the process of a silent head
// stands still and breaks later.
func (c *Composer) freeMembersOfUnlistedHead(epoch ring.Epoch, servers []ring.Server, now time.Time) {
	until := c.incomplete[epoch].Add(c.options.EntryGrace + c.options.BreakTimeout)
	if now.After(until) {
		c.ended[epoch] = endHeadMayBeOpen
		c.addDecision(Decision{Group: servers[0].Membership.Group, Epoch: epoch, Model: modelOf(servers), What: "members freed: head not listed"})
		return
	}
	for _, s := range servers {
		c.server(s.ID).inUseUntil = until
		c.addOrder(s.ID, ring.ReplicaOrder{Kind: ring.OrderLeave, Group: s.Membership.Group, Epoch: epoch}, now)
	}
}

// modelOf returns the model that a replica's servers report, or "" if none of them
// reports a model.
func modelOf(servers []ring.Server) ring.Model {
	for _, s := range servers {
		if s.Model != "" {
			return s.Model
		}
	}
	return ""
}

// membersByRank returns the servers as members of a replica sorted by rank, the head
// first.
func membersByRank(servers []ring.Server) []member {
	sorted := slices.Clone(servers)
	slices.SortStableFunc(sorted, func(a, b ring.Server) int { return cmp.Compare(a.Membership.Rank, b.Membership.Rank) })
	out := make([]member, len(sorted))
	for i, s := range sorted {
		out[i] = member{s.ID, s.Incarnation}
	}
	return out
}
