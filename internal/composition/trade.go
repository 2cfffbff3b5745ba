package composition

import (
	"cmp"
	"slices"
	"time"

	ring "eelgrassring.dev"
)

// minTradeGain is the ratio of the need for the formed replica to that for the released
// ones from which replicas are traded. It keeps two models from taking each other's
// servers in turns.
const minTradeGain = 1.5

// tradeReplicas releases replicas in domains that lack one of a model that is needed
// more, if their servers and the free ones can form it. Without this, most of the servers
// of a large replica wait until a single lost member is replaced, which takes as long as
// an empty server loads the model.
func (c *Composer) tradeReplicas(free map[ring.Domain][]*serverState, now time.Time) {
	if !c.view.HasTraffic {
		return
	}
	for _, domain := range c.domains {
		if servers, isSettled := free[domain]; isSettled {
			c.tradeReplicasIn(domain, servers, now)
		}
	}
}

// replicasIn returns the replicas of the domain whose head is listed, sorted by epoch.
func (c *Composer) replicasIn(domain ring.Domain) []*replica {
	var out []*replica
	for _, s := range c.byDomain[domain] {
		if len(s.replicas) > 0 && s.replicas[0].head().id == s.entry.ID {
			out = append(out, s.replicas[0])
		}
	}
	slices.SortFunc(out, func(a, b *replica) int { return cmp.Compare(a.epoch, b.epoch) })
	return out
}

// hasReleasing reports whether a replica of the domain is being released.
func (c *Composer) hasReleasing(domain ring.Domain) bool {
	return slices.ContainsFunc(c.replicasIn(domain), func(r *replica) bool { return r.phase == phaseReleasing })
}

// tradeReplicasIn releases the replicas of one domain whose servers complete a replica of
// the most needed model that the domain has lacked for longer than LeaveTimeout, unless
// one is being released already.
func (c *Composer) tradeReplicasIn(domain ring.Domain, free []*serverState, now time.Time) {
	var missing []ring.ReplicaModel
	for _, m := range c.view.Service.Models {
		since, isMissing := c.missingSince[domainModel{domain, m.Name}]
		if isMissing && now.After(since.Add(c.options.LeaveTimeout)) {
			missing = append(missing, m)
		}
	}
	if len(missing) == 0 || c.hasReleasing(domain) {
		return
	}
	slices.SortStableFunc(missing, func(a, b ring.ReplicaModel) int {
		return cmp.Compare(c.needForReplica(b), c.needForReplica(a))
	})
	for _, m := range missing {
		lacking := m.Size - c.holdersSoon(m.Name, domain, free, now)
		if lacking <= 0 {
			return // It forms without a trade.
		}
		if traded := c.chooseTraded(m, domain, lacking); len(traded) > 0 {
			for _, r := range traded {
				c.release(r, true, "released for a model that is needed more", "", now)
			}
			return
		}
	}
}

// chooseTraded returns open replicas of the domain whose members include at least the
// given number that hold model m, if they are needed less than a replica of m and no
// fewer servers serve afterwards than if the lacking replica's free servers formed
// replicas of those models. It returns none otherwise. The last replica of a model in the
// service is never chosen.
func (c *Composer) chooseTraded(m ring.ReplicaModel, domain ring.Domain, lacking int) []*replica {
	var out []*replica
	lost, released := 0.0, map[ring.Model]int{}
	free, servers := m.Size-lacking, 0
	for _, r := range c.replicasIn(domain) {
		left := c.inUseCounts[r.model.Name] - released[r.model.Name]
		if r.phase != phaseOpen || r.model.Name == m.Name || left <= 1 {
			continue
		}
		holders := 0
		for _, member := range r.members {
			if s := c.server(member.id); s.isAvailable() && s.holds(m.Name) {
				holders++
			}
		}
		if holders == 0 {
			continue
		}
		lost += shareOf(r.model) / float64(left)
		servers += len(r.members)
		released[r.model.Name]++
		lacking -= holders
		out = append(out, r)
		instead := servers + free/r.model.Size*r.model.Size
		if lost*minTradeGain > c.needForReplica(m) || instead > m.Size {
			return nil
		}
		if lacking <= 0 {
			return out
		}
	}
	return nil
}
