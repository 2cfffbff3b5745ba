package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/fleet"
)

const (
	// waitPart is the part of the objective that a call may wait for a place.
	waitPart = 0.5
	// loadJitter spreads the choices of nodes that know the same loads, in
	// requests.
	loadJitter = 2.0
)

// line finds a place for calls that name a model.
type line struct {
	fleet *fleet.Fleet
}

func newLine(f *fleet.Fleet) *line { return &line{fleet: f} }

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
		if r, ok := choose(candidates, v.service.Slots); ok {
			l.fleet.Begin(r, now)
			v.queued += now.Sub(begin)
			return r, nil
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

// choose returns the replica with the least load, if it has a free place.
func choose(candidates []fleet.Candidate, slots int) (fleet.Replica, bool) {
	best, bestLoad := -1, 0.0
	for i, c := range candidates {
		if c.Load >= slots {
			continue
		}
		load := float64(c.Load) + loadJitter*rand.Float64()
		if best < 0 || load < bestLoad {
			best, bestLoad = i, load
		}
	}
	if best < 0 {
		return fleet.Replica{}, false
	}
	return candidates[best].Replica, true
}
