package node

import (
	"sort"
	"time"

	ring "eelgrassring.dev"
)

const (
	// gapWeight is the weight of a new sample in the smoothed time between
	// tokens of a group.
	gapWeight = 0.1
	// minGapSamples is how many samples a group needs before it can count as
	// slow.
	minGapSamples = 20
	// slowRatio is the ratio to the median from which a group counts as slow.
	slowRatio = 1.5
	// minComparedGroups is how many groups a comparison needs.
	minComparedGroups = 3
)

// gapStats is the smoothed time between the tokens of a group's streams.
type gapStats struct {
	meanGap float64
	samples int
	// slowness is the mean over the median of all groups.
	slowness float64
}

// ObserveGap takes the time between two pieces of a stream of the group.
func (t *Table) ObserveGap(g ring.Group, gap time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.gaps[g]
	if !ok {
		p = &gapStats{meanGap: gap.Seconds()}
		t.gaps[g] = p
	}
	p.samples++
	p.meanGap += gapWeight * (gap.Seconds() - p.meanGap)
}

// UpdateSlowness compares all groups with their median.
func (t *Table) UpdateSlowness() {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []float64
	for _, p := range t.gaps {
		if p.samples >= minGapSamples {
			all = append(all, p.meanGap)
		}
	}
	if len(all) < minComparedGroups {
		return
	}
	sort.Float64s(all)
	median := all[len(all)/2]
	for _, p := range t.gaps {
		p.slowness = 1
		if p.samples >= minGapSamples && p.meanGap >= slowRatio*median {
			p.slowness = p.meanGap / median
		}
	}
}

// slownessOf returns the last comparison of the group; mu is held.
func (t *Table) slownessOf(g ring.Group) float64 {
	if p, ok := t.gaps[g]; ok && p.slowness > 0 {
		return p.slowness
	}
	return 1
}
