package composition

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	ring "eelgrassring.dev"
)

// loadedJoinTime is how long a server takes to join a replica when the replica's
// model is already in the server's accelerators' memory.
const loadedJoinTime = 200 * time.Millisecond

// weightLoadLimiter is a token bucket that limits how many servers begin to load a
// model from the weight store; each load takes one token.
type weightLoadLimiter struct {
	tokens     float64
	refilledAt time.Time
}

// weightLoadBurst is how many weight loads may begin at once. Within any five
// seconds the platform allows the number of loads that follows from its rate, plus
// three.
const weightLoadBurst = 6

// refill adds the tokens for the time since the last call, at rate tokens per
// second; the first call fills the bucket.
func (l *weightLoadLimiter) refill(rate float64, now time.Time) {
	if l.refilledAt.IsZero() {
		l.tokens = weightLoadBurst
	} else {
		l.tokens = min(weightLoadBurst, l.tokens+rate*now.Sub(l.refilledAt).Seconds())
	}
	l.refilledAt = now
}

// weightLoadRateFraction is the fraction of the platform's rate of weight loads that
// is used. The rest is for servers that are moved to another replica during a load:
// they restart the load, which the limiter does not count.
const weightLoadRateFraction = 0.9

// availableWeightLoads returns how many servers may begin to load from the weight
// store now. Before the first request to the service the rate is not limited, and all
// servers may load at once.
func (c *Composer) availableWeightLoads(now time.Time) int {
	if !c.view.HasTraffic {
		return len(c.view.Servers)
	}
	c.weightLoadBucket.refill(weightLoadRateFraction*c.view.Service.LoadsPerSecond, now)
	return int(c.weightLoadBucket.tokens)
}

// freeServers returns, by fabric domain, the listed servers that can be assigned to a
// replica. These are in no replica, neither leaving nor dead, and not possibly still
// in use by the head of an earlier replica.
func (c *Composer) freeServers(now time.Time) map[ring.Domain][]*serverState {
	out := map[ring.Domain][]*serverState{}
	for _, domain := range c.domains {
		if free := c.freeServersIn(domain, now); len(free) > 0 {
			out[domain] = free
		}
	}
	return out
}

// freeServersIn returns the free servers of one fabric domain, as freeServers does.
func (c *Composer) freeServersIn(domain ring.Domain, now time.Time) []*serverState {
	var out []*serverState
	for _, s := range c.byDomain[domain] {
		if len(s.replicas) > 0 || !s.mayServe() || s.dead || c.mustLeaveFirst(s) || s.isInUse(now) {
			continue
		}
		out = append(out, s)
	}
	return out
}

// joinTime estimates the time from an order to join a new replica of the model until
// the server is ready in it, including the time to load the model.
func (c *Composer) joinTime(s *serverState, m ring.ReplicaModel, now time.Time) time.Duration {
	switch {
	case s.loadedModel == m.Name:
		return loadedJoinTime
	case s.entry.HasStaged(m.Name):
		return m.StagedLoadTime
	case s.isLoadingModel(m.Name, now):
		return min(s.loadingUntil.Sub(now)+m.StagedLoadTime, m.LoadTime)
	}
	return m.LoadTime
}

// needsWeightLoad reports whether an order to join a replica of the model makes the
// server load it from the weight store.
func (c *Composer) needsWeightLoad(s *serverState, m ring.ReplicaModel, now time.Time) bool {
	return !s.holds(m.Name) && !s.isLoadingModel(m.Name, now)
}

// formReplicas forms replicas from free servers, the best plan first, until no
// further replica can be formed now. It returns the servers that are still free, without
// those of the domains in transition.
func (c *Composer) formReplicas(now time.Time) map[ring.Domain][]*serverState {
	free := c.freeServersOutside(c.domainsInTransition(now), now)
	plans := map[ring.Domain][]*replicaPlan{}
	for domain := range free {
		plans[domain] = c.planReplicas(domain, free[domain], now)
	}
	for {
		best := c.choosePlan(plans, free, now)
		if best == nil {
			return free
		}
		c.formReplica(best, now)
		// A new replica changes what can be formed in its own domain only.
		free[best.domain] = c.freeServersIn(best.domain, now)
		plans[best.domain] = c.planReplicas(best.domain, free[best.domain], now)
	}
}

