package agent

import (
	"context"
	"errors"
	"log/slog"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/composition"
	"eelgrassring.dev/internal/event"
)

// pendingCall is a call that is queued or running and whose result is not queued yet.
type pendingCall struct{ serverCall }

// serverCall identifies a call to a backend server: an order, or an inspection if
// kind is empty.
type serverCall struct {
	id    ring.VM
	kind  ring.OrderKind
	epoch ring.Epoch
}

// startCall runs an order or inspection in the background as soon as one of
// callSlots is free, unless the same call is queued or running.
func (ct *controllerTerm) startCall(ctx context.Context, c serverCall, run func()) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if ct.pendingCalls[c] != nil {
		return
	}
	pending, queuedAt := &pendingCall{c}, time.Now()
	ct.pendingCalls[c] = pending
	go func() {
		defer func() {
			ct.mu.Lock()
			defer ct.mu.Unlock()
			if ct.pendingCalls[c] == pending { // It had no result.
				delete(ct.pendingCalls, c)
			}
		}()
		select {
		case <-ctx.Done():
		case ct.callSlots <- struct{}{}:
			defer func() { <-ct.callSlots }()
			ct.load.addCall(time.Since(queuedAt))
			run()
		}
	}()
}

// endCall ends a pending call, so that the composer may ask for it again as soon as it
// has the result.
func (ct *controllerTerm) endCall(c serverCall) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	delete(ct.pendingCalls, c)
}

// sendOrder sends an order to a backend server and queues the outcome for the
// composer. Whether the term still holds its lease is checked here, and again by
// Order when it is connected to the server.
func (ct *controllerTerm) sendOrder(ctx context.Context, service ring.Service, action composition.SendOrder) {
	ctx, cancel := context.WithTimeout(ctx, ct.agent.config.Timing.OrderTimeout)
	defer cancel()
	if !ct.term.HoldsLease() {
		return
	}
	hasBegun, err := ct.agent.config.Control.Order(ctx, action.Address, action.Order, ct.term.HoldsLease)
	kind, outcome := event.OrderSent, composition.OutcomeDone
	switch {
	case errors.Is(err, ring.ErrFenced):
		kind, outcome = event.OrderFenced, composition.OutcomeFenced
	case errors.Is(err, ring.ErrRefused):
		kind, outcome = event.OrderFailed, composition.OutcomeRefused
	case err != nil:
		kind, outcome = event.OrderFailed, composition.OutcomeUnknown
	}
	if deadline, ok := ctx.Deadline(); ok && errors.Is(err, context.DeadlineExceeded) {
		ct.load.addTimeout(time.Since(deadline))
	}
	ct.agent.log.Write(kind, slog.String("order", string(action.Order.Kind)), slog.String("vm", string(action.ID)), slog.String("group", string(action.Order.Group)),
		slog.Uint64("epoch", uint64(action.Order.Epoch)), slog.Bool("begun", hasBegun), slog.Bool("conditional", action.Order.HasExpected), slog.Int64("expected", action.Order.Expected), slog.Any("error", err))
	ct.queueComposerEvent(service, composition.OrderEnded{ID: action.ID, Order: action.Order, Outcome: outcome, HasBegun: hasBegun, Observation: action.Observation})
}

// queueComposerEvent queues the result of an order or inspection for the composer of
// the service. If the queue is full, it drops the result.
func (ct *controllerTerm) queueComposerEvent(service ring.Service, e composition.Event) {
	switch e := e.(type) {
	case composition.OrderEnded:
		ct.endCall(serverCall{e.ID, e.Order.Kind, e.Order.Epoch})
	case composition.Inspected:
		ct.endCall(serverCall{id: e.ID})
	}
	select {
	case ct.events <- serviceEvent{service, e, time.Now()}:
	default: // The queue is full; the composer repeats the call later.
	}
}
