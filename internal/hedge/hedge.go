// Package hedge decides which requests are sent to a second server while the first one is
// silent, so that one slow server does not make a caller wait.
//
// Terms:
//
//   - Kind: the requests of one route, and if it names a model, to that model.
//   - Pool: the servers of a service, or the replicas of its model.
//   - Delay: how long an attempt is silent before a second one may be sent.
//   - Late: an attempt without an answer at the delay of its kind.
//   - Allowance: how many second attempts a node may send in a window.
//
// Invariants: in any window a node sends at most Config.Share times its requests as second
// attempts, so all nodes together do as well; a kind without enough measured times has no delay;
// the same events with the same times give the same decisions.
package hedge

import (
	"math/rand/v2"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/retry"
)

// Window is the time over which requests and second attempts are counted.
const Window = 10 * time.Second

const (
	// lateQuantile is the quantile of a kind's times that is its delay, but at most maxSpread
	// times the upperQuartile. Otherwise one slow server of ten would raise the delay to its own
	// times.
	lateQuantile  = 0.98
	upperQuartile = 0.75
	maxSpread     = 2.0
	// A server is slow if its lateness, the smoothed part of late outcomes, exceeds maxLateness.
	// latenessWeight is the weight of the newest outcome. The delay there is the median.
	latenessWeight = 0.3
	maxLateness    = 0.5
	median         = 0.5
	// shareUsed is the part of the share that is used: in another 10 s than those before a
	// decision there may be fewer requests.
	shareUsed = 0.9
	// minDelay is the shortest delay: below it a second attempt costs more than it gains.
	minDelay = 5 * time.Millisecond
	// recentOutcomes is the number of last outcomes at a pool by which its servers are
	// considered slow, and maxLate how many of them may be late. minOutcomes must be known.
	recentOutcomes = 8
	maxLate        = 3
	minOutcomes    = 4
	// refusalPause is how long no second attempt is sent after a refusal for want of room.
	refusalPause = 2 * time.Second
	// slowPause is how long none is sent after a second attempt that was late as well.
	slowPause = time.Second
	// slowWeight is the weight of the times measured while a pool is slow: they become the
	// usual ones only after minutes.
	slowWeight = 0.05
	// maxKinds bounds the memory of the measurements.
	maxKinds = 1000
)

// Reason tells why no second attempt is sent.
type Reason string

// The reasons. Those that Decide does not return are found by its caller.
const (
	ReasonNone     Reason = ""
	ReasonMeasured Reason = "not measured"
	ReasonShare    Reason = "share"
	ReasonKind     Reason = "share of the route"
	ReasonSlow     Reason = "all slow"
	ReasonRefusing Reason = "no room"
	ReasonAttempts Reason = "attempts"
	ReasonTime     Reason = "no time"
	ReasonSuspect  Reason = "suspect"
	ReasonStopping Reason = "stopping"
	ReasonBudget   Reason = "retry budget"
	ReasonNoServer Reason = "no server"
	ReasonRefused  Reason = "refused"
)

// Config configures a State. Share is the number of second attempts per request.
type Config struct{ Share float64 }

// Kind is a kind of requests. Model is empty for a service without models.
type Kind struct {
	Route   string
	Service ring.Service
	Model   ring.Model
}

// poolKey identifies the servers that a kind's requests may go to.
type poolKey struct {
	service ring.Service
	model   ring.Model
}

func (k Kind) pool() poolKey { return poolKey{service: k.Service, model: k.Model} }

// State is what a node has measured. It is not safe for concurrent use.
type State struct {
	config Config
	all    *retry.Budget
	kinds  map[Kind]*kind
	pools  map[poolKey]*pool
	// lateness is that of each server.
	lateness map[ring.VM]float64
	// active is the result of activeKinds, which holds until activeUntil.
	active      int
	activeUntil time.Time
}

// kind holds the times of a kind of requests, and the counts of requests and second attempts.
type kind struct {
	times  Times
	counts *retry.Budget
}

// pool holds the last outcomes at the servers of a pool: whether they were late.
type pool struct {
	outcomes [recentOutcomes]bool
	known    int
	next     int
	// offUntil is when second attempts may be sent again, for the reason why.
	offUntil time.Time
	why      Reason
}

// New returns a state without measurements.
func New(c Config) *State {
	c.Share *= shareUsed
	return &State{config: c, all: newCounts(c.Share), kinds: map[Kind]*kind{}, pools: map[poolKey]*pool{}, lateness: map[ring.VM]float64{}}
}

// newCounts returns counts that allow share second attempts per request.
func newCounts(share float64) *retry.Budget {
	return retry.NewBudget(retry.Config{Ratio: share, Window: Window})
}

// kindOf returns the record of a kind, and creates it if there is none.
func (s *State) kindOf(name Kind) *kind {
	k, ok := s.kinds[name]
	if !ok {
		if len(s.kinds) >= maxKinds {
			clear(s.kinds) // The routes may have changed.
		}
		k = &kind{counts: newCounts(s.config.Share)}
		s.kinds[name] = k
	}
	return k
}

// poolOf returns the record of a kind's servers, and creates it if there is none.
func (s *State) poolOf(name Kind) *pool {
	v, ok := s.pools[name.pool()]
	if !ok {
		if len(s.pools) >= maxKinds {
			clear(s.pools)
		}
		v = &pool{}
		s.pools[name.pool()] = v
	}
	return v
}

// CountRequest counts a caller's request, of a kind whose requests may be repeated or not.
func (s *State) CountRequest(name Kind, mayRepeat bool, now time.Time) {
	s.all.RecordRequest(now)
	if mayRepeat {
		s.kindOf(name).counts.RecordRequest(now)
	}
}

