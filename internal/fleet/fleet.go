// Package fleet holds what a node knows of discovered backend servers and of
// the replicas that they form by their own word.
//
// Terms:
//
//   - Replica: the servers that name the same group and epoch; the one with
//     rank 0 is its head, which takes the requests.
//   - Load: the requests at a replica, by this node's count and by what its
//     peers last told.
//   - Still: no stream of a replica at this node has had an event for a time.
//
// Invariants:
//
//   - An entry never goes back to an older revision.
//   - A replica takes requests only while its head is open, listed and not
//     leaving.
//
// Lock order: Fleet.mu is never held while another lock is taken.
package fleet

import (
	"sort"
	"sync"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/routing"
)

// Replica is a replica as its members describe it.
type Replica struct {
	Group ring.Group
	Epoch ring.Epoch
	Model ring.Model
	Head  ring.Server
	// Members counts the listed members, the head included.
	Members int
	// Leaving is set when a member is leaving.
	Leaving bool
}

// Fleet is the shared table. It may be used by several goroutines.
type Fleet struct {
	mu        sync.RWMutex
	servers   map[ring.VM]ring.Server
	revisions map[ring.VM]ring.Revision
	// replicas are derived from servers; replicasStale is set when these changed since.
	replicas      []Replica
	replicasStale bool
	streams       map[ring.Group]*streamState
	peers         map[string]peerState
	// prefillUntil is until when a replica reads the prompts that it was sent, by
	// this node's and its peers' count.
	prefillUntil map[ring.Epoch]time.Time
	// firstEventTimes are the times to a first event by model, less the reading.
	firstEventTimes map[ring.Model]time.Duration
	// profiles are what the requests of a model are like.
	profiles map[ring.Model]routing.RequestProfile
	changed  chan struct{}
	// backoffs are replicas whose head could not be reached or refused a request,
	// and abandoned those that the controller gave up.
	backoffs       map[ring.Group]backoff
	abandonedUntil map[ring.Epoch]time.Time
}

// peerState is what a peer told; it counts until a deadline.
type peerState struct {
	validUntil time.Time
	loads      map[ring.Epoch]int
	stalled    map[ring.Epoch]time.Duration
}

// New returns an empty fleet.
func New() *Fleet {
	return &Fleet{
		servers:         map[ring.VM]ring.Server{},
		revisions:       map[ring.VM]ring.Revision{},
		streams:         map[ring.Group]*streamState{},
		peers:           map[string]peerState{},
		backoffs:        map[ring.Group]backoff{},
		abandonedUntil:  map[ring.Epoch]time.Time{},
		prefillUntil:    map[ring.Epoch]time.Time{},
		firstEventTimes: map[ring.Model]time.Duration{},
		profiles:        map[ring.Model]routing.RequestProfile{},
		changed:         make(chan struct{}),
	}
}

// Changed returns a channel that closes when something that matters to waiting
// requests changes.
func (f *Fleet) Changed() <-chan struct{} {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.changed
}

// notifyWaiters is called with mu held.
func (f *Fleet) notifyWaiters() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Put takes an entry of the registry unless the same or a newer one is known.
// It reports whether it did.
func (f *Fleet) Put(s ring.Server, at ring.Revision) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.revisions[s.ID] >= at {
		return false
	}
	f.revisions[s.ID] = at
	f.servers[s.ID] = s
	f.markReplicasStale()
	return true
}

// Remove drops an entry that was deleted at the revision. It reports whether
// there was one.
func (f *Fleet) Remove(id ring.VM, at ring.Revision) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.revisions[id] > at {
		return false
	}
	f.revisions[id] = at
	_, known := f.servers[id]
	if known {
		delete(f.servers, id)
		f.markReplicasStale()
	}
	return known
}

// Forget drops an entry as if it had never been known, so that the same revision
// may come again.
func (f *Fleet) Forget(id ring.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.revisions, id)
	if _, known := f.servers[id]; known {
		delete(f.servers, id)
		f.markReplicasStale()
	}
}

