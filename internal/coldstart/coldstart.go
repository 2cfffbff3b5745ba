// Package coldstart knows which backend servers are cold, so that they take few requests.
//
// Terms:
//
//   - Cold: a server is slow, and takes only its service's rate of requests from all nodes
//     together, until a moment. It is cold after a start during traffic, or when it says so.
//   - Sighting: when a node first knew of an incarnation of a server, by the store or a peer.
//   - Statement: how much longer a server is cold, as it said in its registry entry or in an
//     answer to a health check or inspection.
//   - Notice: what a node tells another one of a server: its sighting and the statements.
//   - Informed: a node that lately knew the whole registry, itself or by a peer.
//
// Invariants:
//
//   - A server is cold until the latest of three moments: its sighting and the time for which
//     servers of its service are cold after a start, and what its newest entry and newest answer
//     said. The sighting is not earlier than the start.
//   - Of two sightings the earlier holds, of two entries that of the later revision, of two
//     answers the later one. So a late message neither makes a server cold again nor ends it.
//   - A server that was warm and says that it is cold makes the others of its service and zone
//     count as cold for newsTime: they may have become so with it, and a node that has not heard of
//     some of them yet would send these all that the others do not take.
//   - A node that is not informed takes all servers for cold whose service knows it.
//   - Without a service whose servers are cold after a start, no server is cold.
package coldstart

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/clock"
	"eelgrassring.dev/internal/quota"
)

const (
	// SafePerSecond is the rate of cold servers whose service names none that can be used, and
	// never named one.
	SafePerSecond = 1
	// SafeStart is for how long servers are cold after a start whose service names no time that
	// can be read, and never named one.
	SafeStart = 5 * time.Second
	// informedTimeout is how long after the last call of MarkInformed a node is informed.
	informedTimeout = time.Second
	// retention is how long a server is kept after it was last seen or noticed, and maxServers
	// bounds those that are kept. A server that is not known counts as seen now.
	retention  = 10 * time.Minute
	maxServers = 10_000
	// newsTime is how long after a server has become cold without a start the others of its
	// service and zone count as cold: the news of them may be on its way, or lost and repeated.
	newsTime = 1200 * time.Millisecond
	// maxAge bounds the ages and times in a notice.
	maxAge = time.Hour
)

// rate is for how long and how much the servers of a service are held back.
type rate struct {
	start     time.Duration
	perSecond float64
}

// entryStatement is what a server said in its entry as of a revision.
type entryStatement struct {
	revision ring.Revision
	until    time.Time
}

// answerStatement is what a server said in an answer.
type answerStatement struct {
	at    time.Time
	until time.Time
}

// server is what is known of an incarnation of a server.
type server struct {
	// service and zone are empty, and perSecond is set, if only peers know it.
	service   ring.Service
	zone      ring.Zone
	vm        ring.VM
	perSecond float64
	sightedAt time.Time
	entry     entryStatement
	answer    answerStatement
	// start is the service's time for which it is cold after a start, as a peer said; it holds
	// while the service is not known.
	start time.Duration
	// saidAt is when this node last learned of a newer statement.
	saidAt time.Time
	// usedAt is when it was last seen or noticed.
	usedAt time.Time
}

// place returns where a server is; it is empty if only peers know it.
func (s *server) place() Place { return Place{s.service, s.zone} }

// Register holds what a node knows of cold servers. It implements quota.ColdServers, and is safe
// for concurrent use. The zero value is not usable; see NewRegister.
type Register struct {
	// isUsed is set while a service's servers are cold after a start.
	isUsed atomic.Bool
	// informedAt is the time of the last MarkInformed, and coldUntil when the last server ends to
	// be cold, or later. Each request reads them, without a lock.
	informedAt atomic.Pointer[time.Time]
	coldUntil  atomic.Pointer[time.Time]
	mu         sync.RWMutex
	// number is that of the configuration.
	number  int64
	rates   map[ring.Service]rate
	servers map[quota.Key]*server
	// newsUntil is until when the servers of a place count as cold because of news of one.
	newsUntil map[Place]time.Time
}

// NewRegister returns a register without services.
func NewRegister() *Register {
	return &Register{rates: map[ring.Service]rate{}, servers: map[quota.Key]*server{}, newsUntil: map[Place]time.Time{}}
}

// SetServices sets the services of the configuration with a number, unless that of a larger one
// were set. It returns an error for each service whose values cannot be used: the last ones that
// could hold, or SafePerSecond.
func (r *Register) SetServices(number int64, services []ring.RoutedService) []error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if number < r.number {
		return nil
	}
	r.number = number
	var errs []error
	rates, isUsed := map[ring.Service]rate{}, false
	for _, s := range services {
		last, known := r.rates[s.Name]
		next := rate{s.ColdStart, s.ColdPerSecond}
		if s.ColdStart < 0 {
			errs = append(errs, fmt.Errorf("service %s: the time for which a server is cold cannot be read", s.Name))
			if next = last; !known {
				next.start = SafeStart
			}
		}
		if next.start > 0 && !(next.perSecond > 0) {
			if next.perSecond = SafePerSecond; known && last.perSecond > 0 {
				next.perSecond = last.perSecond
			}
			errs = append(errs, fmt.Errorf("service %s: the rate of a cold server is not a number above 0; %g requests a second hold", s.Name, next.perSecond))
		}
		if next.start > 0 {
			rates[s.Name], isUsed = next, true
		}
	}
	r.rates = rates
	r.isUsed.Store(isUsed)
	return errs
}

