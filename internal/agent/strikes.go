package agent

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/digest"
	"eelgrassring.dev/internal/suspect"
)

const (
	// strikeDelay is how long strikes wait for others of the same server, of which each
	// request that it ran gives several.
	strikeDelay = 10 * time.Millisecond
	// strikesPerDatagram is the number of strikes of one server that fit into a datagram.
	strikesPerDatagram = 100
	// strikeBytesPerSecond and strikeBurst bound the strikes that a node sends. A server
	// that ends with 50 requests gives 2 KB, to four children.
	strikeBytesPerSecond = 2000
	strikeBurst          = 40_000
)

// queuedStrikes maps a process that has ended to the subjects that were at it, and these to
// whether their strike is strong.
type queuedStrikes map[suspect.Process]map[suspect.Digest]bool

// strikeQueue holds strikes that are about to be sent.
type strikeQueue struct {
	mu sync.Mutex
	// own are the strikes of this node, and others those of its peers that it forwards.
	own, others queuedStrikes
	isScheduled bool
	limiter     *rate.Limiter
}

// newStrikeQueue returns an empty queue.
func newStrikeQueue() *strikeQueue {
	return &strikeQueue{own: queuedStrikes{}, others: queuedStrikes{}, limiter: rate.NewLimiter(strikeBytesPerSecond, strikeBurst)}
}

// add queues a strike, of this node if isOwn is set, and calls flush after strikeDelay
// unless a call is scheduled.
func (q *strikeQueue) add(s suspect.Strike, isOwn bool, flush func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	to, p := q.others, s.Process()
	if isOwn {
		to = q.own
	}
	if to[p] == nil {
		to[p] = map[suspect.Digest]bool{}
	}
	to[p][s.Subject] = s.IsStrong || to[p][s.Subject]
	if !q.isScheduled {
		q.isScheduled = true
		time.AfterFunc(strikeDelay, flush)
	}
}

// take returns the queued strikes as messages and empties the queue.
func (q *strikeQueue) take() (own, others []digest.Strikes) {
	q.mu.Lock()
	defer q.mu.Unlock()
	own, others = strikeMessages(q.own), strikeMessages(q.others)
	clear(q.own)
	clear(q.others)
	q.isScheduled = false
	return own, others
}

// strikeMessages returns strikes in the form of messages, one for each process that has
// ended, or more if very many subjects were at it.
func strikeMessages(strikes queuedStrikes) []digest.Strikes {
	var out []digest.Strikes
	for p, subjects := range strikes {
		m := digest.Strikes{Server: string(p.Server), Incarnation: p.Incarnation}
		for subject, isStrong := range subjects {
			if isStrong {
				m.Strong = append(m.Strong, uint64(subject))
			} else {
				m.Weak = append(m.Weak, uint64(subject))
			}
			if len(m.Strong)+len(m.Weak) == strikesPerDatagram {
				out = append(out, m)
				m.Strong, m.Weak = nil, nil
			}
		}
		if len(m.Strong)+len(m.Weak) > 0 {
			out = append(out, m)
		}
	}
	return out
}

// AnnounceStrike tells the other nodes that a backend server has ended under a subject.
func (a *Agent) AnnounceStrike(s suspect.Strike) { a.strikes.add(s, true, a.sendStrikes) }

// applyStrikes records the strikes that a peer announced. In the tree of nodes it forwards
// those that are new.
func (a *Agent) applyStrikes(m digest.Strikes) {
	now, forwards := time.Now(), a.usesTree()
	apply := func(subjects []uint64, isStrong bool) {
		for _, subject := range subjects {
			s := suspect.Strike{Subject: suspect.Digest(subject), Server: ring.VM(m.Server), Incarnation: m.Incarnation, IsStrong: isStrong}
			if _, isNew := a.config.Suspects.Add(s, now); isNew && forwards {
				a.strikes.add(s, false, a.sendStrikes)
			}
		}
	}
	apply(m.Strong, true)
	apply(m.Weak, false)
}

// sendStrikes sends the queued strikes.
func (a *Agent) sendStrikes() {
	own, others := a.strikes.take()
	for _, m := range own {
		a.spread(digest.Message{Strikes: &m}, true)
	}
	for _, m := range others {
		a.spread(digest.Message{Strikes: &m}, false)
	}
}

// spread sends a message about suspects to the other nodes, within the rate limit. With few
// nodes each sends its own to all others. In the tree of nodes they go to the root and to this
// node's children, and those of peers to the children.
func (a *Agent) spread(m digest.Message, isOwn bool) {
	if !a.usesTree() {
		if isOwn {
			a.sendLimited(a.peerAddresses(), m)
		}
		return
	}
	a.mu.Lock()
	addresses := a.regularChildren()
	root, known := a.peers[a.controller]
	a.mu.Unlock()
	if known && isOwn && !a.isController.Load() {
		addresses = append([]string{root.address}, addresses...)
	}
	a.sendLimited(addresses, m)
}

// sendLimited sends a message about suspects to nodes, within the rate limit.
func (a *Agent) sendLimited(addresses []string, m digest.Message) {
	now := time.Now()
	for _, address := range addresses {
		if a.strikes.limiter.TokensAt(now) <= 0 {
			return
		}
		a.strikes.limiter.ReserveN(now, a.send(address, m))
	}
}
