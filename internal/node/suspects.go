package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"eelgrassring.dev/internal/suspect"
)

const (
	// newsRetention is how long heartbeats carry what this node has found of requests and the
	// ends of servers; maxNews bounds the findings of each kind.
	newsRetention = 5 * time.Second
	maxNews       = 300
)

// finding is something that heartbeats carry until a time.
type finding[T any] struct {
	what  T
	until time.Time
}

// suspectNews are the latest findings of this node.
type suspectNews struct {
	mu      sync.Mutex
	strikes []finding[suspect.Strike]
	sound   []finding[suspect.Digest]
}

// addFinding adds a finding to a list, without those that are outdated, and with at most maxNews.
func addFinding[T any](list []finding[T], what T, now time.Time) []finding[T] {
	list = append(currentFindings(list, now), finding[T]{what, now.Add(newsRetention)})
	return list[max(len(list)-maxNews, 0):]
}

// currentFindings returns the findings that are not outdated.
func currentFindings[T any](list []finding[T], now time.Time) []finding[T] {
	return slices.DeleteFunc(list, func(f finding[T]) bool { return now.After(f.until) })
}

// Suspects returns the registry of requests under which backend servers have ended.
func (n *Node) Suspects() *suspect.Registry { return n.suspects }

// AnnounceStrike tells the peers that a server has ended under a request.
func (n *Node) AnnounceStrike(s suspect.Strike) {
	n.news.mu.Lock()
	n.news.strikes = addFinding(n.news.strikes, s, time.Now())
	n.news.mu.Unlock()
	n.tellNews()
}

// AnnounceSound tells the peers that responses to suspected requests were complete.
func (n *Node) AnnounceSound(subjects []suspect.Digest, _ bool) {
	n.news.mu.Lock()
	for _, d := range subjects {
		n.news.sound = addFinding(n.news.sound, d, time.Now())
	}
	n.news.mu.Unlock()
	n.tellNews()
}

// tellNews asks for a heartbeat at once.
func (n *Node) tellNews() {
	select {
	case n.newsAdded <- struct{}{}:
	default:
	}
}

// runSuspectNews sends a heartbeat whenever there are findings, until ctx is cancelled.
func (n *Node) runSuspectNews(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.newsAdded:
			n.sendHeartbeats(ctx)
		}
	}
}

// addSuspects adds to this node's state what heartbeats carry of requests and the ends of
// servers.
func (n *Node) addSuspects(p *Peer, now time.Time) {
	if n.suspects.IsEmpty(now) {
		return
	}
	p.Refusals, _ = n.suspects.Decide(now)
	n.news.mu.Lock()
	defer n.news.mu.Unlock()
	n.news.strikes, n.news.sound = currentFindings(n.news.strikes, now), currentFindings(n.news.sound, now)
	for _, f := range n.news.strikes {
		p.Strikes = append(p.Strikes, f.what)
	}
	for _, f := range n.news.sound {
		p.Sound = append(p.Sound, f.what)
	}
}

// applySuspects records what a peer's heartbeat says of requests and the ends of servers.
func (n *Node) applySuspects(p Peer) {
	now := time.Now()
	for _, s := range p.Strikes {
		n.suspects.Add(s, now)
	}
	for _, r := range p.Refusals {
		if sound, _ := n.suspects.Adopt(r, now); len(sound) > 0 {
			n.AnnounceSound(sound, true)
		}
	}
	if len(p.Sound) > 0 {
		n.suspects.Acquit(p.Sound, true, now)
	}
}
