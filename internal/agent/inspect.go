package agent

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"syscall"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/composition"
	"eelgrassring.dev/internal/event"
)

// maxInspectTimeouts bounds an inspection, as a multiple of Timing.InspectTimeout: the time
// after InspectTimeout in which the node finds out whether it is slow itself.
const maxInspectTimeouts = 4

// inspectServer requests a backend server's state and queues the result for the
// composer. If the server is the head of a replica, it asks peers to request the state
// too.
//
// A server that has not answered within InspectTimeout counts as unanswered only when
// another server, asked afterwards, has answered first. Otherwise this node may have had
// no processor time to read the answer, and the inspection is inconclusive.
func (ct *controllerTerm) inspectServer(ctx context.Context, service ring.Service, action composition.Inspect) {
	term := ctx
	ctx, cancel := context.WithTimeout(term, maxInspectTimeouts*ct.agent.config.Timing.InspectTimeout)
	defer cancel()
	s, err := ct.inspectWithReference(ctx, term, service, action)
	if err == nil {
		ct.agent.observeColdReport(action.ID, s)
	}
	leaving := err == nil && s.Leaving
	if err == nil && action.WithHealth && !leaving {
		leaving = ct.isLeaving(ctx, service, action, s.Incarnation)
	}
	if leaving {
		ct.agent.recordLeaving(action.ID, s.Incarnation)
	}
	isInconclusive := errors.Is(err, errInconclusive)
	ct.agent.log.Write(event.ServerInspected, slog.String("vm", string(action.ID)), slog.Bool("answered", err == nil), slog.Bool("inconclusive", isInconclusive), slog.Bool("leaving", leaving),
		slog.Uint64("epoch", uint64(s.Membership.Epoch)), slog.Int64("orders", s.Orders), slog.Any("error", err))
	ct.queueComposerEvent(service, composition.Inspected{ID: action.ID, Answered: err == nil, Inconclusive: isInconclusive, Refused: errors.Is(err, syscall.ECONNREFUSED), Leaving: leaving, Server: s})
}

// errInconclusive is the error of an inspection without an answer that says nothing
// about the server.
var errInconclusive = errors.New("no answer, but this node may be slow")

// inspection is the result of one inspection.
type inspection struct {
	server ring.Server
	err    error
}

// inspectWithReference inspects a server. The error is errInconclusive if neither the
// server nor the reference has answered.
func (ct *controllerTerm) inspectWithReference(ctx, term context.Context, service ring.Service, action composition.Inspect) (ring.Server, error) {
	inspect := ct.agent.config.Control.Inspect
	if action.IsHead {
		inspect = ct.agent.inspectWithPeers
	}
	result := make(chan inspection, 1)
	go func() {
		s, err := inspect(ctx, action.Address)
		result <- inspection{s, err}
	}()
	deadline := time.Now().Add(ct.agent.config.Timing.InspectTimeout)
	timer := time.NewTimer(ct.agent.config.Timing.InspectTimeout)
	defer timer.Stop()
	r := inspection{err: context.DeadlineExceeded}
	select {
	case r = <-result:
		if !isTimeout(r.err) {
			return r.server, r.err
		}
	case <-timer.C:
	}
	ct.load.addTimeout(time.Since(deadline))
	isGood := ct.references.isGood(ctx, term, service, action.ID)
	select {
	case r = <-result: // It came while the reference was asked.
		if !isTimeout(r.err) {
			return r.server, r.err
		}
	default:
	}
	if !isGood {
		return ring.Server{}, errInconclusive
	}
	return ring.Server{}, r.err
}

// isTimeout reports whether a call failed because time has passed, rather than by an
// answer of the server or its VM.
func isTimeout(err error) bool {
	var network net.Error
	return errors.Is(err, context.DeadlineExceeded) || (errors.As(err, &network) && network.Timeout())
}
