package experiment

import (
	"time"
)

type simGroup struct {
	index   int
	zone    int
	hash    uint64
	dead    time.Duration
	isDead  bool
	factor  float64
	running int
	queue   []*request
	// prefillFree is when the group can begin the next prefill.
	prefillFree time.Duration
	cache       map[uint64]time.Duration
	serving     map[*request]bool
}

func (s *Sim) prefillOf(g *simGroup, r *request) time.Duration {
	span := time.Duration(s.shape.Prefill)
	if _, hit := g.cache[r.prefix]; hit {
		span = time.Duration(s.shape.Cached)
	}
	return time.Duration(float64(span) * g.factor)
}

func (s *Sim) dispatch(r *request, g *simGroup) {
	s.result.tries++
	r.group = g
	r.life++
	if g.isDead {
		s.fail(r)
		return
	}
	g.queue = append(g.queue, r)
	s.feed(g)
}

// feed starts what the group has slots for.
func (s *Sim) feed(g *simGroup) {
	for g.running < s.shape.Slots && len(g.queue) > 0 {
		r := g.queue[0]
		g.queue = g.queue[1:]
		g.running++
		g.serving[r] = true
		begin := max(g.prefillFree, s.now)
		_, hit := g.cache[r.prefix]
		s.result.prefix(hit)
		g.prefillFree = begin + s.prefillOf(g, r)
		s.remember(g, r.prefix)
		life := r.life
		s.after(g.prefillFree-s.now, func() { s.firstToken(r, g, life) })
	}
}

func (s *Sim) remember(g *simGroup, prefix uint64) {
	g.cache[prefix] = s.now
	if len(g.cache) <= s.shape.Cache {
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

func (s *Sim) firstToken(r *request, g *simGroup, life int) {
	if r.life != life || r.ended {
		return
	}
	s.result.first(r, s.now-r.arrived)
	s.note(s.book.RecordFirstToken, r)
	gap := time.Duration(float64(s.shape.Gap) * (1 + fullSlowdown*float64(g.running)/float64(s.shape.Slots)) * g.factor)
	s.result.gap(gap)
	s.after(time.Duration(r.tokens)*gap, func() { s.finish(r, g, life) })
}

func (s *Sim) finish(r *request, g *simGroup, life int) {
	if r.life != life || r.ended {
		return
	}
	delete(g.serving, r)
	g.running--
	s.release(r)
	s.end(r, true)
	s.feed(g)
	s.pump(r.node)
}

func (s *Sim) release(r *request) {
	s.note(s.book.Release, r)
	r.node.outstanding[r.group.index]--
	r.node.running[r.workspace]--
}

// fail handles a try that broke: another group, if the budget allows.
func (s *Sim) fail(r *request) {
	r.life++
	s.release(r)
	r.tried[r.group.index] = true
	if len(r.tried) >= 4 || r.node.dead || !r.node.budget.Take(s.clock(), 1, nil) {
		s.end(r, false)
		return
	}
	if !s.start(r) {
		s.admit(r)
	}
}

func (s *Sim) strike(f Fault) {
	switch f.Kind {
	case "slow":
		s.groups[f.Group].factor = f.Factor
	case "zone":
		for _, n := range s.nodes {
			n.dead = n.dead || (n.zone == f.Zone && len(s.nodes) > 1)
		}
		for _, g := range s.groups {
			if g.zone == f.Zone {
				s.kill(g)
			}
		}
	}
}

// kill ends a group; its requests in flight break.
func (s *Sim) kill(g *simGroup) {
	g.isDead, g.dead = true, s.now
	var broken []*request
	broken = append(broken, g.queue...)
	for r := range g.serving {
		broken = append(broken, r)
	}
	sortByID(broken)
	g.queue, g.serving, g.running = nil, map[*request]bool{}, 0
	for _, r := range broken {
		s.fail(r)
	}
}
