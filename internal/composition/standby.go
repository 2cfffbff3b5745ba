package composition

import (
	"strconv"
	"time"

	ring "eelgrassring.dev"
)

// stagedBonus is how much more a spare is worth with a model that lies on its
// host: it is ready in a tenth of the time of a load.
const stagedBonus = 2

// assignStandbys gives every spare a model to hold in its accelerators, and another to
// keep on its host, so that a replica of its domain that loses a member gets
// another in a moment, whichever model it runs.
func (c *Composer) assignStandbys(now time.Time) {
	free := c.freeServers(now)
	for _, domain := range sortedDomains(free) {
		held := map[ring.Model]int{}
		var idle []ring.Server
		for _, s := range free[domain] {
			if !s.Place.IsStandby() {
				idle = append(idle, s)
				continue
			}
			held[s.Model]++
			if s.Place.State == ring.MemberReady {
				c.stageModel(s, now)
			}
		}
		for _, s := range idle {
			c.assignStandby(s, domain, held, now)
		}
	}
}

// stageModel orders a standby to keep on its host the model that it does not hold
// and that is needed most.
func (c *Composer) stageModel(s ring.Server, now time.Time) {
	state := c.server(s.ID)
	if state.loading != "" || c.availableLoads(now) < 1 {
		return
	}
	var best *ring.ReplicaModel
	for _, m := range c.view.Service.Models {
		if m.Name == state.loaded {
			continue
		}
		if s.HasStaged(m.Name) {
			return
		}
		if best == nil || c.need(m) > c.need(*best) {
			best = &m
		}
	}
	if best == nil {
		return
	}
	c.recordLoad(s, *best, now)
	c.send(s.ID, ring.ReplicaOrder{Kind: ring.OrderStage, Model: best.Name}, now)
}

func (c *Composer) assignStandby(s ring.Server, domain ring.Domain, held map[ring.Model]int, now time.Time) {
	state := c.server(s.ID)
	if state.orderKind == ring.OrderJoin && now.Before(state.orderedAt.Add(c.options.OrderRetry*4)) {
		return
	}
	m, ok := c.chooseStandbyModel(s, domain, held, now)
	if !ok {
		return
	}
	if c.needsLoad(s, m, now) && c.availableLoads(now) < 1 {
		return
	}
	c.recordLoad(s, m, now)
	held[m.Name]++
	c.epoch++
	group := ring.Standby(strconv.FormatUint(uint64(c.epoch), 36))
	c.send(s.ID, ring.ReplicaOrder{Kind: ring.OrderJoin, Group: group, Epoch: c.epoch, Model: m.Name, Members: []ring.VM{s.ID}}, now)
}

// chooseStandbyModel returns the model that the domain's spares lack most, against
// the servers that its replicas have; a staged one goes first among equals.
func (c *Composer) chooseStandbyModel(s ring.Server, domain ring.Domain, held map[ring.Model]int, now time.Time) (ring.ReplicaModel, bool) {
	var best ring.ReplicaModel
	bestNeed := -1.0
	for _, m := range c.view.Service.Models {
		members := max(c.replicaCount(m.Name, domain), 1) * m.Size
		need := float64(members) / float64(1+held[m.Name]*members)
		if !c.needsLoad(s, m, now) {
			need *= stagedBonus
		}
		if need > bestNeed {
			best, bestNeed = m, need
		}
	}
	return best, bestNeed > 0
}
