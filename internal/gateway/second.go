package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"eelgrassring.dev/internal/fleet"
	"eelgrassring.dev/internal/hedge"
)

// sendSecond sends a second attempt to a server of a service without models.
func (p *plainRelay) sendSecond(r *race) hedge.Reason {
	f := p.front
	if p.next != nil || p.dialing != nil {
		return hedge.ReasonAttempts // It moves.
	}
	server, ok := f.secondServer(r.probe.service.Name, r.server, p.tried, time.Now())
	if !ok {
		return hedge.ReasonNoServer
	}
	if reason := r.take(); reason != hedge.ReasonNone {
		f.servers.cancel(server)
		return reason
	}
	p.tried[server.ID] = true
	r.start(server, func(ctx context.Context) { p.runSecond(ctx, r, reservedServer{Server: server}) })
	return hedge.ReasonNone
}

// moveBeside sends the request to the reserved next server beside the silent first attempt. It
// returns false if the first one must be given up for that.
func (p *plainRelay) moveBeside(r *race) bool {
	next := *p.next
	if !r.startMove(next.Server, func(ctx context.Context) { p.runSecond(ctx, r, next) }) {
		return false
	}
	p.tried[next.ID] = true
	p.next = nil
	return true
}

// runSecond runs a second attempt until it has a whole answer, fails or is given up.
func (p *plainRelay) runSecond(ctx context.Context, r *race, reserved reservedServer) {
	f, begin, server := p.front, time.Now(), reserved.Server
	x, body, failure, err := p.exchangeSecond(ctx, r, reserved)
	switch {
	case err == nil && r.claimSecond(&secondAnswer{ctx: ctx, x: x, server: server, body: body}, begin):
		f.servers.release(server, 0, time.Since(begin), time.Now())
		return
	case err == nil, ctx.Err() != nil:
		f.servers.giveUp(server, time.Since(begin))
		err = nil
	default:
		f.servers.release(server, failure, 0, time.Now())
	}
	if x != nil {
		x.close()
	}
	r.lose(server, begin, err)
}

// exchangeSecond sends the request and reads the whole answer. An answer that another server may
// make up for is an error, with the weight of the failure.
func (p *plainRelay) exchangeSecond(ctx context.Context, r *race, reserved reservedServer) (*exchange, []byte, float64, error) {
	f, server := p.front, reserved.Server
	x, attemptErr := f.sendAttempt(ctx, r.probe, server, reserved.conn, "", r.probe.deadline)
	r.reached = attemptErr == nil || attemptErr.stage != stageNotSent
	if attemptErr != nil {
		f.recordCrash(ctx, r.probe, server, attemptErr, time.Time{})
		return nil, nil, 1, attemptErr
	}
	if x.header.NotRun {
		f.hedges.recordRefusal(r.kind, x)
		return x, nil, 0.5, fmt.Errorf("refused with status %d", x.response.StatusCode)
	}
	body, err := x.readBody()
	if err == nil {
		err = f.checkEnd(ctx, r.probe, x, server)
	}
	switch {
	case err != nil:
		f.recordCrash(ctx, r.probe, server, &attemptError{stage: stageSent, err: err}, time.Time{})
		return x, nil, 1, err
	case x.response.StatusCode >= http.StatusInternalServerError:
		r.fallback = &secondAnswer{ctx: ctx, x: x, server: server, body: body}
		return nil, nil, 0.25, fmt.Errorf("status %d", x.response.StatusCode)
	}
	return x, body, 0, nil
}

// sendSecond sends a second attempt to a replica.
func (o *replicaRelay) sendSecond(r *race) hedge.Reason {
	f, now := o.front, time.Now()
	if o.next != nil {
		return hedge.ReasonAttempts // It moves.
	}
	c, reason := f.secondReplica(r.probe, r.server, o.tried, now)
	if reason != hedge.ReasonNone {
		return reason
	}
	if reason := r.take(); reason != hedge.ReasonNone {
		return reason
	}
	prefill := f.selector.prefillTime(r.probe)
	f.config.Fleet.BeginRequest(c.Replica, prefill, now)
	if prefill >= minAnnouncedPrefill {
		f.config.Node.AnnouncePrefill(c.Replica.Epoch, prefill)
	}
	o.tried[c.Replica.Group] = true
	r.start(c.Replica.Head, func(ctx context.Context) { o.runSecond(ctx, r, c.Replica) })
	return hedge.ReasonNone
}

