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
	// rampSpan is how long a new group takes to reach its full slots.
	rampSpan = 5 * time.Second
	// rampStart is the share of slots that a group has when it becomes ready.
	rampStart = 0.25
)

// Candidate is a group that can serve the request, as this node sees it.
type Candidate struct {
	// Hash identifies the group for ranking; see Hash.
	Hash uint64
	// Slots is how many requests the group runs at a time.
	Slots float64
	// Load is the estimated number of requests at the group.
	Load float64
	// Slowness is the group's recent time per token over the median; 1 is
	// normal.
	Slowness float64
	// ReadyAt is when the group became ready.
	ReadyAt time.Time
	// Excluded is set for groups that this request has tried.
	Excluded bool
}

// capacity is how many requests the group should have now: its slots, less
// while it ramps up and while it is slow.
func (c *Candidate) capacity(now time.Time) float64 {
	slots := c.Slots
	if age := now.Sub(c.ReadyAt); age < rampSpan {
		grown := rampStart + (1-rampStart)*max(float64(age), 0)/float64(rampSpan)
		slots = max(1, slots*grown)
	}
	if c.Slowness > 1 {
		slots = max(1, slots/c.Slowness)
	}
	return slots
}

// Picker chooses among candidates; it returns -1 when none has a free slot.
type Picker interface {
	Pick(key uint64, candidates []Candidate, now time.Time, random *rand.Rand) int
}

// Affinity ranks groups by rendezvous hashing and takes the first whose load
// is under the bound; if none is, the least loaded.
type Affinity struct{}

// Pick implements Picker.
func (Affinity) Pick(key uint64, candidates []Candidate, now time.Time, _ *rand.Rand) int {
	var load, capacity float64
	for i := range candidates {
		c := &candidates[i]
		if !c.Excluded {
			load += c.Load
			capacity += c.capacity(now)
		}
	}
	if capacity == 0 {
		return -1
	}
	mean := load / capacity * boundFactor
	best, least := -1, -1
	var bestScore uint64
	leastLoad := 1.0
	for i := range candidates {
		c := &candidates[i]
		if c.Excluded {
			continue
		}
		size := c.capacity(now)
		if used := c.Load / size; c.Load+1 <= size && used < leastLoad {
			least, leastLoad = i, used
		}
		if c.Load+1 > min(size, mean*size+boundSlack) {
			continue
		}
		if score := mix(key ^ c.Hash); best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	if best >= 0 {
		return best
	}
	return least
}

// Hash returns the identity of a group's name for ranking.
func Hash(name string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	return mix(h)
}

// mix spreads the bits of x; it is a bijection.
func mix(x uint64) uint64 {
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	return x
}
