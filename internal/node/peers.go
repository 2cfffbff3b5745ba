package node

import (
	"sort"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/limit"
)

// UpdatePeer takes a heartbeat. It reports whether the peer was not known or was
// lost.
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

// peerCounts returns what a peer last told of its requests. It stands in for
// counts that cannot be read because the peer has another configuration.
func (t *Table) peerCounts(name string) (map[ring.Workspace]PeerDemand, map[ring.Group]int) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	p := t.peers[name]
	return p.Demand, p.Outstanding
}

// SetMembers takes the nodes that hold a membership in the store.
func (t *Table) SetMembers(names map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members = names
}

// Peers returns all peers by name, also lost ones.
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

// liveAddresses returns the addresses of the live peers that are not draining,
// by name.
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

// IsLive reports whether the peer was heard of lately.
func (p Peer) IsLive(now time.Time) bool {
	return now.Sub(p.HeardAt) <= peerTimeout
}

// LimitView returns what the node knows of a workspace's use of its limit.
// Since is when the node's own demand began.
func (t *Table) LimitView(w ring.Workspace, limitOf int, own limit.Demand, since, now time.Time) limit.View {
	t.mu.RLock()
	defer t.mu.RUnlock()
	v := limit.View{Limit: limitOf, Own: own, Nodes: max(1, len(t.members)), Confirmed: !since.IsZero()}
	for _, p := range t.peers {
		if !p.IsLive(now) {
			continue
		}
		d := p.Demand[w]
		v.Peers = append(v.Peers, limit.Demand{Running: d.Running, Queued: d.Queued})
		v.Confirmed = v.Confirmed && p.HeardAt.After(since)
	}
	return v
}
