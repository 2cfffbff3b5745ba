package quota

import (
	"sync"
	"time"

	"eelgrassring.dev/internal/routing"

	"eelgrassring.dev/internal/clock"
)

const (
	// maxQueue bounds how far ahead permits are given.
	maxQueue = time.Second
	// AskTimeout is how long a node waits for the home node's reply.
	AskTimeout = 40 * time.Millisecond
	// unansweredDelay is how long a node sends nothing to a server after the home node did
	// not reply, and otherHomeDelay after a node replied that it is not the home node.
	unansweredDelay = 300 * time.Millisecond
	otherHomeDelay  = 100 * time.Millisecond
	// phaseSteps is the number of different phases of home nodes.
	phaseSteps = 1024
	// minDenial is the least time after a denial until the next try.
	minDenial = 5 * time.Millisecond
)

// View is a node's knowledge of the members.
type View struct {
	// Self is the name of this node.
	Self string
	// Members are the names of the members. This node is none while it stops.
	Members []string
	// Version changes with Members.
	Version uint64
	// Share is the fraction of the limits that this node gives as a home node; see Share.
	Share float64
}

// isAlone reports whether the node knows of others, but is out of touch with all of them.
func (v View) isAlone() bool { return len(v.Members) == 1 && v.Members[0] == v.Self && v.Share < 1 }

// Share returns the fraction of a limit that a home node gives if it is in touch with the
// given number of members, itself included, of all that are registered. The others may
// have chosen another home node, which does the same.
func Share(inTouch, registered int) float64 {
	return float64(min(inTouch, registered)) / float64(max(registered, 1))
}

// Request asks a home node for a permit.
type Request struct {
	Server Key
	// PerSecond is the server's limit as the sender knows it, and Age the time since it
	// was observed. Neither counts if Cold is set and IsNamed is not.
	PerSecond float64
	Age       time.Duration
	IsNamed   bool
	// Cold is what the sender knows of a server that is cold, or nil.
	Cold *ColdNotice
	// MaxWait is the longest time until the permit may be used.
	MaxWait time.Duration
}

// Result is the result of a Request.
type Result int

// The results.
const (
	// ResultGranted: the request may be sent after Reply.Wait.
	ResultGranted Result = iota
	// ResultDenied: another try may succeed after Reply.Wait.
	ResultDenied
	// ResultUnlimited: the limit has ended, Reply.Age ago.
	ResultUnlimited
	// ResultWarm: the server is neither cold nor limited.
	ResultWarm
)

// Reply is a home node's reply to a Request.
type Reply struct {
	Result Result
	Wait   time.Duration
	Age    time.Duration
}

// Action is what a node does with a request to a server.
type Action int

// The actions.
const (
	// ActionSend: send the request at Decision.At.
	ActionSend Action = iota
	// ActionDeny: do not send it; another try may succeed at Decision.At.
	ActionDeny
	// ActionAsk: ask the node Decision.Home for a permit.
	ActionAsk
)

// Decision says whether and when a request may be sent to a server.
type Decision struct {
	Action  Action
	At      time.Time
	Home    string
	Request Request
}

// Gate decides when one node may send requests to limited servers, and gives the permits of
// the servers that it is the home node of. It does no I/O: its caller sends the requests
// for permits. It is safe for concurrent use.
type Gate struct {
	registry Registry
	// cold knows the servers that are cold.
	cold  ColdServers
	mu    sync.Mutex
	meter meter
	// deniedUntil is when a permit of a server may next be had from its home node.
	deniedUntil map[Key]time.Time
	// homes holds the home nodes by the members of homesVersion.
	homes        map[Key]string
	homesVersion uint64
}

// NewGate returns a gate that knows of no limits.
func NewGate() *Gate {
	return &Gate{cold: noneCold{}, meter: meter{nextAt: map[Key]time.Time{}}, deniedUntil: map[Key]time.Time{}, homes: map[Key]string{}}
}

// Registry returns the observations by which the gate decides.
func (g *Gate) Registry() *Registry { return &g.registry }

// SetCold sets what knows the servers that are cold. It is called before the gate is used.
func (g *Gate) SetCold(c ColdServers) { g.cold = c }

// IsOpen reports whether a server is unlimited, so that no permit is needed.
func (g *Gate) IsOpen(k Key, now time.Time) bool { return !g.bound(k, now).holds() }

// bound is what holds a server back: the limit that it named, and the rate of a cold one.
type bound struct {
	named   Observation
	isNamed bool
	cold    float64
	isCold  bool
}

// bound returns what holds a server back.
func (g *Gate) bound(k Key, now time.Time) bound {
	var b bound
	b.named, b.isNamed = g.registry.Limit(k, now)
	b.cold, b.isCold = g.cold.Rate(k, now)
	return b
}

// holds reports whether a permit is needed.
func (b bound) holds() bool { return b.isNamed || b.isCold }

// perSecond returns the lower one of the rates.
func (b bound) perSecond() float64 {
	switch {
	case !b.isCold:
		return b.named.PerSecond
	case !b.isNamed:
		return b.cold
	default:
		return min(b.cold, b.named.PerSecond)
	}
}

// IsHome reports whether the node is the home node of a server.
func (g *Gate) IsHome(k Key, v View) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.homeOf(k, v) == v.Self
}

// homeOf returns the home node of a server; mu is held.
func (g *Gate) homeOf(k Key, v View) string {
	if g.homesVersion != v.Version {
		clear(g.homes)
		g.homesVersion = v.Version
	}
	home, known := g.homes[k]
	if !known {
		home = Home(k, v.Members)
		g.homes[k] = home
	}
	return home
}

