package agent

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"syscall"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/clock"
	"eelgrassring.dev/internal/composition"
	"eelgrassring.dev/internal/election"
	"eelgrassring.dev/internal/event"
)

const (
	// abandonedTTL is how long the word counts that a replica was given up; it
	// is repeated with each digest. maxAbandoned bounds how many are named.
	abandonedTTL = 1500 * time.Millisecond
	maxAbandoned = 16
	// maxConcurrentCalls is how many orders or questions to servers are under way at
	// once. A controller on a fifth of a core that began a thousand joins together
	// answered none of them in time, and took the servers for dead.
	maxConcurrentCalls = 64
)

func isLeaseLost(err error) bool { return errors.Is(err, ring.ErrLeaseLost) }

// runControllerTerm drives composition for one term: one composer a service.
func (a *Agent) runControllerTerm(ctx context.Context, t *election.Term) {
	a.mu.Lock()
	a.tree.term, a.tree.sequence = int64(t.Number()), 0
	a.mu.Unlock()
	a.isController.Store(true)
	defer a.isController.Store(false)
	defer a.hasFullRegistry.Store(false)
	defer a.setAbandoned(nil)
	a.log.Write(event.ControlWon, slog.Int64("term", int64(t.Number())))
	defer a.log.Write(event.ControlLost, slog.Int64("term", int64(t.Number())))
	g := &controllerTerm{agent: a, term: t, composers: map[ring.Service]*composition.Composer{}, events: make(chan serviceEvent, 1024), callSlots: make(chan struct{}, maxConcurrentCalls), pendingCalls: map[serverCall]bool{}}
	begun, actFrom := clock.NewMark(), time.Now().Add(a.config.Timing.TakeoverDelay)
	mayDecide := func() bool {
		if !a.hasListedServersSince(begun) {
			return false
		}
		if !a.hasFullRegistry.Swap(true) {
			g.hasTraffic = a.hasOpenReplica()
		}
		return time.Now().After(actFrom) || a.hasNoReplicas()
	}
	a.serversMirror.Refresh() // This node may have dropped what the root before did not know.
	ticker := time.NewTicker(a.config.Timing.DecisionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-g.events:
			g.perform(ctx, e.service, g.composer(e.service).Step(e.composerEvent, time.Now()))
			if len(g.events) == 0 && mayDecide() {
				g.stepComposers(ctx)
			}
		case <-ticker.C:
			if a.IsDraining() {
				return
			}
			if mayDecide() {
				g.stepComposers(ctx)
			}
		}
	}
}

// hasNoReplicas reports whether no server is in any replica, so that there was no
// controller whose orders could be under way.
func (a *Agent) hasNoReplicas() bool {
	table := a.Routing()
	if table == nil {
		return false
	}
	for _, service := range table.Services() {
		for _, s := range a.fleet.Servers(service.Name) {
			if s.Place.Group != "" {
				return false
			}
		}
	}
	return true
}

// hasOpenReplica reports whether any replica is open, so that there may have been
// requests before this term: loads then count against their rate.
func (a *Agent) hasOpenReplica() bool {
	for _, r := range a.fleet.Replicas() {
		if r.Head.Place.State == ring.MemberOpen {
			return true
		}
	}
	return false
}

// serviceEvent is an event for the composer of a service.
type serviceEvent struct {
	service       ring.Service
	composerEvent composition.Event
}

// controllerTerm performs the composers' actions.
type controllerTerm struct {
	agent      *Agent
	term       *election.Term
	composers  map[ring.Service]*composition.Composer
	events     chan serviceEvent
	hasTraffic bool
	// callSlots bounds the calls under way; waiting holds what is queued or under way,
	// so that the same is not begun twice.
	callSlots    chan struct{}
	mu           sync.Mutex
	pendingCalls map[serverCall]bool
}

// serverCall is an order to a server, or a question if its order is empty.
type serverCall struct {
	id    ring.VM
	kind  ring.OrderKind
	epoch ring.Epoch
}

// startCall does a call as soon as a slot is free, unless the same is under way.
func (g *controllerTerm) startCall(ctx context.Context, c serverCall, do func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pendingCalls[c] {
		return
	}
	g.pendingCalls[c] = true
	go func() {
		defer func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			delete(g.pendingCalls, c)
		}()
		select {
		case <-ctx.Done():
		case g.callSlots <- struct{}{}:
			defer func() { <-g.callSlots }()
			do()
		}
	}()
}

func (g *controllerTerm) composer(name ring.Service) *composition.Composer {
	c, ok := g.composers[name]
	if !ok {
		c = composition.New(composition.Config{Options: g.agent.config.Composition, Term: g.term.Number()})
		g.composers[name] = c
	}
	return c
}

// stepComposers gives every composer the world as it is.
func (g *controllerTerm) stepComposers(ctx context.Context) {
	table := g.agent.Routing()
	if table == nil {
		return
	}
	now := time.Now()
	g.hasTraffic = g.hasTraffic || g.agent.fleet.HasTraffic(now)
	still, flowing, slow := g.agent.fleet.Stalled(now), g.agent.fleet.Active(now), g.agent.fleet.Slow(now)
	for _, service := range table.Services() {
		if len(service.Models) == 0 {
			continue
		}
		view := composition.View{
			Servers: g.agent.fleet.Servers(service.Name), Service: service, Stalled: still, Active: flowing, Slow: slow, HasTraffic: g.hasTraffic,
		}
		g.perform(ctx, service.Name, g.composer(service.Name).Step(composition.ViewUpdated{View: view}, now))
	}
	g.agent.setAbandoned(g.abandoned())
}

