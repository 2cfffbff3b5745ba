package node

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/catalog"
	"eelgrassring.dev/internal/clock"
	"eelgrassring.dev/internal/event"
)

// runMembership holds the node's key in the store by a lease, and gives it up
// at the end.
func (n *Node) runMembership(ctx context.Context) {
	var lease ring.Lease
	clock.Every(ctx, n.config.Timing.Membership/3, func(ctx context.Context) {
		lease = n.keepMembership(ctx, lease)
	})
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	_ = n.config.Store.Revoke(ctx, lease)
}

func (n *Node) keepMembership(ctx context.Context, lease ring.Lease) ring.Lease {
	if lease != 0 {
		err := n.config.Store.Renew(ctx, lease)
		if !errors.Is(err, ring.ErrLeaseLost) {
			return lease
		}
		n.log.Write(event.MembershipLeaseLost)
	}
	lease, err := n.config.Store.Grant(ctx, n.config.Timing.Membership)
	if err != nil {
		return 0
	}
	value, err := json.Marshal(memberRecord{n.config.Name, n.config.PeerAddress, string(n.config.Zone), n.config.Incarnation})
	if err != nil {
		return 0
	}
	write := ring.Write{Key: catalog.NodeKey(n.config.Name), Value: value, Lease: lease}
	if _, err := n.config.Store.Commit(ctx, ring.Txn{Writes: []ring.Write{write}}); err != nil {
		return 0
	}
	return lease
}

// self returns what this node tells its peers.
func (n *Node) self() Peer {
	c, number := n.table.Configuration()
	p := Peer{
		Configuration: c,
		Name:          n.config.Name, Address: n.config.PeerAddress, Entry: n.config.Entry, Zone: n.config.Zone,
		Incarnation: n.config.Incarnation, Number: number, Draining: n.IsDraining(),
		Outstanding: n.table.Outstanding(), Leaving: n.table.Leaving(),
	}
	if n.demand != nil {
		p.Demand = n.demand.Demand()
	}
	return p
}

// runHeartbeats tells every known peer what this node knows, each on its own,
// so that a silent peer delays no other.
func (n *Node) runHeartbeats(ctx context.Context) {
	lost := map[string]bool{}
	clock.Every(ctx, n.config.Timing.Heartbeat, func(ctx context.Context) {
		self := n.self()
		n.book.Correct(n.config.Name, self.Outstanding)
		var wait sync.WaitGroup
		for _, p := range n.table.Peers() {
			wait.Go(func() { n.heartbeat(ctx, p, self) })
		}
		wait.Wait()
		n.notePeers(lost, time.Now())
	})
}

func (n *Node) heartbeat(ctx context.Context, p Peer, self Peer) {
	ctx, cancel := context.WithTimeout(ctx, n.config.Timing.Heartbeat)
	defer cancel()
	number, err := n.config.Peers.Heartbeat(ctx, p.Address, self)
	if err != nil || number <= self.Number {
		return
	}
	n.fetch(ctx, p.Address, self.Number)
}

// fetchTimeout bounds the hand-over of a configuration; a peer may be silent.
const fetchTimeout = time.Second

// fetch takes a newer configuration from a peer.
func (n *Node) fetch(ctx context.Context, address string, after int64) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	h, err := n.config.Peers.Configuration(ctx, address, after)
	if err != nil {
		return
	}
	n.accept(h.Number, h.Document)
	for _, r := range h.Records {
		n.table.PutRecord(r)
	}
}

// notePeers logs peers that were lost or came back.
func (n *Node) notePeers(lost map[string]bool, now time.Time) {
	for _, p := range n.table.Peers() {
		if p.Heard.IsZero() {
			continue
		}
		live := p.IsLive(now)
		if live == !lost[p.Name] {
			continue
		}
		lost[p.Name] = !live
		if live {
			n.log.Write(event.PeerFound, slog.String("peer", p.Name))
			continue
		}
		n.book.Drop(p.Name)
		n.log.Write(event.PeerLost, slog.String("peer", p.Name))
	}
}

// Hear takes a peer's heartbeat and returns the number of the configuration
// in force here. A peer that has a newer one is asked for it.
func (n *Node) Hear(ctx context.Context, p Peer) int64 {
	p.Heard = time.Now()
	p.Configuration = nil
	if _, number := n.table.Configuration(); p.Number != number {
		p.Demand, p.Outstanding = n.table.lastCounts(p.Name)
	}
	n.table.PutPeer(p)
	n.book.Correct(p.Name, p.Outstanding)
	_, number := n.table.Configuration()
	if p.Number > number {
		go n.fetch(context.WithoutCancel(ctx), p.Address, number)
	}
	return number
}

// Handover returns what a peer that is behind needs.
func (n *Node) Handover() Handover {
	document, number := n.table.Document()
	return Handover{Number: number, Document: document, Records: n.table.Records()}
}
