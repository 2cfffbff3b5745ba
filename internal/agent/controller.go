package agent

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/clock"
	"eelgrassring.dev/internal/composition"
	"eelgrassring.dev/internal/election"
	"eelgrassring.dev/internal/event"
)

const (
	// abandonedTTL is how long a node sends no requests to an abandoned replica, which
	// the controller no longer uses, after the last message that lists it. Every digest
	// and summary repeats the list. maxAbandoned bounds the number of replicas in one
	// message.
	abandonedTTL = 1500 * time.Millisecond
	maxAbandoned = 16
	// maxConcurrentCalls bounds the orders and inspections that run at a time. A
	// controller that ran on a fifth of a core and sent a thousand orders to join
	// replicas at the same time completed none of them in time and considered the
	// servers dead.
	maxConcurrentCalls = 32
	// minStepPause is the shortest pause between two decision steps. A step that took
	// longer is followed by a pause of stepPauseRatio times its duration, so that the
	// calls to the servers get most of the node's processor time.
	minStepPause   = 10 * time.Millisecond
	stepPauseRatio = 3
)

// isLeaseLost reports whether a call to the store failed because the lease does
// not exist any more.
func isLeaseLost(err error) bool { return errors.Is(err, ring.ErrLeaseLost) }

// runControllerTerm does the work of the controller until the term ends or the node
// drains. It runs a composer for each service, which decides which servers form
// replicas, and sends the resulting orders to the servers.
func (a *Agent) runControllerTerm(ctx context.Context, t *election.Term) {
	a.mu.Lock()
	a.tree.term, a.tree.sequence = int64(t.Number()), 0
	a.controller = a.config.Name // The watch of the key may report it seconds later.
	a.isController.Store(true)
	a.mu.Unlock()
	defer a.isController.Store(false)
	defer a.hasFullRegistry.Store(false)
	defer a.setAbandoned(nil)
	a.log.Write(event.ControllerLeaseAcquired, slog.Int64("term", int64(t.Number())))
	defer a.log.Write(event.ControllerLeaseLost, slog.Int64("term", int64(t.Number())))
	ct := newControllerTerm(a, t)
	began, ordersFrom := clock.NewInstant(), time.Now().Add(a.config.Timing.TakeoverDelay)
	if exclusiveFrom := t.ExclusiveFrom().Add(a.config.Timing.TakeoverDelay); exclusiveFrom.After(ordersFrom) {
		ordersFrom = exclusiveFrom
	}
	recordCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go a.recordSettledEra(recordCtx)
	// mayDecide reports whether the composers may run: the registry was listed in
	// this term, and no order of an earlier controller can still take effect.
	mayDecide := func() bool {
		if !a.hasListedServersSince(began) {
			return false
		}
		if !a.hasFullRegistry.Swap(true) {
			ct.hasTraffic.Store(a.hasOpenReplica())
			a.SendDigestSoon() // The nodes check what they know when they get the checksums.
		}
		// After a restore, the registry may not show the replicas of an earlier controller.
		return time.Now().After(ordersFrom) || (!a.isRestoring() && a.hasNoReplicas())
	}
	a.serversMirror.Refresh() // This node may have dropped entries that the previous root did not know.
	ticker, due := time.NewTicker(a.config.Timing.DecisionInterval), time.NewTimer(0)
	defer ticker.Stop()
	defer due.Stop()
	step := func() {
		if mayDecide() {
			ct.stepComposers(ctx)
		}
	}
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-ct.events:
			ct.load.addQueueWait(time.Since(e.queuedAt))
			ct.performActions(ctx, e.service, ct.composerFor(e.service).Step(e.composerEvent, time.Now()))
			if len(ct.events) == 0 {
				due.Reset(time.Until(ct.nextStepAt))
			}
		case <-due.C:
			step()
		case <-ticker.C:
			if a.IsDraining() {
				return
			}
			if !time.Now().Before(ct.nextStepAt) {
				step()
			}
		}
	}
}

// hasNoReplicas reports whether no registered server is in a replica. If so, no
// earlier controller can have orders in flight.
func (a *Agent) hasNoReplicas() bool {
	table := a.Routing()
	if table == nil {
		return false
	}
	for _, service := range table.Services() {
		for _, s := range a.fleet.Servers(service.Name) {
			if s.Membership.Group != "" {
				return false
			}
		}
	}
	return true
}

// hasOpenReplica reports whether any replica's head is registered as open, which
// means that it takes requests. If so, there may have been requests before this
// term, and the rate limit on loads from the weight store applies.
func (a *Agent) hasOpenReplica() bool {
	for _, r := range a.fleet.Replicas() {
		if r.Head.Membership.State == ring.MemberOpen {
			return true
		}
	}
	return false
}

// serviceEvent is the result of an order to a backend server or of an inspection of its
// state, for the composer of the service.
type serviceEvent struct {
	service       ring.Service
	composerEvent composition.Event
	queuedAt      time.Time
}

