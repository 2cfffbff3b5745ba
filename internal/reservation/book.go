// Package reservation keeps the places at a group exactly, although many
// nodes send to it. Each group has one home among the nodes; before a node
// sends a request it asks the home of the group that it would choose.
//
// Terms:
//
//   - Home: the node that counts a group's requests, found by rendezvous
//     hashing over the live nodes, so that all agree on it without talking.
//   - Holder: a node that has requests at the group.
//   - Pending: a request that has no first token yet; it occupies the group's
//     prefill.
//
// Invariants: the book only advises; a node whose home does not answer goes
// by its own estimate, so no request depends on it. A holder's heartbeat
// corrects what the book counted for it.
//
// Design question: heartbeats alone are 400 ms late, and at 80% load that
// sends requests to groups that are full. See docs/ROUTING.md.
package reservation

import (
	"sync"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/routing"
)

// maxPending is how many requests may wait for their first token at a group
// before others are passed on.
const maxPending = 1

// MaxHomeNodes is how many homes a node asks for one request before it goes by its
// own estimate.
const MaxHomeNodes = 3

type requestCount struct {
	running int
	pending int
}

type slotKey struct {
	group  ring.Group
	holder string
}

// Table counts the requests at the groups whose home this node is. It may be
// used by several goroutines.
type Table struct {
	mu       sync.Mutex
	byHolder map[slotKey]requestCount
	byGroup  map[ring.Group]requestCount
}

// NewTable returns an empty book.
func NewTable() *Table {
	return &Table{byHolder: map[slotKey]requestCount{}, byGroup: map[ring.Group]requestCount{}}
}

// Result is what a home says to an ask.
type Result int

// The answers. ResultGranted: the place is taken for the holder. ResultBusy:
// there is a slot, but others wait for their first token. ResultFull: there is
// no slot. ResultUnavailable: the home did not answer.
const (
	ResultGranted Result = iota
	ResultBusy
	ResultFull
	ResultUnavailable
)

// Reserve takes a place for the holder if the group has a free slot and few
// requests wait for their first token.
func (b *Table) Reserve(g ring.Group, holder string, slots int) Result {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.byGroup[g]
	switch {
	case c.running >= slots:
		return ResultFull
	case c.pending >= maxPending:
		return ResultBusy
	}
	b.add(g, holder, 1, 1)
	return ResultGranted
}

// AddUnreserved counts a request that was sent without asking.
func (b *Table) AddUnreserved(g ring.Group, holder string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(g, holder, 1, 1)
}

// RecordFirstToken counts a first token.
func (b *Table) RecordFirstToken(g ring.Group, holder string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byHolder[slotKey{g, holder}].pending > 0 {
		b.add(g, holder, 0, -1)
	}
}

// Release counts the end of a request that had its first token.
func (b *Table) Release(g ring.Group, holder string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byHolder[slotKey{g, holder}].running > 0 {
		b.add(g, holder, -1, 0)
	}
}

// Reconcile replaces what the book counted as running for a holder by what the
// holder says of itself.
func (b *Table) Reconcile(holder string, outstanding map[ring.Group]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for p, c := range b.byHolder {
		if p.holder != holder {
			continue
		}
		running := outstanding[p.group]
		b.add(p.group, holder, running-c.running, min(c.pending, running)-c.pending)
	}
}

// RemoveHolder forgets a holder that is gone.
func (b *Table) RemoveHolder(holder string) { b.Reconcile(holder, nil) }

// add changes the counts; mu is held.
func (b *Table) add(g ring.Group, holder string, running, pending int) {
	p := slotKey{g, holder}
	own, all := b.byHolder[p], b.byGroup[g]
	own.running += running
	own.pending += pending
	all.running += running
	all.pending += pending
	b.byHolder[p], b.byGroup[g] = own, all
	if own == (requestCount{}) {
		delete(b.byHolder, p)
	}
}

// HomeNode returns the home of a group among the nodes, or "" when there is none.
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