// IsUnused implements quota.ColdServers.
func (r *Register) IsUnused(now time.Time) bool {
	if !r.isUsed.Load() {
		return true
	}
	until := r.coldUntil.Load()
	return (until == nil || !now.Before(*until)) && r.IsInformed(now)
}

// noteStatement updates what follows from a new statement of a server, which was cold until before;
// mu is held.
func (r *Register) noteStatement(s *server, before, now time.Time) {
	s.saidAt = now
	r.noteUntil(s)
	if !now.Before(before) && now.Before(r.until(s)) {
		r.newsUntil[s.place()] = now.Add(newsTime)
		r.raiseUntil(now.Add(newsTime))
	}
}

// noteUntil updates coldUntil after a change of a server; mu is held.
func (r *Register) noteUntil(s *server) { r.raiseUntil(r.until(s)) }

// raiseUntil makes coldUntil at least a time; mu is held.
func (r *Register) raiseUntil(until time.Time) {
	if last := r.coldUntil.Load(); last == nil || until.After(*last) {
		r.coldUntil.Store(&until)
	}
}

// MarkInformed records that the node knows the whole registry now.
func (r *Register) MarkInformed(now time.Time) { r.informedAt.Store(&now) }

// IsInformed reports whether the node lately knew the whole registry.
func (r *Register) IsInformed(now time.Time) bool {
	at := r.informedAt.Load()
	return at != nil && now.Sub(*at) <= informedTimeout
}

// See records that a node knows of a server by an entry without its statement, as peers send it.
func (r *Register) See(s ring.Server, now time.Time) {
	if !r.isUsed.Load() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.see(s, now)
}

// see returns what is kept of a server of a service whose servers are cold, or nil; mu is held.
func (r *Register) see(s ring.Server, now time.Time) *server {
	if _, known := r.rates[s.Service]; !known {
		return nil
	}
	known := r.update(quota.KeyOf(s.ID, s.Incarnation), now)
	if known != nil {
		known.service, known.zone, known.vm = s.Service, s.Zone, s.ID
		r.noteUntil(known)
	}
	return known
}

// update returns what is kept of a server, which is sighted now if nothing is, or nil if there is
// no room; mu is held.
func (r *Register) update(k quota.Key, now time.Time) *server {
	known := r.servers[k]
	if known == nil {
		if !r.makeRoom(now) {
			return nil
		}
		known = &server{sightedAt: now}
		r.servers[k] = known
	}
	known.usedAt = now
	return known
}

// makeRoom drops servers that were not seen for long and reports whether there is room for
// another one; mu is held.
func (r *Register) makeRoom(now time.Time) bool {
	if len(r.servers) < maxServers {
		return true
	}
	for k, s := range r.servers {
		if now.Sub(s.usedAt) > retention {
			delete(r.servers, k)
		}
	}
	return len(r.servers) < maxServers
}

// ObserveEntry records a server's registry entry as of a revision. It reports whether the entry
// makes the server cold.
func (r *Register) ObserveEntry(s ring.Server, revision ring.Revision, now time.Time) bool {
	if !r.isUsed.Load() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.see(s, now)
	if known == nil || !s.SaysCold || revision <= known.entry.revision {
		return false
	}
	wasCold, before := now.Before(known.entry.until), r.until(known)
	known.entry = entryStatement{revision, now.Add(s.ColdFor)}
	r.noteStatement(known, before, now)
	return !wasCold && s.ColdFor > 0
}

// ObserveAnswer records what a server said in an answer. It reports whether the answer makes the
// server cold, or no longer does.
func (r *Register) ObserveAnswer(s ring.Server, left time.Duration, now time.Time) bool {
	if !r.isUsed.Load() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.see(s, now)
	if known == nil || !now.After(known.answer.at) {
		return false
	}
	wasCold, before := now.Before(known.answer.until), r.until(known)
	known.answer = answerStatement{now, now.Add(left)}
	r.noteStatement(known, before, now)
	return wasCold != (left > 0)
}

// TakeBack records that a zone is used again that got no requests for a while. Its servers may
// have become cold meanwhile, and their entries may not have come yet, so that each one counts as
// if it had just answered that it is cold, until it says otherwise.
func (r *Register) TakeBack(zone ring.Zone, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.servers {
		if held := r.rateOf(s); s.zone == zone && held.perSecond > 0 && now.After(s.answer.at) {
			s.answer = answerStatement{now, clock.Later(s.answer.until, now.Add(held.start))}
			r.noteUntil(s)
		}
	}
}

