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
	book       *reservation.Table
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
		book: reservation.NewTable(), result: newCollector(len(shape.Workspaces)),
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

func (s *Sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now + d, seq: s.seq, do: do})
}

func (s *Sim) clock() time.Time { return s.epoch.Add(s.now) }
