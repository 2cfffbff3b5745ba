package fake

import (
	"context"
	"errors"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/node"
	"eelgrassring.dev/internal/quota"
	"eelgrassring.dev/internal/reservation"
)

// peerClient implements node.PeerClient, a node's client for its peers, by
// direct calls of the peer's methods. A call succeeds only while the link to the
// peer is not blocked.
type peerClient struct {
	system *System
	from   string
}

// errPeerUnreachable is returned by calls to a node that is not running.
var errPeerUnreachable = errors.New("peer is unreachable")

// connect returns the running node named to. It fails if no such node runs; if
// the link to the node is blocked, it waits until the context ends.
func (p *peerClient) connect(ctx context.Context, to string) (*NodeProcess, error) {
	time.Sleep(linkDelay)
	peer := p.system.Node(to)
	if peer == nil {
		return nil, errPeerUnreachable
	}
	_, requests, responses, _ := p.system.Net.linkState(linkKey{p.from, to})
	if !requests || !responses {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return peer, nil
}

// Heartbeat implements node.PeerClient.
func (p *peerClient) Heartbeat(ctx context.Context, address string, self node.Peer) (int64, error) {
	peer, err := p.connect(ctx, address)
	if err != nil {
		return 0, err
	}
	return peer.Node.ReceiveHeartbeat(ctx, self), nil
}

// ReserveSlot implements node.PeerClient.
func (p *peerClient) ReserveSlot(ctx context.Context, address string, g ring.Group, holder string) (reservation.Result, error) {
	peer, err := p.connect(ctx, address)
	if err != nil {
		return reservation.ResultUnavailable, err
	}
	return peer.Node.GrantSlot(g, holder), nil
}

// AskPermit implements node.PeerClient.
func (p *peerClient) AskPermit(ctx context.Context, address string, r quota.Request) (quota.Reply, error) {
	peer, err := p.connect(ctx, address)
	if err != nil {
		return quota.Reply{}, err
	}
	return peer.Node.GrantPermit(r), nil
}

// UpdateSlots implements node.PeerClient.
func (p *peerClient) UpdateSlots(ctx context.Context, address, holder string, updates node.SlotUpdates) error {
	peer, err := p.connect(ctx, address)
	if err != nil {
		return err
	}
	peer.Node.ApplySlotUpdates(holder, updates)
	return nil
}

// FetchSnapshot implements node.PeerClient.
func (p *peerClient) FetchSnapshot(ctx context.Context, address string, _ int64) (node.Snapshot, error) {
	peer, err := p.connect(ctx, address)
	if err != nil {
		return node.Snapshot{}, err
	}
	return peer.Node.Snapshot(), nil
}
