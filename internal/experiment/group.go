package experiment

import (
	"time"
)

// simGroup is a simulated group: it prefills one prompt at a time and generates
// tokens for the requests in its slots.
type simGroup struct {
	index int
	zone  int
	// hash identifies the group to the routing policies.
	hash      uint64
	deadSince time.Duration
	isDead    bool
	// slowdown multiplies the group's prefill times and token gaps.
	slowdown float64
	// running counts the requests in slots; queue holds those that wait for one.
	running int
	queue   []*request
	// prefillFree is when the group can begin the next prefill.
	prefillFree time.Duration
	// cache holds the last use of each cached prefix.
	cache map[uint64]time.Duration
	// inFlight holds the requests in slots.
	inFlight map[*request]bool
}

// prefillTime returns how long the group needs to prefill the prompt of a
// request, which depends on whether its prefix is cached.
func (s *Sim) prefillTime(g *simGroup, r *request) time.Duration {
	d := time.Duration(s.scenario.PrefillTime)
	if _, hit := g.cache[r.prefix]; hit {
		d = time.Duration(s.scenario.CachedPrefillTime)
	}
	return time.Duration(float64(d) * g.slowdown)
}

// dispatch starts an attempt: it puts the request into the queue of the group,
// or fails the attempt if the group is dead.
func (s *Sim) dispatch(r *request, g *simGroup) {
	s.stats.attempts++
	r.group = g
	r.generation++
	if g.isDead {
		s.failAttempt(r)
		return
	}
	g.queue = append(g.queue, r)
	s.startQueued(g)
}

// startQueued moves requests from the group's queue to its free slots and
// schedules their first tokens.
func (s *Sim) startQueued(g *simGroup) {
	for g.running < s.scenario.Slots && len(g.queue) > 0 {
		r := g.queue[0]
		g.queue = g.queue[1:]
		g.running++
		g.inFlight[r] = true
		begin := max(g.prefillFree, s.now)
		_, hit := g.cache[r.prefix]
		s.stats.recordPrefill(hit)
		g.prefillFree = begin + s.prefillTime(g, r)
		s.cachePrefix(g, r.prefix)
		generation := r.generation
		s.schedule(g.prefillFree-s.now, func() { s.emitFirstToken(r, g, generation) })
	}
}

// cachePrefix puts a prefix into the group's cache and evicts the least
// recently used one if the cache is full.
func (s *Sim) cachePrefix(g *simGroup, prefix uint64) {
	g.cache[prefix] = s.now
	if len(g.cache) <= s.scenario.CacheSize {
		return
	}
	var oldest uint64
	first := true
	for p, at := range g.cache {
		if first || at < g.cache[oldest] || (at == g.cache[oldest] && p < oldest) {
			oldest, first = p, false
		}
	}
	delete(g.cache, oldest)
}

// emitFirstToken records the first token of a request and schedules the end of
// the request. It does nothing if the attempt has failed meanwhile, which
// changes the request's generation.
func (s *Sim) emitFirstToken(r *request, g *simGroup, generation int) {
	if r.generation != generation || r.ended {
		return
	}
	s.stats.recordFirstToken(r, s.now-r.arrived)
	s.sendSlotUpdate(s.reservations.RecordFirstToken, r)
	gap := time.Duration(float64(s.scenario.TokenGap) * (1 + fullGroupSlowdown*float64(g.running)/float64(s.scenario.Slots)) * g.slowdown)
	s.stats.recordTokenGap(gap)
	s.schedule(time.Duration(r.tokens)*gap, func() { s.completeRequest(r, g, generation) })
}

// completeRequest ends a request that has all its tokens and starts queued
// requests. It does nothing if the attempt has failed meanwhile, which changes
// the request's generation.
func (s *Sim) completeRequest(r *request, g *simGroup, generation int) {
	if r.generation != generation || r.ended {
		return
	}
	delete(g.inFlight, r)
	g.running--
	s.releaseSlot(r)
	s.endRequest(r, true)
	s.startQueued(g)
	s.dispatchQueued(r.node)
}

// releaseSlot removes an attempt from its node's counts and reports its end to
// the group's home node, which counts the requests of all nodes.
func (s *Sim) releaseSlot(r *request) {
	s.sendSlotUpdate(s.reservations.Release, r)
	r.node.outstanding[r.group.index]--
	r.node.running[r.workspace]--
}

// failAttempt ends a failed attempt. It retries the request at another group if
// the node is alive, its retry budget allows a retry and fewer than four
// attempts have failed; otherwise it refuses the request.
func (s *Sim) failAttempt(r *request) {
	r.generation++
	s.releaseSlot(r)
	r.tried[r.group.index] = true
	if len(r.tried) >= 4 || r.node.dead || !r.node.budget.Take(s.currentTime(), 1, nil) {
		s.endRequest(r, false)
		return
	}
	if !s.startRequest(r) {
		s.startOrQueue(r)
	}
}

// injectFault slows a group down, or fails the groups and nodes of an
// availability zone.
func (s *Sim) injectFault(f Fault) {
	switch f.Kind {
	case "slow":
		s.groups[f.Group].slowdown = f.Factor
	case "zone":
		for _, n := range s.nodes {
			n.dead = n.dead || (n.zone == f.Zone && len(s.nodes) > 1)
		}
		for _, g := range s.groups {
			if g.zone == f.Zone {
				s.failGroup(g)
			}
		}
	}
}

// failGroup stops a group and fails the attempts of its queued and running
// requests.
func (s *Sim) failGroup(g *simGroup) {
	g.isDead, g.deadSince = true, s.now
	var failed []*request
	failed = append(failed, g.queue...)
	for r := range g.inFlight {
		failed = append(failed, r)
	}
	sortByID(failed)
	g.queue, g.inFlight, g.running = nil, map[*request]bool{}, 0
	for _, r := range failed {
		s.failAttempt(r)
	}
}
