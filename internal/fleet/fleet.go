// Package fleet holds a node's view of the discovered backend servers and of the
// replicas that their registry entries say they form.
//
// Terms:
//
//   - Replica: the servers whose entries have the same group and epoch; the one
//     with rank 0 is its head, which takes the requests.
//   - Load: the requests at a replica, as counted by this node and last reported
//     by its peers.
//   - Stalled: no stream of a replica has had an event for StallTimeout, though
//     one was due.
//   - Pinned: a request that may not continue at another replica, because it may not be
//     repeated or resumed or has no attempt left.
//   - Active: a stream of a replica has had an event within StallTimeout.
//
// Invariants:
//
//   - An entry is never replaced by an older revision.
//   - A replica takes requests only while its head is registered with the state open
//     and no member is about to stop (leaving) or in an evacuated zone.
//
// Lock order: Fleet.mu is never held while another lock is taken.
package fleet

import (
	"slices"
	"sort"
	"sync"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/coldstart"
	"eelgrassring.dev/internal/routing"
)

// Replica is a set of servers that hold one copy of a model together, as described by
// the registry entries of its members.
type Replica struct {
	Group ring.Group
	// Epoch is the number of the assignment that formed the replica.
	Epoch ring.Epoch
	Model ring.Model
	// Head is the member with rank 0, which takes the requests.
	Head ring.Server
	// Members counts the listed members, the head included.
	Members int
	// Leaving is set if a member is about to stop, and Evacuated if one is in an evacuated
	// zone.
	Leaving   bool
	Evacuated bool
}

// Fleet holds the discovered backend servers, the replicas that they form and the
// state of the replicas' streams. It is safe for concurrent use.
type Fleet struct {
	mu      sync.RWMutex
	servers map[ring.VM]ring.Server
	// leavingByNotice holds the servers that count as leaving because of a notice only;
	// their registry entries do not say so.
	leavingByNotice map[ring.VM]bool
	// revisions holds the registry revision of each server's last change, deletions
	// included.
	revisions map[ring.VM]ring.Revision
	// replicas are derived from servers; replicasStale is set when servers have
	// changed since.
	replicas      []Replica
	replicasStale bool
	// evacuated holds the availability zones whose servers get no new requests. It is
	// replaced as a whole.
	evacuated map[ring.Zone]bool
	// serverLists holds the results of Servers since servers have last changed, and
	// sortedIDs the IDs of all servers.
	serverLists map[ring.Service][]ring.Server
	sortedIDs   []ring.VM
	streams     map[ring.Group]*streamState
	peers       map[string]peerState
	// prefillUntil is the estimated time at which each replica has prefilled the
	// prompts that this node and its peers have sent to it.
	prefillUntil map[ring.Epoch]time.Time
	// firstEventTimes holds the smoothed time to first event by model, without the
	// prefill.
	firstEventTimes map[ring.Model]time.Duration
	// profiles holds the profile of the average request by model.
	profiles map[ring.Model]routing.RequestProfile
	// speeds holds the replicas of the model that are slower or faster than its others, as of
	// the last computation; the next one is due at nextSpeeds.
	speeds     map[ring.Epoch]replicaSpeed
	nextSpeeds time.Time
	// changed is closed and replaced on each change that may let a waiting request
	// start.
	changed chan struct{}
	// backoffs holds the replicas whose head could not be reached or refused a request.
	// abandonedUntil holds those that the controller abandoned: it no longer uses them,
	// though their servers are still registered.
	backoffs       map[ring.Group]backoff
	abandonedUntil map[ring.Epoch]time.Time
	// notices holds what servers announced in their responses to this node or a peer.
	notices map[ring.VM]*notice
	// cold knows the cold servers, or is nil.
	cold *coldstart.Register
}

// peerState is what a peer last reported about its requests at the replicas. The maps
// are results of LocalState at the peer.
type peerState struct {
	validUntil time.Time
	// loads holds the number of the peer's requests at each replica.
	loads map[ring.Epoch]int
	// stalled holds for how long replicas have been stalled at the peer.
	stalled map[ring.Epoch]time.Duration
	// pinned holds the replicas at which the peer has pinned requests, if it names them.
	pinned      []ring.Epoch
	namesPinned bool
}

// New returns an empty fleet.
func New() *Fleet {
	return &Fleet{
		servers:         map[ring.VM]ring.Server{},
		serverLists:     map[ring.Service][]ring.Server{},
		revisions:       map[ring.VM]ring.Revision{},
		leavingByNotice: map[ring.VM]bool{},
		streams:         map[ring.Group]*streamState{},
		peers:           map[string]peerState{},
		backoffs:        map[ring.Group]backoff{},
		abandonedUntil:  map[ring.Epoch]time.Time{},
		notices:         map[ring.VM]*notice{},
		prefillUntil:    map[ring.Epoch]time.Time{},
		speeds:          map[ring.Epoch]replicaSpeed{},
		firstEventTimes: map[ring.Model]time.Duration{},
		profiles:        map[ring.Model]routing.RequestProfile{},
		changed:         make(chan struct{}),
	}
}

