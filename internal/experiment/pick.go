package experiment

import (
	"fmt"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/reservation"
	"eelgrassring.dev/internal/routing"
)

// newPicker returns the picker of groups for a policy. PolicyOracle does not
// use its picker; see pickWithOracle.
func newPicker(p Policy) routing.Picker {
	switch p {
	case PolicyRandom:
		return routing.Random{}
	case PolicyRoundRobin:
		return &routing.RoundRobin{}
	case PolicyLeastOutstanding:
		return routing.LeastOutstanding{}
	case PolicyPowerOfTwo:
		return routing.PowerOfTwo{}
	}
	return routing.Affinity{}
}

// startRequest dispatches the request to the group that the policy picks. It
// reports false if no group can take the request.
func (s *Sim) startRequest(r *request) bool {
	i := s.pickGroup(r)
	if i < 0 {
		return false
	}
	r.node.outstanding[i]++
	r.node.running[r.workspace]++
	s.dispatch(r, s.groups[i])
	return true
}

// pickGroup returns the index of the group for the next attempt of a request,
// or -1. The node of the request knows the requests of other nodes only as of
// their last heartbeats.
func (s *Sim) pickGroup(r *request) int {
	if s.policy == PolicyOracle {
		return s.pickWithOracle(r)
	}
	s.candidates, s.candidateGroups = s.candidates[:0], s.candidateGroups[:0]
	for i, g := range s.groups {
		if r.tried[i] || (g.isDead && s.now-g.deadSince > failureDetectionDelay) {
			continue
		}
		load := r.node.outstanding[i]
		for _, p := range s.nodes {
			if p != r.node && !p.dead {
				load += p.reported[i]
			}
		}
		s.candidates = append(s.candidates, routing.Candidate{Hash: g.hash, Capacity: float64(s.scenario.Slots), Load: float64(load)})
		s.candidateGroups = append(s.candidateGroups, i)
	}
	if len(s.candidates) == 0 {
		return -1
	}
	if s.policy != PolicyAffinity {
		return s.pickCandidate(r)
	}
	return s.reserveGroup(r)
}

// pickCandidate returns the index of the group that the policy picks among the
// candidates, or -1.
func (s *Sim) pickCandidate(r *request) int {
	s.lastPick = r.node.picker.Pick(hashPrefix(r.prefix), s.candidates, s.random)
	if s.lastPick < 0 {
		return -1
	}
	return s.candidateGroups[s.lastPick]
}

// reserveGroup requests a slot from the home nodes of the picked groups, as the
// gateway does; a home node is the node that keeps a group's reservations. If
// none grants a slot, it returns the first group whose result was ResultBusy,
// because that group probably has the prefix cached. If no result was
// ResultBusy, it picks once more without a reservation.
func (s *Sim) reserveGroup(r *request) int {
	busy := -1
	for range reservation.MaxHomeNodes {
		i := s.pickCandidate(r)
		if i < 0 {
			return s.addUnreserved(busy, r)
		}
		s.stats.reserveRequests++
		switch s.reservations.Reserve(groupName(i), r.node.name(), s.scenario.Slots) {
		case reservation.ResultGranted:
			return i
		case reservation.ResultBusy:
			if busy < 0 {
				busy = i
			}
		}
		s.candidates[s.lastPick].Excluded = true
	}
	if busy < 0 {
		busy = s.pickCandidate(r)
	}
	return s.addUnreserved(busy, r)
}

// addUnreserved counts a request that is sent to group i without a reservation,
// unless i is -1, and returns i.
func (s *Sim) addUnreserved(i int, r *request) int {
	if i >= 0 {
		s.reservations.AddUnreserved(groupName(i), r.node.name())
	}
	return i
}

// groupName returns the name of the group with an index, as the reservation
// table has it.
func groupName(i int) ring.Group { return ring.Group(fmt.Sprintf("group-%d", i)) }

// name returns the holder name of the node in the reservation table.
func (n *simNode) name() string { return fmt.Sprintf("n%d", n.index) }

// sendSlotUpdate reports a request's first token or end to the home node of its
// group after slotUpdateDelay. update is the method of the reservation table
// that applies the report.
func (s *Sim) sendSlotUpdate(update func(g ring.Group, holder string), r *request) {
	g, holder := groupName(r.group.index), r.node.name()
	s.stats.slotUpdates++
	s.schedule(slotUpdateDelay, func() { update(g, holder) })
}

// hashPrefix returns the routing key of requests with a prefix.
func hashPrefix(p uint64) uint64 { return routing.Hash(fmt.Sprint(p)) }

// pickWithOracle returns the index of the group that would send the first token
// earliest, from the true state of all groups, or -1 if no live group has a
// free slot.
func (s *Sim) pickWithOracle(r *request) int {
	best := -1
	var bestAt time.Duration
	for i, g := range s.groups {
		if g.isDead || g.running+len(g.queue) >= s.scenario.Slots {
			continue
		}
		at := max(g.prefillFree, s.now) + s.prefillTime(g, r)
		if best < 0 || at < bestAt || (at == bestAt && g.running < s.groups[best].running) {
			best, bestAt = i, at
		}
	}
	return best
}
