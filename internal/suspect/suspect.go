// Package suspect remembers the requests under which backend servers have ended, so that
// a request that crashes its servers is not sent to one after the other.
//
// Terms:
//
//   - Digest: a keyed hash of what a request asks for. A caller's repeats of a request have
//     the same digest, whatever their IDs.
//   - Strike: the end of a server's process while a request was at it. A strike is strong
//     if the request had no events yet, or only for a short time: a request that has run for
//     a while is more likely a bystander.
//
// Invariants:
//
//   - A server counts once for each request.
//   - Nothing of a request is kept but its digest, and everything is dropped a bounded
//     time after the last strike. The number of requests and of servers of each is bounded.
package suspect

import (
	"cmp"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	ring "eelgrassring.dev"
)

const (
	// maxStrikes and maxStrongStrikes are the numbers of strikes from which a request is
	// refused.
	maxStrikes       = 3
	maxStrongStrikes = 2
	// retention is how long after its last strike a request is remembered.
	retention = time.Minute
	// maxRequests bounds the requests that are remembered; those whose retention ends
	// first are dropped first.
	maxRequests = 2048
	// maxServers bounds the servers that are remembered for a request.
	maxServers = 16
)

// Digest identifies a request by what it asks for.
type Digest uint64

// NewDigest returns the digest of the parts of a request, keyed by a secret of its caller.
func NewDigest(secret string, parts ...string) Digest {
	h := hmac.New(sha256.New, []byte(secret))
	var length [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(p)))
		h.Write(length[:])
		h.Write([]byte(p))
	}
	return Digest(binary.BigEndian.Uint64(h.Sum(nil)))
}

// Strike is the end of a server's process while a request was at it. Server and
// Incarnation identify the process.
type Strike struct {
	Request     Digest
	Server      ring.VM
	Incarnation string
	IsStrong    bool
}

// Process identifies one start of a server.
type Process struct {
	Server      ring.VM
	Incarnation string
}

// Process returns the process that has ended.
func (s Strike) Process() Process { return Process{s.Server, s.Incarnation} }

// Record is what is remembered of one request.
type Record struct {
	Request Digest
	// Servers are the servers that have ended under the request, sorted.
	Servers []ring.VM
	// Strong counts the strong strikes.
	Strong int
	// Until is when the request is forgotten.
	Until time.Time
}

// IsRefused reports whether the request must not be sent to another server.
func (r Record) IsRefused() bool {
	return len(r.Servers) >= maxStrikes || r.Strong >= maxStrongStrikes
}

// entry is the state behind a Record. strikes maps each process that has ended to whether
// its strike was strong.
type entry struct {
	strikes map[Process]bool
	until   time.Time
}

// Registry holds the requests that have strikes. It is safe for concurrent use. The zero
// value is empty and usable.
type Registry struct {
	mu      sync.Mutex
	entries map[Digest]*entry
	// lastUntil is when the last of the entries is forgotten.
	lastUntil time.Time
}

// IsEmpty reports whether no request has a strike, so that no digest need be computed.
func (r *Registry) IsEmpty(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !now.Before(r.lastUntil)
}

// Add records a strike. It returns the request's record, and whether the strike was new
// or has become strong.
func (r *Registry) Add(s Strike, now time.Time) (Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prune(now)
	e, known := r.entries[s.Request]
	if !known {
		if r.entries == nil {
			r.entries = map[Digest]*entry{}
		}
		r.makeRoom()
		e = &entry{strikes: map[Process]bool{}}
		r.entries[s.Request] = e
	}
	p := s.Process()
	wasStrong, hadStrike := e.strikes[p]
	if (hadStrike && (wasStrong || !s.IsStrong)) || (!hadStrike && len(e.strikes) >= maxServers) {
		return e.record(s.Request), false
	}
	e.strikes[p] = s.IsStrong
	e.until = now.Add(retention)
	if e.until.After(r.lastUntil) {
		r.lastUntil = e.until
	}
	return e.record(s.Request), true
}

// Find returns the record of a request, which is empty if it has no strike.
func (r *Registry) Find(d Digest, now time.Time) Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, known := r.entries[d]; known && now.Before(e.until) {
		return e.record(d)
	}
	return Record{Request: d}
}

// List returns all records, sorted by the end of their retention.
func (r *Registry) List(now time.Time) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prune(now)
	out := make([]Record, 0, len(r.entries))
	for d, e := range r.entries {
		out = append(out, e.record(d))
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Or(a.Until.Compare(b.Until), cmp.Compare(a.Request, b.Request)) })
	return out
}

// Clear forgets all requests.
func (r *Registry) Clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.entries)
	r.lastUntil = time.Time{}
}

// prune forgets the requests whose retention has ended; mu is held.
func (r *Registry) prune(now time.Time) {
	for d, e := range r.entries {
		if !now.Before(e.until) {
			delete(r.entries, d)
		}
	}
}

// makeRoom forgets a request if maxRequests are remembered; mu is held.
func (r *Registry) makeRoom() {
	if len(r.entries) < maxRequests {
		return
	}
	var oldest Digest
	var until time.Time
	for d, e := range r.entries {
		if until.IsZero() || e.until.Before(until) {
			oldest, until = d, e.until
		}
	}
	delete(r.entries, oldest)
}

// record returns the record of the entry.
func (e *entry) record(d Digest) Record {
	out := Record{Request: d, Until: e.until}
	for p, isStrong := range e.strikes {
		out.Servers = append(out.Servers, p.Server)
		if isStrong {
			out.Strong++
		}
	}
	slices.Sort(out.Servers)
	return out
}
