package experiment

import (
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/limit"
)

// startTraffic begins an open loop of arrivals for each workspace: a slow
// system does not slow the arrivals.
func (s *Sim) startTraffic() {
	total := 0.0
	for _, w := range s.scenario.Workspaces {
		total += w.Share
	}
	for i, w := range s.scenario.Workspaces {
		rate := s.scenario.arrivalRate() * w.Share / total
		src := rand.NewPCG(s.scenario.Seed, uint64(100+i))
		own := rand.New(src)
		s.scheduleArrival(i, rate, distuv.Exponential{Rate: 1, Src: src}, own)
	}
}

func (s *Sim) scheduleArrival(workspace int, rate float64, gaps distuv.Exponential, own *rand.Rand) {
	w := s.scenario.Workspaces[workspace]
	span := time.Duration(s.scenario.Duration)
	now := rate
	if w.FloodFactor > 0 && s.now > span/3 && s.now < span*2/3 {
		now *= w.FloodFactor
	}
	s.schedule(time.Duration(gaps.Rand()/now*float64(time.Second)), func() {
		if s.now > span {
			return
		}
		s.nextID++
		r := &request{id: s.nextID, workspace: workspace, arrived: s.now, tried: map[int]bool{}}
		r.prefix = uint64(workspace)<<32 | uint64(zipf(own, s.scenario.Prefixes))
		r.tokens = max(1, int(s.lengths.Rand()))
		s.stats.recordArrival(r)
		s.assignNode(r, own)
		s.scheduleArrival(workspace, rate, gaps, own)
	})
}

// zipf draws a rank below n with a probability of about 1/(rank+1).
func zipf(random *rand.Rand, n int) int {
	if n <= 1 {
		return 0
	}
	return int(pow(float64(n), random.Float64())) - 1
}

// assignNode gives the request to a node, as the balancer does.
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
	r.node.budget.RecordRequest(s.clock())
	s.admit(r)
}

func (s *Sim) workspaceName(i int) ring.Workspace {
	return ring.Workspace(s.scenario.Workspaces[i].Name)
}

func (s *Sim) admit(r *request) {
	n := r.node
	name := s.workspaceName(r.workspace)
	if n.running[r.workspace] == 0 && n.queue.LenOf(name) == 0 {
		n.demandSince[r.workspace] = s.now
	}
	if n.queue.LenOf(name) == 0 && s.mayRun(n, r.workspace) && s.start(r) {
		n.queue.RecordStart(s.clock())
		return
	}
	w := s.scenario.Workspaces[r.workspace]
	deadline := s.startTime.Add(r.arrived + time.Duration(s.scenario.MaxWait))
	waiting := limit.QueuedRequest{ID: r.id, Priority: deployment.PriorityNormal, Deadline: deadline}
	if n.queue.Add(name, w.Weight, waiting, s.clock()) != nil {
		s.endRequest(r, false)
		return
	}
	n.queuedByID[r.id] = r
}

func (s *Sim) mayRun(n *simNode, workspace int) bool {
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

func (s *Sim) endRequest(r *request, answered bool) {
	if !r.ended {
		r.ended = true
		s.stats.recordEnd(answered)
	}
}

func (s *Sim) dispatchQueued(n *simNode) {
	if n.dead {
		return
	}
	for _, w := range n.queue.RemoveExpired(s.clock()) {
		s.endRequest(n.queuedByID[w.ID], false)
		delete(n.queuedByID, w.ID)
	}
	for {
		w, ok := n.queue.Next(
			func(name ring.Workspace) bool { return s.mayRun(n, s.workspaceIndex(name)) },
			func(w limit.QueuedRequest) bool { return s.start(n.queuedByID[w.ID]) }, s.clock())
		if !ok {
			return
		}
		delete(n.queuedByID, w.ID)
	}
}

func (s *Sim) workspaceIndex(name ring.Workspace) int {
	for i, w := range s.scenario.Workspaces {
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
		interval := time.Duration(s.scenario.HeartbeatInterval)
		s.schedule(interval*time.Duration(i)/time.Duration(len(s.nodes)), func() { s.heartbeat(n) })
	}
}

func (s *Sim) heartbeat(n *simNode) {
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
	s.schedule(time.Duration(s.scenario.HeartbeatInterval), func() { s.heartbeat(n) })
}

// outstandingByGroup returns the node's requests by group, as its heartbeat tells them.
func (n *simNode) outstandingByGroup() map[ring.Group]int {
	out := map[ring.Group]int{}
	for i, c := range n.outstanding {
		out[groupName(i)] = c
	}
	return out
}
