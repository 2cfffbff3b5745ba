// Package reservation counts the used slots of a group exactly, although many
// nodes send requests to it. Each group has one home node; before a node sends a
// request to a group, it requests a slot from the group's home node.
//
// Terms:
//
//   - Home node: the node that counts a group's requests. It is chosen by
//     rendezvous hashing over the live nodes, so that they agree on it without
//     communicating.
//   - Holder: a node that has requests at the group.
//   - Pending: a request that has no first token yet; it occupies the group's
//     prefill.
//
// Invariants: reservations are advisory: a node that gets no response from a home
// node uses its own estimate, so no request depends on a reservation. A holder's
// heartbeat corrects the counts of its requests.
//
// The counts in heartbeats alone would not suffice: they are 400 ms late, and at a
// request load of 80% nodes would send requests to groups that are full. See
// docs/ROUTING.md.
package reservation

import (
	"sync"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/routing"
)

// maxPending is the number of requests without a first token at which no more slots
// of a group are granted.
const maxPending = 1

// MaxHomeNodes limits, for one request, how many groups' home nodes a node asks for a
// slot. Afterwards the node uses its own estimate of the free slots.
const MaxHomeNodes = 3

// requestCount counts requests at a group.
type requestCount struct {
	running int // includes pending
	pending int // without a first token
}

// slotKey identifies the requests that one holder, the node that sent them, has at
// one group.
type slotKey struct {
	group  ring.Group
	holder string
}

// Table counts the requests that each holder (a node that sends requests) has at some
// groups. It is kept by the home node of these groups, and is safe for concurrent
// use.
type Table struct {
	mu       sync.Mutex
	byHolder map[slotKey]requestCount
	byGroup  map[ring.Group]requestCount
}

// NewTable returns a table without requests.
func NewTable() *Table {
	return &Table{byHolder: map[slotKey]requestCount{}, byGroup: map[ring.Group]requestCount{}}
}

// Result is the result of requesting a slot of a group from its home node.
type Result int

// The results of a reservation.
const (
	// ResultGranted: a slot is reserved for the holder.
	ResultGranted Result = iota
	// ResultBusy: a slot is free, but too many requests have no first token yet.
	ResultBusy
	// ResultFull: no slot is free.
	ResultFull
	// ResultUnavailable: the home node did not respond.
	ResultUnavailable
)

// Reserve reserves one of the group's slots for the holder, a node, and returns
// ResultGranted. It reserves nothing and returns ResultFull if all slots are used, or
// ResultBusy if maxPending requests at the group have no first token yet.
func (t *Table) Reserve(g ring.Group, holder string, slots int) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.byGroup[g]
	switch {
	case c.running >= slots:
		return ResultFull
	case c.pending >= maxPending:
		return ResultBusy
	}
	t.addCounts(g, holder, 1, 1)
	return ResultGranted
}

// AddUnreserved counts a request that the holder sent to the group without a
// reservation.
func (t *Table) AddUnreserved(g ring.Group, holder string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addCounts(g, holder, 1, 1)
}

// RecordFirstToken counts one of the holder's requests at the group as no longer
// pending. It does nothing if none is pending.
func (t *Table) RecordFirstToken(g ring.Group, holder string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byHolder[slotKey{g, holder}].pending > 0 {
		t.addCounts(g, holder, 0, -1)
	}
}

// Release frees the slot of one of the holder's requests at the group. The request
// has ended after its first token. Release does nothing if the holder has no request
// there.
func (t *Table) Release(g ring.Group, holder string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byHolder[slotKey{g, holder}].running > 0 {
		t.addCounts(g, holder, -1, 0)
	}
}

// Reconcile replaces the holder's counts of running requests by outstanding, the
// counts that the holder reported. Groups at which the holder has no counted request
// stay at 0.
func (t *Table) Reconcile(holder string, outstanding map[ring.Group]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, c := range t.byHolder {
		if key.holder != holder {
			continue
		}
		running := outstanding[key.group]
		t.addCounts(key.group, holder, running-c.running, min(c.pending, running)-c.pending)
	}
}

// RemoveHolder removes all requests of a lost holder from the counts.
func (t *Table) RemoveHolder(holder string) { t.Reconcile(holder, nil) }

// addCounts adds running and pending to the counts of the holder and of the group;
// both may be negative. mu must be held.
func (t *Table) addCounts(g ring.Group, holder string, running, pending int) {
	key := slotKey{g, holder}
	holderCount, groupCount := t.byHolder[key], t.byGroup[g]
	holderCount.running += running
	holderCount.pending += pending
	groupCount.running += running
	groupCount.pending += pending
	t.byHolder[key], t.byGroup[g] = holderCount, groupCount
	if holderCount == (requestCount{}) {
		delete(t.byHolder, key)
	}
}

// HomeNode returns which of the nodes keeps the reservations of the group's slots, or
// "" if there are no nodes.
func HomeNode(g ring.Group, nodes []string) string {
	best, bestScore := "", uint64(0)
	for _, n := range nodes {
		score := routing.Hash(string(g) + "@" + n)
		if best == "" || score > bestScore || (score == bestScore && n < best) {
			best, bestScore = n, score
		}
	}
	return best
}
