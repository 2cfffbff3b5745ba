package experiment

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

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
	// PolicyAffinityUnreserved is affinity by heartbeats alone, without reservations.
	PolicyAffinityUnreserved Policy = "affinity, no ask"
	PolicyRandom             Policy = "random"
	PolicyRoundRobin         Policy = "round robin"
	PolicyLeastOutstanding   Policy = "least outstanding"
	PolicyPowerOfTwo         Policy = "power of two"
	PolicyOracle             Policy = "oracle"
)

// Policies returns all policies, the product's first and the oracle last.
func Policies() []Policy {
	return []Policy{PolicyAffinity, PolicyAffinityUnreserved, PolicyRandom, PolicyRoundRobin, PolicyLeastOutstanding, PolicyPowerOfTwo, PolicyOracle}
}

// slotUpdateDelay is the time that messages to a home are gathered for.
const slotUpdateDelay = 10 * time.Millisecond

// failureDetectionDelay is when a node stops sending to a group that is gone.
const failureDetectionDelay = 1200 * time.Millisecond

type event struct {
	at  time.Duration
	seq int
	run func()
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
	id         uint64
	workspace  int
	prefix     uint64
	tokens     int
	arrived    time.Duration
	node       *simNode
	tried      map[int]bool
	group      *simGroup
	generation int
	ended      bool
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
	// reported is what the node last told the others.
	reported       []int
	reportedDemand []limit.Demand
	reportedAt     time.Duration
	// demandSince is when the node's demand of each workspace began.
	demandSince []time.Duration
	queuedByID  map[uint64]*request
}

// Sim is one run of a shape under a policy.
type Sim struct {
	scenario        Scenario
	policy          Policy
	random          *rand.Rand
	now             time.Duration
	startTime       time.Time
	events          eventHeap
	seq             int
	nodes           []*simNode
	groups          []*simGroup
	lengths         distuv.LogNormal
	nextID          uint64
	reservations    *reservation.Table
	stats           *collector
	candidates      []routing.Candidate
	candidateGroups []int
	// lastPick is the index of the last choice among the candidates.
	lastPick int
}

// Run runs a shape under a policy and returns the figures.
func Run(shape Scenario, policy Policy) Result {
	s := newSim(shape, policy)
	s.startTraffic()
	s.startHeartbeats()
	for _, f := range shape.Faults {
		s.schedule(time.Duration(f.At), func() { s.injectFault(f) })
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	return s.stats.summarize(shape, policy)
}

func newSim(shape Scenario, policy Policy) *Sim {
	random := rand.New(rand.NewPCG(shape.Seed, 7))
	s := &Sim{
		scenario: shape, policy: policy, random: random, startTime: time.Unix(1_800_000_000, 0),
		reservations: reservation.NewTable(), stats: newCollector(len(shape.Workspaces)),
	}
	s.lengths = distuv.LogNormal{Mu: lognormalMu(shape.OutputTokens), Sigma: lengthSigma, Src: rand.NewPCG(shape.Seed, 8)}
	nodes := shape.Nodes
	if policy == PolicyOracle {
		nodes = 1 // One place that knows everything.
	}
	for i := range nodes {
		s.nodes = append(s.nodes, &simNode{
			index: i, zone: i % shape.Zones, queue: limit.NewQueue(1000), picker: newPicker(policy),
			budget:      retry.NewBudget(retry.DefaultConfig()),
			outstanding: make([]int, shape.Groups), reported: make([]int, shape.Groups),
			running: make([]int, len(shape.Workspaces)), reportedDemand: make([]limit.Demand, len(shape.Workspaces)),
			demandSince: make([]time.Duration, len(shape.Workspaces)),
			queuedByID:  map[uint64]*request{},
		})
	}
	for i := range shape.Groups {
		s.groups = append(s.groups, &simGroup{
			index: i, zone: i % shape.Zones, hash: routing.Hash(fmt.Sprintf("group-%d", i)), slowdown: 1,
			cache: map[uint64]time.Duration{}, inFlight: map[*request]bool{},
		})
	}
	return s
}

func (s *Sim) schedule(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now + d, seq: s.seq, run: do})
}

func (s *Sim) clock() time.Time { return s.startTime.Add(s.now) }
