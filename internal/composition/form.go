package composition

import (
	"sort"
	"strconv"
	"time"

	ring "eelgrassring.dev"
)

// loadedJoinTime is how long a server takes to join a replica of the model that it
// holds.
const loadedJoinTime = 200 * time.Millisecond

// loadLimiter bounds the loads from the weight store.
type loadLimiter struct {
	tokens     float64
	refilledAt time.Time
}

// loadBurst is how many loads may begin at once. The platform allows the rate
// over five seconds and three more.
const loadBurst = 6

func (l *loadLimiter) refill(rate float64, now time.Time) {
	if l.refilledAt.IsZero() {
		l.tokens = loadBurst
	} else {
		l.tokens = min(loadBurst, l.tokens+rate*now.Sub(l.refilledAt).Seconds())
	}
	l.refilledAt = now
}

// loadRateFraction is the part of the platform's rate of loads that is used: a server
// that joins another replica in the middle of its load begins it again, which is
// not counted here.
const loadRateFraction = 0.9

// availableLoads is how many loads may begin now. Before there is traffic they have no
// rate, and every server may load at once.
func (c *Composer) availableLoads(now time.Time) int {
	if !c.view.HasTraffic {
		return len(c.view.Servers)
	}
	c.loads.refill(loadRateFraction*c.view.Service.LoadsPerSecond, now)
	return int(c.loads.tokens)
}

// freeServers returns the usable servers in no replica, by domain.
func (c *Composer) freeServers(now time.Time) map[ring.Domain][]ring.Server {
	held := map[ring.VM]bool{}
	for _, r := range c.replicas {
		for _, m := range r.members {
			held[m.id] = true
		}
	}
	out := map[ring.Domain][]ring.Server{}
	for _, s := range c.view.Servers {
		if held[s.ID] || s.Leaving || c.server(s.ID).dead || c.mayBeInUse(s) || now.Before(c.server(s.ID).inUseUntil) {
			continue
		}
		out[s.Domain] = append(out[s.Domain], s)
	}
	return out
}

// mayBeInUse reports whether a server that no known replica names may still
// belong to one that is partly listed.
func (c *Composer) mayBeInUse(s ring.Server) bool {
	_, partial := c.incomplete[s.Place.Epoch]
	return partial && !c.dropped[s.Place.Epoch]
}

// joinTime is how long the server takes to be ready under a new epoch.
func (c *Composer) joinTime(s ring.Server, m ring.ReplicaModel, now time.Time) time.Duration {
	state := c.server(s.ID)
	switch {
	case state.loaded == m.Name:
		return loadedJoinTime
	case s.HasStaged(m.Name):
		return m.Warm
	case state.loading == m.Name && now.Before(state.loadUntil):
		return min(state.loadUntil.Sub(now)+m.Warm, m.Load)
	}
	return m.Load
}

// needsLoad reports whether a join would begin a load from the weight store.
func (c *Composer) needsLoad(s ring.Server, m ring.ReplicaModel, now time.Time) bool {
	state := c.server(s.ID)
	isLoading := state.loading == m.Name && now.Before(state.loadUntil)
	return state.loaded != m.Name && !s.HasStaged(m.Name) && !isLoading
}

// formReplicas forms replicas of free servers until no more can be had.
func (c *Composer) formReplicas(now time.Time) {
	free := c.freeServers(now)
	for {
		best := c.choosePlan(free, now)
		if best == nil {
			return
		}
		c.startForming(best, now)
		free = c.freeServers(now)
	}
}

// plan is a replica that could be formed.
type plan struct {
	model      ring.ReplicaModel
	domain     ring.Domain
	members    []ring.Server
	loads      int
	readyAfter time.Duration
	need       float64
}

// choosePlan returns the best plan, or nil.
func (c *Composer) choosePlan(free map[ring.Domain][]ring.Server, now time.Time) *plan {
	open := c.availableLoads(now)
	var best, quick *plan
	for _, domain := range sortedDomains(free) {
		for _, m := range c.view.Service.Models {
			p := c.planReplica(m, domain, free[domain], now)
			if p == nil {
				continue
			}
			if best == nil || p.isBetterThan(best) {
				best = p
			}
			if p.loads == 0 && (quick == nil || p.isBetterThan(quick)) {
				quick = p
			}
		}
	}
	// A plan that has to wait for its loads holds up only plans with loads:
	// a smaller replica must not take the servers of a larger one.
	if best != nil && best.loads > open {
		return quick
	}
	return best
}

// isBetterThan prefers the greater need, then the quicker plan.
func (p *plan) isBetterThan(o *plan) bool {
	if p.need != o.need {
		return p.need > o.need
	}
	return p.readyAfter < o.readyAfter
}