// controllerTerm runs the composers of all services during one term of the node as the
// controller. It performs the actions that they return: orders to backend servers and
// inspections of their state.
type controllerTerm struct {
	agent     *Agent
	term      *election.Term
	composers map[ring.Service]*composition.Composer
	// events holds the results of orders and inspections until the composers take
	// them.
	events chan serviceEvent
	// hasTraffic is set after the first request at any replica.
	hasTraffic atomic.Bool
	// nextStepAt is the earliest time of the next decision step.
	nextStepAt time.Time
	// callSlots bounds the running orders and inspections. pendingCalls holds the
	// queued and running calls, so that the same call is not started twice.
	callSlots    chan struct{}
	mu           sync.Mutex
	pendingCalls map[serverCall]*pendingCall
	load         controllerLoad
	references   *references
	// emptied holds the evacuated zones that were logged as empty.
	emptied map[ring.Zone]bool
}

// newControllerTerm returns the state of a term that begins now.
func newControllerTerm(a *Agent, t *election.Term) *controllerTerm {
	return &controllerTerm{
		emptied: map[ring.Zone]bool{}, agent: a, term: t, composers: map[ring.Service]*composition.Composer{}, events: make(chan serviceEvent, 1024),
		callSlots: make(chan struct{}, maxConcurrentCalls), pendingCalls: map[serverCall]*pendingCall{},
		references: &references{
			fleet: a.fleet, inspect: a.config.Control.Inspect, timeout: referenceTimeouts * a.config.Timing.InspectTimeout,
			turn: make(chan struct{}, 1), next: map[ring.Service]*reference{},
		},
	}
}

// composerFor returns the composer of a service, and creates it at the first call.
func (ct *controllerTerm) composerFor(name ring.Service) *composition.Composer {
	c, ok := ct.composers[name]
	if !ok {
		c = composition.New(composition.Config{Options: ct.agent.config.Composition, Term: ct.term.Number()})
		ct.composers[name] = c
	}
	return c
}

// stepComposers passes the current state of the servers and replicas to the composer of
// each service and performs the actions that it returns: orders to backend servers and
// inspections of their state.
func (ct *controllerTerm) stepComposers(ctx context.Context) {
	table := ct.agent.Routing()
	if table == nil {
		return
	}
	now := time.Now()
	if !ct.hasTraffic.Load() && ct.agent.fleet.HasTraffic(now) {
		ct.hasTraffic.Store(true)
	}
	stalled, active, slow := ct.agent.fleet.StalledReplicas(now), ct.agent.fleet.ActiveReplicas(now), ct.agent.fleet.SlowReplicas(now)
	pinned := ct.agent.fleet.PinnedReplicas(now)
	limited, limitedServers := ct.agent.limitedReplicas(now)
	for _, service := range table.Services() {
		if len(service.Models) == 0 {
			continue
		}
		view := composition.View{
			Servers: ct.agent.fleet.Servers(service.Name), Service: service, Stalled: stalled, Active: active, Pinned: pinned, Slow: slow, Limited: limited, LimitedServers: limitedServers, Evacuated: ct.agent.fleet.Evacuated(), HasTraffic: ct.hasTraffic.Load(),
		}
		ct.performActions(ctx, service.Name, ct.composerFor(service.Name).Step(composition.ViewUpdated{View: view}, now))
	}
	took := time.Since(now)
	ct.load.addStep(took)
	ct.nextStepAt = time.Now().Add(max(minStepPause, stepPauseRatio*took))
	ct.agent.setAbandoned(ct.abandonedReplicas())
	ct.logEmptied(now)
}

// logEmptied logs each evacuated zone that has no request left, once for each evacuation.
func (ct *controllerTerm) logEmptied(now time.Time) {
	zones := ct.agent.fleet.Evacuated()
	maps.DeleteFunc(ct.emptied, func(zone ring.Zone, _ bool) bool { return !zones[zone] })
	for _, z := range ct.agent.fleet.EvacuatedZones(now) {
		if z.Requests == 0 && !ct.emptied[z.Zone] {
			ct.emptied[z.Zone] = true
			ct.agent.log.Write(event.EvacuationEmptied, slog.String("zone", string(z.Zone)), slog.Int("servers", z.Servers), slog.Int("replicas", z.Replicas))
		}
	}
}

// abandonedReplicas returns the replicas that a composer no longer uses although the
// registry still shows them as taking requests.
func (ct *controllerTerm) abandonedReplicas() []ring.Epoch {
	var out []ring.Epoch
	for _, r := range ct.agent.fleet.Replicas() {
		if c := ct.composers[r.Head.Service]; c != nil && r.AcceptsRequests() && !r.Evacuated && c.IsAbandoned(r.Epoch) {
			out = append(out, r.Epoch)
		}
	}
	return out
}

