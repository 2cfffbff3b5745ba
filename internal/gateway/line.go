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
	// waitPart is the part of the objective that a call may wait for a place.
	waitPart = 0.5
	// noticeFrom is the least time of reading that peers are told of at once;
	// shorter ones hardly delay others.
	noticeFrom = 8 * time.Millisecond
	// loadCost is what a request at a replica counts in the choice, beside the
	// time that the replica reads: it lengthens each pass by 0.6 ms, and takes a
	// place.
	loadCost = 2 * time.Millisecond
	// loadJitter spreads the choices of nodes that know the same loads.
	loadJitter = 4 * time.Millisecond
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

// acquire chooses a replica and counts the call there. It waits a part of the
// objective for one with a free place; a stream that began may wait longer.
func (l *line) acquire(ctx context.Context, v *visit, passed map[ring.Group]bool, began bool) (fleet.Replica, *ring.Failure) {
	begin := time.Now()
	span := time.Duration(waitPart * float64(v.route.Objective))
	if v.tries > 0 {
		span = time.Until(v.deadline) - resumeMargin
	}
	until := begin.Add(span)
	if until.After(v.deadline) {
		until = v.deadline
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		changed := l.fleet.Changed()
		now := time.Now()
		candidates := l.fleet.Candidates(v.service.Name, v.header.Model, passed, now)
		if c, ok := choose(candidates, v.service.Slots); ok {
			read := l.readTime(v)
			l.fleet.Begin(c.Replica, read, now)
			if read >= noticeFrom {
				l.node.Notice(c.Replica.Epoch, read)
			}
			v.queued += now.Sub(begin)
			v.load = c.Load
			return c.Replica, nil
		}
		select {
		case <-ctx.Done():
			return fleet.Replica{}, ring.Fail(ring.CodeDeadline, "the caller went away")
		case <-timer.C:
			v.queued += time.Since(begin)
			if len(candidates) == 0 {
				return fleet.Replica{}, ring.FailUntil(ring.CodeNoGroup, time.Now().Add(busyRetry), "no replica serves model %q now", v.header.Model)
			}
			return fleet.Replica{}, ring.FailUntil(ring.CodeOverloaded, time.Now().Add(busyRetry), "all replicas of model %q are full", v.header.Model)
		case <-changed:
		}
	}
}

// choose returns the replica that will answer soonest, if one has a free place.
func choose(candidates []fleet.Candidate, slots int) (fleet.Candidate, bool) {
	best, bestCost := -1, time.Duration(0)
	for i, c := range candidates {
		if c.Load >= slots {
			continue
		}
		cost := c.Reading + time.Duration(c.Load)*loadCost + rand.N(loadJitter)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return fleet.Candidate{}, false
	}
	return candidates[best], true
}
