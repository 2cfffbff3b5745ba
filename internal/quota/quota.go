// Package quota keeps how many requests a second each backend server takes from all
// nodes together, as the servers say in their responses, and divides it among the nodes.
//
// Terms:
//
//   - Limit: the requests a second that one incarnation of a server takes. A server
//     without one is unlimited.
//   - Observation: what a response said of its server's limit, and when.
//   - Permit: the right to send one request to a limited server at a given time.
//   - Home node: the node that gives the permits of a server. It is chosen by
//     rendezvous hashing over the members, so that the nodes agree on it without
//     communicating.
//   - Members: the nodes among which home nodes are chosen.
//   - Share: the fraction of a limit that a home node gives, lower while it is out of
//     touch with other members, which may have chosen another home node.
//
// Invariants:
//
//   - No request is sent to a server that the node knows as limited without a permit.
//   - In any time t a home node gives at most t times the limit, plus two permits. The
//     first one of a server that is new to it comes after a whole interval, since another
//     home node may have given one just before.
//   - If the members are split into parts that are out of touch, their home nodes
//     together give no more than one alone would.
//   - An observation is replaced only by a later one, so a delayed message does not bring
//     back a limit that has ended.
package quota

import (
	"slices"
	"sync"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/routing"
)

const (
	// MinPerSecond is the least rate at which permits are given, whatever the limit: a
	// server that got no requests could not say that its limit has ended.
	MinPerSecond = 0.2
	// retention is how long an observation is kept after a server last repeated it.
	retention = 10 * time.Minute
	// endRetention is how long the end of a limit is remembered. Messages that are older
	// do not arrive.
	endRetention = 30 * time.Second
	// maxObservations bounds the servers whose observations are kept.
	maxObservations = 10_000
)

// Key identifies one incarnation of a server.
type Key uint64

// KeyOf returns the key of an incarnation of a server.
func KeyOf(id ring.VM, incarnation string) Key {
	return Key(routing.Hash(string(id) + "\x00" + incarnation))
}

// Observation is what a response said of its server's limit.
type Observation struct {
	Server Key
	// IsLimited is set if the server named a limit, PerSecond.
	IsLimited bool
	PerSecond float64
	// At is when the response arrived.
	At time.Time
}

// Registry holds the latest observation of each server, of this node or a peer. The
// zero value is empty. It is safe for concurrent use.
type Registry struct {
	mu    sync.RWMutex
	known map[Key]Observation
}

// Observe records an observation unless a later one of the server is known. It reports
// whether the server's limit has begun or ended by it.
func (r *Registry) Observe(o Observation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, known := r.known[o.Server]
	if known && !o.At.After(old.At) || !known && !o.IsLimited {
		return false
	}
	if r.known == nil {
		r.known = map[Key]Observation{}
	}
	if !known && !r.makeRoom(o.At) {
		return false
	}
	r.known[o.Server] = o
	return o.IsLimited != (known && old.IsLimited)
}

// makeRoom drops outdated observations and reports whether there is room for another one;
// mu is held.
func (r *Registry) makeRoom(now time.Time) bool {
	for k, o := range r.known {
		if o.isOutdated(now) {
			delete(r.known, k)
		}
	}
	return len(r.known) < maxObservations
}

// isOutdated reports whether the observation says nothing any more.
func (o Observation) isOutdated(now time.Time) bool {
	kept := retention
	if !o.IsLimited {
		kept = endRetention
	}
	return now.Sub(o.At) > kept
}

// Limit returns the latest observation of a server, and false if it is unlimited.
func (r *Registry) Limit(k Key, now time.Time) (Observation, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	o, known := r.known[k]
	return o, known && o.IsLimited && !o.isOutdated(now)
}

// IsEmpty reports whether no observation is kept.
func (r *Registry) IsEmpty() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.known) == 0
}

// All returns the observations, in the order of their servers' keys.
func (r *Registry) All(now time.Time) []Observation {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.makeRoom(now)
	out := make([]Observation, 0, len(r.known))
	for _, o := range r.known {
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b Observation) int {
		if a.Server < b.Server {
			return -1
		}
		return 1
	})
	return out
}