// freeServersOutside returns the free servers of the domains that are not in transition.
func (c *Composer) freeServersOutside(inTransition map[ring.Domain]bool, now time.Time) map[ring.Domain][]*serverState {
	free := c.freeServers(now)
	for domain := range inTransition {
		delete(free, domain)
	}
	return free
}

// replicaPlan describes a replica that could be formed from free servers. readyAfter is
// the time until all members are ready, and candidates the number of free servers from
// which the members were chosen.
type replicaPlan struct {
	model      ring.ReplicaModel
	domain     ring.Domain
	members    []*serverState
	candidates int
	readyAfter time.Duration
}

// choosePlan returns the best of the plans that may be carried out now, or nil if there
// is none. A plan is preferred if its model is needed more, or is needed equally and its
// members are ready earlier.
func (c *Composer) choosePlan(plans map[ring.Domain][]*replicaPlan, free map[ring.Domain][]*serverState, now time.Time) *replicaPlan {
	var best *replicaPlan
	bestNeed := 0.0
	for _, domain := range c.domains {
		for _, p := range plans[domain] {
			need := c.needForReplica(p.model)
			isBetter := best == nil || need > bestNeed || (need == bestNeed && p.readyAfter < best.readyAfter)
			if isBetter && !c.mustKeepServers(p, free[domain], now) {
				best, bestNeed = p, need
			}
		}
	}
	return best
}

// planReplicas returns a plan for each model of which a replica could be formed from
// the free servers of the domain.
func (c *Composer) planReplicas(domain ring.Domain, free []*serverState, now time.Time) []*replicaPlan {
	var out []*replicaPlan
	for _, m := range c.view.Service.Models {
		if p := c.planReplica(m, domain, free, now); p != nil {
			out = append(out, p)
		}
	}
	return out
}

// planReplica plans a replica of model m from the free servers of the domain that
// would be ready first. Once there are requests, only servers that hold the model are
// taken: while one server loads it, the others can serve in another replica. It returns
// nil if there are too few servers.
func (c *Composer) planReplica(m ring.ReplicaModel, domain ring.Domain, free []*serverState, now time.Time) *replicaPlan {
	sorted := make([]*serverState, 0, len(free))
	for _, s := range free {
		if !c.view.HasTraffic || s.holds(m.Name) {
			sorted = append(sorted, s)
		}
	}
	if len(sorted) < m.Size {
		return nil
	}
	slices.SortStableFunc(sorted, func(a, b *serverState) int {
		// Slow servers come last, as all members wait for the slowest.
		return cmp.Or(compareBool(a.slow, b.slow), cmp.Compare(c.joinTime(a, m, now), c.joinTime(b, m, now)))
	})
	p := &replicaPlan{model: m, domain: domain, members: sorted[:m.Size], candidates: len(sorted)}
	c.putLimitedLast(p.members)
	for _, s := range p.members {
		p.readyAfter = max(p.readyAfter, c.joinTime(s, m, now))
	}
	return p
}

// mustKeepServers reports whether the plan would form a second replica of its model in
// the domain although the servers must be kept as spares or for a model that is needed
// more.
func (c *Composer) mustKeepServers(p *replicaPlan, free []*serverState, now time.Time) bool {
	if c.replicaCount(p.model.Name, p.domain) == 0 {
		return false
	}
	return p.candidates < p.model.Size+c.options.MinSpares || c.lacksMoreNeededModel(p.model, p.domain, free, now)
}

// lacksMoreNeededModel reports whether the free servers of the domain must be kept for a
// replica of some model that is needed more than m and that the domain lacks. They are
// kept if there will soon be enough of them, also by a trade, or if the service has no
// replica of that model at all and the domain has lacked it for less than ReserveTime.
func (c *Composer) lacksMoreNeededModel(m ring.ReplicaModel, domain ring.Domain, free []*serverState, now time.Time) bool {
	for _, other := range c.view.Service.Models {
		since, isMissing := c.missingSince[domainModel{domain, other.Name}]
		if !isMissing || c.needForReplica(other) <= c.needForReplica(m) {
			continue
		}
		isReserved := c.inUseCounts[other.Name] == 0 && now.Before(since.Add(c.options.ReserveTime))
		lacking := other.Size - c.holdersSoon(other.Name, domain, free, now)
		if isReserved || lacking <= 0 || len(c.chooseTraded(other, domain, lacking)) > 0 {
			return true
		}
	}
	return false
}