// Changed returns a channel that is closed at the next change that may let a
// waiting request start.
func (f *Fleet) Changed() <-chan struct{} {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.changed
}

// notifyWaiters wakes waiting requests by closing the channel that Changed returned,
// and makes a new one for later calls. mu must be held.
func (f *Fleet) notifyWaiters() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Put stores a server's registry entry unless the same or a newer revision of it is
// known. It reports whether the entry was stored.
func (f *Fleet) Put(s ring.Server, revision ring.Revision) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.revisions[s.ID] >= revision {
		return false
	}
	f.revisions[s.ID] = revision
	if i, known := slices.BinarySearch(f.sortedIDs, s.ID); !known {
		f.sortedIDs = slices.Insert(f.sortedIDs, i, s.ID)
	}
	f.servers[s.ID] = f.withNotice(s)
	f.markReplicasStale()
	return true
}

// Remove removes a server's entry that was deleted from the registry at the revision,
// unless a newer revision is known. It reports whether an entry was removed.
func (f *Fleet) Remove(id ring.VM, revision ring.Revision) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.revisions[id] > revision {
		return false
	}
	f.revisions[id] = revision
	_, known := f.servers[id]
	if known {
		f.drop(id)
		f.markReplicasStale()
	}
	return known
}

// Forget removes a server's entry without recording a deletion, so that Put accepts an
// entry with the same revision again.
func (f *Fleet) Forget(id ring.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.revisions, id)
	if _, known := f.servers[id]; known {
		f.drop(id)
		f.markReplicasStale()
	}
}

// drop removes a server's entry; mu is held.
func (f *Fleet) drop(id ring.VM) {
	delete(f.servers, id)
	delete(f.leavingByNotice, id)
	if i, known := slices.BinarySearch(f.sortedIDs, id); known {
		f.sortedIDs = slices.Delete(f.sortedIDs, i, i+1)
	}
}

// markReplicasStale records that a server's entry has changed, so that the replicas
// are derived again before their next use; mu is held.
func (f *Fleet) markReplicasStale() {
	f.replicasStale = true
	clear(f.serverLists)
	f.notifyWaiters()
}

// rLockReplicas locks the fleet for reading and ensures that the replicas are up to
// date. It derives them once for all entries that have changed since the last time,
// because one listing of the registry can change a thousand entries.
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

