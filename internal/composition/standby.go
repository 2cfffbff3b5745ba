package composition

import (
	"strconv"
	"time"

	ring "eelgrassring.dev"
)

// stagedBonus multiplies the need for a model that a spare can load without the
// weight store: from the host this takes a tenth of the time.
const stagedBonus = 2

// assignStandbys gives every spare one model to load and another one to stage, so
// that it can quickly replace a lost member in its domain, whichever model the
// replica serves.
func (c *Composer) assignStandbys(now time.Time) {
	free := c.freeServers(now)
	for _, domain := range sortedDomains(free) {
		loaded := map[ring.Model]int{}
		var idle []ring.Server
		for _, s := range free[domain] {
			if !s.Membership.IsStandby() {
				idle = append(idle, s)
				continue
			}
			loaded[s.Model]++
			if s.Membership.State == ring.MemberReady {
				c.stageModel(s, now)
			}
		}
		for _, s := range idle {
			c.assignStandby(s, domain, loaded, now)
		}
	}
}

// stageModel orders a standby to stage the most needed model other than the one
// that it has loaded, unless it has staged one already.
func (c *Composer) stageModel(s ring.Server, now time.Time) {
	state := c.server(s.ID)
	if state.loadingModel != "" || c.availableWeightLoads(now) < 1 {
		return
	}
	var best *ring.ReplicaModel
	for _, m := range c.view.Service.Models {
		if m.Name == state.loadedModel {
			continue
		}
		if s.HasStaged(m.Name) {
			return
		}
		if best == nil || c.needForReplica(m) > c.needForReplica(*best) {
			best = &m
		}
	}
	if best == nil {
		return
	}
	c.recordWeightLoad(s, *best, now)
	c.addOrder(s.ID, ring.ReplicaOrder{Kind: ring.OrderStage, Model: best.Name}, now)
}

// assignStandby orders a spare to load the model that its domain lacks most, if
// the load limit allows it. loaded counts the standbys by model.
func (c *Composer) assignStandby(s ring.Server, domain ring.Domain, loaded map[ring.Model]int, now time.Time) {
	state := c.server(s.ID)
	if state.lastOrderKind == ring.OrderJoin && now.Before(state.lastOrderAt.Add(c.options.OrderRetry*4)) {
		return
	}
	m, ok := c.chooseStandbyModel(s, domain, loaded, now)
	if !ok {
		return
	}
	if c.needsWeightLoad(s, m, now) && c.availableWeightLoads(now) < 1 {
		return
	}
	c.recordWeightLoad(s, m, now)
	loaded[m.Name]++
	c.epoch++
	group := ring.StandbyGroup(strconv.FormatUint(uint64(c.epoch), 36))
	c.addOrder(s.ID, ring.ReplicaOrder{Kind: ring.OrderJoin, Group: group, Epoch: c.epoch, Model: m.Name, Members: []ring.VM{s.ID}}, now)
}

// chooseStandbyModel returns the model with the fewest standbys in the domain
// relative to the servers in its replicas. A model that s need not load from the
// weight store counts stagedBonus times.
func (c *Composer) chooseStandbyModel(s ring.Server, domain ring.Domain, loaded map[ring.Model]int, now time.Time) (ring.ReplicaModel, bool) {
	var best ring.ReplicaModel
	bestNeed := -1.0
	for _, m := range c.view.Service.Models {
		members := max(c.replicaCount(m.Name, domain), 1) * m.Size
		need := float64(members) / float64(1+loaded[m.Name]*members)
		if !c.needsWeightLoad(s, m, now) {
			need *= stagedBonus
		}
		if need > bestNeed {
			best, bestNeed = m, need
		}
	}
	return best, bestNeed > 0
}
