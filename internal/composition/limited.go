package composition

import (
	"slices"
	"time"

	ring "eelgrassring.dev"
)

// releaseIfLimited releases an open replica so that it is formed again with another head, if
// its head takes fewer requests than the replica could serve: the other members hold the
// model, and only the head is limited. One replica of a model is released at a time, and only
// after the limit has held for LimitTime. It reports whether it released the replica.
func (c *Composer) releaseIfLimited(r *replica, now time.Time) bool {
	if !c.view.Limited[r.epoch] || !c.hasUnlimitedMember(r) {
		r.limitedSince = time.Time{}
		return false
	}
	if r.limitedSince.IsZero() {
		r.limitedSince = now
	}
	if now.Before(r.limitedSince.Add(c.options.LimitTime)) || c.hasReplicaInChange(r.model.Name, now) {
		return false
	}
	c.limitReleases[r.model.Name] = limitRelease{count: c.inUseCounts[r.model.Name], at: now}
	c.release(r, true, "head limited", r.head().id, now)
	r.deadline = now.Add(c.options.LimitCloseTimeout)
	return true
}

// isLimited reports whether a server takes a limited number of requests.
func (c *Composer) isLimited(id ring.VM) bool { return c.view.LimitedServers[id] }

// hasUnlimitedMember reports whether a member of the replica could be its head without a
// limit.
func (c *Composer) hasUnlimitedMember(r *replica) bool {
	return slices.ContainsFunc(r.members, func(m member) bool { return !c.isLimited(m.id) })
}

// limitRelease is the last release of a model's replica because its head was limited: when
// the model had count replicas.
type limitRelease struct {
	count int
	at    time.Time
}

// hasReplicaInChange reports whether a replica of the model is being formed or released, or
// one that was released because its head was limited is not formed again yet.
func (c *Composer) hasReplicaInChange(m ring.Model, now time.Time) bool {
	last := c.limitReleases[m]
	if c.inUseCounts[m] < last.count && now.Before(last.at.Add(c.options.LimitRetry)) {
		return true
	}
	for _, r := range c.replicas {
		if r.model.Name == m && r.phase != phaseOpen {
			return true
		}
	}
	return false
}

// putLimitedLast moves the limited ones of a replica's members behind the others, so that the
// head is not limited.
func (c *Composer) putLimitedLast(members []*serverState) {
	slices.SortStableFunc(members, func(a, b *serverState) int {
		return compareBool(c.isLimited(a.entry.ID), c.isLimited(b.entry.ID))
	})
}
