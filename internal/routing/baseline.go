package routing

import (
	"math/rand/v2"
	"time"
)

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

func free(c *Candidate, now time.Time) bool {
	return !c.Excluded && c.Load+1 <= c.capacity(now)
}

// Pick implements Picker.
func (Random) Pick(_ uint64, candidates []Candidate, now time.Time, random *rand.Rand) int {
	return firstFree(candidates, random.IntN(len(candidates)), now)
}

// Pick implements Picker.
func (r *RoundRobin) Pick(_ uint64, candidates []Candidate, now time.Time, _ *rand.Rand) int {
	r.next++
	return firstFree(candidates, r.next%len(candidates), now)
}

func firstFree(candidates []Candidate, from int, now time.Time) int {
	for i := range candidates {
		at := (from + i) % len(candidates)
		if free(&candidates[at], now) {
			return at
		}
	}
	return -1
}

// Pick implements Picker.
func (LeastOutstanding) Pick(_ uint64, candidates []Candidate, now time.Time, _ *rand.Rand) int {
	best := -1
	for i := range candidates {
		if !free(&candidates[i], now) {
			continue
		}
		if best < 0 || candidates[i].Load/candidates[i].Slots < candidates[best].Load/candidates[best].Slots {
			best = i
		}
	}
	return best
}

// Pick implements Picker.
func (PowerOfTwo) Pick(_ uint64, candidates []Candidate, now time.Time, random *rand.Rand) int {
	a := firstFree(candidates, random.IntN(len(candidates)), now)
	b := firstFree(candidates, random.IntN(len(candidates)), now)
	if a < 0 || b < 0 {
		return a
	}
	if candidates[b].Load/candidates[b].Slots < candidates[a].Load/candidates[a].Slots {
		return b
	}
	return a
}
