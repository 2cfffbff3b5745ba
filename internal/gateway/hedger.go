package gateway

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/fleet"
	"eelgrassring.dev/internal/hedge"
)

// hedger keeps what this node has measured for second attempts. A nil hedger sends none. It is
// safe for concurrent use.
type hedger struct {
	mu     sync.Mutex
	state  *hedge.State
	random *rand.Rand
}

// newHedger returns a hedger that sends share second attempts per request, or nil if that is 0.
func newHedger(share float64) *hedger {
	if share <= 0 {
		return nil
	}
	return &hedger{state: hedge.New(hedge.Config{Share: share}), random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
}

// kindOf returns the kind of a request that has a route and a service.
func kindOf(req *frontRequest) hedge.Kind {
	k := hedge.Kind{Route: req.route.Name, Service: req.service.Name}
	if req.service.HasReplicas() {
		k.Model = req.header.Model
	}
	return k
}

// countRequest counts a caller's request.
func (h *hedger) countRequest(req *frontRequest, now time.Time) {
	if h == nil {
		return
	}
	mayRepeat := req.route.MayRepeat()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state.CountRequest(kindOf(req), mayRepeat, now)
}

// recordRefusal records a response that refused a request, if it did so for want of room.
func (h *hedger) recordRefusal(k hedge.Kind, x *exchange) {
	isForRoom := x.header.FaultyServer == "" && (x.response.StatusCode == http.StatusServiceUnavailable || x.response.StatusCode == http.StatusTooManyRequests)
	if isForRoom {
		h.recordFull(k)
	}
}

// recordFull records that no server had room for a request.
func (h *hedger) recordFull(k hedge.Kind) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state.RecordRefusal(k, time.Now())
}

// recordAttempt records the time of an attempt at a server.
func (h *hedger) recordAttempt(a hedge.Attempt) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state.RecordAttempt(a, time.Now())
}

// recordLate records that an attempt has no answer at its delay.
func (h *hedger) recordLate(k hedge.Kind, isSecond bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state.RecordLate(k, isSecond, time.Now())
}

// delay returns how long an attempt at a server is silent before a second one may be sent.
func (h *hedger) delay(k hedge.Kind, server ring.Server) (time.Duration, bool) {
	if h == nil {
		return 0, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.Delay(k, server.ID)
}

// decide reports whether a late request may be sent again, or why not.
func (h *hedger) decide(k hedge.Kind) hedge.Reason {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.Decide(k, time.Now())
}

// countSent counts a second attempt, or returns false if there may be none.
func (h *hedger) countSent(k hedge.Kind) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.CountSent(k, time.Now())
}

// farthest returns the indices of the servers that have least in common with the first one.
func (h *hedger) farthest(first ring.Server, servers []ring.Server) []int {
	places := make([]hedge.Place, len(servers))
	for i, s := range servers {
		places[i] = hedge.Place{Zone: s.Zone, Domain: s.Domain}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return hedge.Farthest(hedge.Place{Zone: first.Zone, Domain: first.Domain}, places, h.random)
}

// secondServer counts a request in flight at a server for a second attempt, and returns it. It
// returns false if there is none that needs no permit.
func (f *Front) secondServer(service ring.Service, first ring.Server, tried map[ring.VM]bool, now time.Time) (ring.Server, bool) {
	var usable []ring.Server
	for _, s := range f.config.Fleet.AvailableServers(service, now) {
		if !tried[s.ID] && f.permits.IsOpen(keyOf(s), now) {
			usable = append(usable, s)
		}
	}
	var far []ring.Server
	for _, i := range f.hedges.farthest(first, usable) {
		far = append(far, usable[i])
	}
	return f.servers.acquire(far, tried, now)
}

// secondReplica returns a replica for a second attempt: the less loaded one of two that have
// least in common with the first server. It returns why if there is none: more than a quarter of
// the slots must be free, there and at most replicas.
func (f *Front) secondReplica(req *frontRequest, first ring.Server, tried map[ring.Group]bool, now time.Time) (fleet.Candidate, hedge.Reason) {
	candidates := f.config.Fleet.Candidates(req.service.Name, req.header.Model, tried, now)
	var usable []fleet.Candidate
	var heads []ring.Server
	full := 0
	for _, c := range candidates {
		switch {
		case 4*c.Load >= 3*req.service.Slots:
			full++
		case c.Prefill <= req.route.LatencyTarget/2 && f.permits.IsOpen(keyOf(c.Replica.Head), now):
			usable, heads = append(usable, c), append(heads, c.Replica.Head)
		}
	}
	if 2*full > len(candidates) {
		return fleet.Candidate{}, hedge.ReasonRefusing
	}
	far := f.hedges.farthest(first, heads)
	if len(far) == 0 {
		return fleet.Candidate{}, hedge.ReasonNoServer
	}
	chosen := usable[far[0]]
	if len(far) > 1 && usable[far[1]].Load < chosen.Load {
		chosen = usable[far[1]]
	}
	return chosen, hedge.ReasonNone
}
