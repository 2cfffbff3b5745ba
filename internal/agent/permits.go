package agent

import (
	"context"
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"eelgrassring.dev/internal/digest"
	"eelgrassring.dev/internal/quota"
)

const (
	// quotaViewTTL is how long the computed view of the members is used.
	quotaViewTTL = 50 * time.Millisecond
	// limitsPerDatagram is the number of limits that are repeated at a time, and
	// limitInterval the time between two repetitions.
	limitsPerDatagram = 16
	limitInterval     = time.Second
	// permitBytesPerSecond and permitBurst bound the requests for permits that a node sends,
	// and the replies to those of others.
	permitBytesPerSecond = 1500
	permitBurst          = 3000
)

// permits holds what a node needs to get and give permits for limited servers. It is
// guarded by Agent.mu, but for the limiters and what only the digest loop uses.
type permits struct {
	askLimiter   *rate.Limiter
	replyLimiter *rate.Limiter
	// replies holds, by ID, the channels for replies to requests for permits.
	replies map[uint64]chan quota.Reply
	lastID  uint64
	// view is the last view of the members, and homes the addresses of the members in it.
	view   quota.View
	viewAt time.Time
	homes  map[string]string
	// repeatAt is when limits are next repeated, and repeated counts those that were. Only the
	// digest loop uses them.
	repeatAt time.Time
	repeated int
}

// newPermits returns the state of a node that has just started.
func newPermits() permits {
	newLimiter := func() *rate.Limiter { return rate.NewLimiter(permitBytesPerSecond, permitBurst) }
	return permits{askLimiter: newLimiter(), replyLimiter: newLimiter(), replies: map[uint64]chan quota.Reply{}}
}

// Quota returns the client that gets the permits for this node's requests to limited
// servers.
func (a *Agent) Quota() *quota.Client { return a.quota }

// QuotaView implements quota.Cluster.
func (a *Agent) QuotaView(now time.Time) quota.View {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := &a.permits
	if now.Sub(p.viewAt) < quotaViewTTL && !p.viewAt.IsZero() {
		return p.view
	}
	members, homes, inTouch := a.quotaMembers(now)
	if !slices.Equal(members, p.view.Members) {
		p.view.Version++
	}
	p.view.Self, p.view.Members, p.homes, p.viewAt = a.config.Name, members, homes, now
	p.view.Share = quota.Share(inTouch, len(a.peers)+1)
	return p.view
}

// quotaMembers returns the members among which home nodes are chosen, the addresses of the
// peers among them, and the number of nodes that this node is in touch with, itself
// included. In the tree of nodes, where a node does not hear of all others, the members are all
// that are registered, and the root counts those that are in touch; a node that is out of touch
// with the root is alone. mu is held.
func (a *Agent) quotaMembers(now time.Time) (members []string, homes map[string]string, inTouch int) {
	usesTree := a.usesTreeLocked()
	isInTree := usesTree && (a.isController.Load() || now.Sub(a.tree.summaryAt) <= parentTimeout)
	homes, inTouch = map[string]string{}, 1
	for name, p := range a.peers {
		isLive := isInTree || !usesTree && now.Sub(p.heardAt) <= peerTimeout
		if !isLive {
			continue
		}
		inTouch++
		if !p.isDraining {
			members = append(members, name)
			homes[name] = p.address
		}
	}
	// A node that has not listed the others would take itself for the only one. One that stops
	// leaves the permits to others, if there are any.
	if a.isStateListed && (!a.draining.Load() || len(members) == 0) {
		members = append(members, a.config.Name)
	}
	slices.Sort(members)
	if isInTree {
		inTouch = a.tree.nodeCount // as the root has counted them
	}
	return members, homes, inTouch
}

