package node

import (
	"sort"
	"time"

	ring "eelgrassring.dev"
)

const (
	// paceWeight is the weight of a new sample in the smoothed time between
	// tokens of a group.
	paceWeight = 0.1
	// paceSamples is how many samples a group needs before it can count as
	// slow.
	paceSamples = 20
	// slowFrom is the ratio to the median from which a group counts as slow.
	slowFrom = 1.5
	// paceGroups is how many groups a comparison needs.
	paceGroups = 3
)

// pace is the smoothed time between the tokens of a group's streams.
type pace struct {
	mean    float64
	samples int
	// ratio is the mean over the median of all groups.
	ratio float64
}

// ObserveGap takes the time between two pieces of a stream of the group.
func (t *Table) ObserveGap(g ring.Group, gap time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.slowness[g]
	if !ok {
		p = &pace{mean: gap.Seconds()}
		t.slowness[g] = p
	}
	p.samples++
	p.mean += paceWeight * (gap.Seconds() - p.mean)
}

// RefreshPace compares all groups with their median.
func (t *Table) RefreshPace() {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []float64
	for _, p := range t.slowness {
		if p.samples >= paceSamples {
			all = append(all, p.mean)
		}
	}
	if len(all) < paceGroups {
		return
	}
	sort.Float64s(all)
	median := all[len(all)/2]
	for _, p := range t.slowness {
		p.ratio = 1
		if p.samples >= paceSamples && p.mean >= slowFrom*median {
			p.ratio = p.mean / median
		}
	}
}

// slownessOf returns the last comparison of the group; mu is held.
func (t *Table) slownessOf(g ring.Group) float64 {
	if p, ok := t.slowness[g]; ok && p.ratio > 0 {
		return p.ratio
	}
	return 1
}
