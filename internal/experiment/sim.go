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

// Policy names a way to choose the group that serves a request.
type Policy string

// The policies. PolicyAffinity is the one that the gateway uses.
const (
	PolicyAffinity Policy = "affinity"
	// PolicyAffinityUnreserved uses only heartbeats, without reservations.
	PolicyAffinityUnreserved Policy = "affinity, no ask"
	PolicyRandom             Policy = "random"
	PolicyRoundRobin         Policy = "round robin"
	PolicyLeastOutstanding   Policy = "least outstanding"
	PolicyPowerOfTwo         Policy = "power of two"
	PolicyOracle             Policy = "oracle"
)

// Policies returns all policies, PolicyAffinity first and PolicyOracle last.
func Policies() []Policy {
	return []Policy{PolicyAffinity, PolicyAffinityUnreserved, PolicyRandom, PolicyRoundRobin, PolicyLeastOutstanding, PolicyPowerOfTwo, PolicyOracle}
}

// slotUpdateDelay is how long a node batches slot updates (reports of first
// tokens and of ends of requests) before it sends them to a home node.
const slotUpdateDelay = 10 * time.Millisecond

// failureDetectionDelay is how long nodes still send requests to a group that
// has failed.
const failureDetectionDelay = 1200 * time.Millisecond

// event is a function to run at a point of virtual time. seq orders events with
// the same time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

// eventHeap is a heap.Interface with the earliest event first.
type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface: it orders events by time, then by seq.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// request is a simulated request of a caller.
type request struct {
	id        uint64
	workspace int
	prefix    uint64
	tokens    int
	arrived   time.Duration
	node      *simNode
	// tried holds the indices of the groups at which an attempt failed.
	tried map[int]bool
	group *simGroup
	// generation changes when an attempt starts or fails, so that events
	// scheduled for an earlier attempt are ignored.
	generation int
	ended      bool
}

// simNode is a simulated node with its queue, its policy and its counts of the
// requests that it has sent.
type simNode struct {
	index  int
	zone   int
	dead   bool
	queue  *limit.Queue
	picker routing.Picker
	budget *retry.Budget
	// outstanding counts the node's running requests by group, running counts
	// them by workspace.
	outstanding []int
	running     []int
	// reported and reportedDemand are the requests by group and the demand by
	// workspace as of the node's last heartbeat, at reportedAt.
	reported       []int
	reportedDemand []limit.Demand
	reportedAt     time.Duration
	// demandSince is when each workspace last began to have requests on this node.
	demandSince []time.Duration
	// queuedByID holds the requests in queue.
	queuedByID map[uint64]*request
}

// Sim is one run of a scenario under a policy.
type Sim struct {
	scenario  Scenario
	policy    Policy
	random    *rand.Rand
	now       time.Duration
	startTime time.Time
	events    eventHeap
	// seq is the number of events scheduled so far.
	seq    int
	nodes  []*simNode
	groups []*simGroup
	// lengths is the distribution of the response lengths in tokens.
	lengths      distuv.LogNormal
	nextID       uint64
	reservations *reservation.Table
	stats        *collector
	// candidates are the groups that a pick may choose from, and candidateGroups
	// are their indices in groups.
	candidates      []routing.Candidate
	candidateGroups []int
	// lastPick is the index in candidates that was picked last.
	lastPick int
}

// Run runs a scenario under a policy and returns the figures.
func Run(scenario Scenario, policy Policy) Result {
	s := newSim(scenario, policy)
	s.startTraffic()
	s.startHeartbeats()
	for _, f := range scenario.Faults {
		s.schedule(time.Duration(f.At), func() { s.injectFault(f) })
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	return s.stats.summarize(scenario, policy)
}

// newSim returns a simulation with idle nodes and groups and without events.
func newSim(scenario Scenario, policy Policy) *Sim {
	random := rand.New(rand.NewPCG(scenario.Seed, 7))
	s := &Sim{
		scenario: scenario, policy: policy, random: random, startTime: time.Unix(1_800_000_000, 0),
		reservations: reservation.NewTable(), stats: newCollector(len(scenario.Workspaces)),
	}
	s.lengths = distuv.LogNormal{Mu: lognormalMu(scenario.OutputTokens), Sigma: lengthSigma, Src: rand.NewPCG(scenario.Seed, 8)}
	nodes := scenario.Nodes
	if policy == PolicyOracle {
		nodes = 1 // A single node has the complete state.
	}
	for i := range nodes {
		s.nodes = append(s.nodes, &simNode{
			index: i, zone: i % scenario.Zones, queue: limit.NewQueue(1000), picker: newPicker(policy),
			budget:      retry.NewBudget(retry.DefaultConfig()),
			outstanding: make([]int, scenario.Groups), reported: make([]int, scenario.Groups),
			running: make([]int, len(scenario.Workspaces)), reportedDemand: make([]limit.Demand, len(scenario.Workspaces)),
			demandSince: make([]time.Duration, len(scenario.Workspaces)),
			queuedByID:  map[uint64]*request{},
		})
	}
	for i := range scenario.Groups {
		s.groups = append(s.groups, &simGroup{
			index: i, zone: i % scenario.Zones, hash: routing.Hash(fmt.Sprintf("group-%d", i)), slowdown: 1,
			cache: map[uint64]time.Duration{}, inFlight: map[*request]bool{},
		})
	}
	return s
}

// schedule runs a function after the delay d of virtual time.
func (s *Sim) schedule(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now + d, seq: s.seq, run: run})
}

// currentTime returns the virtual time as a time.Time, for the packages under
// test.
func (s *Sim) currentTime() time.Time { return s.startTime.Add(s.now) }