// Home returns which of the members is the home node of a server, or "" if there are none.
func Home(k Key, members []string) string {
	best, bestScore := "", uint64(0)
	for _, name := range members {
		score := routing.RendezvousScore(uint64(k), routing.Hash(name))
		if best == "" || score > bestScore || (score == bestScore && name < best) {
			best, bestScore = name, score
		}
	}
	return best
}

// Decide returns whether a request may be sent to a server, at the latest after maxWait.
// If it is to be sent, a permit is used.
func (g *Gate) Decide(k Key, maxWait time.Duration, v View, now time.Time) Decision {
	b := g.bound(k, now)
	isLimited := b.holds()
	if !isLimited {
		return Decision{Action: ActionSend, At: now}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch home := g.homeOf(k, v); {
	case home == v.Self:
		at, ok := g.meter.reserve(k, rateOf(k, b, v), min(maxWait, maxQueue), now)
		if !ok {
			return Decision{Action: ActionDeny, At: at}
		}
		return Decision{Action: ActionSend, At: at}
	case now.Before(g.deniedUntil[k]):
		return Decision{Action: ActionDeny, At: g.deniedUntil[k]}
	case home == "":
		return Decision{Action: ActionDeny, At: now.Add(otherHomeDelay)}
	default:
		return Decision{Action: ActionAsk, Home: home, Request: g.requestFor(k, b, maxWait, now)}
	}
}

// requestFor returns the request to a home node for a permit.
func (g *Gate) requestFor(k Key, b bound, maxWait time.Duration, now time.Time) Request {
	r := Request{Server: k, IsNamed: b.isNamed, MaxWait: maxWait}
	if b.isNamed {
		r.PerSecond, r.Age = b.named.PerSecond, now.Sub(b.named.At)
	}
	if b.isCold {
		if n, known := g.cold.Notice(k, now); known {
			r.Cold = &n
		}
	}
	return r
}

// aloneFraction is the part of its share that a node which is out of touch with all others gives
// of a cold server's rate. Such nodes do not know of each other's permits, so that by chance more
// of them than on average fall into one second.
const aloneFraction = 0.7

// rateOf returns the rate at which a home node gives permits.
func rateOf(k Key, b bound, v View) homeRate {
	r := homeRate{perSecond: max(b.perSecond(), MinPerSecond) * v.Share, phase: phaseOf(k, v)}
	switch {
	case b.isCold && v.isAlone():
		r.perSecond, r.isAlone = r.perSecond*aloneFraction, true
	case len(v.Members) == 1 && v.Share == 1:
		r.phase = 0 // There is no other node.
	}
	return r
}

// phaseOf returns the phase of a node as the home node of a server; see homeRate.
func phaseOf(k Key, v View) float64 {
	hash := routing.RendezvousScore(uint64(k), routing.Hash(v.Self))
	return float64(hash%phaseSteps) / phaseSteps
}

// Grant returns the reply to another node's request for a permit. Only the node that takes
// itself for the home node gives one.
func (g *Gate) Grant(r Request, v View, now time.Time) Reply {
	if r.Cold != nil {
		g.cold.Apply(*r.Cold, now)
	}
	if r.IsNamed || r.Cold == nil {
		g.registry.Observe(Observation{Server: r.Server, IsLimited: true, PerSecond: r.PerSecond, At: now.Add(-r.Age)})
	}
	b := g.bound(r.Server, now)
	switch {
	case b.holds():
	case r.Cold != nil:
		if _, known := g.cold.Notice(r.Server, now); !known {
			// This node has no configuration yet, or one by which no server is ever cold.
			return Reply{Result: ResultDenied, Wait: otherHomeDelay}
		}
		return Reply{Result: ResultWarm}
	default:
		return Reply{Result: ResultUnlimited, Age: now.Sub(b.named.At)}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.homeOf(r.Server, v) != v.Self {
		return Reply{Result: ResultDenied, Wait: otherHomeDelay}
	}
	at, ok := g.meter.reserve(r.Server, rateOf(r.Server, b, v), min(max(r.MaxWait, 0), maxQueue), now)
	if !ok {
		return Reply{Result: ResultDenied, Wait: max(at.Sub(now), minDenial)}
	}
	return Reply{Result: ResultGranted, Wait: at.Sub(now)}
}

// ApplyReply returns the decision that follows from a home node's reply to the request of
// an ActionAsk.
func (g *Gate) ApplyReply(k Key, r Reply, now time.Time) Decision {
	switch r.Result {
	case ResultGranted:
		return Decision{Action: ActionSend, At: now.Add(r.Wait)}
	case ResultWarm:
		// The home node knows the server for longer, and sends a notice of it.
		return Decision{Action: ActionSend, At: now}
	case ResultUnlimited:
		g.registry.Observe(Observation{Server: k, At: now.Add(-r.Age)})
		return Decision{Action: ActionDeny, At: now}
	default:
		return g.deny(k, now.Add(r.Wait), now)
	}
}

// Unanswered returns the decision that follows if the home node did not reply.
func (g *Gate) Unanswered(k Key, now time.Time) Decision {
	return g.deny(k, now.Add(unansweredDelay), now)
}

// deny records that no permit of a server is to be had for a time.
func (g *Gate) deny(k Key, until, now time.Time) Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	for other, at := range g.deniedUntil {
		if now.After(at) {
			delete(g.deniedUntil, other)
		}
	}
	g.deniedUntil[k] = until
	return Decision{Action: ActionDeny, At: until}
}

// NextAt returns when a permit of a server may next be had, as far as this node knows.
func (g *Gate) NextAt(k Key, v View, now time.Time) time.Time {
	b := g.bound(k, now)
	if !b.holds() {
		return now
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.homeOf(k, v) == v.Self {
		return clock.Later(g.meter.next(k, rateOf(k, b, v), now), now)
	}
	return clock.Later(g.deniedUntil[k], now)
}
