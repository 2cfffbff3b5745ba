package experiment

import (
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/limit"
)

// startTraffic schedules open-loop arrivals for each workspace: slow responses
// do not reduce the arrival rate.
func (s *Sim) startTraffic() {
	total := 0.0
	for _, w := range s.scenario.Workspaces {
		total += w.Share
	}
	for i, w := range s.scenario.Workspaces {
		rate := s.scenario.arrivalRate() * w.Share / total
		src := rand.NewPCG(s.scenario.Seed, uint64(100+i))
		random := rand.New(src)
		s.scheduleArrival(i, rate, distuv.Exponential{Rate: 1, Src: src}, random)
	}
}

// scheduleArrival schedules the next request of a workspace. Each arrival
// schedules the next one until the scenario's duration has passed. rate is in
// requests per second.
func (s *Sim) scheduleArrival(workspace int, rate float64, interarrival distuv.Exponential, random *rand.Rand) {
	w := s.scenario.Workspaces[workspace]
	duration := time.Duration(s.scenario.Duration)
	currentRate := rate
	if w.FloodFactor > 0 && s.now > duration/3 && s.now < duration*2/3 {
		currentRate *= w.FloodFactor
	}
	s.schedule(time.Duration(interarrival.Rand()/currentRate*float64(time.Second)), func() {
		if s.now > duration {
			return
		}
		s.nextID++
		r := &request{id: s.nextID, workspace: workspace, arrived: s.now, tried: map[int]bool{}}
		r.prefix = uint64(workspace)<<32 | uint64(zipf(random, s.scenario.Prefixes))
		r.tokens = max(1, int(s.lengths.Rand()))
		s.stats.recordArrival(r)
		s.assignNode(r, random)
		s.scheduleArrival(workspace, rate, interarrival, random)
	})
}

// zipf draws a rank below n with a probability of about 1/(rank+1).
func zipf(random *rand.Rand, n int) int {
	if n <= 1 {
		return 0
	}
	return int(pow(float64(n), random.Float64())) - 1
}

// assignNode gives the request to a random live node, as a load balancer
// would.
func (s *Sim) assignNode(r *request, random *rand.Rand) {
	var live []*simNode
	for _, n := range s.nodes {
		if !n.dead {
			live = append(live, n)
		}
	}
	if len(live) == 0 {
		s.endRequest(r, false)
		return
	}
	r.node = live[random.IntN(len(live))]
	r.node.budget.RecordRequest(s.currentTime())
	s.startOrQueue(r)
}

// workspaceName returns the name of the workspace with an index.
func (s *Sim) workspaceName(i int) ring.Workspace {
	return ring.Workspace(s.scenario.Workspaces[i].Name)
}

// startOrQueue starts a request at its node. It queues the request if its
// workspace is at its limit or no group can take it, and refuses it if the
// queue is full.
func (s *Sim) startOrQueue(r *request) {
	n := r.node
	name := s.workspaceName(r.workspace)
	if n.running[r.workspace] == 0 && n.queue.LenOf(name) == 0 {
		n.demandSince[r.workspace] = s.now
	}
	if n.queue.LenOf(name) == 0 && s.withinLimit(n, r.workspace) && s.startRequest(r) {
		n.queue.RecordStart(s.currentTime())
		return
	}
	w := s.scenario.Workspaces[r.workspace]
	deadline := s.startTime.Add(r.arrived + time.Duration(s.scenario.MaxWait))
	queued := limit.QueuedRequest{ID: r.id, Priority: deployment.PriorityNormal, Deadline: deadline}
	if n.queue.Add(name, w.Weight, queued, s.currentTime()) != nil {
		s.endRequest(r, false)
		return
	}
	n.queuedByID[r.id] = r
}

// withinLimit reports whether the workspace's limit lets the node start another
// of its requests. It uses the demand that the live nodes last reported.
func (s *Sim) withinLimit(n *simNode, workspace int) bool {
	v := limit.View{Limit: s.scenario.Workspaces[workspace].Limit, Nodes: len(s.nodes), Confirmed: true}
	v.Own = limit.Demand{Running: n.running[workspace], Queued: n.queue.LenOf(s.workspaceName(workspace))}
	for _, p := range s.nodes {
		if p != n && !p.dead {
			v.Peers = append(v.Peers, p.reportedDemand[workspace])
			v.Confirmed = v.Confirmed && p.reportedAt > n.demandSince[workspace]
		}
	}
	return limit.Admits(v)
}

// endRequest records the outcome of a request, unless the request has ended
// already.
func (s *Sim) endRequest(r *request, answered bool) {
	if !r.ended {
		r.ended = true
		s.stats.recordOutcome(answered)
	}
}

// dispatchQueued refuses the queued requests of a node that waited too long and
// starts as many of the others as it can.
func (s *Sim) dispatchQueued(n *simNode) {
	if n.dead {
		return
	}
	for _, q := range n.queue.RemoveExpired(s.currentTime()) {
		s.endRequest(n.queuedByID[q.ID], false)
		delete(n.queuedByID, q.ID)
	}
	for {
		q, ok := n.queue.Next(
			func(name ring.Workspace) bool { return s.withinLimit(n, s.workspaceIndex(name)) },
			func(q limit.QueuedRequest) bool { return s.startRequest(n.queuedByID[q.ID]) }, s.currentTime())
		if !ok {
			return
		}
		delete(n.queuedByID, q.ID)
	}
}

// workspaceIndex returns the index of the workspace with a name, or -1.
func (s *Sim) workspaceIndex(name ring.Workspace) int {
	for i, w := range s.scenario.Workspaces {
		if w.Name == string(name) {
			return i
		}
	}
	return -1
}

// startHeartbeats starts the heartbeats of all nodes, spread evenly over the
// interval.
func (s *Sim) startHeartbeats() {
	for i, n := range s.nodes {
		interval := time.Duration(s.scenario.HeartbeatInterval)
		s.schedule(interval*time.Duration(i)/time.Duration(len(s.nodes)), func() { s.sendHeartbeat(n) })
	}
}

// sendHeartbeat publishes the node's counts to the other nodes, starts queued
// requests on all nodes, and schedules the next heartbeat. Heartbeats end a
// minute after the traffic.
func (s *Sim) sendHeartbeat(n *simNode) {
	if n.dead || s.now > time.Duration(s.scenario.Duration)+time.Minute {
		return
	}
	copy(n.reported, n.outstanding)
	s.reservations.Reconcile(n.name(), n.outstandingByGroup())
	n.reportedAt = s.now
	for i := range n.reportedDemand {
		n.reportedDemand[i] = limit.Demand{Running: n.running[i], Queued: n.queue.LenOf(s.workspaceName(i))}
	}
	for _, p := range s.nodes {
		s.dispatchQueued(p)
	}
	s.schedule(time.Duration(s.scenario.HeartbeatInterval), func() { s.sendHeartbeat(n) })
}

// outstandingByGroup returns the node's outstanding requests by group, as its
// heartbeat reports them.
func (n *simNode) outstandingByGroup() map[ring.Group]int {
	out := map[ring.Group]int{}
	for i, c := range n.outstanding {
		out[groupName(i)] = c
	}
	return out
}