// holdersSoon counts the servers of the domain that hold the model and are free, or are
// about to be: they end a load within LoadWait, or their replica is being released.
func (c *Composer) holdersSoon(m ring.Model, domain ring.Domain, free []*serverState, now time.Time) int {
	n := 0
	for _, s := range free {
		isAboutToHold := s.isLoadingModel(m, now) && s.loadingUntil.Before(now.Add(c.options.LoadWait))
		if s.holds(m) || isAboutToHold {
			n++
		}
	}
	for _, s := range c.byDomain[domain] {
		if len(s.replicas) > 0 && s.replicas[0].phase == phaseReleasing && s.isAvailable() && s.holds(m) {
			n++
		}
	}
	return n
}

// domainModel is the key of Composer.missingSince.
type domainModel struct {
	domain ring.Domain
	model  ring.Model
}

// updateMissing updates missingSince, which records since when each domain has had
// no replica of each model.
func (c *Composer) updateMissing(now time.Time) {
	for _, d := range c.domains {
		for _, m := range c.view.Service.Models {
			key := domainModel{d, m.Name}
			if c.replicaCount(m.Name, d) > 0 {
				delete(c.missingSince, key)
			} else if _, known := c.missingSince[key]; !known {
				c.missingSince[key] = now
			}
		}
	}
}

// replicaCount returns the number of replicas of the model in the domain.
func (c *Composer) replicaCount(m ring.Model, domain ring.Domain) int {
	return c.replicaCounts[domainModel{domain, m}]
}

// needForReplica returns the priority of forming one more replica of the model, which
// falls with the number of the model's replicas. A declared share is a fraction of
// the work, measured in servers. Before the first request to the service, it is
// divided by the replica size, so that the shares set how many replicas each model
// gets. Afterwards the model with the larger share goes first.
func (c *Composer) needForReplica(m ring.ReplicaModel) float64 {
	weight := shareOf(m)
	if !c.view.HasTraffic {
		weight /= float64(max(m.Size, 1))
	}
	return weight / float64(c.inUseCounts[m.Name]+1)
}

// shareOf returns the model's declared share of the work, or 1 if none is declared.
func shareOf(m ring.ReplicaModel) float64 {
	if m.Share > 0 {
		return m.Share
	}
	return 1
}

// formReplica starts a replica with the planned members under a new epoch and orders
// the members to join.
func (c *Composer) formReplica(p *replicaPlan, now time.Time) {
	c.epoch++
	r := &replica{
		group: ring.Group("g" + strconv.FormatUint(uint64(c.epoch), 36)), epoch: c.epoch, model: p.model,
		phase: phaseForming, startedAt: now, deadline: now.Add(p.readyAfter*2 + c.options.JoinSlack),
	}
	for _, s := range p.members {
		r.members = append(r.members, member{s.entry.ID, s.entry.Incarnation})
		c.recordWeightLoad(s, p.model, now)
	}
	c.addReplica(r)
	c.addDecision(Decision{Group: r.group, Epoch: r.epoch, Model: p.model.Name, What: "forming", Took: p.readyAfter, Missing: c.missingFor(p, now)})
	c.advanceForming(r, now)
}

// missingFor returns how long the domain of the plan has had no replica of its model.
func (c *Composer) missingFor(p *replicaPlan, now time.Time) time.Duration {
	if since, isMissing := c.missingSince[domainModel{p.domain, p.model.Name}]; isMissing {
		return now.Sub(since)
	}
	return 0
}

// recordWeightLoad records that an order makes the server load the model from the
// weight store, and takes a token for the load. It does nothing if no such load is
// needed.
func (c *Composer) recordWeightLoad(s *serverState, m ring.ReplicaModel, now time.Time) {
	if !c.needsWeightLoad(s, m, now) {
		return
	}
	s.loadingModel = m.Name
	s.loadingUntil = now.Add(m.LoadTime)
	c.weightLoadBucket.tokens--
}
