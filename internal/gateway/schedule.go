package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/limit"
	"eelgrassring.dev/internal/node"
	"eelgrassring.dev/internal/placement"
	"eelgrassring.dev/internal/routing"
)

// queueCheckInterval is how often waiting requests are looked at without a cause.
const queueCheckInterval = 50 * time.Millisecond

// noGroupRetry is when a caller whose model no group serves should come back.
const noGroupRetry = 2 * time.Second

// AcquireRequest is a request for a start. A nil Target needs no group.
type AcquireRequest struct {
	Workspace   deployment.Workspace
	Priority    deployment.Priority
	Target      *deployment.Target
	AffinityKey uint64
	Deadline    time.Time
}

type waiter struct {
	request AcquireRequest
	granted chan *Grant
	failed  chan *ring.Failure
}

// Grant is a started request's place in its workspace's limit and at a group.
type Grant struct {
	scheduler *Scheduler
	request   AcquireRequest
	route     node.Route
	tried     map[ring.Group]bool
	// resumed is set once a broken stream was resumed at its group.
	resumed bool
	// hasFirstToken is set once the group gave a first token.
	hasFirstToken bool
}

// Route returns the group that the request may go to.
func (g *Grant) Route() node.Route { return g.route }

// notifier tells the homes of groups what became of a request there.
type notifier interface {
	NotifyTaken(ring.Group)
	NotifyFirstToken(ring.Group)
	NotifyReleased(ring.Group)
}

// Scheduler starts requests in a fair order while their workspace is within
// its limit and a group has a free slot.
type Scheduler struct {
	table    *node.Table
	notifier notifier
	picker   routing.Picker
	random   *rand.Rand

	mu      sync.Mutex
	queue   *limit.Queue
	waiters map[uint64]*waiter
	lastID  uint64
	running map[ring.Workspace]int
	// demandSince is when the demand of a workspace that has any began.
	demandSince map[ring.Workspace]time.Time
	// The candidate slices are reused between decisions.
	candidates []routing.Candidate
	routes     []node.Route
}

// NewScheduler returns a scheduler over the node's table.
func NewScheduler(t *node.Table, p notifier, queueLimit int) *Scheduler {
	return &Scheduler{
		table:       t,
		notifier:    p,
		picker:      routing.Affinity{},
		random:      rand.New(rand.NewPCG(1, 2)),
		queue:       limit.NewQueue(queueLimit),
		waiters:     map[uint64]*waiter{},
		running:     map[ring.Workspace]int{},
		demandSince: map[ring.Workspace]time.Time{},
	}
}

// Run looks at the waiting requests until the context ends.
func (s *Scheduler) Run(ctx context.Context) {
	ticker := time.NewTicker(queueCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.table.Changed():
		case <-ticker.C:
		}
		s.mu.Lock()
		s.startQueued(time.Now())
		s.mu.Unlock()
	}
}

// Demand implements node.DemandSource.
func (s *Scheduler) Demand() map[ring.Workspace]node.PeerDemand {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[ring.Workspace]node.PeerDemand{}
	for w, n := range s.running {
		out[w] = node.PeerDemand{Running: n, Queued: s.queue.LenOf(w)}
	}
	return out
}

// Acquire waits for a start. It fails at once when the request cannot start
// before its deadline.
func (s *Scheduler) Acquire(ctx context.Context, a AcquireRequest) (*Grant, *ring.Failure) {
	now := time.Now()
	s.mu.Lock()
	if f := s.checkTarget(a, now); f != nil {
		s.mu.Unlock()
		return nil, f
	}
	s.markDemandStart(a.Workspace.Name, now)
	if s.queue.LenOf(a.Workspace.Name) == 0 && s.isWithinLimitLocked(a.Workspace, now) {
		if g := s.start(a, nil, now); g != nil {
			s.queue.RecordStart(now)
			s.mu.Unlock()
			return g, nil
		}
	}
	s.lastID++
	id := s.lastID
	w := &waiter{request: a, granted: make(chan *Grant, 1), failed: make(chan *ring.Failure, 1)}
	failure := s.queue.Add(a.Workspace.Name, a.Workspace.Weight, limit.QueuedRequest{ID: id, Priority: a.Priority, Deadline: a.Deadline}, now)
	if failure != nil {
		s.mu.Unlock()
		if !s.isWithinLimit(a.Workspace, now) {
			failure = ring.FailUntil(ring.CodeWorkspaceLimit, failure.RetryAt, "workspace %s is at its limit of %d running requests", a.Workspace.Name, a.Workspace.Limit)
		}
		return nil, failure
	}
	s.waiters[id] = w
	s.mu.Unlock()
	return s.wait(ctx, id, w)
}

func (s *Scheduler) wait(ctx context.Context, id uint64, w *waiter) (*Grant, *ring.Failure) {
	select {
	case g := <-w.granted:
		return g, nil
	case f := <-w.failed:
		return nil, f
	case <-ctx.Done():
	}
	s.mu.Lock()
	removed := s.queue.Remove(id)
	delete(s.waiters, id)
	s.mu.Unlock()
	if !removed {
		select {
		case g := <-w.granted:
			g.Release()
		default:
		}
	}
	return nil, ring.Fail(ring.CodeDeadline, "the caller went away")
}

