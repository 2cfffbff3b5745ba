package node

import (
	"sort"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/limit"
)

// UpdatePeer stores the state that a peer sent in a heartbeat, unless a later
// heartbeat is known. It returns true if it stored the state and the peer was unknown
// or lost before.
func (t *Table) UpdatePeer(p Peer) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.peers[p.Name]
	if known && old.HeardAt.After(p.HeardAt) {
		return false
	}
	t.peers[p.Name] = p
	t.notifyWaiters()
	return !known || p.HeardAt.Sub(old.HeardAt) > peerTimeout
}

// peerCounts returns a peer's last known request counts by workspace and by group.
// They are used when the counts of a heartbeat cannot be decoded because the peer has
// another configuration.
func (t *Table) peerCounts(name string) (map[ring.Workspace]PeerDemand, map[ring.Group]int) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	p := t.peers[name]
	return p.Demand, p.Outstanding
}

// SetMemberNodes sets the names of the nodes that have a membership key in the store.
func (t *Table) SetMemberNodes(names map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.memberNodes = names
}

// Peers returns the last known states of all peers sorted by name, including lost
// peers.
func (t *Table) Peers() []Peer {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]Peer, 0, len(t.peers))
	for _, p := range t.peers {
		out = append(out, p)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// liveAddresses maps the names of the live peers that are not draining to their
// addresses.
func (t *Table) liveAddresses(now time.Time) map[string]string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make(map[string]string, len(t.peers))
	for _, p := range t.peers {
		if p.IsLive(now) && !p.Draining {
			out[p.Name] = p.Address
		}
	}
	return out
}

// IsLive reports whether the peer's last heartbeat is at most peerTimeout old.
func (p Peer) IsLive(now time.Time) bool {
	return now.Sub(p.HeardAt) <= peerTimeout
}

// LimitView returns the input from which package limit computes this node's share of
// a workspace's limit: the node's own demand and the demand of all live peers.
// demandSince is when this node's demand began, or zero if there is none.
func (t *Table) LimitView(w ring.Workspace, workspaceLimit int, own limit.Demand, demandSince, now time.Time) limit.View {
	t.mu.RLock()
	defer t.mu.RUnlock()
	v := limit.View{Limit: workspaceLimit, Own: own, Nodes: max(1, len(t.memberNodes)), Confirmed: !demandSince.IsZero()}
	for _, p := range t.peers {
		if !p.IsLive(now) {
			continue
		}
		d := p.Demand[w]
		v.Peers = append(v.Peers, limit.Demand{Running: d.Running, Queued: d.Queued})
		v.Confirmed = v.Confirmed && p.HeardAt.After(demandSince)
	}
	return v
}
