package composition

import (
	"sort"
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
func (c *Composer) freeServers(now time.Time) map[ring.Domain][]ring.Server {
	assigned := c.assignedServers()
	out := map[ring.Domain][]ring.Server{}
	for _, s := range c.view.Servers {
		if assigned[s.ID] || s.Leaving || c.server(s.ID).dead || c.mustLeaveFirst(s) || c.server(s.ID).isInUse(now) {
			continue
		}
		out[s.Domain] = append(out[s.Domain], s)
	}
	return out
}

// assignedServers returns the members of all replicas.
func (c *Composer) assignedServers() map[ring.VM]bool {
	out := map[ring.VM]bool{}
	for _, r := range c.replicas {
		for _, m := range r.members {
			out[m.id] = true
		}
	}
	return out
}

// joinTime estimates the time from an order to join a new replica of the model until
// the server is ready in it, including the time to load the model.
func (c *Composer) joinTime(s ring.Server, m ring.ReplicaModel, now time.Time) time.Duration {
	state := c.server(s.ID)
	switch {
	case state.loadedModel == m.Name:
		return loadedJoinTime
	case s.HasStaged(m.Name):
		return m.StagedLoadTime
	case c.isLoadingModel(s, m.Name, now):
		return min(state.loadingUntil.Sub(now)+m.StagedLoadTime, m.LoadTime)
	}
	return m.LoadTime
}

// needsWeightLoad reports whether an order to join a replica of the model makes the
// server load it from the weight store.
func (c *Composer) needsWeightLoad(s ring.Server, m ring.ReplicaModel, now time.Time) bool {
	return !c.holds(s, m.Name) && !c.isLoadingModel(s, m.Name, now)
}

// formReplicas forms replicas from free servers, the best plan first, until no
// further replica can be formed now.
func (c *Composer) formReplicas(now time.Time) {
	inTransition := c.domainsInTransition(now)
	free := c.freeServersOutside(inTransition, now)
	for {
		best := c.choosePlan(free, now)
		if best == nil {
			return
		}
		c.formReplica(best, now)
		free = c.freeServersOutside(inTransition, now)
	}
}

// freeServersOutside returns the free servers of the domains that are not in transition.
func (c *Composer) freeServersOutside(inTransition map[ring.Domain]bool, now time.Time) map[ring.Domain][]ring.Server {
	free := c.freeServers(now)
	for domain := range inTransition {
		delete(free, domain)
	}
	return free
}

// replicaPlan describes a replica that could be formed from free servers. readyAfter is
// the time until all members are ready, and need the result of needForReplica.
type replicaPlan struct {
	model      ring.ReplicaModel
	domain     ring.Domain
	members    []ring.Server
	readyAfter time.Duration
	need       float64
}

// choosePlan returns the best plan for a replica of any model in any domain, or nil if
// none can be formed now.
func (c *Composer) choosePlan(free map[ring.Domain][]ring.Server, now time.Time) *replicaPlan {
	var best *replicaPlan
	for _, domain := range sortedDomains(free) {
		for _, m := range c.view.Service.Models {
			if p := c.planReplica(m, domain, free[domain], now); p != nil && (best == nil || p.isBetterThan(best)) {
				best = p
			}
		}
	}
	return best
}

// isBetterThan reports whether p is preferred to other: its model is needed more, or
// is needed equally and its members are ready earlier.
func (p *replicaPlan) isBetterThan(other *replicaPlan) bool {
	if p.need != other.need {
		return p.need > other.need
	}
	return p.readyAfter < other.readyAfter
}

// planReplica plans a replica of model m from the free servers of the domain that
// would be ready first. Once there are requests, only servers that hold the model are
// taken: while one server loads it, the others can serve in another replica. It returns
// nil if there are too few servers, or if the servers must be kept as spares or for a
// model that is needed more.
func (c *Composer) planReplica(m ring.ReplicaModel, domain ring.Domain, free []ring.Server, now time.Time) *replicaPlan {
	sorted := make([]ring.Server, 0, len(free))
	for _, s := range free {
		if !c.view.HasTraffic || c.holds(s, m.Name) {
			sorted = append(sorted, s)
		}
	}
	if len(sorted) < m.Size {
		return nil
	}
	hasReplica := c.replicaCount(m.Name, domain) > 0
	if hasReplica && (len(sorted) < m.Size+c.options.MinSpares || c.lacksMoreNeededModel(m, domain, free, now)) {
		return nil
	}
	sort.SliceStable(sorted, func(i, j int) bool {
		a, b := sorted[i], sorted[j]
		if slowA, slowB := c.server(a.ID).slow, c.server(b.ID).slow; slowA != slowB {
			return slowB // Slow servers come last, as all members wait for the slowest.
		}
		return c.joinTime(a, m, now) < c.joinTime(b, m, now)
	})
	p := &replicaPlan{model: m, domain: domain, members: sorted[:m.Size], need: c.needForReplica(m)}
	for _, s := range p.members {
		p.readyAfter = max(p.readyAfter, c.joinTime(s, m, now))
	}
	return p
}

// lacksMoreNeededModel reports whether the domain lacks a replica of some model that
// is needed more than m, and either has lacked it for less than ReserveTime or will
// have enough free servers for it when their present loads have ended.
func (c *Composer) lacksMoreNeededModel(m ring.ReplicaModel, domain ring.Domain, free []ring.Server, now time.Time) bool {
	for _, other := range c.view.Service.Models {
		since, isMissing := c.missingSince[domainModel{domain, other.Name}]
		if !isMissing || c.needForReplica(other) <= c.needForReplica(m) {
			continue
		}
		holders := 0
		for _, s := range free {
			if c.holds(s, other.Name) || c.isLoadingModel(s, other.Name, now) {
				holders++
			}
		}
		if holders >= other.Size || now.Before(since.Add(c.options.ReserveTime)) {
			return true
		}
	}
	return false
}

// domainModel is the key of Composer.missingSince.
type domainModel struct {
	domain ring.Domain
	model  ring.Model
}

// updateMissing updates missingSince, which records since when each domain has had
// no replica of each model.
func (c *Composer) updateMissing(now time.Time) {
	domains := map[ring.Domain]bool{}
	for _, s := range c.view.Servers {
		domains[s.Domain] = true
	}
	for d := range domains {
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
	n := 0
	for _, r := range c.replicas {
		if r.model.Name == m && c.server(r.head().id).entry.Domain == domain {
			n++
		}
	}
	return n
}

// needForReplica returns the priority of forming one more replica of the model, which
// falls with the number of the model's replicas. A declared share is a fraction of
// the work, measured in servers. Before the first request to the service, it is
// divided by the replica size, so that the shares set how many replicas each model
// gets. Afterwards the model with the larger share goes first.
func (c *Composer) needForReplica(m ring.ReplicaModel) float64 {
	n := 0
	for _, r := range c.replicas {
		if r.model.Name == m.Name && r.phase != phaseReleasing {
			n++
		}
	}
	weight := shareOf(m)
	if !c.view.HasTraffic {
		weight /= float64(max(m.Size, 1))
	}
	return weight / float64(n+1)
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
		r.members = append(r.members, member{s.ID, s.Incarnation})
		c.recordWeightLoad(s, p.model, now)
	}
	c.replicas[r.epoch] = r
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
func (c *Composer) recordWeightLoad(s ring.Server, m ring.ReplicaModel, now time.Time) {
	if !c.needsWeightLoad(s, m, now) {
		return
	}
	state := c.server(s.ID)
	state.loadingModel = m.Name
	state.loadingUntil = now.Add(m.LoadTime)
	c.weightLoadBucket.tokens--
}

// sortedDomains returns the domains that have free servers, in a fixed order.
func sortedDomains(free map[ring.Domain][]ring.Server) []ring.Domain {
	out := make([]ring.Domain, 0, len(free))
	for d := range free {
		out = append(out, d)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}
