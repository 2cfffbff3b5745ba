package experiment

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/limit"
	"eelgrassring.dev/internal/reservation"
	"eelgrassring.dev/internal/retry"
	"eelgrassring.dev/internal/routing"
)

// Policy names a way to choose a group.
type Policy string

// The policies. PolicyAffinity is the product's.
const (
	PolicyAffinity Policy = "affinity"
	// PolicyEstimate is affinity by heartbeats alone, without reservations.
	PolicyEstimate Policy = "affinity, no ask"
	PolicyRandom   Policy = "random"
	PolicyRound    Policy = "round robin"
	PolicyLeast    Policy = "least outstanding"
	PolicyTwo      Policy = "power of two"
	PolicyOracle   Policy = "oracle"
)

// Policies returns all policies, the product's first and the oracle last.
func Policies() []Policy {
	return []Policy{PolicyAffinity, PolicyEstimate, PolicyRandom, PolicyRound, PolicyLeast, PolicyTwo, PolicyOracle}
}

// noteDelay is the time that messages to a home are gathered for.
const noteDelay = 10 * time.Millisecond

// evidenceDelay is when a node stops sending to a group that is gone.
const evidenceDelay = 1200 * time.Millisecond

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// request is one caller's request on its way.
type request struct {
	id        uint64
	workspace int
	prefix    uint64
	tokens    int
	arrived   time.Duration
	node      *simNode
	tried     map[int]bool
	group     *simGroup
	life      int
	ended     bool
}

type simNode struct {
	index       int
	zone        int
	dead        bool
	queue       *limit.Queue
	picker      routing.Picker
	budget      *retry.Budget
	outstanding []int
	running     []int
	// told is what the node last told the others.
	told       []int
	toldDemand []limit.Demand
	toldAt     time.Duration
	// since is when the node's demand of each workspace began.
	since   []time.Duration
	waiting map[uint64]*request
}

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

// Sim is one run of a shape under a policy.
type Sim struct {
	shape      Shape
	policy     Policy
	random     *rand.Rand
	now        time.Duration
	epoch      time.Time
	events     eventHeap
	seq        int
	nodes      []*simNode
	groups     []*simGroup
	lengths    distuv.LogNormal
	nextID     uint64
	book       *reservation.Book
	result     *collector
	candidates []routing.Candidate
	indices    []int
	// chosen is the index of the last choice among the candidates.
	chosen int
}

// Run runs a shape under a policy and returns the figures.
func Run(shape Shape, policy Policy) Result {
	s := newSim(shape, policy)
	s.startTraffic()
	s.startHeartbeats()
	for _, f := range shape.Faults {
		s.after(time.Duration(f.At), func() { s.strike(f) })
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	return s.result.result(shape, policy)
}

func newSim(shape Shape, policy Policy) *Sim {
	random := rand.New(rand.NewPCG(shape.Seed, 7))
	s := &Sim{
		shape: shape, policy: policy, random: random, epoch: time.Unix(1_800_000_000, 0),
		book: reservation.NewBook(), result: newCollector(len(shape.Workspaces)),
	}
	s.lengths = distuv.LogNormal{Mu: logMean(shape.Tokens), Sigma: lengthSigma, Src: rand.NewPCG(shape.Seed, 8)}
	nodes := shape.Nodes
	if policy == PolicyOracle {
		nodes = 1 // One place that knows everything.
	}
	for i := range nodes {
		s.nodes = append(s.nodes, &simNode{
			index: i, zone: i % shape.Zones, queue: limit.NewQueue(1000), picker: pickerOf(policy),
			budget:      retry.NewBudget(retry.DefaultConfig()),
			outstanding: make([]int, shape.Groups), told: make([]int, shape.Groups),
			running: make([]int, len(shape.Workspaces)), toldDemand: make([]limit.Demand, len(shape.Workspaces)),
			since:   make([]time.Duration, len(shape.Workspaces)),
			waiting: map[uint64]*request{},
		})
	}
	for i := range shape.Groups {
		s.groups = append(s.groups, &simGroup{
			index: i, zone: i % shape.Zones, hash: routing.Hash(fmt.Sprintf("group-%d", i)), factor: 1,
			cache: map[uint64]time.Duration{}, serving: map[*request]bool{},
		})
	}
	return s
}

func pickerOf(p Policy) routing.Picker {
	switch p {
	case PolicyRandom:
		return routing.Random{}
	case PolicyRound:
		return &routing.RoundRobin{}
	case PolicyLeast:
		return routing.LeastOutstanding{}
	case PolicyTwo:
		return routing.PowerOfTwo{}
	}
	return routing.Affinity{}
}

func (s *Sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now + d, seq: s.seq, do: do})
}

func (s *Sim) clock() time.Time { return s.epoch.Add(s.now) }

