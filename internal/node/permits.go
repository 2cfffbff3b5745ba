package node

import (
	"context"
	"slices"
	"time"

	"eelgrassring.dev/internal/quota"
)

// maxHeartbeatLimits bounds the rate limits in a heartbeat. If there are more, successive
// heartbeats carry different ones.
const maxHeartbeatLimits = 100

// Quota returns the client that gets the permits for this node's requests to limited backend
// servers.
func (n *Node) Quota() *quota.Client { return n.quota }

// QuotaView implements quota.Cluster.
func (n *Node) QuotaView(now time.Time) quota.View {
	members := n.table.inTouchNodes(now)
	inTouch := len(members) + 1
	members = slices.DeleteFunc(members, n.table.isDrainingPeer)
	n.mu.Lock()
	defer n.mu.Unlock()
	// A node that has not listed the others would take itself for the only one. One that stops
	// leaves the permits to others, if there are any.
	if n.stateListed && (!n.draining || len(members) == 0) {
		members = append(members, n.config.Name)
	}
	slices.Sort(members)
	if !slices.Equal(members, n.quotaView.Members) {
		n.quotaView.Version++
	}
	n.quotaView.Self, n.quotaView.Members = n.config.Name, members
	n.quotaView.Share = quota.Share(inTouch, max(n.table.registeredNodes(), inTouch))
	return n.quotaView
}

// AskPermit implements quota.Cluster.
func (n *Node) AskPermit(ctx context.Context, home string, r quota.Request) (quota.Reply, bool) {
	address := n.table.liveAddresses(time.Now())[home]
	if address == "" {
		return quota.Reply{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, quota.AskTimeout)
	defer cancel()
	reply, err := n.config.Peers.AskPermit(ctx, address, r)
	return reply, err == nil
}

// AnnounceLimit implements quota.Cluster. The next heartbeat carries the limit.
func (n *Node) AnnounceLimit(quota.Observation) {}

// GrantPermit returns the reply to a peer's request for a permit.
func (n *Node) GrantPermit(r quota.Request) quota.Reply {
	now := time.Now()
	return n.quota.Gate().Grant(r, n.QuotaView(now), now)
}

// knownLimits returns the rate limits that the next heartbeat carries.
func (n *Node) knownLimits(now time.Time) []quota.Observation {
	if n.quota.IsUnused() {
		return nil
	}
	all := n.quota.Gate().Registry().All(now)
	if len(all) <= maxHeartbeatLimits {
		return all
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []quota.Observation
	for range maxHeartbeatLimits {
		n.sentLimits++
		out = append(out, all[n.sentLimits%len(all)])
	}
	return out
}

// applyLimits records the rate limits of a peer's heartbeat.
func (n *Node) applyLimits(limits []quota.Observation) {
	for _, o := range limits {
		n.quota.Gate().Registry().Observe(o)
	}
}

// NodeCount returns the number of registered nodes, this one included.
func (n *Node) NodeCount() int { return max(n.table.registeredNodes(), 1) }

// inTouchNodes returns the names of the live peers.
func (t *Table) inTouchNodes(now time.Time) []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out []string
	for name, p := range t.peers {
		if p.IsLive(now) {
			out = append(out, name)
		}
	}
	return out
}

// isDrainingPeer reports whether a peer said in its last heartbeat that it is stopping.
func (t *Table) isDrainingPeer(name string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.peers[name].Draining
}

// registeredNodes returns the number of nodes that have a membership key in the store.
func (t *Table) registeredNodes() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.memberNodes)
}
