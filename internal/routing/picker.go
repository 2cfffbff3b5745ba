// Package routing chooses the group for a request. It is a pure core: all
// nodes that hold the same records rank the groups for a key alike, without
// talking.
//
// Terms:
//
//   - Key: the hash of what a request shares with others, so that they meet
//     at the group that has the prefix cached.
//   - Load: requests at a group as this node estimates them, over its slots.
//   - Bound: the load above which a group is passed over for a key.
//
// Invariants: a decision allocates nothing; a group without a free slot is
// never chosen; the same inputs give the same choice.
package routing

import (
	"math/rand/v2"
	"time"
)

const (
	// boundFactor is how far above the mean load a group may be and still be
	// chosen by affinity.
	boundFactor = 1.25
	// boundSlack is added to the bound, in requests, so that affinity holds
	// when there is little load.
	boundSlack = 1.0
	// rampDuration is how long a new group takes to reach its full slots.
	rampDuration = 5 * time.Second
	// rampInitialFraction is the share of slots that a group has when it becomes ready.
	rampInitialFraction = 0.25
)

// Candidate is a group that can serve the request, as this node sees it.
type Candidate struct {
	// Hash identifies the group for ranking; see Hash.
	Hash uint64
	// Capacity is how many requests the group should have now; see Capacity.
	Capacity float64
	// Load is the estimated number of requests at the group.
	Load float64
	// Excluded is set for groups that this request has tried.
	Excluded bool
}

// GroupState is what a group's capacity depends on.
type GroupState struct {
	// Slots is how many requests the group runs at a time.
	Slots int
	// Slowness is the group's recent time per token over the median; 1 is
	// normal.
	Slowness float64
	// ReadyAt is when the group became ready.
	ReadyAt time.Time
}

// Capacity returns how many requests a group should have now: its slots, less
// while it ramps up and while it is slow. A group with slots gets at least one.
func Capacity(s GroupState, now time.Time) float64 {
	slots := float64(s.Slots)
	if age := now.Sub(s.ReadyAt); age < rampDuration {
		grown := rampInitialFraction + (1-rampInitialFraction)*max(float64(age), 0)/float64(rampDuration)
		slots = max(1, slots*grown)
	}
	if s.Slowness > 1 {
		slots = max(1, slots/s.Slowness)
	}
	return slots
}

// Picker chooses among candidates; it returns -1 when none has a free slot.
type Picker interface {
	Pick(key uint64, candidates []Candidate, random *rand.Rand) int
}

// Affinity ranks groups by rendezvous hashing and takes the first whose load
// is under the bound; if none is, the least loaded.
type Affinity struct{}

// Pick implements Picker.
func (Affinity) Pick(key uint64, candidates []Candidate, _ *rand.Rand) int {
	var load, capacity float64
	for i := range candidates {
		c := &candidates[i]
		if !c.Excluded {
			load += c.Load
			capacity += c.Capacity
		}
	}
	if capacity == 0 {
		return -1
	}
	bound := load / capacity * boundFactor
	best := -1
	var bestScore uint64
	for i := range candidates {
		c := &candidates[i]
		score := rendezvousScore(key, c.Hash)
		// Zeroing the score instead of skipping keeps the loop free of jumps
		// that the processor cannot foresee.
		if c.Load+1 > c.Capacity {
			score = 0
		}
		if c.Load+1 > bound*c.Capacity+boundSlack {
			score = 0
		}
		if score > bestScore && !c.Excluded {
			best, bestScore = i, score
		}
	}
	if best >= 0 {
		return best
	}
	return leastLoaded(candidates)
}

// leastLoaded returns the group with the least part of its capacity in use.
func leastLoaded(candidates []Candidate) int {
	best, bestUsed := -1, 0.0
	for i := range candidates {
		c := &candidates[i]
		if c.Excluded || c.Load+1 > c.Capacity {
			continue
		}
		if used := c.Load / c.Capacity; best < 0 || used < bestUsed {
			best, bestUsed = i, used
		}
	}
	return best
}

// Hash returns the identity of a group's name for ranking.
func Hash(name string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	return mixBits(h)
}

// rendezvousScore orders a group among all for a key. Both are well mixed already.
func rendezvousScore(key, group uint64) uint64 {
	x := (key ^ group) * 0xd6e8feb86659fd93
	return x ^ x>>32
}

// mixBits spreads the bits of x; it is a bijection.
func mixBits(x uint64) uint64 {
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	return x
}