// AskPermit implements quota.Cluster.
func (a *Agent) AskPermit(ctx context.Context, home string, r quota.Request) (quota.Reply, bool) {
	replies := make(chan quota.Reply, 1)
	a.mu.Lock()
	a.permits.lastID++
	id, address := a.permits.lastID, a.permits.homes[home]
	if address != "" {
		a.permits.replies[id] = replies
	}
	a.mu.Unlock()
	if address == "" {
		return quota.Reply{}, false
	}
	defer func() {
		a.mu.Lock()
		delete(a.permits.replies, id)
		a.mu.Unlock()
	}()
	request := digest.Message{PermitRequest: &digest.PermitRequest{
		ID: id, Server: uint64(r.Server), PerSecond: float32(r.PerSecond), AgeMillis: r.Age.Milliseconds(), WaitMillis: r.MaxWait.Milliseconds(),
	}}
	if r.Cold != nil {
		request = coldRequest(id, r)
	}
	a.sendWithin(a.permits.askLimiter, address, request)
	timer := time.NewTimer(quota.AskTimeout)
	defer timer.Stop()
	select {
	case reply := <-replies:
		return reply, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return quota.Reply{}, false
}

// sendWithin sends a message to a node, unless the rate limit is reached.
func (a *Agent) sendWithin(limiter *rate.Limiter, address string, m digest.Message) {
	now := time.Now()
	if limiter.TokensAt(now) > 0 {
		limiter.ReserveN(now, a.send(address, m))
	}
}

// answerPermitRequest replies to a peer's request for a permit.
func (a *Agent) answerPermitRequest(from string, m *digest.PermitRequest) {
	now := time.Now()
	reply := a.quota.Gate().Grant(quota.Request{
		Server: quota.Key(m.Server), PerSecond: float64(m.PerSecond), Age: millis(m.AgeMillis), MaxWait: millis(m.WaitMillis),
	}, a.QuotaView(now), now)
	a.sendPermitReply(from, m.ID, reply)
}

// sendPermitReply sends the reply to a request for a permit.
func (a *Agent) sendPermitReply(to string, id uint64, reply quota.Reply) {
	a.sendWithin(a.permits.replyLimiter, to, digest.Message{PermitReply: &digest.PermitReply{
		ID: id, Result: uint8(reply.Result), WaitMillis: ceilMillis(reply.Wait), AgeMillis: reply.Age.Milliseconds(),
	}})
}

// applyPermitReply passes a home node's reply to the request that waits for it.
func (a *Agent) applyPermitReply(m *digest.PermitReply) {
	a.mu.Lock()
	replies := a.permits.replies[m.ID]
	a.mu.Unlock()
	if replies == nil {
		return
	}
	select {
	case replies <- quota.Reply{Result: quota.Result(m.Result), Wait: millis(m.WaitMillis), Age: millis(m.AgeMillis)}:
	default:
	}
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// ceilMillis returns a duration in milliseconds, rounded up.
func ceilMillis(d time.Duration) int64 {
	return int64(math.Ceil(float64(d) / float64(time.Millisecond)))
}

// AnnounceLimit implements quota.Cluster.
func (a *Agent) AnnounceLimit(o quota.Observation) {
	a.spread(digest.Message{Limits: []digest.Limit{limitMessage(o, time.Now())}}, true)
}

// limitMessage returns an observation in the form of a message.
func limitMessage(o quota.Observation, now time.Time) digest.Limit {
	return digest.Limit{Server: uint64(o.Server), IsLimited: o.IsLimited, PerSecond: float32(o.PerSecond), AgeMillis: now.Sub(o.At).Milliseconds()}
}

// applyLimits records the limits that a peer announced. In the tree of nodes it forwards
// those that have begun or ended by them.
func (a *Agent) applyLimits(limits []digest.Limit) {
	now := time.Now()
	var changed []digest.Limit
	for _, m := range limits {
		o := quota.Observation{Server: quota.Key(m.Server), IsLimited: m.IsLimited, PerSecond: float64(m.PerSecond), At: now.Add(-millis(m.AgeMillis))}
		if a.quota.Gate().Registry().Observe(o) {
			changed = append(changed, m)
		}
	}
	if len(changed) > 0 {
		a.spread(digest.Message{Limits: changed}, false)
	}
}

// repeatLimits sends limits to nodes, at most once every limitInterval, and returns the
// number of bytes sent. A node that has just started, or missed a message, learns of them
// so. Without the tree of nodes, each limit is repeated by its server's home node. Only
// the digest loop calls it.
func (a *Agent) repeatLimits(addresses []string, now time.Time) int {
	p := &a.permits
	if now.Before(p.repeatAt) || a.quota.Gate().Registry().IsEmpty() {
		return 0
	}
	p.repeatAt = now.Add(limitInterval)
	all := a.quota.Gate().Registry().All(now)
	if !a.usesTree() {
		all = slices.DeleteFunc(all, func(o quota.Observation) bool { return !a.quota.IsHome(o.Server, now) })
	}
	var m digest.Message
	for range min(len(all), limitsPerDatagram) {
		p.repeated++
		m.Limits = append(m.Limits, limitMessage(all[p.repeated%len(all)], now))
	}
	sent := 0
	for _, address := range addresses {
		if len(m.Limits) > 0 {
			sent += a.send(address, m)
		}
	}
	return sent
}
