package experiment

import (
	"fmt"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/reservation"
	"eelgrassring.dev/internal/routing"
)

func pickerOf(p Policy) routing.Picker {
	switch p {
	case PolicyRandom:
		return routing.Random{}
	case PolicyRound:
		return &routing.RoundRobin{}
	case PolicyLeast:
		return routing.LeastOutstanding{}
	case PolicyTwo:
		return routing.PowerOfTwo{}
	}
	return routing.Affinity{}
}

// start sends the request to the group that the policy chooses.
func (s *Sim) start(r *request) bool {
	i := s.pick(r)
	if i < 0 {
		return false
	}
	r.node.outstanding[i]++
	r.node.running[r.workspace]++
	s.dispatch(r, s.groups[i])
	return true
}

func (s *Sim) pick(r *request) int {
	if s.policy == PolicyOracle {
		return s.oracle(r)
	}
	s.candidates, s.indices = s.candidates[:0], s.indices[:0]
	for i, g := range s.groups {
		if r.tried[i] || (g.isDead && s.now-g.dead > evidenceDelay) {
			continue
		}
		load := r.node.outstanding[i]
		for _, p := range s.nodes {
			if p != r.node && !p.dead {
				load += p.told[i]
			}
		}
		s.candidates = append(s.candidates, routing.Candidate{Hash: g.hash, Capacity: float64(s.shape.Slots), Load: float64(load)})
		s.indices = append(s.indices, i)
	}
	if len(s.candidates) == 0 {
		return -1
	}
	if s.policy != PolicyAffinity {
		return s.choose(r)
	}
	return s.reserve(r)
}

// choose asks the policy and returns a group's index, or -1.
func (s *Sim) choose(r *request) int {
	s.chosen = r.node.picker.Pick(mixPrefix(r.prefix), s.candidates, s.random)
	if s.chosen < 0 {
		return -1
	}
	return s.indices[s.chosen]
}

// reserve asks the homes of the chosen groups, as the gateway does: after the
// last refusal the first group that was only busy is taken, for it likely has
// the prefix.
func (s *Sim) reserve(r *request) int {
	busy := -1
	for range reservation.MaxHomeNodes {
		i := s.choose(r)
		if i < 0 {
			return s.take(busy, r)
		}
		s.result.asks++
		switch s.book.Reserve(groupName(i), r.node.name(), s.shape.Slots) {
		case reservation.ResultGranted:
			return i
		case reservation.ResultBusy:
			if busy < 0 {
				busy = i
			}
		}
		s.candidates[s.chosen].Excluded = true
	}
	if busy < 0 {
		busy = s.choose(r)
	}
	return s.take(busy, r)
}

// take counts a request that goes to a group without a grant.
func (s *Sim) take(i int, r *request) int {
	if i >= 0 {
		s.book.AddUnreserved(groupName(i), r.node.name())
	}
	return i
}

func groupName(i int) ring.Group { return ring.Group(fmt.Sprintf("group-%d", i)) }

func (n *simNode) name() string { return fmt.Sprintf("n%d", n.index) }

// note tells the home of a group of a first token or an end, a little later.
func (s *Sim) note(do func(g ring.Group, holder string), r *request) {
	g, holder := groupName(r.group.index), r.node.name()
	s.result.notes++
	s.after(noteDelay, func() { do(g, holder) })
}

func mixPrefix(p uint64) uint64 { return routing.Hash(fmt.Sprint(p)) }

// oracle chooses the group with the earliest first token, by its true state.
func (s *Sim) oracle(r *request) int {
	best := -1
	var bestAt time.Duration
	for i, g := range s.groups {
		if g.isDead || g.running+len(g.queue) >= s.shape.Slots {
			continue
		}
		at := max(g.prefillFree, s.now) + s.prefillOf(g, r)
		if best < 0 || at < bestAt || (at == bestAt && g.running < s.groups[best].running) {
			best, bestAt = i, at
		}
	}
	return best
}
