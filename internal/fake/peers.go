package fake

import (
	"context"
	"errors"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/node"
	"eelgrassring.dev/internal/reservation"
)

// peerClient carries heartbeats between the nodes over the network's links.
type peerClient struct {
	system *System
	from   string
}

var errPeerUnreachable = errors.New("peer does not answer")

func (p *peerClient) connect(ctx context.Context, to string) (*NodeProcess, error) {
	time.Sleep(linkDelay)
	m := p.system.Node(to)
	if m == nil {
		return nil, errPeerUnreachable
	}
	_, forth, back, _ := p.system.Net.linkState(linkKey{p.from, to})
	if !forth || !back {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return m, nil
}

// Heartbeat implements node.PeerClient.
func (p *peerClient) Heartbeat(ctx context.Context, address string, self node.Peer) (int64, error) {
	m, err := p.connect(ctx, address)
	if err != nil {
		return 0, err
	}
	return m.Node.ReceiveHeartbeat(ctx, self), nil
}

// ReserveSlot implements node.PeerClient.
func (p *peerClient) ReserveSlot(ctx context.Context, address string, g ring.Group, holder string) (reservation.Result, error) {
	m, err := p.connect(ctx, address)
	if err != nil {
		return reservation.ResultUnavailable, err
	}
	return m.Node.GrantSlot(g, holder), nil
}

// UpdateSlots implements node.PeerClient.
func (p *peerClient) UpdateSlots(ctx context.Context, address, holder string, n node.SlotUpdates) error {
	m, err := p.connect(ctx, address)
	if err != nil {
		return err
	}
	m.Node.ApplySlotUpdates(holder, n)
	return nil
}

// FetchSnapshot implements node.PeerClient.
func (p *peerClient) FetchSnapshot(ctx context.Context, address string, _ int64) (node.Snapshot, error) {
	m, err := p.connect(ctx, address)
	if err != nil {
		return node.Snapshot{}, err
	}
	return m.Node.Snapshot(), nil
}