// rebuildReplicas derives the replicas from the servers; mu is held.
func (f *Fleet) rebuildReplicas() {
	byGroup := map[ring.Group]*Replica{}
	for _, s := range f.servers {
		if s.Membership.Group == "" {
			continue
		}
		r, ok := byGroup[s.Membership.Group]
		if !ok || s.Membership.Epoch > r.Epoch {
			r = &Replica{Group: s.Membership.Group, Epoch: s.Membership.Epoch}
			byGroup[s.Membership.Group] = r
		}
		if s.Membership.Epoch < r.Epoch {
			continue
		}
		r.Members++
		r.Leaving = r.Leaving || s.Leaving
		r.Evacuated = r.Evacuated || f.evacuated[s.Zone]
		if s.Membership.Rank == 0 {
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
	f.pruneStreams(byGroup)
	f.replicasStale = false
}

// pruneStreams drops the stream state and the backoff of groups that are gone and
// have no outstanding requests; mu is held.
func (f *Fleet) pruneStreams(known map[ring.Group]*Replica) {
	for g, s := range f.streams {
		if known[g] == nil && s.outstanding == 0 {
			delete(f.streams, g)
			delete(f.backoffs, g)
			delete(f.prefillUntil, s.epoch)
		}
	}
}

// Servers returns the servers of a service, sorted by ID. The caller must not change the
// result.
func (f *Fleet) Servers(service ring.Service) []ring.Server {
	f.mu.RLock()
	list, isCurrent := f.serverLists[service]
	f.mu.RUnlock()
	if isCurrent {
		return list
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]ring.Server, 0, len(f.sortedIDs))
	for _, id := range f.sortedIDs {
		if s := f.servers[id]; s.Service == service {
			out = append(out, s)
		}
	}
	f.serverLists[service] = out
	return out
}

// Server returns the entry of a server, or false if the server is unknown.
func (f *Fleet) Server(id ring.VM) (ring.Server, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	s, ok := f.servers[id]
	return s, ok
}

// NewestRevision returns the registry revision of the newest known change, deletions
// included.
func (f *Fleet) NewestRevision() ring.Revision {
	f.mu.RLock()
	defer f.mu.RUnlock()
	newest := ring.Revision(0)
	for _, revision := range f.revisions {
		newest = max(newest, revision)
	}
	return newest
}

// Each calls visit with every server's entry as registered, without notices, and its
// revision, in no order. The fleet is locked during the calls.
func (f *Fleet) Each(visit func(s ring.Server, revision ring.Revision)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for id, s := range f.servers {
		s.Leaving = s.Leaving && !f.leavingByNotice[id]
		visit(s, f.revisions[id])
	}
}

// AcceptsRequests reports whether the replica takes requests: its head is registered
// with the state open and no member is about to stop.
func (r Replica) AcceptsRequests() bool {
	return r.Head.Membership.State == ring.MemberOpen && !r.Leaving
}

// Candidate is a replica with its current requests and pending prefill, by which it is
// selected for a request.
type Candidate struct {
	Replica Replica
	// Load is the number of requests that all nodes have at the replica, and Own that of
	// this node.
	Load int
	Own  int
	// Prefill is how long the replica still takes to prefill the prompts that it
	// was sent.
	Prefill time.Duration
	// Speed is the replica's speed relative to the median of those of its model, 1 for those
	// that are about as fast, or 0 if nothing was measured.
	Speed float64
	// SendAt is when the request may be sent, if the head is limited.
	SendAt time.Time
	// ColdPerSecond is how many requests a second the head takes from all nodes together now
	// because it is cold; 0: not cold.
	ColdPerSecond float64
}

// SetCold sets what knows the cold servers. It is called before the fleet is used.
func (f *Fleet) SetCold(r *coldstart.Register) { f.cold = r }

// markCold sets ColdPerSecond of candidates; mu is not held.
func (f *Fleet) markCold(candidates []Candidate, now time.Time) []Candidate {
	if f.cold == nil || f.cold.IsUnused(now) {
		return candidates
	}
	for i := range candidates {
		candidates[i].ColdPerSecond = f.cold.ColdPerSecond(candidates[i].Replica.Head, now)
	}
	return candidates
}

// Candidates returns the replicas of a service's model that may get a request
// now, without the excluded ones.
func (f *Fleet) Candidates(service ring.Service, m ring.Model, excluded map[ring.Group]bool, now time.Time) []Candidate {
	return f.markCold(f.candidates(service, m, excluded, now), now)
}

// candidates is Candidates without ColdPerSecond.
func (f *Fleet) candidates(service ring.Service, m ring.Model, excluded map[ring.Group]bool, now time.Time) []Candidate {
	f.rLockReplicas()
	defer f.mu.RUnlock()
	var out []Candidate
	for _, r := range f.replicas {
		if r.Head.Service != service || r.Model != m || excluded[r.Group] || f.exclusionReason(r, now) != ReasonNone {
			continue
		}
		out = append(out, f.candidateFor(r, now))
	}
	return out
}

// MayGetRequests reports whether a replica may still get requests.
func (f *Fleet) MayGetRequests(r Replica, now time.Time) bool {
	f.rLockReplicas()
	defer f.mu.RUnlock()
	for _, current := range f.replicas {
		if current.Epoch == r.Epoch {
			return f.exclusionReason(current, now) == ReasonNone
		}
	}
	return false
}

// candidateFor returns a replica with its request load and pending prefill; mu is
// held.
func (f *Fleet) candidateFor(r Replica, now time.Time) Candidate {
	own := 0
	if s, ok := f.streams[r.Group]; ok {
		own = s.outstanding
	}
	return Candidate{Replica: r, Load: own + f.peerLoad(r.Epoch, now), Own: own, Prefill: max(f.prefillUntil[r.Epoch].Sub(now), 0), Speed: f.speedOf(r.Epoch, now)}
}

// Reason says why a replica gets no requests, for operators.
type Reason string

// The reasons. A replica with ReasonNone gets requests.
const (
	ReasonNone      Reason = ""
	ReasonClosed    Reason = "the head is not open"
	ReasonLeaving   Reason = "a member is leaving"
	ReasonFailing   Reason = "the head recently failed or could not be reached"
	ReasonAbandoned Reason = "the controller abandoned the replica"
	ReasonStalled   Reason = "the streams at all nodes have stalled"
	ReasonPaused    Reason = "the head asked this node for a pause"
	ReasonEvacuated Reason = "a member is in an evacuated zone"
)

// exclusionReason returns why the replica gets no requests now, or ReasonNone if it
// gets requests; mu is held.
func (f *Fleet) exclusionReason(r Replica, now time.Time) Reason {
	switch {
	case r.Evacuated:
		return ReasonEvacuated
	case !r.AcceptsRequests() && r.Leaving:
		return ReasonLeaving
	case !r.AcceptsRequests():
		return ReasonClosed
	case now.Before(f.abandonedUntil[r.Epoch]):
		return ReasonAbandoned
	case now.Before(f.pausedUntil(r.Head)):
		return ReasonPaused
	case now.Before(f.backoffs[r.Group].until):
		return ReasonFailing
	}
	if _, isStalled := f.stalledEverywhere(r, now); isStalled {
		return ReasonStalled
	}
	return ReasonNone
}

// ReplicaStatus is the state of a replica as this node sees it, for operators.
type ReplicaStatus struct {
	Candidate
	// Members are the servers of the group, whatever their epoch.
	Members []ring.VM
	// Reason is why the replica gets no requests, or ReasonNone.
	Reason Reason
}

// ReplicaStatuses returns the status of all replicas, sorted by group.
func (f *Fleet) ReplicaStatuses(now time.Time) []ReplicaStatus {
	f.rLockReplicas()
	defer f.mu.RUnlock()
	members := map[ring.Group][]ring.VM{}
	for id, s := range f.servers {
		members[s.Membership.Group] = append(members[s.Membership.Group], id)
	}
	out := make([]ReplicaStatus, 0, len(f.replicas))
	for _, r := range f.replicas {
		ids := members[r.Group]
		sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
		out = append(out, ReplicaStatus{Candidate: f.candidateFor(r, now), Members: ids, Reason: f.exclusionReason(r, now)})
	}
	return out
}

// Replicas returns all replicas, sorted by group.
func (f *Fleet) Replicas() []Replica {
	f.rLockReplicas()
	defer f.mu.RUnlock()
	return append([]Replica(nil), f.replicas...)
}

// Loads returns all replicas with their requests and pending prefill.
func (f *Fleet) Loads(now time.Time) []Candidate { return f.markCold(f.loads(now), now) }

// loads is Loads without ColdPerSecond.
func (f *Fleet) loads(now time.Time) []Candidate {
	f.rLockReplicas()
	defer f.mu.RUnlock()
	out := make([]Candidate, 0, len(f.replicas))
	for _, r := range f.replicas {
		out = append(out, f.candidateFor(r, now))
	}
	return out
}

// peerLoad returns the number of requests that peers have at a replica, according to
// their reports that are still valid; mu is held.
func (f *Fleet) peerLoad(e ring.Epoch, now time.Time) int {
	load := 0
	for _, p := range f.peers {
		if now.Before(p.validUntil) {
			load += p.loads[e]
		}
	}
	return load
}

// KnowsPeerLoads reports whether a report of a peer, or of the tree of nodes, is still valid.
func (f *Fleet) KnowsPeerLoads(now time.Time) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, p := range f.peers {
		if now.Before(p.validUntil) {
			return true
		}
	}
	return false
}

