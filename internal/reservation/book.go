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

// Asks is how many homes a node asks for one request before it goes by its
// own estimate.
const Asks = 3

type count struct {
	running int
	pending int
}

type place struct {
	group  ring.Group
	holder string
}

// Book counts the requests at the groups whose home this node is. It may be
// used by several goroutines.
type Book struct {
	mu     sync.Mutex
	places map[place]count
	groups map[ring.Group]count
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{places: map[place]count{}, groups: map[ring.Group]count{}}
}

// Answer is what a home says to an ask.
type Answer int

// The answers. AnswerGranted: the place is taken for the holder. AnswerBusy:
// there is a slot, but others wait for their first token. AnswerFull: there is
// no slot. AnswerNone: the home did not answer.
const (
	AnswerGranted Answer = iota
	AnswerBusy
	AnswerFull
	AnswerNone
)

// Ask takes a place for the holder if the group has a free slot and few
// requests wait for their first token.
func (b *Book) Ask(g ring.Group, holder string, slots int) Answer {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.groups[g]
	switch {
	case c.running >= slots:
		return AnswerFull
	case c.pending >= maxPending:
		return AnswerBusy
	}
	b.add(g, holder, 1, 1)
	return AnswerGranted
}

// Take counts a request that was sent without asking.
func (b *Book) Take(g ring.Group, holder string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(g, holder, 1, 1)
}

// Started counts a first token.
func (b *Book) Started(g ring.Group, holder string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.places[place{g, holder}].pending > 0 {
		b.add(g, holder, 0, -1)
	}
}

// Released counts the end of a request that had its first token.
func (b *Book) Released(g ring.Group, holder string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.places[place{g, holder}].running > 0 {
		b.add(g, holder, -1, 0)
	}
}

// Correct replaces what the book counted as running for a holder by what the
// holder says of itself.
func (b *Book) Correct(holder string, outstanding map[ring.Group]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for p, c := range b.places {
		if p.holder != holder {
			continue
		}
		running := outstanding[p.group]
		b.add(p.group, holder, running-c.running, min(c.pending, running)-c.pending)
	}
}

// Drop forgets a holder that is gone.
func (b *Book) Drop(holder string) { b.Correct(holder, nil) }

// add changes the counts; mu is held.
func (b *Book) add(g ring.Group, holder string, running, pending int) {
	p := place{g, holder}
	own, all := b.places[p], b.groups[g]
	own.running += running
	own.pending += pending
	all.running += running
	all.pending += pending
	b.places[p], b.groups[g] = own, all
	if own == (count{}) {
		delete(b.places, p)
	}
}

// Home returns the home of a group among the nodes, or "" when there is none.
func Home(g ring.Group, nodes []string) string {
	best, bestScore := "", uint64(0)
	for _, n := range nodes {
		score := routing.Hash(string(g) + "@" + n)
		if best == "" || score > bestScore || (score == bestScore && n < best) {
			best, bestScore = n, score
		}
	}
	return best
}