// startTraffic begins an open loop of arrivals for each workspace: a slow
// system does not slow the arrivals.
func (s *Sim) startTraffic() {
	total := 0.0
	for _, w := range s.shape.Workspaces {
		total += w.Share
	}
	for i, w := range s.shape.Workspaces {
		rate := s.shape.rate() * w.Share / total
		src := rand.NewPCG(s.shape.Seed, uint64(100+i))
		own := rand.New(src)
		s.arrive(i, rate, distuv.Exponential{Rate: 1, Src: src}, own)
	}
}

func (s *Sim) arrive(workspace int, rate float64, gaps distuv.Exponential, own *rand.Rand) {
	w := s.shape.Workspaces[workspace]
	span := time.Duration(s.shape.Span)
	now := rate
	if w.Flood > 0 && s.now > span/3 && s.now < span*2/3 {
		now *= w.Flood
	}
	s.after(time.Duration(gaps.Rand()/now*float64(time.Second)), func() {
		if s.now > span {
			return
		}
		s.nextID++
		r := &request{id: s.nextID, workspace: workspace, arrived: s.now, tried: map[int]bool{}}
		r.prefix = uint64(workspace)<<32 | uint64(zipf(own, s.shape.Prefixes))
		r.tokens = max(1, int(s.lengths.Rand()))
		s.result.arrived(r)
		s.enter(r, own)
		s.arrive(workspace, rate, gaps, own)
	})
}

// zipf draws a rank below n with a probability of about 1/(rank+1).
func zipf(random *rand.Rand, n int) int {
	if n <= 1 {
		return 0
	}
	return int(pow(float64(n), random.Float64())) - 1
}

// enter gives the request to a node, as the balancer does.
func (s *Sim) enter(r *request, random *rand.Rand) {
	var live []*simNode
	for _, n := range s.nodes {
		if !n.dead {
			live = append(live, n)
		}
	}
	if len(live) == 0 {
		s.end(r, false)
		return
	}
	r.node = live[random.IntN(len(live))]
	r.node.budget.Request()
	s.admit(r)
}

func (s *Sim) workspaceName(i int) ring.Workspace { return ring.Workspace(s.shape.Workspaces[i].Name) }

func (s *Sim) admit(r *request) {
	n := r.node
	name := s.workspaceName(r.workspace)
	if n.running[r.workspace] == 0 && n.queue.LenOf(name) == 0 {
		n.since[r.workspace] = s.now
	}
	if n.queue.LenOf(name) == 0 && s.mayRun(n, r.workspace) && s.start(r) {
		n.queue.Started(s.clock())
		return
	}
	w := s.shape.Workspaces[r.workspace]
	deadline := s.epoch.Add(r.arrived + time.Duration(s.shape.Patience))
	waiting := limit.Waiting{ID: r.id, Priority: deployment.PriorityNormal, Deadline: deadline}
	if n.queue.Add(name, w.Weight, waiting, s.clock()) != nil {
		s.end(r, false)
		return
	}
	n.waiting[r.id] = r
}

func (s *Sim) mayRun(n *simNode, workspace int) bool {
	v := limit.View{Limit: s.shape.Workspaces[workspace].Limit, Known: len(s.nodes), Confirmed: true}
	v.Own = limit.Demand{Running: n.running[workspace], Queued: n.queue.LenOf(s.workspaceName(workspace))}
	for _, p := range s.nodes {
		if p != n && !p.dead {
			v.Peers = append(v.Peers, p.toldDemand[workspace])
			v.Confirmed = v.Confirmed && p.toldAt > n.since[workspace]
		}
	}
	return limit.Admits(v)
}

// start sends the request to the group that the policy chooses.
func (s *Sim) start(r *request) bool {
	i := s.pick(r)
	if i < 0 {
		return false
	}
	r.node.outstanding[i]++
	r.node.running[r.workspace]++
	s.dispatch(r, s.groups[i])
	return true
}

func (s *Sim) pick(r *request) int {
	if s.policy == PolicyOracle {
		return s.oracle(r)
	}
	s.candidates, s.indices = s.candidates[:0], s.indices[:0]
	for i, g := range s.groups {
		if r.tried[i] || (g.isDead && s.now-g.dead > evidenceDelay) {
			continue
		}
		load := r.node.outstanding[i]
		for _, p := range s.nodes {
			if p != r.node && !p.dead {
				load += p.told[i]
			}
		}
		s.candidates = append(s.candidates, routing.Candidate{Hash: g.hash, Capacity: float64(s.shape.Slots), Load: float64(load)})
		s.indices = append(s.indices, i)
	}
	if len(s.candidates) == 0 {
		return -1
	}
	if s.policy != PolicyAffinity {
		return s.choose(r)
	}
	return s.reserve(r)
}