// UpdatePeer stores the request counts and the stalled replicas that a peer reported;
// both are results of LocalState at the peer. The report is valid until validUntil.
func (f *Fleet) UpdatePeer(peer string, loads map[ring.Epoch]int, stalled map[ring.Epoch]time.Duration, validUntil time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers[peer] = peerState{validUntil: validUntil, loads: loads, stalled: stalled}
	f.notifyWaiters()
}

// initialBackoff is how long this node sends no new requests to a replica after a
// failure: its head could not be reached, or refused or failed a request. The time
// doubles with each failure up to maxBackoff and is reset by an event of the replica's
// streams. Without a backoff, a head that is down would be chosen again and again,
// because it has no requests.
const (
	initialBackoff = 400 * time.Millisecond
	maxBackoff     = 1600 * time.Millisecond
)

// backoff is the time in which a replica gets no new requests after a failure.
type backoff struct {
	until time.Time
	// next is the duration of the backoff after the next failure.
	next time.Duration
}

// MarkFailed records a failure of a replica: its head could not be reached, or it
// refused or failed a request. MarkFailed starts a backoff, in which this node sends
// the replica no new requests, unless one is running.
func (f *Fleet) MarkFailed(g ring.Group, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.backoffs[g]
	if now.Before(current.until) {
		return // The failed request was sent before this backoff began.
	}
	duration := max(current.next, initialBackoff)
	f.backoffs[g] = backoff{until: now.Add(duration), next: min(2*duration, maxBackoff)}
}

// Abandon excludes replicas from selection until the given time, so that they get no
// new requests from this node. It is called for abandoned replicas: the controller no
// longer uses them, though their heads are still registered.
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
