package composition

import (
	"slices"
	"time"
)

// recordMiss records an unanswered inspection. If it began more than maxGap after the last one
// ended, the server may have answered in between, and its silence begins anew.
func (s *serverState) recordMiss(maxGap time.Duration, now time.Time) {
	if s.misses == 0 || s.inspectedAt.After(s.missedAt.Add(maxGap)) {
		s.silentSince = s.inspectedAt
	}
	s.misses++
	s.missedAt = now
}

// isSilentTooLong reports whether a server that did not answer inspections counts as dead.
// Silence alone does not prove that the process has ended. Where requests would end with the
// server's replica, it is waited for longer than a sound server may be silent; others go on
// elsewhere. A member of a stalled replica counts as dead after one unanswered inspection.
func (c *Composer) isSilentTooLong(s *serverState, now time.Time) bool {
	if len(s.replicas) == 0 || s.replicas[0].phase == phaseForming {
		return s.misses >= c.options.MaxMisses
	}
	if epoch := s.replicas[0].epoch; !c.view.Pinned[epoch] {
		return s.misses >= c.options.MaxMisses || c.view.Stalled[epoch] > 0
	}
	// A busy controller inspects too seldom to see a silence without a gap.
	manyMisses := int(c.options.SilenceTimeout / c.options.InspectInterval)
	return s.misses > manyMisses || (s.misses >= c.options.MaxMisses && now.Sub(s.silentSince) >= c.options.SilenceTimeout)
}

// endSilenceOfActive resets the silence of the members of active replicas: without them the
// head would have no events.
func (c *Composer) endSilenceOfActive() {
	for epoch := range c.view.Active {
		if r, known := c.replicas[epoch]; known {
			for _, m := range r.members {
				c.server(m.id).misses = 0
			}
		}
	}
}

// hasSilentMember reports whether a member did not answer its last inspection.
func (c *Composer) hasSilentMember(r *replica) bool {
	return slices.ContainsFunc(r.members, func(m member) bool { return c.server(m.id).misses > 0 })
}
