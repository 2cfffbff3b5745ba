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

// queueCheckInterval is how often the queue is checked when the table does not
// change and no request ends.
const queueCheckInterval = 50 * time.Millisecond

// noGroupRetryAfter is the retry delay given to a caller whose model no group serves.
const noGroupRetryAfter = 2 * time.Second

// AcquireRequest asks the Scheduler for permission to dispatch a request.
type AcquireRequest struct {
	Workspace deployment.Workspace
	Priority  deployment.Priority
	// Target is the model that the request is for; nil if it needs no group.
	Target *deployment.Target
	// AffinityKey is the hash of the prompt's prefix, by which groups are ranked.
	AffinityKey uint64
	// Deadline is the latest time to start the request.
	Deadline time.Time
}

// waiter is a blocked call of Acquire, which gets its result over one of the channels.
type waiter struct {
	request AcquireRequest
	granted chan *Grant
	failed  chan *ring.Failure
}

// Grant is the permission to run a request, which lasts until Release. It counts the
// request against its workspace's limit and, if the request has a target, against the
// slots of a group.
type Grant struct {
	scheduler *Scheduler
	request   AcquireRequest
	route     node.Route
	// triedGroups holds the groups that the request has been sent to before.
	triedGroups map[ring.Group]bool
	// retriedSameGroup is set after the request has had a second attempt at the same
	// group.
	retriedSameGroup bool
	// hasFirstToken is set after the group has sent a first token.
	hasFirstToken bool
}

// Route returns the address and epoch of the group that the request was assigned to.
func (g *Grant) Route() node.Route { return g.route }

// notifier tells a group's home node, which keeps the group's reservations, when a
// request takes a slot of the group, gets its first token or releases the slot.
type notifier interface {
	NotifyTaken(ring.Group)
	NotifyFirstToken(ring.Group)
	NotifyReleased(ring.Group)
}

// Scheduler starts requests in weighted fair order while their workspace is
// within its limit and a group has a free slot.
type Scheduler struct {
	table    *node.Table
	notifier notifier
	picker   routing.Picker
	random   *rand.Rand

	mu      sync.Mutex
	queue   *limit.Queue
	waiters map[uint64]*waiter
	lastID  uint64
	// running counts the started requests of each workspace.
	running map[ring.Workspace]int
	// demandSince is when a workspace's running or queued requests last rose
	// from zero.
	demandSince map[ring.Workspace]time.Time
	// candidates and routes are reused by pickRoute to avoid allocations.
	candidates []routing.Candidate
	routes     []node.Route
}

// NewScheduler returns a scheduler that routes by the node's table and queues up
// to queueLimit requests.
func NewScheduler(t *node.Table, n notifier, queueLimit int) *Scheduler {
	return &Scheduler{
		table:       t,
		notifier:    n,
		picker:      routing.Affinity{},
		random:      rand.New(rand.NewPCG(1, 2)),
		queue:       limit.NewQueue(queueLimit),
		waiters:     map[uint64]*waiter{},
		running:     map[ring.Workspace]int{},
		demandSince: map[ring.Workspace]time.Time{},
	}
}

// Run starts queued requests whenever the table changes, and at least every
// queueCheckInterval, until ctx is done.
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

// Demand implements node.DemandSource. It returns each workspace's running and
// queued requests.
func (s *Scheduler) Demand() map[ring.Workspace]node.PeerDemand {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[ring.Workspace]node.PeerDemand{}
	for w, n := range s.running {
		out[w] = node.PeerDemand{Running: n, Queued: s.queue.LenOf(w)}
	}
	return out
}

// Acquire blocks until the request may start and returns its grant, which the caller
// must release. It fails immediately when no group serves the target, when the queue
// is full or when the estimated wait exceeds the deadline, and later when the deadline
// passes or ctx is done.
func (s *Scheduler) Acquire(ctx context.Context, a AcquireRequest) (*Grant, *ring.Failure) {
	now := time.Now()
	s.mu.Lock()
	if f := s.checkTarget(a, now); f != nil {
		s.mu.Unlock()
		return nil, f
	}
	s.markDemandStart(a.Workspace.Name, now)
	if s.queue.LenOf(a.Workspace.Name) == 0 && s.isWithinLimitLocked(a.Workspace, now) {
		if g := s.startRequest(a, nil, now); g != nil {
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
			failure = ring.FailRetryAt(ring.CodeWorkspaceLimit, failure.RetryAt, "workspace %s is at its limit of %d running requests", a.Workspace.Name, a.Workspace.Limit)
		}
		return nil, failure
	}
	s.waiters[id] = w
	s.mu.Unlock()
	return s.awaitGrant(ctx, id, w)
}

// awaitGrant waits until the queued request is granted or failed. If ctx ends first,
// it removes the request from the queue.
func (s *Scheduler) awaitGrant(ctx context.Context, id uint64, w *waiter) (*Grant, *ring.Failure) {
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
	return nil, ring.Fail(ring.CodeDeadline, "the caller disconnected")
}

