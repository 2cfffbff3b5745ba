package routing

import "math/rand/v2"

// The baselines that Affinity is measured against.
type (
	// Random takes any group with a free slot.
	Random struct{}
	// RoundRobin takes the groups in turn.
	RoundRobin struct{ next int }
	// LeastOutstanding takes the group with the least load.
	LeastOutstanding struct{}
	// PowerOfTwo takes the less loaded of two random groups.
	PowerOfTwo struct{}
)

func hasFreeSlot(c *Candidate) bool {
	return !c.Excluded && c.Load+1 <= c.Capacity
}

func utilization(c *Candidate) float64 { return c.Load / c.Capacity }

func firstFree(candidates []Candidate, from int) int {
	for i := range candidates {
		at := (from + i) % len(candidates)
		if hasFreeSlot(&candidates[at]) {
			return at
		}
	}
	return -1
}

// Pick implements Picker.
func (Random) Pick(_ uint64, candidates []Candidate, random *rand.Rand) int {
	return firstFree(candidates, random.IntN(len(candidates)))
}

// Pick implements Picker.
func (r *RoundRobin) Pick(_ uint64, candidates []Candidate, _ *rand.Rand) int {
	r.next++
	return firstFree(candidates, r.next%len(candidates))
}

// Pick implements Picker.
func (LeastOutstanding) Pick(_ uint64, candidates []Candidate, _ *rand.Rand) int {
	return leastLoaded(candidates)
}

// Pick implements Picker.
func (PowerOfTwo) Pick(_ uint64, candidates []Candidate, random *rand.Rand) int {
	a := firstFree(candidates, random.IntN(len(candidates)))
	b := firstFree(candidates, random.IntN(len(candidates)))
	if a < 0 || b < 0 || utilization(&candidates[a]) <= utilization(&candidates[b]) {
		return a
	}
	return b
}