// Delay returns how long a request waits for an answer of a server before a second
// attempt, or false if too little is known.
func (s *State) Delay(name Kind, server ring.VM) (time.Duration, bool) {
	k, ok := s.kinds[name]
	if !ok {
		return 0, false
	}
	if s.lateness[server] > maxLateness {
		usual, known := k.times.Quantile(median)
		return max(usual, minDelay), known
	}
	return k.lateAfter()
}

// lateAfter returns the time from which on an answer is late, or false if too little is known.
func (k *kind) lateAfter() (time.Duration, bool) {
	late, known := k.times.Quantile(lateQuantile)
	usual, _ := k.times.Quantile(upperQuartile)
	return max(min(late, time.Duration(maxSpread*float64(usual))), minDelay), known
}

// Attempt is an attempt that has ended.
type Attempt struct {
	Kind   Kind
	Server ring.VM
	// Took is the time until its answer, or until it was given up for another one.
	Took      time.Duration
	IsGivenUp bool
	// IsCounted is set if RecordLate was called for it.
	IsCounted bool
}

// RecordAttempt records the time of an attempt.
func (s *State) RecordAttempt(a Attempt, now time.Time) {
	k := s.kindOf(a.Kind)
	delay, known := k.lateAfter()
	weight := float32(1)
	if known && s.poolOf(a.Kind).isSlow() {
		weight = slowWeight
	}
	k.times.Add(a.Took, weight, now)
	isLate := a.Took > delay
	if !known || (a.IsGivenUp && !isLate) {
		return // What a server would have taken is not known.
	}
	s.recordLateness(a.Server, isLate)
	if !a.IsCounted {
		s.poolOf(a.Kind).add(isLate)
	}
}

// recordLateness adds an outcome to the lateness of a server.
func (s *State) recordLateness(server ring.VM, isLate bool) {
	if len(s.lateness) >= maxKinds {
		clear(s.lateness)
	}
	outcome := 0.0
	if isLate {
		outcome = 1
	}
	s.lateness[server] += latenessWeight * (outcome - s.lateness[server])
}

// RecordLate records that an attempt has no answer at its delay. isSecond is set for a second
// attempt: then two servers are slow.
func (s *State) RecordLate(name Kind, isSecond bool, now time.Time) {
	v := s.poolOf(name)
	v.add(true)
	if isSecond {
		v.pause(now.Add(slowPause), ReasonSlow)
	}
}

// RecordRefusal records that the servers of a kind refused a request for want of room.
func (s *State) RecordRefusal(name Kind, now time.Time) {
	s.poolOf(name).pause(now.Add(refusalPause), ReasonRefusing)
}

// pause sends no second attempts until a time.
func (v *pool) pause(until time.Time, why Reason) {
	if until.After(v.offUntil) {
		v.offUntil, v.why = until, why
	}
}

// add adds an outcome.
func (v *pool) add(isLate bool) {
	v.outcomes[v.next] = isLate
	v.next = (v.next + 1) % recentOutcomes
	v.known = min(v.known+1, recentOutcomes)
}

// isSlow reports whether many of the last outcomes were late.
func (v *pool) isSlow() bool {
	late := 0
	for _, isLate := range v.outcomes[:v.known] {
		if isLate {
			late++
		}
	}
	return late > maxLate
}

// Decide reports whether a late request may be sent to a second server, as
// ReasonNone, or why not. It counts nothing: CountSent does.
func (s *State) Decide(name Kind, now time.Time) Reason {
	k, v := s.kindOf(name), s.poolOf(name)
	if _, ok := k.lateAfter(); !ok || v.known < minOutcomes {
		return ReasonMeasured
	}
	if now.Before(v.offUntil) {
		return v.why
	}
	if v.isSlow() {
		return ReasonSlow
	}
	if !s.all.Allows(now, 1, nil) {
		return ReasonShare
	}
	if own := k.counts.Usage(now); float64(own.Retries+1) > max(1, s.partOf(own, now)) {
		return ReasonKind
	}
	return ReasonNone
}

// partOf returns how many second attempts of a kind a window may have: its part of the
// allowance by requests, or an equal part if that is more.
func (s *State) partOf(own retry.Usage, now time.Time) float64 {
	all := float64(s.all.Usage(now).Requests)
	return s.config.Share * max(float64(own.Requests), all/float64(max(s.activeKinds(now), 1)))
}

// activeKinds returns how many kinds had requests lately. It counts them once a second.
func (s *State) activeKinds(now time.Time) int {
	if now.Before(s.activeUntil) {
		return s.active
	}
	s.active, s.activeUntil = 0, now.Add(time.Second)
	for _, k := range s.kinds {
		if k.counts.Usage(now).Requests > 0 {
			s.active++
		}
	}
	return s.active
}

// CountSent counts a second attempt that is sent. It returns false if the allowance is used up.
func (s *State) CountSent(name Kind, now time.Time) bool {
	if !s.all.Take(now, 1, nil) {
		return false
	}
	s.kindOf(name).counts.Force(now)
	return true
}

// Place is where a server is.
type Place struct {
	Zone   ring.Zone
	Domain ring.Domain
}

// Farthest returns the indices of the places that have least in common with the first
// server's: another zone and domain, else another zone, else any, in random order.
func Farthest(first Place, places []Place, random *rand.Rand) []int {
	best, out := -1, []int(nil)
	for i, p := range places {
		distance := 0
		if p.Zone != first.Zone {
			distance = 2
			if p.Domain != first.Domain {
				distance++
			}
		}
		if distance > best {
			best, out = distance, out[:0]
		}
		if distance == best {
			out = append(out, i)
		}
	}
	random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}
