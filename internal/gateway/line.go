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
	// room; lateSpare is how many places of a replica it leaves free, and
	// lateReading the longest reading it goes behind.
	lateWait    = 600 * time.Millisecond
	lateSpare   = 2
	lateReading = 60 * time.Millisecond
	// objectivePart is the part of the objective within which first events come on
	// average at the most requests that a replica of many nodes is given: prompts
	// come in clumps.
	objectivePart = 0.9
	// objectiveSlack lets a call go to a place that may be a little late.
	objectiveSlack = 30 * time.Millisecond
	// overloadRetry is the least time after which a refused call may come back;
	// calls come back spread over as long again.
	overloadRetry = 700 * time.Millisecond
	// noticeFrom is the least time of reading that peers are told of at once;
	// shorter ones hardly delay others.
	noticeFrom = 8 * time.Millisecond
	// nodesThatAgree is how many nodes may all choose the least loaded replica:
	// they tell one another of each long prompt.
	nodesThatAgree = 12
)

// line finds a place for calls that name a model.
type line struct {
	fleet *fleet.Fleet
	node  Authority
}

func newLine(f *fleet.Fleet, n Authority) *line { return &line{fleet: f, node: n} }

// readTime returns how long a replica reads the call's prompt.
func (l *line) readTime(v *visit) time.Duration {
	for _, m := range v.service.Models {
		if m.Name == v.header.Model {
			return routing.ReadTime(v.service.Rates, m, v.header.Prompt)
		}
	}
	return 0
}

// mixOf returns what the call is like. Its caller names the most tokens that it
// wants; a pass writes a stride of them.
func (l *line) mixOf(v *visit, read time.Duration) routing.Mix {
	stride := max(v.service.Rates.Stride, 1)
	return routing.Mix{Read: read, Context: float64(v.header.Prompt), Passes: float64(v.header.Output) / float64(stride)}
}

// places returns how many requests a replica may have for a call to be in time.
// Few nodes know what prompts a replica has to read; many go by its requests.
func (l *line) places(v *visit) int {
	if l.node.NodeCount() <= nodesThatAgree {
		return v.service.Slots
	}
	mix, known := l.fleet.Mix(v.header.Model)
	if !known {
		return v.service.Slots
	}
	for _, m := range v.service.Models {
		if m.Name == v.header.Model {
			span := time.Duration(objectivePart * float64(v.route.Objective))
			return min(routing.Within(v.service.Rates, m, mix, span), v.service.Slots)
		}
	}
	return v.service.Slots
}

// acquire chooses a replica and counts the call there. A call that can still be
// answered within its objective waits for a place where it will be; after that,
// or for a call that comes back too late for it, only places that nobody else
// needs are taken.
func (l *line) acquire(ctx context.Context, v *visit, passed map[ring.Group]bool) (fleet.Replica, *ring.Failure) {
	begin := time.Now()
	read := l.readTime(v)
	rank := rand.Float64()
	if v.tries == 0 {
		l.fleet.ObserveMix(v.header.Model, l.mixOf(v, read))
	}
	until := l.waitUntil(v, read, begin)
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		changed := l.fleet.Changed()
		now := time.Now()
		candidates := l.fleet.Candidates(v.service.Name, v.header.Model, passed, now)
		limit := l.limitOf(v, read, now)
		if c, ok := l.choose(candidates, limit, rank); ok {
			l.fleet.Begin(c.Replica, read, now)
			if read >= noticeFrom {
				l.node.AnnouncePrefill(c.Replica.Epoch, read)
			}
			v.queued += now.Sub(begin)
			v.load, v.expected = c.Load, c.Reading+read
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
func (l *line) isLate(v *visit, read time.Duration, now time.Time) bool {
	if patience := v.header.Patience; patience > 0 && patience < v.route.Timeout-v.route.Objective {
		return true
	}
	return now.Add(l.fleet.First(v.header.Model) + read).After(v.begin.Add(v.route.Objective))
}

// waitUntil returns how long the call may wait for a place.
func (l *line) waitUntil(v *visit, read time.Duration, now time.Time) time.Time {
	until := v.begin.Add(v.route.Objective - l.fleet.First(v.header.Model) - read)
	switch {
	case v.tries > 0:
		until = v.deadline.Add(-resumeMargin)
	case l.isLate(v, read, now):
		until = now.Add(lateWait)
	}
	if until.After(v.deadline) {
		return v.deadline
	}
	return until
}

// placeLimit is what a place must offer to a call.
type placeLimit struct {
	load    int
	reading time.Duration
}

// limitOf returns what a place must offer: to a call in time, an answer within
// its objective; to a late one, room that calls in time do not need.
func (l *line) limitOf(v *visit, read time.Duration, now time.Time) placeLimit {
	if v.tries > 0 {
		return placeLimit{load: v.service.Slots, reading: v.route.Objective}
	}
	if l.isLate(v, read, now) {
		return placeLimit{load: l.places(v) - lateSpare, reading: lateReading}
	}
	left := v.begin.Add(v.route.Objective).Sub(now) - l.fleet.First(v.header.Model) - read
	return placeLimit{load: l.places(v), reading: left + objectiveSlack}
}

func (l *line) refusal(v *visit, candidates int) *ring.Failure {
	back := time.Now().Add(overloadRetry + rand.N(overloadRetry))
	if candidates == 0 {
		return ring.FailUntil(ring.CodeNoGroup, back, "no replica serves model %q now", v.header.Model)
	}
	return ring.FailUntil(ring.CodeOverloaded, back, "all replicas of model %q are full", v.header.Model)
}

// choose returns a replica with a place within the limit, if there is one.
func (l *line) choose(candidates []fleet.Candidate, limit placeLimit, rank float64) (fleet.Candidate, bool) {
	if l.node.NodeCount() > nodesThatAgree {
		return chooseBySpread(candidates, limit, rank)
	}
	return chooseSoonest(candidates, limit)
}