// planReplica returns the quickest replica of the model in the domain, or nil.
func (c *Composer) planReplica(m ring.ReplicaModel, domain ring.Domain, free []ring.Server, now time.Time) *plan {
	sorted := make([]ring.Server, 0, len(free))
	for _, s := range free {
		if !c.isReserved(s, m, domain, now) {
			sorted = append(sorted, s)
		}
	}
	if len(sorted) < m.Size {
		return nil
	}
	isSecond := c.replicaCount(m.Name, domain) > 0
	if isSecond && (len(sorted) < m.Size+c.options.MinSpares || c.lacksMoreNeededModel(m, domain, now)) {
		return nil
	}
	sort.SliceStable(sorted, func(i, j int) bool {
		a, b := sorted[i], sorted[j]
		if slowA, slowB := c.server(a.ID).slow, c.server(b.ID).slow; slowA != slowB {
			return slowB // Slow servers come last: all members wait for them.
		}
		return c.joinTime(a, m, now) < c.joinTime(b, m, now)
	})
	p := &plan{model: m, domain: domain, members: sorted[:m.Size], need: c.need(m)}
	for _, s := range p.members {
		p.readyAfter = max(p.readyAfter, c.joinTime(s, m, now))
		if c.needsLoad(s, m, now) {
			p.loads++
		}
	}
	return p
}

// isReserved keeps servers that hold a model which the domain lacks, and needs
// more, from being loaded with another: the member that is missing may come.
func (c *Composer) isReserved(s ring.Server, m ring.ReplicaModel, domain ring.Domain, now time.Time) bool {
	if !c.view.HasTraffic || !c.needsLoad(s, m, now) {
		return false
	}
	for _, other := range c.view.Service.Models {
		if other.Name == m.Name || c.needsLoad(s, other, now) {
			continue
		}
		since, lacks := c.missingSince[domainModel{domain, other.Name}]
		if lacks && now.Before(since.Add(c.options.ReserveTime)) && c.need(other) > c.need(m) {
			return true
		}
	}
	return false
}

// lacksMoreNeededModel reports whether the domain lately lost its replica of a model that
// is needed more.
func (c *Composer) lacksMoreNeededModel(m ring.ReplicaModel, domain ring.Domain, now time.Time) bool {
	for _, other := range c.view.Service.Models {
		since, lacks := c.missingSince[domainModel{domain, other.Name}]
		if lacks && now.Before(since.Add(c.options.ReserveTime)) && c.need(other) > c.need(m) {
			return true
		}
	}
	return false
}

// domainModel is a model of which a domain has no replica.
type domainModel struct {
	domain ring.Domain
	model  ring.Model
}

// updateMissing follows since when each domain lacks a model.
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

// replicaCount returns how many replicas of the model the domain has.
func (c *Composer) replicaCount(m ring.Model, domain ring.Domain) int {
	n := 0
	for _, r := range c.replicas {
		if r.model.Name == m && c.server(r.head().id).entry.Domain == domain {
			n++
		}
	}
	return n
}

// need is what one more replica of the model is worth. Before there is traffic
// the declared shares, which count work by servers, set how many replicas each
// model gets; later the model with the larger part of the work goes first.
func (c *Composer) need(m ring.ReplicaModel) float64 {
	n := 0
	for _, r := range c.replicas {
		if r.model.Name == m.Name && r.phase != phaseReleasing {
			n++
		}
	}
	weight := 1.0
	if m.Share > 0 {
		weight = m.Share
	}
	if !c.view.HasTraffic {
		weight /= float64(max(m.Size, 1))
	}
	return weight / float64(n+1)
}

// startForming starts a planned replica.
func (c *Composer) startForming(p *plan, now time.Time) {
	c.epoch++
	r := &replica{
		group: ring.Group("g" + strconv.FormatUint(uint64(c.epoch), 36)), epoch: c.epoch, model: p.model,
		phase: phaseForming, startedAt: now, deadline: now.Add(p.readyAfter*2 + c.options.JoinSlack),
	}
	for _, s := range p.members {
		r.members = append(r.members, member{s.ID, s.Incarnation})
		c.recordLoad(s, p.model, now)
	}
	c.replicas[r.epoch] = r
	c.logDecision(Decision{Group: r.group, Epoch: r.epoch, Model: p.model.Name, What: "forming", Took: p.readyAfter})
	c.advanceForming(r, now)
}

// recordLoad counts the load that an order to the server begins.
func (c *Composer) recordLoad(s ring.Server, m ring.ReplicaModel, now time.Time) {
	if !c.needsLoad(s, m, now) {
		return
	}
	state := c.server(s.ID)
	state.loading = m.Name
	state.loadUntil = now.Add(m.Load)
	c.loads.tokens--
}

func sortedDomains(free map[ring.Domain][]ring.Server) []ring.Domain {
	out := make([]ring.Domain, 0, len(free))
	for d := range free {
		out = append(out, d)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}
