package quota

import (
	"context"
	"time"
)

// Cluster is the part of a node that a Client uses: the members, and messages to them.
type Cluster interface {
	// QuotaView returns what the node knows of the members.
	QuotaView(now time.Time) View
	// AskPermit sends a home node a request for a permit and returns its reply, or false if
	// there was none within AskTimeout or before the context ended.
	AskPermit(ctx context.Context, home string, r Request) (Reply, bool)
	// AnnounceLimit tells the other nodes that a server's limit has begun or ended.
	AnnounceLimit(o Observation)
}

// Client gets the permits for one node's requests. It is safe for concurrent use.
type Client struct {
	gate    *Gate
	cluster Cluster
}

// NewClient returns a client without knowledge of limits.
func NewClient(c Cluster) *Client { return &Client{gate: NewGate(), cluster: c} }

// Gate returns the gate by which the client decides.
func (c *Client) Gate() *Gate { return c.gate }

// IsUnused reports whether no server has named a limit lately and none is cold, so that no permits
// are needed.
func (c *Client) IsUnused() bool {
	return c.gate.registry.IsEmpty() && c.gate.cold.IsUnused(time.Now())
}

// IsCold reports whether a server is cold.
func (c *Client) IsCold(k Key, now time.Time) bool {
	_, isCold := c.gate.cold.Rate(k, now)
	return isCold
}

// SetCold sets what knows the servers that are cold. It is called before the client is used.
func (c *Client) SetCold(s ColdServers) { c.gate.SetCold(s) }

// IsOpen reports whether no permit is needed for a server.
func (c *Client) IsOpen(k Key, now time.Time) bool { return c.gate.IsOpen(k, now) }

// IsHome reports whether this node gives the permits of a server.
func (c *Client) IsHome(k Key, now time.Time) bool {
	return c.gate.IsHome(k, c.cluster.QuotaView(now))
}

// IsDenied reports whether a request that may wait for maxWait certainly gets no permit for
// a server now.
func (c *Client) IsDenied(k Key, maxWait time.Duration, now time.Time) bool {
	if c.gate.IsOpen(k, now) {
		return false
	}
	return c.NextAt(k, now).Sub(now) > maxWait
}

// NextAt returns when a permit of a server may next be had, as far as this node knows.
func (c *Client) NextAt(k Key, now time.Time) time.Time {
	return c.gate.NextAt(k, c.cluster.QuotaView(now), now)
}

// Acquire gets a permit for a server, which may be used after at most maxWait. It returns
// the time from which on, or false and the time of the next try that may succeed.
func (c *Client) Acquire(ctx context.Context, k Key, maxWait time.Duration) (time.Time, bool) {
	now := time.Now()
	d := c.gate.Decide(k, maxWait, c.cluster.QuotaView(now), now)
	if d.Action == ActionAsk {
		reply, ok := c.cluster.AskPermit(ctx, d.Home, d.Request)
		if ok {
			d = c.gate.ApplyReply(k, reply, time.Now())
		} else {
			d = c.gate.Unanswered(k, time.Now())
		}
	}
	return d.At, d.Action == ActionSend
}

// Observe records what a response said of its server's limit, and tells the other nodes if
// the limit has begun or ended by it, which it reports.
func (c *Client) Observe(o Observation) bool {
	isChanged := c.gate.registry.Observe(o)
	if isChanged {
		c.cluster.AnnounceLimit(o)
	}
	return isChanged
}

// Alone is a Cluster of one node.
type Alone struct{}

// QuotaView implements Cluster.
func (Alone) QuotaView(time.Time) View {
	return View{Self: "self", Members: []string{"self"}, Share: 1, Version: 1}
}

// AskPermit implements Cluster.
func (Alone) AskPermit(context.Context, string, Request) (Reply, bool) { return Reply{}, false }

// AnnounceLimit implements Cluster.
func (Alone) AnnounceLimit(Observation) {}