// checkTarget returns a failure if no group serves the request's model, counting groups
// that are ready and groups that still load the model.
func (s *Scheduler) checkTarget(a AcquireRequest, now time.Time) *ring.Failure {
	if a.Target == nil {
		return nil
	}
	for _, r := range s.table.Records() {
		usable := r.Record.Phase == placement.PhaseForming || r.Record.Phase == placement.PhaseReady
		if usable && a.Target.Serves(r.Record.Spec) {
			return nil
		}
	}
	return ring.FailRetryAt(ring.CodeNoGroup, now.Add(noGroupRetryAfter), "no group serves model %q now", a.Target.Model)
}

// isWithinLimit is isWithinLimitLocked for callers that do not hold s.mu: it reports
// whether the workspace may start another request.
func (s *Scheduler) isWithinLimit(w deployment.Workspace, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isWithinLimitLocked(w, now)
}

// isWithinLimitLocked reports whether the workspace may start another request.
// s.mu must be held.
func (s *Scheduler) isWithinLimitLocked(w deployment.Workspace, now time.Time) bool {
	own := limit.Demand{Running: s.running[w.Name], Queued: s.queue.LenOf(w.Name)}
	return limit.Admits(s.table.LimitView(w.Name, w.Limit, own, s.demandSince[w.Name], now))
}

// markDemandStart records now in demandSince if the workspace has neither running nor
// queued requests. s.mu must be held.
func (s *Scheduler) markDemandStart(w ring.Workspace, now time.Time) {
	if s.running[w] == 0 && s.queue.LenOf(w) == 0 {
		s.demandSince[w] = now
	}
}

// startRequest assigns the request to a group with a free slot that is not among the
// tried ones, and counts it as running. It returns nil if there is no such group.
// s.mu must be held.
func (s *Scheduler) startRequest(a AcquireRequest, tried map[ring.Group]bool, now time.Time) *Grant {
	g := &Grant{scheduler: s, request: a, triedGroups: tried}
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

// pickRoute picks a group with a free slot for the request that is not among the tried
// ones. It returns false if there is none. s.mu must be held.
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

// startQueued fails the queued requests past their deadlines and starts those
// that the limits and free slots allow. s.mu must be held.
func (s *Scheduler) startQueued(now time.Time) {
	for _, r := range s.queue.RemoveExpired(now) {
		s.failWaiter(r.ID, ring.FailRetryAt(ring.CodeDeadline, now.Add(time.Second), "the request did not start before its deadline"))
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
				granted = s.startRequest(s.waiters[r.ID].request, nil, now)
				return granted != nil
			}, now)
		if !ok {
			return
		}
		s.waiters[r.ID].granted <- granted
		delete(s.waiters, r.ID)
	}
}

// failWaiter makes the blocked call of Acquire that waits under the ID return the
// failure. s.mu must be held.
func (s *Scheduler) failWaiter(id uint64, f *ring.Failure) {
	if w, ok := s.waiters[id]; ok {
		w.failed <- f
		delete(s.waiters, id)
	}
}

// MoveToUntried moves the grant to a group that the request has not been sent to. It
// returns false and leaves the grant as it is if no such group has a free slot. It
// tells the new group's home node, which keeps the group's reservations, but asks for
// no reservation, because a retry has already waited.
func (g *Grant) MoveToUntried() bool {
	if g.triedGroups == nil {
		g.triedGroups = map[ring.Group]bool{}
	}
	g.triedGroups[g.route.Group] = true
	old := g.route.Group
	if !g.moveExcept(g.triedGroups) {
		return false
	}
	g.notifyReleased(old)
	g.scheduler.notifier.NotifyTaken(g.route.Group)
	return true
}

// moveExcept moves the grant to a group that is not in excluded. It returns false and
// leaves the grant as it is if no such group has a free slot.
func (g *Grant) moveExcept(excluded map[ring.Group]bool) bool {
	s := g.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	route, ok := s.pickRoute(g.request, excluded, time.Now())
	if ok {
		g.setRoute(route)
	}
	return ok
}

// moveTo moves the grant to the given route, whether or not its group has a free slot.
func (g *Grant) moveTo(r node.Route) {
	g.scheduler.mu.Lock()
	defer g.scheduler.mu.Unlock()
	g.setRoute(r)
}

// setRoute moves the grant's slot to the given route. The scheduler's mu must
// be held.
func (g *Grant) setRoute(r node.Route) {
	g.scheduler.table.EndRequest(g.route.Group)
	g.scheduler.table.BeginRequest(r.Group)
	g.route = r
}

// NotifyFirstToken reports the request's first token to the group's home node, which
// keeps the group's reservations. Only the first call at a group has an effect.
func (g *Grant) NotifyFirstToken() {
	if !g.hasFirstToken {
		g.hasFirstToken = true
		g.scheduler.notifier.NotifyFirstToken(g.route.Group)
	}
}

// notifyReleased tells the group's home node, which keeps the group's reservations,
// that the request has left the group. If the group has sent no first token,
// notifyReleased reports one too, so that the home node no longer waits for it.
func (g *Grant) notifyReleased(group ring.Group) {
	if !g.hasFirstToken {
		g.scheduler.notifier.NotifyFirstToken(group)
	}
	g.hasFirstToken = false
	g.scheduler.notifier.NotifyReleased(group)
}

// Release frees the grant's slot and its part of the workspace's limit, and
// starts queued requests that this allows.
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