// rateOf returns the rate of a server; mu is held.
func (r *Register) rateOf(s *server) rate {
	if known, ok := r.rates[s.service]; ok {
		return known
	}
	return rate{s.start, s.perSecond}
}

// until returns when a server ends to be cold by what is known of it; mu is held.
func (r *Register) until(s *server) time.Time {
	until := s.sightedAt.Add(r.rateOf(s).start)
	return clock.Later(until, clock.Later(s.entry.until, s.answer.until))
}

// Rate implements quota.ColdServers.
func (r *Register) Rate(k quota.Key, now time.Time) (perSecond float64, isCold bool) {
	if r.IsUnused(now) {
		return 0, false
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	s := r.servers[k]
	if s == nil {
		return 0, false
	}
	held := r.rateOf(s)
	isCold = now.Before(r.until(s)) || r.isNews(s, now) || !r.IsInformed(now)
	return held.perSecond, held.perSecond > 0 && isCold
}

// isNews reports whether a server counts as cold because of news of another one, and has said
// nothing since; mu is held.
func (r *Register) isNews(s *server, now time.Time) bool {
	until := r.newsUntil[s.place()]
	return now.Before(until) && s.saidAt.Before(until.Add(-newsTime))
}

// ColdPerSecond returns how many requests a second a server takes from all nodes because it is
// cold, or 0 if it is not.
func (r *Register) ColdPerSecond(s ring.Server, now time.Time) float64 {
	if r.IsUnused(now) {
		return 0
	}
	if perSecond, isCold := r.Rate(quota.KeyOf(s.ID, s.Incarnation), now); isCold {
		return perSecond
	}
	return 0
}

// Notice implements quota.ColdServers.
func (r *Register) Notice(k quota.Key, now time.Time) (quota.ColdNotice, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	s := r.servers[k]
	if s == nil || !r.isUsed.Load() {
		return quota.ColdNotice{}, false
	}
	held := r.rateOf(s)
	n := quota.ColdNotice{
		Server: k, PerSecond: held.perSecond, Start: held.start, Sighted: now.Sub(s.sightedAt),
		EntryRevision: int64(s.entry.revision), EntryLeft: max(s.entry.until.Sub(now), 0),
	}
	if !s.answer.at.IsZero() {
		n.HasAnswer, n.AnswerAge, n.AnswerLeft = true, now.Sub(s.answer.at), max(s.answer.until.Sub(now), 0)
	}
	return n, held.perSecond > 0
}

// Apply implements quota.ColdServers.
func (r *Register) Apply(n quota.ColdNotice, now time.Time) (hasNewerAnswer bool) {
	if !r.isUsed.Load() || !(n.PerSecond > 0) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.update(n.Server, now)
	if s == nil {
		return false
	}
	before := r.until(s)
	s.perSecond, s.start = n.PerSecond, bounded(n.Start)
	if at := now.Add(-bounded(n.Sighted)); at.Before(s.sightedAt) {
		s.sightedAt = at
	}
	isNewer := false
	revision, until := ring.Revision(n.EntryRevision), now.Add(bounded(n.EntryLeft))
	switch {
	case revision > s.entry.revision:
		s.entry, isNewer = entryStatement{revision, until}, true
	case revision == s.entry.revision && until.Before(s.entry.until):
		s.entry.until = until
	}
	if at := now.Add(-bounded(n.AnswerAge)); n.HasAnswer && at.After(s.answer.at) {
		s.answer, isNewer, hasNewerAnswer = answerStatement{at, now.Add(bounded(n.AnswerLeft))}, true, true
	}
	if isNewer {
		r.noteStatement(s, before, now)
	}
	r.noteUntil(s)
	return hasNewerAnswer
}

// bounded returns a duration of a notice within the bounds of one.
func bounded(d time.Duration) time.Duration { return min(max(d, 0), maxAge) }

// Place is a service and a zone.
type Place struct {
	Service ring.Service
	Zone    ring.Zone
}

// Cold is a cold server.
type Cold struct {
	Key       quota.Key
	VM        ring.VM
	Until     time.Time
	PerSecond float64
	// IsSaid is set if it says that it is cold for longer than after its start.
	IsSaid bool
	Place
}

// All returns the servers that are cold by what is known of them, sorted by ID and incarnation. It
// leaves out those that only peers know.
func (r *Register) All(now time.Time) []Cold {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var out []Cold
	for k, s := range r.servers {
		if until := r.until(s); s.service != "" && now.Before(until) && r.rateOf(s).perSecond > 0 {
			out = append(out, Cold{k, s.vm, until, r.rateOf(s).perSecond, until.After(s.sightedAt.Add(r.rateOf(s).start)), s.place()})
		}
	}
	slices.SortFunc(out, func(a, b Cold) int { return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Key, b.Key)) })
	return out
}
