package composition

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	ring "eelgrassring.dev"
)

// assignStandbys prepares servers to join a replica of any model quickly. Spares
// (servers without a replica) become standbys of a model that they hold. Servers that
// hold no model, or not all models that their host has room for, load one. free are the
// spares outside of the domains in transition.
func (c *Composer) assignStandbys(free map[ring.Domain][]*serverState, now time.Time) {
	for _, domain := range c.domains {
		for _, s := range free[domain] {
			if !s.entry.Membership.IsStandby() && c.isIdle(s, now) {
				c.assignStandby(s, now)
			}
		}
	}
	c.loadModels(free, now)
}

// isIdle reports whether the spare's last order to join was long enough ago that it
// must have failed.
func (c *Composer) isIdle(s *serverState, now time.Time) bool {
	return s.lastOrderKind != ring.OrderJoin || !now.Before(s.lastOrderAt.Add(c.options.OrderRetry*4))
}

// assignStandby makes a spare a standby of a model that it holds, the one that it
// joins fastest. It does nothing if the spare holds none.
func (c *Composer) assignStandby(s *serverState, now time.Time) {
	var best *ring.ReplicaModel
	for _, m := range c.view.Service.Models {
		if s.holds(m.Name) && (best == nil || c.joinTime(s, m, now) < c.joinTime(s, *best, now)) {
			best = &m
		}
	}
	if best != nil {
		c.addStandbyOrder(s, *best, now)
	}
}

// addStandbyOrder orders a spare to become a standby of the model, which loads the
// model if the spare does not hold it.
func (c *Composer) addStandbyOrder(s *serverState, m ring.ReplicaModel, now time.Time) {
	c.epoch++
	group := ring.StandbyGroup(strconv.FormatUint(uint64(c.epoch), 36))
	c.addOrder(s.entry.ID, ring.ReplicaOrder{Kind: ring.OrderJoin, Group: group, Epoch: c.epoch, Model: m.Name, Members: []ring.VM{s.entry.ID}}, now)
}

// weightLoad is a possible load from the weight store: of a model that a server does
// not hold.
type weightLoad struct {
	server *serverState
	model  ring.ReplicaModel
	// isFirst is set if the server holds no model, so that it is of no use yet.
	isFirst bool
	// lacking is how many servers the domain lacks for a replica of the model, at least
	// one, or 0 if the domain has such a replica.
	lacking int
}

// compareWeightLoads orders loads by their benefit: first the servers that hold no
// model, then the domains in which a replica of the model is missing, then those that
// lack fewer servers for it.
func compareWeightLoads(a, b weightLoad) int {
	return cmp.Or(
		-compareBool(a.isFirst, b.isFirst),
		-compareBool(a.lacking > 0, b.lacking > 0),
		cmp.Compare(a.lacking, b.lacking),
		cmp.Compare(a.model.LoadTime, b.model.LoadTime),
		cmp.Compare(a.server.entry.ID, b.server.entry.ID),
	)
}

// compareBool returns -1, 0 or 1, with false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// loadModels orders servers to load models that they do not hold, the most useful
// loads first, within the limits on weight loads. A spare without any model joins as a
// standby; all other servers stage the model in their host's memory, which does not
// disturb what they run. Members of running replicas stage models too: after a loss,
// the remaining members can then form a replica of any model that still fits.
func (c *Composer) loadModels(free map[ring.Domain][]*serverState, now time.Time) {
	loads := c.usefulLoads(free, now)
	slices.SortFunc(loads, compareWeightLoads)
	available, idleSlots := c.availableWeightLoads(now), c.idleLoadSlots(now)
	for _, l := range loads {
		needed := 1
		if !l.isFirst && c.view.HasTraffic {
			// Later first loads must not wait for a long time.
			needed = 1 + c.view.Service.LoadsAtOnce/2
		}
		if available < 1 || idleSlots < needed {
			return
		}
		available--
		idleSlots--
		c.recordWeightLoad(l.server, l.model, now)
		if l.isFirst {
			c.addStandbyOrder(l.server, l.model, now)
		} else {
			c.addOrder(l.server.entry.ID, ring.ReplicaOrder{Kind: ring.OrderStage, Model: l.model.Name}, now)
		}
	}
}

