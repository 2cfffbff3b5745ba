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
	// reserveTimeout bounds the question to a home; without an answer the node
	// goes by its own estimate.
	reserveTimeout = 30 * time.Millisecond
	// slotUpdateDelay is how long news for homes are gathered.
	slotUpdateDelay = 10 * time.Millisecond
	// slotUpdateTimeout bounds the telling of news; heartbeats correct what is lost.
	slotUpdateTimeout = 200 * time.Millisecond
)

// homeAddress returns the address of a group's home among the live nodes, or "" when
// it is this node.
func (n *Node) homeAddress(g ring.Group, now time.Time) string {
	names := []string{n.config.Name}
	addresses := n.table.liveAddresses(now)
	for peer := range addresses {
		names = append(names, peer)
	}
	return addresses[reservation.HomeNode(g, names)]
}

// ReserveSlot asks the home of the route's group for a place.
func (n *Node) ReserveSlot(ctx context.Context, r Route) reservation.Result {
	address := n.homeAddress(r.Group, time.Now())
	if address == "" {
		return n.reservations.Reserve(r.Group, n.config.Name, r.Slots)
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	answer, err := n.config.Peers.ReserveSlot(ctx, address, r.Group, n.config.Name)
	if err != nil {
		return reservation.ResultUnavailable
	}
	return answer
}

// GrantSlot answers a peer that asks this node as a home. The slots are those
// of the group's record here.
func (n *Node) GrantSlot(g ring.Group, holder string) reservation.Result {
	state := n.table.Group(g, time.Now())
	return n.reservations.Reserve(g, holder, state.Record.Record.Slots)
}

// ApplySlotUpdates takes a peer's news as a home.
func (n *Node) ApplySlotUpdates(holder string, news SlotUpdates) {
	for _, g := range news.Taken {
		n.reservations.AddUnreserved(g, holder)
	}
	for _, g := range news.Started {
		n.reservations.RecordFirstToken(g, holder)
	}
	for _, g := range news.Released {
		n.reservations.Release(g, holder)
	}
}

// outbox gathers news for homes.
type outbox struct {
	mu      sync.Mutex
	updates map[string]SlotUpdates
	pending chan struct{}
}

func newOutbox() *outbox {
	return &outbox{updates: map[string]SlotUpdates{}, pending: make(chan struct{}, 1)}
}

func (o *outbox) add(address string, do func(*SlotUpdates)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	notes := o.updates[address]
	do(&notes)
	o.updates[address] = notes
	select {
	case o.pending <- struct{}{}:
	default:
	}
}

func (o *outbox) takeAll() map[string]SlotUpdates {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := o.updates
	o.updates = map[string]SlotUpdates{}
	return out
}

func (n *Node) queueSlotUpdate(g ring.Group, do func(*SlotUpdates)) {
	address := n.homeAddress(g, time.Now())
	n.outbox.add(address, do)
}

// NotifyTaken tells the home of a request that was sent without asking.
func (n *Node) NotifyTaken(g ring.Group) {
	n.queueSlotUpdate(g, func(news *SlotUpdates) { news.Taken = append(news.Taken, g) })
}

// NotifyFirstToken tells the home of a first token.
func (n *Node) NotifyFirstToken(g ring.Group) {
	n.queueSlotUpdate(g, func(news *SlotUpdates) { news.Started = append(news.Started, g) })
}

// NotifyReleased tells the home of an end.
func (n *Node) NotifyReleased(g ring.Group) {
	n.queueSlotUpdate(g, func(news *SlotUpdates) { news.Released = append(news.Released, g) })
}

// runSlotUpdates tells homes the gathered news.
func (n *Node) runSlotUpdates(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.outbox.pending:
		}
		clock.Sleep(ctx, slotUpdateDelay)
		for address, news := range n.outbox.takeAll() {
			if address == "" {
				n.ApplySlotUpdates(n.config.Name, news)
				continue
			}
			go n.sendSlotUpdates(ctx, address, news)
		}
	}
}

func (n *Node) sendSlotUpdates(ctx context.Context, address string, news SlotUpdates) {
	ctx, cancel := context.WithTimeout(ctx, slotUpdateTimeout)
	defer cancel()
	_ = n.config.Peers.UpdateSlots(ctx, address, n.config.Name, news) // Heartbeats correct what is lost.
}
