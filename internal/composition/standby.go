package composition

import (
	"strconv"
	"time"

	ring "eelgrassring.dev"
)

// stagedBonus is how much more a spare is worth with a model that lies on its
// host: it is ready in a tenth of the time of a load.
const stagedBonus = 2

// standby gives every spare a model to hold in its accelerators, and another to
// keep on its host, so that a replica of its domain that loses a member gets
// another in a moment, whichever model it runs.
func (c *Composer) standby(now time.Time) {
	free := c.free(now)
	for _, domain := range domainsOf(free) {
		held := map[ring.Model]int{}
		var idle []ring.Server
		for _, s := range free[domain] {
			if !s.Place.IsStandby() {
				idle = append(idle, s)
				continue
			}
			held[s.Model]++
			if s.Place.State == ring.MemberReady {
				c.stage(s, now)
			}
		}
		for _, s := range idle {
			c.standbyOne(s, domain, held, now)
		}
	}
}

// stage orders a standby to keep on its host the model that it does not hold
// and that is needed most.
func (c *Composer) stage(s ring.Server, now time.Time) {
	state := c.server(s.ID)
	if state.loading != "" || c.loadsOpen(now) < 1 {
		return
	}
	var best *ring.ReplicaModel
	for _, m := range c.view.Service.Models {
		if m.Name == state.held {
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
	c.countLoad(s, *best, now)
	c.send(s.ID, ring.ReplicaOrder{Kind: ring.OrderStage, Model: best.Name}, now)
}

func (c *Composer) standbyOne(s ring.Server, domain ring.Domain, held map[ring.Model]int, now time.Time) {
	state := c.server(s.ID)
	if state.orderKind == ring.OrderJoin && now.Before(state.orderedAt.Add(c.options.OrderRetry*4)) {
		return
	}
	m, ok := c.standbyModel(s, domain, held, now)
	if !ok {
		return
	}
	if c.needsLoad(s, m, now) && c.loadsOpen(now) < 1 {
		return
	}
	c.countLoad(s, m, now)
	held[m.Name]++
	c.epoch++
	group := ring.Standby(strconv.FormatUint(uint64(c.epoch), 36))
	c.send(s.ID, ring.ReplicaOrder{Kind: ring.OrderJoin, Group: group, Epoch: c.epoch, Model: m.Name, Members: []ring.VM{s.ID}}, now)
}

// standbyModel returns the model that the domain's spares lack most, against
// the servers that its replicas have; a staged one goes first among equals.
func (c *Composer) standbyModel(s ring.Server, domain ring.Domain, held map[ring.Model]int, now time.Time) (ring.ReplicaModel, bool) {
	var best ring.ReplicaModel
	bestNeed := -1.0
	for _, m := range c.view.Service.Models {
		members := max(c.count(m.Name, domain), 1) * m.Size
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