// usefulLoads returns a load for each server that holds no model, and for each server
// whose host has room for a model that the server has not loaded. Members of replicas
// that are not open yet, and spares whose standby is not ready, are left out unless
// they hold no model.
func (c *Composer) usefulLoads(free map[ring.Domain][]*serverState, now time.Time) []weightLoad {
	holders := c.countHolders(now)
	settledSpares := map[*serverState]bool{}
	var out []weightLoad
	add := func(s *serverState, isFirst bool) {
		m, ok := c.chooseModelToLoad(s, holders)
		if !ok {
			return
		}
		l := weightLoad{server: s, model: m, isFirst: isFirst}
		key := domainModel{s.entry.Domain, m.Name}
		if c.replicaCount(m.Name, s.entry.Domain) == 0 {
			l.lacking = max(m.Size-holders[key], 1)
		}
		holders[key]++
		out = append(out, l)
	}
	for _, domain := range c.domains {
		for _, s := range free[domain] {
			isFirst, membership := s.holdsNothing(), s.entry.Membership
			settledSpares[s] = !isFirst && membership.IsStandby() && membership.State == ring.MemberReady
			if isFirst && !membership.IsStandby() && c.isIdle(s, now) && !s.isLoading(now) {
				add(s, true)
			}
		}
	}
	for _, s := range c.listed {
		isSettled := settledSpares[s] || (len(s.replicas) > 0 && s.replicas[0].phase == phaseOpen)
		if isSettled && s.mayServe() && !s.dead && !s.isLoading(now) {
			add(s, false)
		}
	}
	return out
}

// chooseModelToLoad returns the model of which the server's domain has the fewest
// holders relative to the model's share, among those that the server does not hold.
// It returns false if there is none, or if the host has no room: it keeps one staged
// model, which is of use unless that model is also the loaded one.
func (c *Composer) chooseModelToLoad(s *serverState, holders map[domainModel]int) (ring.ReplicaModel, bool) {
	var best ring.ReplicaModel
	bestCount := -1.0
	for _, m := range c.view.Service.Models {
		if m.Name == s.loadedModel {
			continue
		}
		if s.entry.HasStaged(m.Name) {
			return ring.ReplicaModel{}, false
		}
		if count := float64(holders[domainModel{s.entry.Domain, m.Name}]) / shareOf(m); bestCount < 0 || count < bestCount {
			best, bestCount = m, count
		}
	}
	return best, bestCount >= 0
}

// countHolders counts, by domain and model, the servers that hold the model or are
// loading it.
func (c *Composer) countHolders(now time.Time) map[domainModel]int {
	out := map[domainModel]int{}
	for _, domain := range c.domains {
		for _, m := range c.view.Service.Models {
			n := 0
			for _, s := range c.byDomain[domain] {
				if s.mayServe() && !s.dead && (s.holds(m.Name) || s.isLoadingModel(m.Name, now)) {
					n++
				}
			}
			out[domainModel{domain, m.Name}] = n
		}
	}
	return out
}

// idleLoadSlots returns how many more loads can run at full speed. Before the first
// request to the service loads are fast, and all servers may load at once. A server
// that joins and holds no model is loading by an order of an earlier controller.
func (c *Composer) idleLoadSlots(now time.Time) int {
	if !c.view.HasTraffic || c.view.Service.LoadsAtOnce == 0 {
		return len(c.listed)
	}
	n := c.view.Service.LoadsAtOnce
	for _, s := range c.listed {
		if s.isLoading(now) || (s.entry.Membership.State == ring.MemberJoining && s.holdsNothing()) {
			n--
		}
	}
	return n
}
