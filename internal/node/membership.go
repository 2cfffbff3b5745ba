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

// runMembership keeps the node's key in the store, bound to a lease, and revokes
// the lease when the context is cancelled.
func (n *Node) runMembership(ctx context.Context) {
	var lease ring.Lease
	clock.Every(ctx, n.config.Timing.MembershipTTL/3, func(ctx context.Context) {
		lease = n.ensureMembership(ctx, lease)
	})
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	_ = n.config.Store.Revoke(ctx, lease)
}

// ensureMembership renews the membership lease, or writes the node's key with a
// new one if it has none or it was lost. It returns 0 if that failed.
func (n *Node) ensureMembership(ctx context.Context, lease ring.Lease) ring.Lease {
	if lease != 0 {
		err := n.config.Store.Renew(ctx, lease)
		if !errors.Is(err, ring.ErrLeaseLost) {
			return lease
		}
		n.log.Write(event.MembershipLeaseLost)
	}
	lease, err := n.config.Store.Grant(ctx, n.config.Timing.MembershipTTL)
	if err != nil {
		return 0
	}
	value, err := json.Marshal(membershipRecord{n.config.Name, n.config.PeerAddress, string(n.config.Zone), n.config.Incarnation})
	if err != nil {
		return 0
	}
	write := ring.Write{Key: catalog.NodeKey(n.config.Name), Value: value, Lease: lease}
	if _, err := n.config.Store.Commit(ctx, ring.Txn{Writes: []ring.Write{write}}); err != nil {
		return 0
	}
	return lease
}

// localState returns the state that this node sends to its peers.
func (n *Node) localState() Peer {
	c, number := n.table.Configuration()
	p := Peer{
		Configuration: c,
		Name:          n.config.Name, Address: n.config.PeerAddress, CallerAddress: n.config.CallerAddress, Zone: n.config.Zone,
		Incarnation: n.config.Incarnation, ConfigNumber: number, Draining: n.IsDraining(),
		Outstanding: n.table.Outstanding(), Leaving: n.table.LeavingVMs(),
	}
	if n.demand != nil {
		p.Demand = n.demand.Demand()
	}
	return p
}

// runHeartbeats sends this node's state to all known peers concurrently, so that
// a peer that does not respond does not delay the others.
func (n *Node) runHeartbeats(ctx context.Context) {
	lost := map[string]bool{}
	clock.Every(ctx, n.config.Timing.HeartbeatInterval, func(ctx context.Context) {
		self := n.localState()
		n.reservations.Reconcile(n.config.Name, self.Outstanding)
		var wait sync.WaitGroup
		for _, p := range n.table.Peers() {
			wait.Go(func() { n.sendHeartbeat(ctx, p, self) })
		}
		wait.Wait()
		n.updateLostPeers(lost, time.Now())
	})
}

// sendHeartbeat sends one heartbeat and fetches the configuration of the peer if
// it is newer.
func (n *Node) sendHeartbeat(ctx context.Context, p Peer, self Peer) {
	ctx, cancel := context.WithTimeout(ctx, n.config.Timing.HeartbeatInterval)
	defer cancel()
	number, err := n.config.Peers.Heartbeat(ctx, p.Address, self)
	if err != nil || number <= self.ConfigNumber {
		return
	}
	n.fetchSnapshot(ctx, p.Address, self.ConfigNumber)
}

// fetchTimeout bounds the fetch of a snapshot, because a peer may not respond.
const fetchTimeout = time.Second

// fetchSnapshot fetches a newer configuration and the records from a peer.
func (n *Node) fetchSnapshot(ctx context.Context, address string, after int64) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	s, err := n.config.Peers.FetchSnapshot(ctx, address, after)
	if err != nil {
		return
	}
	n.activateDocument(s.ConfigNumber, s.Document)
	for _, r := range s.Records {
		n.table.PutRecord(r)
	}
}

// updateLostPeers logs peers that were lost or found again since the last call,
// and drops the reservations of those lost.
func (n *Node) updateLostPeers(lost map[string]bool, now time.Time) {
	for _, p := range n.table.Peers() {
		if p.HeardAt.IsZero() {
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
		n.reservations.RemoveHolder(p.Name)
		n.log.Write(event.PeerLost, slog.String("peer", p.Name))
	}
}

// ReceiveHeartbeat stores the state that a peer sent and returns the number of
// this node's active configuration. If the peer's is newer, it is fetched.
func (n *Node) ReceiveHeartbeat(ctx context.Context, p Peer) int64 {
	p.HeardAt = time.Now()
	p.Configuration = nil
	if _, number := n.table.Configuration(); p.ConfigNumber != number {
		p.Demand, p.Outstanding = n.table.peerCounts(p.Name)
	}
	n.table.UpdatePeer(p)
	n.reservations.Reconcile(p.Name, p.Outstanding)
	_, number := n.table.Configuration()
	if p.ConfigNumber > number {
		go n.fetchSnapshot(context.WithoutCancel(ctx), p.Address, number)
	}
	return number
}

// Snapshot returns the active configuration and the group records.
func (n *Node) Snapshot() Snapshot {
	document, number := n.table.Document()
	return Snapshot{ConfigNumber: number, Document: document, Records: n.table.Records()}
}
