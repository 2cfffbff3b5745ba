package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/fleet"
	"eelgrassring.dev/internal/routing"
)

const (
	// pollInterval is how often a waiting call looks again: reading goes on
	// without news.
	pollInterval = 10 * time.Millisecond
	// lateWait is how long a call that cannot be in time any more waits for
	// room; lateReserve is how many places of a replica it leaves free, and
	// latePrefill the longest reading it goes behind.
	lateWait    = 600 * time.Millisecond
	lateReserve = 2
	latePrefill = 60 * time.Millisecond
	// objectiveFraction is the part of the objective within which first events come on
	// average at the most requests that a replica of many nodes is given: prompts
	// come in clumps.
	objectiveFraction = 0.9
	// objectiveSlack lets a call go to a place that may be a little late.
	objectiveSlack = 30 * time.Millisecond
	// overloadRetryAfter is the least time after which a refused call may come back;
	// calls come back spread over as long again.
	overloadRetryAfter = 700 * time.Millisecond
	// noticeThreshold is the least time of reading that peers are told of at once;
	// shorter ones hardly delay others.
	noticeThreshold = 8 * time.Millisecond
	// maxNodesLowestCost is how many nodes may all choose the least loaded replica:
	// they tell one another of each long prompt.
	maxNodesLowestCost = 12
)

// replicaSelector finds a place for calls that name a model.
type replicaSelector struct {
	fleet *fleet.Fleet
	node  FrontNode
}

func newReplicaSelector(f *fleet.Fleet, n FrontNode) *replicaSelector {
	return &replicaSelector{fleet: f, node: n}
}

// prefillTime returns how long a replica reads the call's prompt.
func (l *replicaSelector) prefillTime(v *frontRequest) time.Duration {
	for _, m := range v.service.Models {
		if m.Name == v.header.Model {
			return routing.PrefillTime(v.service.Rates, m, v.header.Prompt)
		}
	}
	return 0
}

// requestMix returns what the call is like. Its caller names the most tokens that it
// wants; a pass writes a stride of them.
func (l *replicaSelector) requestMix(v *frontRequest, read time.Duration) routing.RequestProfile {
	stride := max(v.service.Rates.Stride, 1)
	return routing.RequestProfile{Prefill: read, ContextTokens: float64(v.header.Prompt), Passes: float64(v.header.Output) / float64(stride)}
}

// maxLoad returns how many requests a replica may have for a call to be in time.
// Few nodes know what prompts a replica has to read; many go by its requests.
func (l *replicaSelector) maxLoad(v *frontRequest) int {
	if l.node.NodeCount() <= maxNodesLowestCost {
		return v.service.Slots
	}
	mix, known := l.fleet.Profile(v.header.Model)
	if !known {
		return v.service.Slots
	}
	for _, m := range v.service.Models {
		if m.Name == v.header.Model {
			span := time.Duration(objectiveFraction * float64(v.route.Objective))
			return min(routing.MaxConcurrency(v.service.Rates, m, mix, span), v.service.Slots)
		}
	}
	return v.service.Slots
}

// acquire chooses a replica and counts the call there. A call that can still be
// answered within its objective waits for a place where it will be; after that,
// or for a call that comes back too late for it, only places that nobody else
// needs are taken.
func (l *replicaSelector) acquire(ctx context.Context, v *frontRequest, passed map[ring.Group]bool) (fleet.Replica, *ring.Failure) {
	begin := time.Now()
	read := l.prefillTime(v)
	rank := rand.Float64()
	if v.attempts == 0 {
		l.fleet.ObserveProfile(v.header.Model, l.requestMix(v, read))
	}
	until := l.waitDeadline(v, read, begin)
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		changed := l.fleet.Changed()
		now := time.Now()
		candidates := l.fleet.Candidates(v.service.Name, v.header.Model, passed, now)
		limit := l.limitFor(v, read, now)
		if c, ok := l.choose(candidates, limit, rank); ok {
			l.fleet.Begin(c.Replica, read, now)
			if read >= noticeThreshold {
				l.node.AnnouncePrefill(c.Replica.Epoch, read)
			}
			v.queued += now.Sub(begin)
			v.load, v.expectedPrefill = c.Load, c.Prefill+read
			return c.Replica, nil
		}
		select {
		case <-ctx.Done():
			return fleet.Replica{}, ring.Fail(ring.CodeDeadline, "the caller went away")
		case <-timer.C:
			v.queued += time.Since(begin)
			return fleet.Replica{}, l.refusal(v, len(candidates))
		case <-changed:
		case <-poll.C:
		}
	}
}

// isLate reports whether the call cannot be answered within its objective any
// more: its caller comes back after a refusal, or it has waited too long.
func (l *replicaSelector) isLate(v *frontRequest, read time.Duration, now time.Time) bool {
	if patience := v.header.Patience; patience > 0 && patience < v.route.Timeout-v.route.Objective {
		return true
	}
	return now.Add(l.fleet.FirstEventTime(v.header.Model) + read).After(v.start.Add(v.route.Objective))
}

// waitDeadline returns how long the call may wait for a place.
func (l *replicaSelector) waitDeadline(v *frontRequest, read time.Duration, now time.Time) time.Time {
	until := v.start.Add(v.route.Objective - l.fleet.FirstEventTime(v.header.Model) - read)
	switch {
	case v.attempts > 0:
		until = v.deadline.Add(-resumeMargin)
	case l.isLate(v, read, now):
		until = now.Add(lateWait)
	}
	if until.After(v.deadline) {
		return v.deadline
	}
	return until
}

// replicaLimit is what a place must offer to a call.
type replicaLimit struct {
	load           int
	pendingPrefill time.Duration
}

// limitFor returns what a place must offer: to a call in time, an answer within
// its objective; to a late one, room that calls in time do not need.
func (l *replicaSelector) limitFor(v *frontRequest, read time.Duration, now time.Time) replicaLimit {
	if v.attempts > 0 {
		return replicaLimit{load: v.service.Slots, pendingPrefill: v.route.Objective}
	}
	if l.isLate(v, read, now) {
		return replicaLimit{load: l.maxLoad(v) - lateReserve, pendingPrefill: latePrefill}
	}
	left := v.start.Add(v.route.Objective).Sub(now) - l.fleet.FirstEventTime(v.header.Model) - read
	return replicaLimit{load: l.maxLoad(v), pendingPrefill: left + objectiveSlack}
}

func (l *replicaSelector) refusal(v *frontRequest, candidates int) *ring.Failure {
	back := time.Now().Add(overloadRetryAfter + rand.N(overloadRetryAfter))
	if candidates == 0 {
		return ring.FailUntil(ring.CodeNoGroup, back, "no replica serves model %q now", v.header.Model)
	}
	return ring.FailUntil(ring.CodeOverloaded, back, "all replicas of model %q are full", v.header.Model)
}

// choose returns a replica with a place within the limit, if there is one.
func (l *replicaSelector) choose(candidates []fleet.Candidate, limit replicaLimit, rank float64) (fleet.Candidate, bool) {
	if l.node.NodeCount() > maxNodesLowestCost {
		return chooseWeighted(candidates, limit, rank)
	}
	return chooseLowestCost(candidates, limit)
}
