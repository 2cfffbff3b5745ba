package node

import (
	"context"
	"sync"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/clock"
	"eelgrassring.dev/internal/reservation"
)

const (
	// askTimeout bounds the question to a home; without an answer the node
	// goes by its own estimate.
	askTimeout = 30 * time.Millisecond
	// noteDelay is how long news for homes are gathered.
	noteDelay = 10 * time.Millisecond
	// noteTimeout bounds the telling of news; heartbeats correct what is lost.
	noteTimeout = 200 * time.Millisecond
)

// home returns the address of a group's home among the live nodes, or "" when
// it is this node.
func (n *Node) home(g ring.Group, now time.Time) string {
	names := []string{n.config.Name}
	addresses := n.table.liveAddresses(now)
	for peer := range addresses {
		names = append(names, peer)
	}
	return addresses[reservation.HomeNode(g, names)]
}

// Reserve asks the home of the route's group for a place.
func (n *Node) Reserve(ctx context.Context, r Route) reservation.Result {
	address := n.home(r.Group, time.Now())
	if address == "" {
		return n.book.Reserve(r.Group, n.config.Name, r.Slots)
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := n.config.Peers.Reserve(ctx, address, r.Group, n.config.Name)
	if err != nil {
		return reservation.ResultUnavailable
	}
	return answer
}

// GrantPlace answers a peer that asks this node as a home. The slots are those
// of the group's record here.
func (n *Node) GrantPlace(g ring.Group, holder string) reservation.Result {
	state := n.table.Group(g, time.Now())
	return n.book.Reserve(g, holder, state.Record.Record.Slots)
}

// TakeNotes takes a peer's news as a home.
func (n *Node) TakeNotes(holder string, news Notes) {
	for _, g := range news.Taken {
		n.book.AddUnreserved(g, holder)
	}
	for _, g := range news.Started {
		n.book.RecordFirstToken(g, holder)
	}
	for _, g := range news.Released {
		n.book.Release(g, holder)
	}
}

// outbox gathers news for homes.
type outbox struct {
	mu     sync.Mutex
	notes  map[string]Notes
	filled chan struct{}
}

func newOutbox() *outbox {
	return &outbox{notes: map[string]Notes{}, filled: make(chan struct{}, 1)}
}

func (o *outbox) add(address string, do func(*Notes)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	notes := o.notes[address]
	do(&notes)
	o.notes[address] = notes
	select {
	case o.filled <- struct{}{}:
	default:
	}
}

func (o *outbox) empty() map[string]Notes {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := o.notes
	o.notes = map[string]Notes{}
	return out
}

func (n *Node) note(g ring.Group, do func(*Notes)) {
	address := n.home(g, time.Now())
	n.outbox.add(address, do)
}

// NoteTaken tells the home of a request that was sent without asking.
func (n *Node) NoteTaken(g ring.Group) {
	n.note(g, func(news *Notes) { news.Taken = append(news.Taken, g) })
}

// NoteStarted tells the home of a first token.
func (n *Node) NoteStarted(g ring.Group) {
	n.note(g, func(news *Notes) { news.Started = append(news.Started, g) })
}

// NoteReleased tells the home of an end.
func (n *Node) NoteReleased(g ring.Group) {
	n.note(g, func(news *Notes) { news.Released = append(news.Released, g) })
}

// runNotes tells homes the gathered news.
func (n *Node) runNotes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.outbox.filled:
		}
		clock.Sleep(ctx, noteDelay)
		for address, news := range n.outbox.empty() {
			if address == "" {
				n.TakeNotes(n.config.Name, news)
				continue
			}
			go n.sendNotes(ctx, address, news)
		}
	}
}

func (n *Node) sendNotes(ctx context.Context, address string, news Notes) {
	ctx, cancel := context.WithTimeout(ctx, noteTimeout)
	defer cancel()
	_ = n.config.Peers.Note(ctx, address, n.config.Name, news) // Heartbeats correct what is lost.
}
