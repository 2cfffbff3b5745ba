// Package routing picks the group for a request and estimates how many requests
// a group can take. It does no I/O: all nodes that hold the same records rank the
// groups for a key alike, without exchanging messages.
//
// Terms:
//
//   - Key: the hash of the prefix that a request shares with others, so that
//     they go to the group that has this prefix cached.
//   - Load: the number of requests at a group, as this node estimates it.
//   - Bound: the load above which a group is skipped for a key, relative to its
//     capacity.
//
// Invariants: a decision allocates no memory; a group without a free slot is
// never picked; the same inputs give the same choice.
package routing

import (
	"math/rand/v2"
	"time"
)

const (
	// boundFactor is the multiple of the mean load per capacity up to which a
	// group is picked by affinity.
	boundFactor = 1.25
	// boundSlack is added to the bound, in requests, so that affinity also holds
	// at low load.
	boundSlack = 1.0
	// rampDuration is the time in which the capacity of a new group grows to all
	// of its slots.
	rampDuration = 5 * time.Second
	// rampInitialFraction is the fraction of its slots that a group offers when it
	// becomes ready.
	rampInitialFraction = 0.25
)

// Candidate is a group that can serve the request, as this node sees it.
type Candidate struct {
	// Hash is the hash of the group's name, by which it is ranked; see Hash.
	Hash uint64
	// Capacity is how many requests the group should have now; see the function
	// Capacity.
	Capacity float64
	// Load is the estimated number of requests at the group.
	Load float64
	// Excluded is set if an attempt of this request has already used the group.
	Excluded bool
}

// GroupState holds the inputs of Capacity.
type GroupState struct {
	// Slots is how many requests the group runs at a time.
	Slots int
	// Slowness is the group's recent time per token divided by the median of the
	// groups; 1 is normal.
	Slowness float64
	// ReadyAt is when the group became ready.
	ReadyAt time.Time
}

// Capacity returns how many requests a group should have now: its slots, reduced
// while it ramps up and while it is slow. A group with slots gets at least one.
func Capacity(s GroupState, now time.Time) float64 {
	slots := float64(s.Slots)
	if age := now.Sub(s.ReadyAt); age < rampDuration {
		fraction := rampInitialFraction + (1-rampInitialFraction)*max(float64(age), 0)/float64(rampDuration)
		slots = max(1, slots*fraction)
	}
	if s.Slowness > 1 {
		slots = max(1, slots/s.Slowness)
	}
	return slots
}

// Picker picks a group for a request.
type Picker interface {
	// Pick returns the index of the candidate that should get a request with the
	// given affinity key, or -1 when none has a free slot.
	Pick(key uint64, candidates []Candidate, random *rand.Rand) int
}

// Affinity is a Picker that ranks the groups for a key by rendezvous hashing. It picks
// the first group whose request load is within the bound, or the least loaded group
// if no group is.
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
		score := RendezvousScore(key, c.Hash)
		// Setting the score to zero instead of skipping the candidate avoids
		// branches that the processor mispredicts.
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

// leastLoaded returns the index of the candidate with the least request load per
// capacity, or -1 when none has a free slot.
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

// Hash returns a hash with well-mixed bits of a name, such as that of a group.
func Hash(name string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	return mixBits(h)
}

// RendezvousScore returns the score of a candidate, such as a group or a node, for a key;
// for each key, the candidates are ranked by their scores. Both arguments are hashes whose
// bits are already well mixed.
func RendezvousScore(key, candidate uint64) uint64 {
	x := (key ^ candidate) * 0xd6e8feb86659fd93
	return x ^ x>>32
}

// mixBits makes every bit of the result depend on many bits of x; it is a
// bijection.
func mixBits(x uint64) uint64 {
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	return x
}