// checkTarget refuses a request at once when no group will serve its target soon.
func (s *Scheduler) checkTarget(a AcquireRequest, now time.Time) *ring.Failure {
	if a.Target == nil {
		return nil
	}
	for _, r := range s.table.Records() {
		soon := r.Record.Phase == placement.PhaseForming || r.Record.Phase == placement.PhaseReady
		if soon && a.Target.Serves(r.Record.Spec) {
			return nil
		}
	}
	return ring.FailUntil(ring.CodeNoGroup, now.Add(noGroupRetry), "no group serves model %q now", a.Target.Model)
}

func (s *Scheduler) isWithinLimit(w deployment.Workspace, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isWithinLimitLocked(w, now)
}

// isWithinLimitLocked asks whether the workspace is within its limit; mu is held.
func (s *Scheduler) isWithinLimitLocked(w deployment.Workspace, now time.Time) bool {
	own := limit.Demand{Running: s.running[w.Name], Queued: s.queue.LenOf(w.Name)}
	return limit.Admits(s.table.LimitView(w.Name, w.Limit, own, s.demandSince[w.Name], now))
}

// markDemandStart notes when a workspace's demand begins; mu is held.
func (s *Scheduler) markDemandStart(w ring.Workspace, now time.Time) {
	if s.running[w] == 0 && s.queue.LenOf(w) == 0 {
		s.demandSince[w] = now
	}
}

// start takes a place for the request, or returns nil; mu is held.
func (s *Scheduler) start(a AcquireRequest, tried map[ring.Group]bool, now time.Time) *Grant {
	g := &Grant{scheduler: s, request: a, tried: tried}
	if a.Target != nil {
		route, ok := s.pickRoute(a, tried, now)
		if !ok {
			return nil
		}
		g.route = route
		s.table.BeginRequest(route.Group)
	}
	s.running[a.Workspace.Name]++
	return g
}

func (s *Scheduler) pickRoute(a AcquireRequest, tried map[ring.Group]bool, now time.Time) (node.Route, bool) {
	s.candidates, s.routes = s.table.Candidates(*a.Target, tried, now, s.candidates, s.routes)
	if len(s.candidates) == 0 {
		return node.Route{}, false
	}
	i := s.picker.Pick(a.AffinityKey, s.candidates, s.random)
	if i < 0 {
		return node.Route{}, false
	}
	return s.routes[i], true
}

// startQueued starts what can start and gives up what is too late; mu is held.
func (s *Scheduler) startQueued(now time.Time) {
	for _, r := range s.queue.RemoveExpired(now) {
		s.failWaiter(r.ID, ring.FailUntil(ring.CodeDeadline, now.Add(time.Second), "the request did not start before its deadline"))
	}
	limits := map[ring.Workspace]deployment.Workspace{}
	for _, w := range s.waiters {
		limits[w.request.Workspace.Name] = w.request.Workspace
	}
	for {
		var granted *Grant
		r, ok := s.queue.Next(
			func(w ring.Workspace) bool { return s.isWithinLimitLocked(limits[w], now) },
			func(r limit.QueuedRequest) bool {
				granted = s.start(s.waiters[r.ID].request, nil, now)
				return granted != nil
			}, now)
		if !ok {
			return
		}
		s.waiters[r.ID].granted <- granted
		delete(s.waiters, r.ID)
	}
}

func (s *Scheduler) failWaiter(id uint64, f *ring.Failure) {
	if w, ok := s.waiters[id]; ok {
		w.failed <- f
		delete(s.waiters, id)
	}
}

// MoveToUntried moves the grant to a group that was not tried; it reports false when
// none has a free slot now. The home of the new group is told, not asked: a
// retry has waited enough.
func (g *Grant) MoveToUntried() bool {
	if g.tried == nil {
		g.tried = map[ring.Group]bool{}
	}
	g.tried[g.route.Group] = true
	old := g.route.Group
	if !g.moveExcept(g.tried) {
		return false
	}
	g.notifyReleased(old)
	g.scheduler.notifier.NotifyTaken(g.route.Group)
	return true
}

// moveExcept changes the grant's group to one that is not passed over.
func (g *Grant) moveExcept(passed map[ring.Group]bool) bool {
	s := g.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	route, ok := s.pickRoute(g.request, passed, time.Now())
	if ok {
		g.setRoute(route)
	}
	return ok
}

// moveTo changes the grant's group to a given one.
func (g *Grant) moveTo(r node.Route) {
	g.scheduler.mu.Lock()
	defer g.scheduler.mu.Unlock()
	g.setRoute(r)
}

// setRoute changes the group; the scheduler's lock is held.
func (g *Grant) setRoute(r node.Route) {
	g.scheduler.table.EndRequest(g.route.Group)
	g.scheduler.table.BeginRequest(r.Group)
	g.route = r
}

// NoteFirstToken tells the group's home of the first token.
func (g *Grant) NoteFirstToken() {
	if !g.hasFirstToken {
		g.hasFirstToken = true
		g.scheduler.notifier.NotifyFirstToken(g.route.Group)
	}
}

// notifyReleased tells a group's home that the request is no longer there.
func (g *Grant) notifyReleased(group ring.Group) {
	if !g.hasFirstToken {
		g.scheduler.notifier.NotifyFirstToken(group)
	}
	g.hasFirstToken = false
	g.scheduler.notifier.NotifyReleased(group)
}

// Release gives the place back.
func (g *Grant) Release() {
	s := g.scheduler
	if g.request.Target != nil {
		g.notifyReleased(g.route.Group)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if g.request.Target != nil {
		s.table.EndRequest(g.route.Group)
	}
	w := g.request.Workspace.Name
	s.running[w]--
	if s.running[w] == 0 {
		delete(s.running, w)
	}
	s.startQueued(time.Now())
}
