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
	// reserveTimeout bounds a reservation at a home node. Without a response this
	// node uses its own estimate.
	reserveTimeout = 30 * time.Millisecond
	// slotUpdateDelay is how long updates are batched before they are sent.
	slotUpdateDelay = 10 * time.Millisecond
	// slotUpdateTimeout bounds the sending of updates; heartbeats correct the
	// counts if one is lost.
	slotUpdateTimeout = 200 * time.Millisecond
)

// homeAddress returns the address of a group's home node among the live nodes, or
// "" if this node is the home node.
func (n *Node) homeAddress(g ring.Group, now time.Time) string {
	names := []string{n.config.Name}
	addresses := n.table.liveAddresses(now)
	for peer := range addresses {
		names = append(names, peer)
	}
	return addresses[reservation.HomeNode(g, names)]
}

// ReserveSlot requests a slot at the home node of the route's group.
func (n *Node) ReserveSlot(ctx context.Context, r Route) reservation.Result {
	address := n.homeAddress(r.Group, time.Now())
	if address == "" {
		return n.reservations.Reserve(r.Group, n.config.Name, r.Slots)
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	result, err := n.config.Peers.ReserveSlot(ctx, address, r.Group, n.config.Name)
	if err != nil {
		return reservation.ResultUnavailable
	}
	return result
}

// GrantSlot reserves a slot for a peer at this node as the group's home node. The
// number of slots is taken from this node's record of the group.
func (n *Node) GrantSlot(g ring.Group, holder string) reservation.Result {
	state := n.table.Group(g, time.Now())
	return n.reservations.Reserve(g, holder, state.Record.Record.Slots)
}

// ApplySlotUpdates applies the updates of a holder to the reservations that this
// node keeps as a home node.
func (n *Node) ApplySlotUpdates(holder string, updates SlotUpdates) {
	for _, g := range updates.Taken {
		n.reservations.AddUnreserved(g, holder)
	}
	for _, g := range updates.FirstToken {
		n.reservations.RecordFirstToken(g, holder)
	}
	for _, g := range updates.Released {
		n.reservations.Release(g, holder)
	}
}

// outbox batches slot updates by the address of the home node; "" is this node.
type outbox struct {
	mu      sync.Mutex
	updates map[string]SlotUpdates
	pending chan struct{}
}

func newOutbox() *outbox {
	return &outbox{updates: map[string]SlotUpdates{}, pending: make(chan struct{}, 1)}
}

// addUpdate applies change to the updates that are pending for the address.
func (o *outbox) addUpdate(address string, change func(*SlotUpdates)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	updates := o.updates[address]
	change(&updates)
	o.updates[address] = updates
	select {
	case o.pending <- struct{}{}:
	default:
	}
}

// takeAll returns all pending updates and clears the outbox.
func (o *outbox) takeAll() map[string]SlotUpdates {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := o.updates
	o.updates = map[string]SlotUpdates{}
	return out
}

// queueSlotUpdate adds an update for the group's home node to the outbox.
func (n *Node) queueSlotUpdate(g ring.Group, change func(*SlotUpdates)) {
	address := n.homeAddress(g, time.Now())
	n.outbox.addUpdate(address, change)
}

// NotifyTaken notifies the home node of a request sent without a reservation.
func (n *Node) NotifyTaken(g ring.Group) {
	n.queueSlotUpdate(g, func(u *SlotUpdates) { u.Taken = append(u.Taken, g) })
}

// NotifyFirstToken notifies the home node of a request's first token.
func (n *Node) NotifyFirstToken(g ring.Group) {
	n.queueSlotUpdate(g, func(u *SlotUpdates) { u.FirstToken = append(u.FirstToken, g) })
}

// NotifyReleased notifies the home node of the end of a request.
func (n *Node) NotifyReleased(g ring.Group) {
	n.queueSlotUpdate(g, func(u *SlotUpdates) { u.Released = append(u.Released, g) })
}

// runSlotUpdates sends the pending updates to the home nodes, in batches.
func (n *Node) runSlotUpdates(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.outbox.pending:
		}
		clock.Sleep(ctx, slotUpdateDelay)
		for address, updates := range n.outbox.takeAll() {
			if address == "" {
				n.ApplySlotUpdates(n.config.Name, updates)
				continue
			}
			go n.sendSlotUpdates(ctx, address, updates)
		}
	}
}

func (n *Node) sendSlotUpdates(ctx context.Context, address string, updates SlotUpdates) {
	ctx, cancel := context.WithTimeout(ctx, slotUpdateTimeout)
	defer cancel()
	_ = n.config.Peers.UpdateSlots(ctx, address, n.config.Name, updates) // Heartbeats correct the counts if this fails.
}
