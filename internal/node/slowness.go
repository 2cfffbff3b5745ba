package node

import (
	"sort"
	"time"

	ring "eelgrassring.dev"
)

const (
	// gapWeight is the weight of a new sample in a group's smoothed event gap.
	gapWeight = 0.1
	// minGapSamples is how many samples a group needs before it is compared with the
	// median.
	minGapSamples = 20
	// slowRatio is the ratio of a group's event gap to the median at which the group
	// counts as slow.
	slowRatio = 1.5
	// minComparedGroups is how many groups with enough samples a comparison needs.
	minComparedGroups = 3
)

// gapStats holds the smoothed event gap of a group's streams, in seconds.
type gapStats struct {
	meanGap float64
	samples int
	// slowness is meanGap divided by the median of all groups if the group is slow,
	// and 1 otherwise; 0 means that it was never compared.
	slowness float64
}

// ObserveGap adds the time between two events of a stream to the smoothed event gap
// of its group.
func (t *Table) ObserveGap(g ring.Group, gap time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.gaps[g]
	if !ok {
		s = &gapStats{meanGap: gap.Seconds()}
		t.gaps[g] = s
	}
	s.samples++
	s.meanGap += gapWeight * (gap.Seconds() - s.meanGap)
}

// UpdateSlowness updates the slowness of each group by comparing its smoothed event
// gap with the median of all groups. It does nothing if too few groups have samples.
func (t *Table) UpdateSlowness() {
	t.mu.Lock()
	defer t.mu.Unlock()
	var gaps []float64
	for _, s := range t.gaps {
		if s.samples >= minGapSamples {
			gaps = append(gaps, s.meanGap)
		}
	}
	if len(gaps) < minComparedGroups {
		return
	}
	sort.Float64s(gaps)
	median := gaps[len(gaps)/2]
	for _, s := range t.gaps {
		s.slowness = 1
		if s.samples >= minGapSamples && s.meanGap >= slowRatio*median {
			s.slowness = s.meanGap / median
		}
	}
}

// slownessOf returns the group's slowness at the last comparison, or 1 if it was
// never compared; mu is held.
func (t *Table) slownessOf(g ring.Group) float64 {
	if s, ok := t.gaps[g]; ok && s.slowness > 0 {
		return s.slowness
	}
	return 1
}