// moveBeside sends the request to the reserved next replica beside the silent first attempt. It
// returns false if the first one must be given up for that.
func (o *replicaRelay) moveBeside(r *race) bool {
	next := o.next.Replica
	if !r.startMove(next.Head, func(ctx context.Context) { o.runSecond(ctx, r, next) }) {
		return false
	}
	o.tried[next.Group] = true
	o.next = nil
	if prefill := o.front.selector.prefillTime(r.probe); prefill >= minAnnouncedPrefill {
		o.front.config.Node.AnnouncePrefill(next.Epoch, prefill)
	}
	return true
}

// runSecond runs a second attempt until it has the first event, fails or is given up.
func (o *replicaRelay) runSecond(ctx context.Context, r *race, to fleet.Replica) {
	f, begin := o.front, time.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	fl := &flight{content: contentOf(r.probe), cancel: cancel}
	f.suspicion.begin(fl)
	x, events, err := o.exchangeSecond(ctx, r, to)
	if err == nil {
		fl.hasEvents.Store(true)
		if r.claimSecond(&secondAnswer{ctx: ctx, x: x, server: to.Head, replica: to, events: events, flight: fl}, begin) {
			return
		}
	}
	if ctx.Err() != nil {
		err = nil
	}
	f.suspicion.end(fl)
	f.config.Fleet.EndRequest(to.Group, false)
	if err != nil && (x == nil || x.header.NotRun || x.response.StatusCode >= http.StatusInternalServerError || isEventStream(x)) {
		f.config.Fleet.MarkFailed(to.Group, time.Now())
	}
	if x != nil {
		x.close()
	}
	cancel(nil)
	r.lose(to.Head, begin, err)
}

// exchangeSecond sends the request and reads up to the first event.
func (o *replicaRelay) exchangeSecond(ctx context.Context, r *race, to fleet.Replica) (*exchange, *eventReader, error) {
	f := o.front
	x, attemptErr := f.sendAttempt(ctx, r.probe, to.Head, nil, "", r.probe.deadline)
	r.reached = attemptErr == nil || attemptErr.stage != stageNotSent
	if attemptErr != nil {
		f.recordCrash(ctx, r.probe, to.Head, attemptErr, time.Time{})
		return nil, nil, attemptErr
	}
	if x.header.NotRun {
		f.hedges.recordRefusal(r.kind, x)
		return x, nil, fmt.Errorf("refused with status %d by %s", x.response.StatusCode, x.header.FaultyServer)
	}
	if !isEventStream(x) {
		return x, nil, fmt.Errorf("status %d without a stream", x.response.StatusCode)
	}
	events := newEventReader(x.response.Body)
	e, err := events.next()
	if err != nil {
		attemptErr := &attemptError{stage: stageSent, err: fmt.Errorf("stream broke: %w", err)}
		f.recordCrash(ctx, r.probe, to.Head, attemptErr, time.Time{})
		return x, nil, attemptErr
	}
	events.read = &e
	return x, events, nil
}

// isEventStream reports whether a response is a stream of events.
func isEventStream(x *exchange) bool {
	return strings.HasPrefix(x.response.Header.Get("Content-Type"), "text/event-stream") && x.response.StatusCode == http.StatusOK
}

// forwardSecond forwards the stream of a second attempt that has claimed the request. The
// results are those of attempt.
func (o *replicaRelay) forwardSecond(second *secondAnswer) (bool, *attemptError) {
	f, req, group := o.front, o.request, second.replica.Group
	req.destination = string(group)
	streaming := false
	isLast := req.attempts >= req.route.MaxAttempts
	defer func() { f.config.Fleet.EndRequest(group, streaming) }()
	defer f.pin(req, group, isLast)()
	defer f.suspicion.end(second.flight)
	o.begunAt, o.flight = time.Time{}, second.flight
	ctx, watch := o.watch(second.ctx, group, isLast, nil)
	defer watch.close()
	defer context.AfterFunc(ctx, second.x.abort)()
	err := o.forwardStream(ctx, second.x, second.replica, second.events, &streaming)
	if watch.stop() && err != nil {
		err = &attemptError{stage: stageSent, err: errSilent}
	}
	return hasTimedOut(req, err), err
}
