package gateway

import (
	"math/rand/v2"
	"time"

	"eelgrassring.dev/internal/fleet"
)

const (
	// requestCost is what a request at a replica counts in the choice, beside the
	// time that the replica reads: it lengthens each pass by 0.6 ms, and takes a
	// place.
	requestCost = 2 * time.Millisecond
	// arrivalFraction is how many calls a replica gets between two words of its load,
	// as a part of the load: 0.8 s against calls of 1.0 s, and some more, so that
	// the choice does not swing. maxShareFactor bounds the chance of a replica as a
	// multiple of an equal one, for one that has just opened: its engine reads
	// 1.58 times its part in time. minWeightFraction is the least chance, as a part of the
	// mean load.
	arrivalFraction   = 1.2
	maxShareFactor    = 1.3
	minWeightFraction = 0.3
	// shedStart is the mean load, as a part of the limit, from which calls give
	// way, and shedRange over how much more all do; maxOverload is the load of one
	// replica, as a part of the limit, at which it gets no more.
	shedStart   = 0.95
	shedRange   = 0.4
	maxOverload = 1.5
	// costJitter spreads the choices of nodes that know the same loads.
	costJitter = 4 * time.Millisecond
)

// chooseWeighted draws a replica with a chance by which all nodes together bring
// the replicas to the same load, when they draw alike from loads that are some
// hundred milliseconds old: until the next word comes, a replica gets about
// arrivalFraction of the mean load, more by what it lacks. Choosing the least loaded,
// or leaving out those that just reached a limit, they would all go to the others.
// So the limit holds for the mean, and calls give way to it one after the other by
// their rank, from 0 to 1.
func chooseWeighted(candidates []fleet.Candidate, limit replicaLimit, rank float64) (fleet.Candidate, bool) {
	var usable []fleet.Candidate
	mean := 0.0
	for _, c := range candidates {
		if float64(c.Load) < maxOverload*float64(limit.load) && c.Prefill <= limit.pendingPrefill {
			usable = append(usable, c)
			mean += float64(c.Load)
		}
	}
	if len(usable) == 0 {
		return fleet.Candidate{}, false
	}
	mean = max(mean/float64(len(usable)), 1)
	if over := mean/float64(max(limit.load, 1)) - shedStart; rank < over/shedRange {
		return fleet.Candidate{}, false
	}
	weights := make([]float64, len(usable))
	total := 0.0
	for i, c := range usable {
		weights[i] = max(mean*(1+arrivalFraction)-float64(c.Load), mean*minWeightFraction)
		total += weights[i]
	}
	return usable[sampleWeighted(weights, total, maxShareFactor/float64(len(usable)))], true
}

// sampleWeighted returns an index with a chance by its weight, but none with a larger one
// than most; what such have more goes to the others in proportion.
func sampleWeighted(weights []float64, total, most float64) int {
	capped, rest := 0.0, 0.0
	for _, w := range weights {
		if w > most*total {
			capped += most
		} else {
			rest += w
		}
	}
	at := rand.Float64()
	for i, w := range weights {
		switch {
		case w > most*total:
			at -= most
		case rest > 0:
			at -= w / rest * (1 - capped)
		}
		if at < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// chooseLowestCost returns the replica that will answer soonest.
func chooseLowestCost(candidates []fleet.Candidate, limit replicaLimit) (fleet.Candidate, bool) {
	best, bestCost := -1, time.Duration(0)
	for i, c := range candidates {
		if c.Load >= limit.load || c.Prefill > limit.pendingPrefill {
			continue
		}
		cost := c.Prefill + time.Duration(c.Load)*requestCost + rand.N(costJitter)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return fleet.Candidate{}, false
	}
	return candidates[best], true
}
