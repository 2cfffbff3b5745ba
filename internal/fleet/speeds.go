package fleet

import (
	"cmp"
	"slices"
	"time"

	ring "eelgrassring.dev"
)

const (
	// speedInterval is how often the speeds are computed, and speedAge how long after its last
	// event gap the speed of a replica is known. Then it counts as fast as the others again.
	speedInterval = 200 * time.Millisecond
	speedAge      = 30 * time.Second
	// sameSpeed is the ratio up to which two replicas count as equally fast: the prefills of others
	// lengthen single gaps up to twice, and their means less.
	sameSpeed = 1.5
	// speedWeight is the weight of a new event gap in the mean from which a speed is computed,
	// and minSpeedSamples how many gaps it needs: a node of a large system sees few.
	speedWeight     = 0.1
	minSpeedSamples = 8
	// minSlowness bounds a mean ratio: events that arrive together have no gaps.
	minSlowness = 0.05
)

// replicaSpeed is the speed of a replica relative to the median of those of its model.
type replicaSpeed struct {
	ratio      float64
	validUntil time.Time
}

// speedOf returns the relative speed of a replica, or 1 if it is not known; mu is held.
func (f *Fleet) speedOf(e ring.Epoch, now time.Time) float64 {
	if s, ok := f.speeds[e]; ok && now.Before(s.validUntil) {
		return s.ratio
	}
	return 1
}

// ObserveSpeed adds a sample of the gap between two events of a replica's stream, and the gap that
// the engine's figures let expect with the replica's load.
func (f *Fleet) ObserveSpeed(g ring.Group, gap, expected time.Duration, now time.Time) {
	if expected <= 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.streams[g]
	if !ok {
		return
	}
	s.slownessSamples++
	s.slownessAt = now
	s.slowness += max(speedWeight, 1/float64(s.slownessSamples)) * (float64(gap)/float64(expected) - s.slowness)
	f.measureSpeeds(now)
}

// measureSpeeds computes the speeds of the replicas if that is due; mu is held.
func (f *Fleet) measureSpeeds(now time.Time) {
	if now.Before(f.nextSpeeds) {
		return
	}
	f.nextSpeeds = now.Add(speedInterval)
	clear(f.speeds)
	measured := map[ring.Model][]*streamState{}
	for _, r := range f.replicas {
		s, ok := f.streams[r.Group]
		if ok && s.epoch == r.Epoch && s.slownessSamples >= minSpeedSamples && now.Sub(s.slownessAt) <= speedAge {
			measured[r.Model] = append(measured[r.Model], s)
		}
	}
	for _, streams := range measured {
		if len(streams) < minComparedReplicas {
			continue
		}
		slices.SortFunc(streams, func(a, b *streamState) int { return cmp.Compare(a.slowness, b.slowness) })
		median := streams[len(streams)/2].slowness
		for _, s := range streams {
			if ratio := median / max(s.slowness, minSlowness); ratio > sameSpeed || ratio < 1/sameSpeed {
				f.speeds[s.epoch] = replicaSpeed{ratio: ratio, validUntil: s.slownessAt.Add(speedAge)}
			}
		}
	}
}
