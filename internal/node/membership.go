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

// runMembership keeps this node's membership key, by which other nodes find it, in
// the store. The key is bound to a lease, which is revoked when ctx is cancelled.
func (n *Node) runMembership(ctx context.Context) {
	var lease ring.Lease
	clock.Every(ctx, n.config.Timing.MembershipTTL/3, func(ctx context.Context) {
		lease = n.ensureMembership(ctx, lease)
	})
	if lease.IsZero() {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	_ = n.config.Store.Revoke(ctx, lease)
}

// ensureMembership renews the membership lease. If there is none or it was lost, it grants
// a new lease and writes the node's key under it. It returns the lease to which the
// key is bound, or none if the grant or the write failed.
func (n *Node) ensureMembership(ctx context.Context, lease ring.Lease) ring.Lease {
	if !lease.IsZero() {
		err := n.config.Store.Renew(ctx, lease)
		if !errors.Is(err, ring.ErrLeaseLost) {
			return lease
		}
		n.log.Write(event.MembershipLeaseLost)
	}
	lease, err := n.config.Store.Grant(ctx, n.config.Timing.MembershipTTL)
	if err != nil {
		return ring.Lease{}
	}
	value, err := json.Marshal(membershipRecord{n.config.Name, n.config.PeerAddress, string(n.config.Zone), n.config.Incarnation})
	if err != nil {
		return ring.Lease{}
	}
	write := ring.Write{Key: catalog.NodeKey(n.config.Name), Value: value, Lease: lease}
	if _, err := n.config.Store.Commit(ctx, ring.Txn{Writes: []ring.Write{write}}); err != nil {
		return ring.Lease{}
	}
	return lease
}

// localState returns the state that this node's heartbeats send: its address,
// configuration number, request counts and leaving VMs.
func (n *Node) localState() Peer {
	c, number := n.table.Configuration()
	p := Peer{
		Configuration: c,
		Name:          n.config.Name, Address: n.config.PeerAddress, CallerAddress: n.config.CallerAddress, Zone: n.config.Zone,
		Incarnation: n.config.Incarnation, ConfigNumber: number, Draining: n.IsDraining(),
		Outstanding: n.table.Outstanding(), Leaving: n.table.LeavingVMs(), Limits: n.knownLimits(time.Now()),
	}
	if n.demand != nil {
		p.Demand = n.demand.Demand()
	}
	n.addSuspects(&p, time.Now())
	return p
}

// runHeartbeats sends this node's state at intervals to all known peers. It sends to
// the peers concurrently, so that a peer that does not respond does not delay the
// others.
func (n *Node) runHeartbeats(ctx context.Context) {
	lost := map[string]bool{}
	clock.Every(ctx, n.config.Timing.HeartbeatInterval, func(ctx context.Context) {
		n.sendHeartbeats(ctx)
		n.updateLostPeers(lost, time.Now())
	})
}

// sendHeartbeats sends this node's state to all known peers and waits until that has ended.
func (n *Node) sendHeartbeats(ctx context.Context) {
	self := n.localState()
	n.reservations.Reconcile(n.config.Name, self.Outstanding)
	var wait sync.WaitGroup
	for _, p := range n.table.Peers() {
		wait.Go(func() { n.sendHeartbeat(ctx, p, self) })
	}
	wait.Wait()
}

// sendHeartbeat sends self, this node's state, to one peer. If the peer's
// configuration is newer, this node fetches it from the peer. A failed heartbeat is
// not repeated.
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

// fetchSnapshot fetches the configuration and the group records of the peer at the
// address and applies those that are newer. If the fetch fails, it changes nothing.
// after is the number of this node's active configuration.
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

// updateLostPeers updates lost, the set of lost peers by name, and logs each change.
// When a peer becomes lost, its slot reservations are dropped.
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

// ReceiveHeartbeat stores the state that a peer sent and returns the number of this
// node's active configuration. If the peer's configuration is newer, this node
// fetches it in the background.
func (n *Node) ReceiveHeartbeat(ctx context.Context, p Peer) int64 {
	p.HeardAt = time.Now()
	p.Configuration = nil
	n.applyLimits(p.Limits)
	n.applySuspects(p)
	p.Limits, p.Strikes, p.Sound, p.Refusals = nil, nil, nil, nil
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

// Snapshot returns this node's active configuration and group records, for a peer
// whose configuration is older.
func (n *Node) Snapshot() Snapshot {
	document, number := n.table.Document()
	return Snapshot{ConfigNumber: number, Document: document, Records: n.table.Records()}
}
