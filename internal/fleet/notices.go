package fleet

import (
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/clock"
)

const (
	// noticeRetention is how long a server's notice is kept after the server last
	// repeated it. Servers stop long before.
	noticeRetention = 10 * time.Minute
	// noticeRepeat is the time after which a server's notice that it is about to stop
	// is reported as new again, because the message that tells the peers may be lost.
	noticeRepeat = time.Second
)

// notice is what one incarnation of a server has announced in its responses.
type notice struct {
	incarnation string
	// isLeaving is set if the server is about to stop.
	isLeaving bool
	// reportAgainAt is when the next notice of this kind is reported as new.
	reportAgainAt time.Time
	// pausedUntil is the time until which the server wants no requests from this node.
	pausedUntil time.Time
	// forgetAt is when the notice is dropped.
	forgetAt time.Time
}

// MarkLeaving records that an incarnation of a server announced that it is about to
// stop, before its registry entry says so, or without. From now on its entry counts as
// leaving. It returns true for the first notice, and again for one after noticeRepeat.
func (f *Fleet) MarkLeaving(id ring.VM, incarnation string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.noticeOf(id, incarnation, now)
	n.isLeaving = true
	isNew := !now.Before(n.reportAgainAt)
	if isNew {
		n.reportAgainAt = now.Add(noticeRepeat)
	}
	if s, known := f.servers[id]; known && s.Incarnation == incarnation && !s.Leaving {
		s.Leaving = true
		f.servers[id] = s
		f.leavingByNotice[id] = true
		f.markReplicasStale()
	}
	return isNew
}

// Pause records that an incarnation of a server wants no requests from this node until
// the given time.
func (f *Fleet) Pause(id ring.VM, incarnation string, now, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.noticeOf(id, incarnation, now)
	if until.After(n.pausedUntil) {
		n.pausedUntil = until
		n.forgetAt = until.Add(noticeRetention)
	}
}

// noticeOf returns the notice of an incarnation of a server for update, and drops
// notices that are too old; mu is held.
func (f *Fleet) noticeOf(id ring.VM, incarnation string, now time.Time) *notice {
	for other, n := range f.notices {
		if now.After(n.forgetAt) {
			delete(f.notices, other)
		}
	}
	n, known := f.notices[id]
	if !known || n.incarnation != incarnation {
		n = &notice{incarnation: incarnation}
		f.notices[id] = n
	}
	n.forgetAt = clock.Later(n.forgetAt, now.Add(noticeRetention))
	return n
}

// withNotice returns the entry, marked as leaving if this incarnation of the server
// has announced that it is about to stop; mu is held.
func (f *Fleet) withNotice(s ring.Server) ring.Server {
	delete(f.leavingByNotice, s.ID)
	if n, known := f.notices[s.ID]; known && n.isLeaving && n.incarnation == s.Incarnation && !s.Leaving {
		s.Leaving = true
		f.leavingByNotice[s.ID] = true
	}
	return s
}

// pausedUntil returns the time until which the server wants no requests from this
// node, or the zero time; mu is held.
func (f *Fleet) pausedUntil(s ring.Server) time.Time {
	if n, known := f.notices[s.ID]; known && n.incarnation == s.Incarnation {
		return n.pausedUntil
	}
	return time.Time{}
}

// IsPaused reports whether the server wants no requests from this node now.
func (f *Fleet) IsPaused(s ring.Server, now time.Time) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return now.Before(f.pausedUntil(s))
}

// AvailableServers returns the servers of a service that may get requests from this
// node now: they are not about to stop or in an evacuated zone, and have not asked for a pause.
func (f *Fleet) AvailableServers(service ring.Service, now time.Time) []ring.Server {
	var out []ring.Server
	for _, s := range f.Servers(service) {
		if !s.Leaving && !f.IsEvacuated(s) && !f.IsPaused(s, now) {
			out = append(out, s)
		}
	}
	return out
}

// ServersPausedUntil returns when the first of a service's servers ends its pause. It
// returns false unless all servers that are not about to stop have asked for a pause.
func (f *Fleet) ServersPausedUntil(service ring.Service, now time.Time) (time.Time, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var servers []ring.Server
	for _, s := range f.servers {
		if s.Service == service && !s.Leaving && !f.evacuated[s.Zone] {
			servers = append(servers, s)
		}
	}
	return f.allPausedUntil(servers, now)
}

// ReplicasPausedUntil returns when the first head of a model's replicas ends its pause.
// It returns false unless the heads of all replicas that accept requests have asked
// for a pause.
func (f *Fleet) ReplicasPausedUntil(service ring.Service, m ring.Model, now time.Time) (time.Time, bool) {
	f.rLockReplicas()
	defer f.mu.RUnlock()
	if len(f.notices) == 0 {
		return time.Time{}, false
	}
	var heads []ring.Server
	for _, r := range f.replicas {
		if r.Head.Service == service && r.Model == m && r.AcceptsRequests() && !r.Evacuated {
			heads = append(heads, r.Head)
		}
	}
	return f.allPausedUntil(heads, now)
}

// allPausedUntil returns when the first of the servers ends its pause, or false if one
// of them is not paused or there are none; mu is held.
func (f *Fleet) allPausedUntil(servers []ring.Server, now time.Time) (time.Time, bool) {
	var first time.Time
	for _, s := range servers {
		until := f.pausedUntil(s)
		if !now.Before(until) {
			return time.Time{}, false
		}
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return first, !first.IsZero()
}