// markReplicasStale is called with mu held when an entry has changed.
func (f *Fleet) markReplicasStale() {
	f.replicasStale = true
	f.notifyWaiters()
}

// rLockReplicas locks the fleet for reading with the replicas as the servers name
// them. They are derived once for all entries that changed since: a listing
// brings a thousand.
func (f *Fleet) rLockReplicas() {
	for {
		f.mu.RLock()
		if !f.replicasStale {
			return
		}
		f.mu.RUnlock()
		f.mu.Lock()
		if f.replicasStale {
			f.rebuildReplicas()
		}
		f.mu.Unlock()
	}
}

// rebuildReplicas derives the replicas; mu is held.
func (f *Fleet) rebuildReplicas() {
	byGroup := map[ring.Group]*Replica{}
	for _, s := range f.servers {
		if s.Place.Group == "" {
			continue
		}
		r, ok := byGroup[s.Place.Group]
		if !ok || s.Place.Epoch > r.Epoch {
			r = &Replica{Group: s.Place.Group, Epoch: s.Place.Epoch}
			byGroup[s.Place.Group] = r
		}
		if s.Place.Epoch < r.Epoch {
			continue
		}
		r.Members++
		r.Leaving = r.Leaving || s.Leaving
		if s.Place.Rank == 0 {
			r.Head, r.Model = s, s.Model
		}
	}
	f.replicas = f.replicas[:0]
	for _, r := range byGroup {
		if r.Head.ID != "" {
			f.replicas = append(f.replicas, *r)
		}
	}
	sort.Slice(f.replicas, func(i, j int) bool { return f.replicas[i].Group < f.replicas[j].Group })
	f.dropIdleStreams(byGroup)
	f.replicasStale = false
}

// dropIdleStreams drops the flow of replicas that are gone and idle; mu is held.
func (f *Fleet) dropIdleStreams(known map[ring.Group]*Replica) {
	for g, one := range f.streams {
		if known[g] == nil && one.outstanding == 0 {
			delete(f.streams, g)
			delete(f.backoffs, g)
			delete(f.prefillUntil, one.epoch)
		}
	}
}

