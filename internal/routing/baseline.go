package routing

import "math/rand/v2"

// These pickers are the baselines that experiments compare with Affinity.
type (
	// Random picks a random group, or the next group with a free slot if that one has
	// none.
	Random struct{}
	// RoundRobin picks the groups with a free slot in turn.
	RoundRobin struct{ next int }
	// LeastOutstanding picks the group with the least request load per capacity.
	LeastOutstanding struct{}
	// PowerOfTwo picks two random groups and of these the one with less request load
	// per capacity.
	PowerOfTwo struct{}
)

// hasFreeSlot reports whether the group has capacity for another request and is not
// excluded.
func hasFreeSlot(c *Candidate) bool {
	return !c.Excluded && c.Load+1 <= c.Capacity
}

// utilization returns the group's request load per capacity.
func utilization(c *Candidate) float64 { return c.Load / c.Capacity }

// firstFree returns the index of the first candidate at or after from that has a
// free slot, wrapping around, or -1 if none has.
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