// abandoned returns the replicas that take requests by their heads' entries,
// and were given up.
func (g *controllerTerm) abandoned() []ring.Epoch {
	var out []ring.Epoch
	for _, r := range g.agent.fleet.Replicas() {
		if c := g.composers[r.Head.Service]; c != nil && r.AcceptsRequests() && c.IsAbandoned(r.Epoch) {
			out = append(out, r.Epoch)
		}
	}
	return out
}

// setAbandoned notes the replicas given up, and tells the peers of new ones.
func (a *Agent) setAbandoned(epochs []ring.Epoch) {
	now := time.Now()
	a.fleet.Abandon(epochs, now, now.Add(abandonedTTL))
	a.mu.Lock()
	isNews := false
	for _, e := range epochs {
		isNews = isNews || !slices.Contains(a.abandoned, e)
	}
	a.abandoned = epochs
	a.mu.Unlock()
	if isNews {
		a.SendDigestSoon()
	}
}

// abandonedEpochs returns the replicas given up, for a message.
func (a *Agent) abandonedEpochs() []uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []uint64
	for _, e := range a.abandoned[:min(len(a.abandoned), maxAbandoned)] {
		out = append(out, uint64(e))
	}
	return out
}

// applyAbandoned takes what the controller gave up.
func (a *Agent) applyAbandoned(epochs []uint64, now time.Time) {
	out := make([]ring.Epoch, len(epochs))
	for i, e := range epochs {
		out[i] = ring.Epoch(e)
	}
	a.fleet.Abandon(out, now, now.Add(abandonedTTL))
}

func (g *controllerTerm) perform(ctx context.Context, service ring.Service, actions []composition.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case composition.SendOrder:
			g.startCall(ctx, serverCall{action.ID, action.Order.Kind, action.Order.Epoch}, func() { g.sendOrder(ctx, service, action) })
		case composition.Inspect:
			g.startCall(ctx, serverCall{id: action.ID}, func() { g.inspectServer(ctx, service, action) })
		case composition.Inventory:
			for _, d := range action.Counts {
				g.agent.log.Write(event.DomainCounted, slog.String("domain", string(d.Domain)), slog.Any("open", d.Open),
					slog.Any("forming", d.Forming), slog.Any("spares", d.Spares), slog.Int("loading", d.Loading))
			}
		case composition.Decision:
			g.agent.log.Write(event.Composed, slog.String("group", string(action.Group)), slog.Uint64("epoch", uint64(action.Epoch)),
				slog.String("model", string(action.Model)), slog.String("what", action.What), slog.String("vm", string(action.VM)),
				slog.Duration("took", action.Took))
		}
	}
}

func (g *controllerTerm) queueEvent(service ring.Service, e composition.Event) {
	select {
	case g.events <- serviceEvent{service, e}:
	default: // The composer asks again.
	}
}

// sendOrder sends one order. The right to act is asked for again when the
// connection is open.
func (g *controllerTerm) sendOrder(ctx context.Context, service ring.Service, a composition.SendOrder) {
	ctx, cancel := context.WithTimeout(ctx, g.agent.config.Timing.OrderTimeout)
	defer cancel()
	if !g.term.MayAct() {
		return
	}
	err := g.agent.config.Control.Order(ctx, a.Address, a.Order, g.term.MayAct)
	kind, outcome := event.OrderSent, composition.OutcomeDone
	switch {
	case errors.Is(err, ring.ErrFenced):
		kind, outcome = event.OrderFenced, composition.OutcomeFenced
	case errors.Is(err, ring.ErrRefused):
		kind, outcome = event.OrderFailed, composition.OutcomeRefused
	case err != nil:
		kind, outcome = event.OrderFailed, composition.OutcomeUnknown
	}
	g.agent.log.Write(kind, slog.String("order", string(a.Order.Kind)), slog.String("vm", string(a.ID)), slog.String("group", string(a.Order.Group)),
		slog.Uint64("epoch", uint64(a.Order.Epoch)), slog.Any("error", err))
	g.queueEvent(service, composition.OrderEnded{ID: a.ID, Order: a.Order, Outcome: outcome})
}

func (g *controllerTerm) inspectServer(ctx context.Context, service ring.Service, a composition.Inspect) {
	ctx, cancel := context.WithTimeout(ctx, g.agent.config.Timing.InspectTimeout)
	defer cancel()
	reach := g.agent.config.Control.Inspect
	if a.IsHead {
		reach = g.agent.inspectWithPeers
	}
	s, err := reach(ctx, a.Address)
	leaving := false
	if err == nil && a.WithHealth {
		leaving = g.isLeaving(ctx, service, a)
	}
	g.agent.log.Write(event.ServerAsked, slog.String("vm", string(a.ID)), slog.Bool("answered", err == nil), slog.Bool("leaving", leaving), slog.Any("error", err))
	g.queueEvent(service, composition.Inspected{ID: a.ID, Answered: err == nil, Refused: errors.Is(err, syscall.ECONNREFUSED), Leaving: leaving, Server: s})
}

// isLeaving asks for a server's health; a question without an answer says
// nothing.
func (g *controllerTerm) isLeaving(ctx context.Context, name ring.Service, a composition.Inspect) bool {
	service, ok := g.agent.Routing().Service(name)
	if !ok || service.HealthPath == "" {
		return false
	}
	leaving, err := g.agent.config.Control.IsLeaving(ctx, a.Address, service.HealthPath)
	if err != nil {
		g.agent.log.Write(event.ServerAsked, slog.String("vm", string(a.ID)), slog.String("question", "health"), slog.Any("error", err))
	}
	return leaving
}
