package composition

import (
	"strconv"
	"time"

	ring "eelgrassring.dev"
)

// stagedBonus multiplies the need for a standby of a model that the spare can load
// without the weight store. A load from its host's memory takes a tenth of the time.
const stagedBonus = 2

// assignStandbys orders every spare (a server without a replica) to load one model
// into its accelerators and to stage another in its host's memory. The spare can then
// quickly replace a lost member of a replica of either model in its domain.
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

// stageModel orders a standby to load another model into its host's memory: of the
// models that the standby does not have loaded, the one with the greatest
// needForReplica. It does nothing if the standby has staged one of these models
// already or is loading a model, or if the limit on weight loads is reached.
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

// assignStandby orders a spare to become a standby of the model with the greatest
// need for standbys in the domain. It does nothing if the limit on weight loads is
// reached. loaded counts the domain's standbys by model; assignStandby adds the new
// one.
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
// relative to the servers in its replicas, or false if there is no model. If s need
// not load a model from the weight store, the need for that model is multiplied by
// stagedBonus.
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