// setAbandoned replaces the list of abandoned replicas, which the controller no longer
// uses and to which the nodes send no requests. If a replica was added, setAbandoned
// requests that the list is sent to the nodes before the regular interval has passed.
func (a *Agent) setAbandoned(epochs []ring.Epoch) {
	now := time.Now()
	a.fleet.Abandon(epochs, now, now.Add(abandonedTTL))
	a.mu.Lock()
	hasNew := false
	for _, e := range epochs {
		hasNew = hasNew || !slices.Contains(a.abandoned, e)
	}
	a.abandoned = epochs
	a.mu.Unlock()
	if hasNew {
		a.SendDigestSoon()
	}
}

// abandonedForMessage returns the epochs of the abandoned replicas, which this node as
// the controller no longer uses, for a digest or summary. It returns at most
// maxAbandoned.
func (a *Agent) abandonedForMessage() []uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []uint64
	for _, e := range a.abandoned[:min(len(a.abandoned), maxAbandoned)] {
		out = append(out, uint64(e))
	}
	return out
}

// applyAbandoned makes this node send no new requests, for abandonedTTL, to the
// replicas that a digest or summary lists as no longer used by the controller.
func (a *Agent) applyAbandoned(epochs []uint64, now time.Time) {
	a.fleet.Abandon(epochsOf(epochs), now, now.Add(abandonedTTL))
}

// epochsOf returns the epochs of replicas that a message names.
func epochsOf(numbers []uint64) []ring.Epoch {
	out := make([]ring.Epoch, len(numbers))
	for i, n := range numbers {
		out[i] = ring.Epoch(n)
	}
	return out
}

// performActions performs the actions that a service's composer returned: it starts
// orders to backend servers and inspections of their state in the background, and logs
// the composer's decisions and counts.
func (ct *controllerTerm) performActions(ctx context.Context, service ring.Service, actions []composition.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case composition.SendOrder:
			hadTraffic := ct.hasTraffic.Load()
			ct.startCall(ctx, serverCall{action.ID, action.Order.Kind, action.Order.Epoch}, func() {
				if action.Order.Kind == ring.OrderStage && hadTraffic != ct.hasTraffic.Load() {
					// It was decided when loads were not limited.
					ct.queueComposerEvent(service, composition.OrderEnded{ID: action.ID, Order: action.Order, Outcome: composition.OutcomeNotSent, Observation: action.Observation})
					return
				}
				ct.sendOrder(ctx, service, action)
			})
		case composition.Inspect:
			ct.startCall(ctx, serverCall{id: action.ID}, func() { ct.inspectServer(ctx, service, action) })
		case composition.Inventory:
			for _, d := range action.Counts {
				ct.agent.log.Write(event.DomainSummary, slog.String("domain", string(d.Domain)), slog.Any("open", d.Open),
					slog.Any("forming", d.Forming), slog.Any("spares", d.Spares), slog.Int("loading", d.Loading), slog.Int("stranded", d.Stranded), slog.Any("waiting", d.Waiting))
			}
			ct.load.write(ct.agent.log)
		case composition.Decision:
			ct.agent.log.Write(event.ReplicaChanged, slog.String("group", string(action.Group)), slog.Uint64("epoch", uint64(action.Epoch)),
				slog.String("model", string(action.Model)), slog.String("what", action.What), slog.String("vm", string(action.VM)),
				slog.Duration("took", action.Took), slog.Duration("missing", action.Missing))
		}
	}
}

// recordLeaving records that an inspected server is about to stop and tells the other
// nodes, if the server is registered with this incarnation.
func (a *Agent) recordLeaving(id ring.VM, incarnation string) {
	s, known := a.fleet.Server(id)
	if known && s.Incarnation == incarnation && a.fleet.MarkLeaving(id, incarnation, time.Now()) {
		a.log.Write(event.VMLeaving, slog.String("vm", string(id)))
		a.AnnounceLeaving(s)
	}
}

// isLeaving reports whether the health check of a server, which has just reported its incarnation,
// says that it is about to stop.
// It returns false if the check fails, which is logged, or the service has none.
func (ct *controllerTerm) isLeaving(ctx context.Context, name ring.Service, action composition.Inspect, incarnation string) bool {
	service, ok := ct.agent.Routing().Service(name)
	if !ok || service.HealthPath == "" {
		return false
	}
	health, err := ct.agent.config.Control.CheckHealth(ctx, action.Address, service.HealthPath)
	if err != nil {
		ct.agent.log.Write(event.ServerInspected, slog.String("vm", string(action.ID)), slog.String("question", "health"), slog.Any("error", err))
	}
	if s, known := ct.agent.fleet.Server(action.ID); known && s.Incarnation == incarnation {
		ct.agent.ObserveColdAnswer(s, health.Cold)
	}
	return health.Leaving
}