// Servers returns the servers of a service by identity.
func (f *Fleet) Servers(service ring.Service) []ring.Server {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var out []ring.Server
	for _, s := range f.servers {
		if s.Service == service {
			out = append(out, s)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Server returns an entry of the registry.
func (f *Fleet) Server(id ring.VM) (ring.Server, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	s, ok := f.servers[id]
	return s, ok
}

// Each calls do with every entry and its revision, in no order. The fleet is
// locked meanwhile.
func (f *Fleet) Each(do func(s ring.Server, at ring.Revision)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for id, s := range f.servers {
		do(s, f.revisions[id])
	}
}

// AcceptsRequests reports whether the replica may get a request now.
func (r Replica) AcceptsRequests() bool {
	return r.Head.Place.State == ring.MemberOpen && !r.Leaving
}

// Candidate is a replica that may get a request, with its load.
type Candidate struct {
	Replica Replica
	Load    int
	// Prefill is how long the replica reads the prompts that it has.
	Prefill time.Duration
}

// Candidates returns the replicas of a service's model that may get a request
// now, less those passed over.
func (f *Fleet) Candidates(service ring.Service, m ring.Model, passed map[ring.Group]bool, now time.Time) []Candidate {
	f.rLockReplicas()
	defer f.mu.RUnlock()
	var out []Candidate
	for _, r := range f.replicas {
		if r.Head.Service != service || r.Model != m || passed[r.Group] || f.exclusionReason(r, now) != ReasonNone {
			continue
		}
		out = append(out, f.candidate(r, now))
	}
	return out
}

// candidate is called with mu held.
func (f *Fleet) candidate(r Replica, now time.Time) Candidate {
	own := 0
	if flow, ok := f.streams[r.Group]; ok {
		own = flow.outstanding
	}
	return Candidate{Replica: r, Load: own + f.peerLoad(r.Epoch, now), Prefill: max(f.prefillUntil[r.Epoch].Sub(now), 0)}
}

// Reason says why a replica gets no requests.
type Reason string

// The reasons. ReasonNone: it gets requests.
const (
	ReasonNone      Reason = ""
	ReasonClosed    Reason = "the head is not open"
	ReasonLeaving   Reason = "a member is leaving"
	ReasonFailing   Reason = "the head failed or could not be reached a moment ago"
	ReasonAbandoned Reason = "the controller gave it up"
	ReasonStalled   Reason = "no stream at any node has had an event"
)

// exclusionReason is called with mu held.
func (f *Fleet) exclusionReason(r Replica, now time.Time) Reason {
	switch {
	case !r.AcceptsRequests() && r.Leaving:
		return ReasonLeaving
	case !r.AcceptsRequests():
		return ReasonClosed
	case now.Before(f.abandonedUntil[r.Epoch]):
		return ReasonAbandoned
	case now.Before(f.backoffs[r.Group].until):
		return ReasonFailing
	}
	if _, isStill := f.stalledEverywhere(r, now); isStill {
		return ReasonStalled
	}
	return ReasonNone
}

// ReplicaStatus is a replica as this node sees it.
type ReplicaStatus struct {
	Candidate
	Members []ring.VM
	Reason  Reason
}

// ReplicaStatuses returns all replicas by name.
func (f *Fleet) ReplicaStatuses(now time.Time) []ReplicaStatus {
	f.rLockReplicas()
	defer f.mu.RUnlock()
	members := map[ring.Group][]ring.VM{}
	for id, s := range f.servers {
		members[s.Place.Group] = append(members[s.Place.Group], id)
	}
	out := make([]ReplicaStatus, 0, len(f.replicas))
	for _, r := range f.replicas {
		ids := members[r.Group]
		sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
		out = append(out, ReplicaStatus{Candidate: f.candidate(r, now), Members: ids, Reason: f.exclusionReason(r, now)})
	}
	return out
}

// Replicas returns all replicas by name.
func (f *Fleet) Replicas() []Replica {
	f.rLockReplicas()
	defer f.mu.RUnlock()
	return append([]Replica(nil), f.replicas...)
}

// peerLoad sums what live peers told of a replica; mu is held.
func (f *Fleet) peerLoad(e ring.Epoch, now time.Time) int {
	load := 0
	for _, p := range f.peers {
		if now.Before(p.validUntil) {
			load += p.loads[e]
		}
	}
	return load
}

// UpdatePeer takes what a peer told of its loads and of replicas that stand still.
// It counts until the deadline.
func (f *Fleet) UpdatePeer(name string, loads map[ring.Epoch]int, still map[ring.Epoch]time.Duration, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers[name] = peerState{validUntil: until, loads: loads, stalled: still}
	f.notifyWaiters()
}

// initialBackoff is how long a replica gets no new requests of this node after its
// head could not be reached or refused one; it doubles with each failure up to
// maxBackoff, until an event comes. A dead head has no load, so it would be
// chosen again and again.
const (
	initialBackoff = 400 * time.Millisecond
	maxBackoff     = 1600 * time.Millisecond
)

// backoff keeps requests from a replica until a time.
type backoff struct {
	until time.Time
	next  time.Duration
}

// MarkFailed keeps new requests from a replica whose head failed.
func (f *Fleet) MarkFailed(g ring.Group, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	one := f.backoffs[g]
	if now.Before(one.until) {
		return // A request that was sent before.
	}
	span := max(one.next, initialBackoff)
	f.backoffs[g] = backoff{until: now.Add(span), next: min(2*span, maxBackoff)}
}

// Abandon keeps new requests from replicas that the controller gave up, though
// their heads' entries still stand, until the time.
func (f *Fleet) Abandon(epochs []ring.Epoch, now, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for e, old := range f.abandonedUntil {
		if now.After(old) {
			delete(f.abandonedUntil, e)
		}
	}
	for _, e := range epochs {
		f.abandonedUntil[e] = until
	}
}
