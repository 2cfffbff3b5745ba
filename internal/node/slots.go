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
	// reserveTimeout bounds a request for a slot to a group's home node. Without a
	// response this node uses its own estimate of the free slots.
	reserveTimeout = 30 * time.Millisecond
	// slotUpdateDelay is how long slot updates are batched before they are sent.
	slotUpdateDelay = 10 * time.Millisecond
	// slotUpdateTimeout bounds the sending of slot updates; heartbeats correct the
	// home node's counts if an update is lost.
	slotUpdateTimeout = 200 * time.Millisecond
)

// homeAddress returns the address of the live node that keeps the reservations of the
// group's slots (the group's home node). It returns "" if this node is the home node.
func (n *Node) homeAddress(g ring.Group, now time.Time) string {
	names := []string{n.config.Name}
	addresses := n.table.liveAddresses(now)
	for peer := range addresses {
		names = append(names, peer)
	}
	return addresses[reservation.HomeNode(g, names)]
}

// ReserveSlot requests a slot for a request to the route's group from the group's
// home node. It returns ResultUnavailable if the home node does not respond.
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

// GrantSlot reserves one of the group's slots for holder, a peer, and returns the
// result. It is called if this node is the group's home node. The number of slots is
// taken from this node's record of the group.
func (n *Node) GrantSlot(g ring.Group, holder string) reservation.Result {
	state := n.table.Group(g, time.Now())
	return n.reservations.Reserve(g, holder, state.Record.Record.Slots)
}

// ApplySlotUpdates applies the slot updates that holder, a node, sent to this node as
// the home node of the groups. They change the counts of the holder's requests.
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
// pending receives a value when there are updates to send.
type outbox struct {
	mu      sync.Mutex
	updates map[string]SlotUpdates
	pending chan struct{}
}

// newOutbox returns an outbox without slot updates.
func newOutbox() *outbox {
	return &outbox{updates: map[string]SlotUpdates{}, pending: make(chan struct{}, 1)}
}

// addUpdate applies change to the slot updates that are pending for the home node at
// the address, and signals pending.
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

// queueSlotUpdate applies change to the slot updates that are pending for the group's
// home node.
func (n *Node) queueSlotUpdate(g ring.Group, change func(*SlotUpdates)) {
	address := n.homeAddress(g, time.Now())
	n.outbox.addUpdate(address, change)
}

// NotifyTaken queues a slot update that tells the group's home node that this node
// sent a request to the group without a reservation.
func (n *Node) NotifyTaken(g ring.Group) {
	n.queueSlotUpdate(g, func(u *SlotUpdates) { u.Taken = append(u.Taken, g) })
}

// NotifyFirstToken queues a slot update that tells the group's home node that one of
// this node's requests has returned its first token.
func (n *Node) NotifyFirstToken(g ring.Group) {
	n.queueSlotUpdate(g, func(u *SlotUpdates) { u.FirstToken = append(u.FirstToken, g) })
}

// NotifyReleased queues a slot update that tells the group's home node that one of
// this node's requests has ended.
func (n *Node) NotifyReleased(g ring.Group) {
	n.queueSlotUpdate(g, func(u *SlotUpdates) { u.Released = append(u.Released, g) })
}

// runSlotUpdates sends the pending slot updates to the home nodes in batches, until
// ctx is cancelled.
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

// sendSlotUpdates sends a batch of slot updates to the home node at the address.
func (n *Node) sendSlotUpdates(ctx context.Context, address string, updates SlotUpdates) {
	ctx, cancel := context.WithTimeout(ctx, slotUpdateTimeout)
	defer cancel()
	_ = n.config.Peers.UpdateSlots(ctx, address, n.config.Name, updates) // Heartbeats correct the counts if this fails.
}
