// Package reservation counts the used slots of a group exactly, although many
// nodes send requests to it. Each group has one home node; before a node sends a
// request, it asks the home node of the group that it would choose for a slot.
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
// Invariants: reservations are advisory: a node whose home node does not respond
// uses its own estimate, so no request depends on a reservation. A holder's
// heartbeat corrects the counts of its requests.
//
// Heartbeats alone would not suffice: their counts are 400 ms late, and at 80%
// load that sends requests to groups that are full. See docs/ROUTING.md.
package reservation

import (
	"sync"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/routing"
)

// maxPending is the number of pending requests at which a group grants no more
// slots.
const maxPending = 1

// MaxHomeNodes is how many home nodes a node asks for one request before it uses
// its own estimate.
const MaxHomeNodes = 3

type requestCount struct {
	running int // includes pending
	pending int
}

type slotKey struct {
	group  ring.Group
	holder string
}

// Table counts the requests at the groups whose home node this node is. It is safe
// for concurrent use.
type Table struct {
	mu       sync.Mutex
	byHolder map[slotKey]requestCount
	byGroup  map[ring.Group]requestCount
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{byHolder: map[slotKey]requestCount{}, byGroup: map[ring.Group]requestCount{}}
}

// Result is the result of a reservation request to a home node.
type Result int

// The results of a reservation.
const (
	// ResultGranted: a slot is reserved for the holder.
	ResultGranted Result = iota
	// ResultBusy: a slot is free, but too many requests are pending.
	ResultBusy
	// ResultFull: no slot is free.
	ResultFull
	// ResultUnavailable: the home node did not respond.
	ResultUnavailable
)

// Reserve reserves a slot for the holder if the group has a free one and fewer
// than maxPending pending requests.
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

// AddUnreserved counts a request that was sent without a reservation.
func (t *Table) AddUnreserved(g ring.Group, holder string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addCounts(g, holder, 1, 1)
}

// RecordFirstToken counts one of the holder's pending requests as no longer
// pending.
func (t *Table) RecordFirstToken(g ring.Group, holder string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byHolder[slotKey{g, holder}].pending > 0 {
		t.addCounts(g, holder, 0, -1)
	}
}

// Release frees the slot of a request that has ended after its first token.
func (t *Table) Release(g ring.Group, holder string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byHolder[slotKey{g, holder}].running > 0 {
		t.addCounts(g, holder, -1, 0)
	}
}

// Reconcile replaces the holder's running counts by outstanding, which the holder
// reported.
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

// RemoveHolder removes the requests of a holder that is lost.
func (t *Table) RemoveHolder(holder string) { t.Reconcile(holder, nil) }

// addCounts adds to the counts of the holder and of the group. mu must be held.
func (t *Table) addCounts(g ring.Group, holder string, running, pending int) {
	key := slotKey{g, holder}
	held, total := t.byHolder[key], t.byGroup[g]
	held.running += running
	held.pending += pending
	total.running += running
	total.pending += pending
	t.byHolder[key], t.byGroup[g] = held, total
	if held == (requestCount{}) {
		delete(t.byHolder, key)
	}
}

// HomeNode returns the home node of a group among the nodes, or "" if there are no
// nodes.
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