// choose asks the policy and returns a group's index, or -1.
func (s *Sim) choose(r *request) int {
	s.chosen = r.node.picker.Pick(mixPrefix(r.prefix), s.candidates, s.random)
	if s.chosen < 0 {
		return -1
	}
	return s.indices[s.chosen]
}

// reserve asks the homes of the chosen groups, as the gateway does: after the
// last refusal the first group that was only busy is taken, for it likely has
// the prefix.
func (s *Sim) reserve(r *request) int {
	busy := -1
	for range reservation.Asks {
		i := s.choose(r)
		if i < 0 {
			return s.take(busy, r)
		}
		s.result.asks++
		switch s.book.Ask(groupName(i), r.node.name(), s.shape.Slots) {
		case reservation.AnswerGranted:
			return i
		case reservation.AnswerBusy:
			if busy < 0 {
				busy = i
			}
		}
		s.candidates[s.chosen].Excluded = true
	}
	if busy < 0 {
		busy = s.choose(r)
	}
	return s.take(busy, r)
}

// take counts a request that goes to a group without a grant.
func (s *Sim) take(i int, r *request) int {
	if i >= 0 {
		s.book.Take(groupName(i), r.node.name())
	}
	return i
}

func groupName(i int) ring.Group { return ring.Group(fmt.Sprintf("group-%d", i)) }

func (n *simNode) name() string { return fmt.Sprintf("n%d", n.index) }

// note tells the home of a group of a first token or an end, a little later.
func (s *Sim) note(do func(g ring.Group, holder string), r *request) {
	g, holder := groupName(r.group.index), r.node.name()
	s.result.notes++
	s.after(noteDelay, func() { do(g, holder) })
}

func mixPrefix(p uint64) uint64 { return routing.Hash(fmt.Sprint(p)) }

// oracle chooses the group with the earliest first token, by its true state.
func (s *Sim) oracle(r *request) int {
	best := -1
	var bestAt time.Duration
	for i, g := range s.groups {
		if g.isDead || g.running+len(g.queue) >= s.shape.Slots {
			continue
		}
		at := max(g.prefillFree, s.now) + s.prefillOf(g, r)
		if best < 0 || at < bestAt || (at == bestAt && g.running < s.groups[best].running) {
			best, bestAt = i, at
		}
	}
	return best
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
	s.note(s.book.Started, r)
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
	s.note(s.book.Released, r)
	r.node.outstanding[r.group.index]--
	r.node.running[r.workspace]--
}

func (s *Sim) end(r *request, answered bool) {
	if !r.ended {
		r.ended = true
		s.result.ended(answered)
	}
}

// fail handles a try that broke: another group, if the budget allows.
func (s *Sim) fail(r *request) {
	r.life++
	s.release(r)
	r.tried[r.group.index] = true
	if len(r.tried) >= 4 || r.node.dead || !r.node.budget.Take() {
		s.end(r, false)
		return
	}
	if !s.start(r) {
		s.admit(r)
	}
}

func (s *Sim) pump(n *simNode) {
	if n.dead {
		return
	}
	for _, w := range n.queue.Expired(s.clock()) {
		s.end(n.waiting[w.ID], false)
		delete(n.waiting, w.ID)
	}
	for {
		w, ok := n.queue.Next(
			func(name ring.Workspace) bool { return s.mayRun(n, s.indexOf(name)) },
			func(w limit.Waiting) bool { return s.start(n.waiting[w.ID]) }, s.clock())
		if !ok {
			return
		}
		delete(n.waiting, w.ID)
	}
}

func (s *Sim) indexOf(name ring.Workspace) int {
	for i, w := range s.shape.Workspaces {
		if w.Name == string(name) {
			return i
		}
	}
	return -1
}

// startHeartbeats makes each node tell the others what it has, at its own
// phase.
func (s *Sim) startHeartbeats() {
	for i, n := range s.nodes {
		interval := time.Duration(s.shape.Heartbeat)
		s.after(interval*time.Duration(i)/time.Duration(len(s.nodes)), func() { s.heartbeat(n) })
	}
}

func (s *Sim) heartbeat(n *simNode) {
	if n.dead || s.now > time.Duration(s.shape.Span)+time.Minute {
		return
	}
	copy(n.told, n.outstanding)
	s.book.Correct(n.name(), n.held())
	n.toldAt = s.now
	for i := range n.toldDemand {
		n.toldDemand[i] = limit.Demand{Running: n.running[i], Queued: n.queue.LenOf(s.workspaceName(i))}
	}
	for _, p := range s.nodes {
		s.pump(p)
	}
	s.after(time.Duration(s.shape.Heartbeat), func() { s.heartbeat(n) })
}

// held returns the node's requests by group, as its heartbeat tells them.
func (n *simNode) held() map[ring.Group]int {
	out := map[ring.Group]int{}
	for i, c := range n.outstanding {
		out[groupName(i)] = c
	}
	return out
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
