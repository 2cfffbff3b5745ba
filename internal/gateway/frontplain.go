package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/hedge"
)

const (
	// retryFraction is the fraction of the route's latency target that an attempt of an
	// idempotent request gets. If the server has not responded by then, the request is
	// retried on another server that can take it.
	retryFraction = 0.9
	// minRetryDelay is the least time that an attempt gets before such a retry.
	minRetryDelay = 150 * time.Millisecond
	// moveCheckInterval is how often a silent attempt checks whether it can move. It begins
	// one interval before it may, to connect to the next server meanwhile.
	moveCheckInterval = 20 * time.Millisecond
)

// plainRelay serves a request to a service without models, in one or more attempts.
type plainRelay struct {
	front   *Front
	w       http.ResponseWriter
	request *frontRequest
	tried   map[ring.VM]bool
	// next is the server that was reserved for the next attempt, or nil. dialing is a
	// reserved server that is being connected to, or nil.
	next    *reservedServer
	dialing *pendingDial
}

// reservedServer is a server at which a request in flight is counted. conn is a connection
// to it for the attempt, or nil.
type reservedServer struct {
	ring.Server
	conn net.Conn
}

// giveBack undoes the reservation of a server.
func (p *plainRelay) giveBack(s reservedServer) {
	p.front.servers.cancel(s.Server)
	if s.conn != nil {
		s.conn.Close()
	}
}

// pendingDial is a connection that is being opened to a server.
type pendingDial struct {
	server ring.Server
	result chan net.Conn
}

// servePlain serves a request to a service without models. It returns nil if it
// forwarded a server's response to the caller, and otherwise the failure to report. The
// context ends when the caller leaves or the node must answer.
func (f *Front) servePlain(ctx context.Context, w http.ResponseWriter, req *frontRequest) *ring.Failure {
	p := &plainRelay{front: f, w: w, request: req, tried: map[ring.VM]bool{}}
	defer p.releaseNext()
	defer f.endTrial(req)
	var lastFailure *ring.Failure
	for req.attempts < req.route.MaxAttempts {
		if failure := f.recheck(req); failure != nil {
			return failure
		}
		if failure := f.awaitVerdict(ctx, req); failure != nil {
			return failure
		}
		server, ok := p.nextServer(ctx)
		if !ok {
			break
		}
		failure := f.refuseSuspect(req) // It may have waited for a permit.
		if failure == nil {
			failure = f.refuseAtStop(req)
		}
		if failure != nil {
			p.giveBack(server)
			return failure
		}
		p.tried[server.ID] = true
		req.destination = string(server.ID)
		isLast := req.attempts+1 >= req.route.MaxAttempts
		failure, isFinal := p.attempt(ctx, server, isLast)
		if isFinal || ctx.Err() != nil {
			return failure
		}
		lastFailure = failure
	}
	return f.withPauseEnd(req, lastFailure)
}

// nextServer returns the server for the next attempt, at which it has counted a request
// in flight. It returns false if there is none, or if the retry budget is spent.
func (p *plainRelay) nextServer(ctx context.Context) (reservedServer, bool) {
	p.cancelDial()
	if p.next != nil {
		next := *p.next
		p.next = nil
		return next, true
	}
	f, req, start := p.front, p.request, time.Now()
	maxWait := min(time.Duration(plainWaitFraction*float64(req.route.LatencyTarget)), time.Until(req.deadline)-minRetryDelay)
	server, ok := f.acquireServer(ctx, req, p.tried, max(maxWait, 0))
	req.queuedFor += time.Since(start)
	if ok && req.attempts > 0 && !f.budgets.take(req.service) {
		f.servers.cancel(server)
		req.note = retryBudgetSpent
		ok = false
	}
	return reservedServer{Server: server}, ok
}

// reserveNext reserves a server for an attempt that replaces the current one, and connects
// to it: a server that is registered may have ended, and the current one may only be slow.
// It returns false if the request may not be sent again, if no server can take it, or while
// it connects. It runs beside the attempt, and sees the request only as in probe, its own
// copy.
func (p *plainRelay) reserveNext(ctx context.Context, probe *frontRequest) bool {
	f, now := p.front, time.Now()
	if p.dialing != nil {
		return p.finishDial(probe, now)
	}
	if probe.deadline.Sub(now) < minRetryDelay || f.recheck(probe) != nil || !f.admitsAtStop(probe, now) || !f.budgets.allows(probe.service) {
		return false
	}
	failure := f.refuseSuspect(probe)
	f.endTrial(probe)
	if failure != nil {
		return false
	}
	server, ok := f.acquireServer(ctx, probe, p.tried, 0)
	if !ok {
		return false
	}
	p.dialing = &pendingDial{server: server, result: make(chan net.Conn, 1)}
	go p.dialing.run(ctx, f)
	return false
}

// run opens the connection. The result is nil if that fails.
func (d *pendingDial) run(ctx context.Context, f *Front) {
	conn, err := f.connect(ctx, d.server)
	if err != nil {
		conn = nil
	}
	d.result <- conn
}

// finishDial makes the server that is being connected to the next one once the connection is
// open. A server that could not be reached is not tried.
func (p *plainRelay) finishDial(probe *frontRequest, now time.Time) bool {
	f, server := p.front, p.dialing.server
	var conn net.Conn
	select {
	case conn = <-p.dialing.result:
	default:
		return false
	}
	p.dialing = nil
	switch {
	case conn == nil:
		f.servers.release(server, 1, 0, now)
		p.tried[server.ID] = true
		return false
	case !f.admitsAtStop(probe, now), !f.budgets.take(probe.service):
		f.servers.cancel(server)
		conn.Close()
		return false
	}
	p.next = &reservedServer{Server: server, conn: conn}
	return true
}

// releaseNext gives back a reserved server that is not needed.
func (p *plainRelay) releaseNext() {
	if p.next != nil {
		p.giveBack(*p.next)
		p.next = nil
	}
	p.cancelDial()
}

// cancelDial gives back a reserved server that is being connected to.
func (p *plainRelay) cancelDial() {
	d := p.dialing
	if d == nil {
		return
	}
	p.dialing = nil
	p.front.servers.cancel(d.server)
	go func() {
		if conn := <-d.result; conn != nil {
			conn.Close()
		}
	}()
}

// probe returns a copy of the request with what admit reads, to be used beside an
// attempt.
func (req *frontRequest) probe() *frontRequest {
	return &frontRequest{header: req.header, service: req.service, target: req.target, host: req.host, receivedAt: req.receivedAt, readAt: req.readAt, deadline: req.deadline, attempts: req.attempts + 1}
}

// withPauseEnd returns the failure to report for a request to a service without
// models, where lastFailure is that of the last attempt or nil. If all servers have
// asked for a pause, the caller is told to return when the first pause ends.
func (f *Front) withPauseEnd(req *frontRequest, lastFailure *ring.Failure) *ring.Failure {
	now := time.Now()
	until, arePaused := f.config.Fleet.ServersPausedUntil(req.service.Name, now)
	permitAt, areLimited := f.serversDeniedUntil(req.service.Name, now)
	switch {
	case lastFailure == nil && f.config.Fleet.IsWhollyEvacuated(req.service.Name):
		return evacuatedFailure(req.service.Name, now)
	case lastFailure == nil && arePaused:
		return ring.FailRetryAt(ring.CodeOverloaded, until, "all servers of service %s asked for a pause", req.service.Name)
	case lastFailure == nil && areLimited:
		return ring.FailRetryAt(ring.CodeOverloaded, spreadRetry(permitAt), "all servers of service %s get as many requests as they take", req.service.Name)
	case lastFailure == nil:
		return ring.FailRetryAt(ring.CodeUnreachable, now.Add(busyRetryAfter), "service %s has no available server", req.service.Name)
	case arePaused && !lastFailure.RetryAt.IsZero():
		lastFailure.RetryAt = until
	}
	return lastFailure
}

// watch starts the silence watch of an attempt. A request that may be repeated moves to
// another server after a part of its latency target, unless isLast is set or a second attempt
// was sent.
func (p *plainRelay) watch(ctx context.Context, isLast bool, r *race) (context.Context, *silenceWatch) {
	if isLast || !p.request.route.MayRepeat() {
		return watchSilence(ctx, 0, 0, nil)
	}
	delay := max(time.Duration(retryFraction*float64(p.request.route.LatencyTarget)), minRetryDelay)
	probe := p.request.probe()
	return watchSilence(ctx, delay-moveCheckInterval, moveCheckInterval, func() bool { return r.mayMove() && p.reserveNext(ctx, probe) && !p.moveBeside(r) })
}

// attempt sends the request to a server, and to a second one if that is slow, and forwards the
// response. It returns a nil failure if it forwarded one. The bool reports whether the outcome
// is final, so that no other server may be tried. isLast is set if the route allows no attempt
// after this one.
func (p *plainRelay) attempt(ctx context.Context, reserved reservedServer, isLast bool) (*ring.Failure, bool) {
	r := p.front.newRace(ctx, p.request, reserved.Server, isLast)
	defer r.close()
	failure, isFinal := p.attemptFirst(ctx, reserved, isLast, r)
	if failure == nil || !r.isSent() {
		return failure, isFinal
	}
	second := r.await()
	if second == nil {
		return failure, isFinal
	}
	f, req := p.front, p.request
	req.destination = string(second.server.ID)
	req.timeToFirstEvent = time.Since(req.receivedAt)
	if second == r.second {
		f.recordSound(req, true)
	}
	f.writeResponse(p.w, req, second.x, second.body)
	return nil, true
}

// overtaken is the failure of an attempt whose request a second one has answered.
var overtaken = ring.Fail(ring.CodeOutcomeUnknown, "another server was faster")

// attemptFirst sends the request to a server once and forwards the response, unless that of the
// second attempt came first.
func (p *plainRelay) attemptFirst(ctx context.Context, reserved reservedServer, isLast bool, r *race) (*ring.Failure, bool) {
	f, req, server := p.front, p.request, reserved.Server
	ctx, watch := p.watch(ctx, isLast, r)
	defer watch.close()
	r.schedule(watch, 0, func() hedge.Reason { return p.sendSecond(r) })
	begin := time.Now()
	x, attemptErr := f.sendAttempt(ctx, req, server, reserved.conn, "", req.deadline)
	if attemptErr == nil || attemptErr.stage != stageNotSent {
		req.attempts++
	}
	if attemptErr != nil {
		watch.stop()
		if r.isOvertaken() && !r.isOvertakenMove() {
			f.servers.giveUp(server, time.Since(begin))
			return overtaken, false
		}
		f.servers.release(server, 1, 0, time.Now())
		if r.isOvertakenMove() {
			f.logFailedAttempt(req, server, errSilent)
			return overtaken, false
		}
		f.recordCrash(ctx, req, server, attemptErr, time.Time{})
		return f.classifyFailure(req, server, attemptErr)
	}
	defer x.close()
	// A refusal, and a server error that another server may make up for, are complete with
	// their header: their body is not used.
	if x.header.NotRun {
		watch.stop()
		f.servers.release(server, 0.5, 0, time.Now())
		f.hedges.recordRefusal(kindOf(req), x)
		f.logFailedAttempt(req, server, fmt.Errorf("refused with status %d", x.response.StatusCode))
		return ring.FailRetryAt(ring.CodeBackendRefused, time.Now().Add(busyRetryAfter), "service %s refused the request", req.service.Name), false
	}
	if isFalsePromise(req, x) {
		watch.stop()
		f.servers.release(server, 0.25, 0, time.Now())
		f.logFailedAttempt(req, server, fmt.Errorf("status %d, which does not say that it was not run", x.response.StatusCode))
		return ring.Fail(ring.CodeOutcomeUnknown, "service %s failed; the request may have run", req.service.Name), true
	}
	isServerError := x.response.StatusCode >= http.StatusInternalServerError
	if isServerError && !isLast && req.route.MayRepeat() && (r.stopped(watch) || (time.Until(req.deadline) > minRetryDelay && f.hasOtherServer(req, server))) {
		watch.stop()
		f.servers.release(server, 0.25, 0, time.Now())
		f.logFailedAttempt(req, server, fmt.Errorf("status %d", x.response.StatusCode))
		return ring.Fail(ring.CodeOutcomeUnknown, "service %s failed", req.service.Name), false
	}
	body, err := x.readBody()
	watch.stop()
	if err == nil {
		err = f.checkEnd(ctx, req, x, server)
	}
	if err == nil && !isServerError && r.claim() {
		f.hedges.recordAttempt(hedge.Attempt{Kind: kindOf(req), Server: server.ID, Took: time.Since(begin), IsCounted: r.isLate()})
	}
	switch {
	case r.isOvertaken():
		f.servers.giveUp(server, time.Since(begin))
		return overtaken, false
	case err != nil:
		f.servers.release(server, 1, 0, time.Now())
		attemptErr := &attemptError{stage: stageSent, err: err}
		f.recordCrash(ctx, req, server, attemptErr, time.Time{})
		return f.classifyFailure(req, server, attemptErr)
	case isServerError:
		f.servers.release(server, 0.25, 0, time.Now())
	default:
		f.recordSound(req, true)
		f.servers.release(server, 0, time.Since(begin), time.Now())
	}
	req.timeToFirstEvent = time.Since(req.receivedAt)
	f.writeResponse(p.w, req, x, body)
	return nil, true
}

// hasOtherServer reports whether the request's service has a server other than the
// given one that may get requests.
func (f *Front) hasOtherServer(req *frontRequest, except ring.Server) bool {
	now := time.Now()
	for _, s := range f.config.Fleet.AvailableServers(req.service.Name, now) {
		if s.ID != except.ID && !f.permits.IsDenied(keyOf(s), 0, now) {
			return true
		}
	}
	return false
}

// classifyFailure logs an attempt that got no complete response and returns the failure
// to report for it. The bool reports whether the failure is final, so that the request
// may not be retried.
func (f *Front) classifyFailure(req *frontRequest, server ring.Server, attemptErr *attemptError) (*ring.Failure, bool) {
	f.logFailedAttempt(req, server, attemptErr)
	isLate := time.Until(req.deadline) < responseMargin
	switch {
	case attemptErr.stage == stageNotSent:
		return ring.FailRetryAt(ring.CodeUnreachable, time.Now().Add(busyRetryAfter), "service %s could not be reached", req.service.Name), isLate
	case errors.Is(attemptErr, os.ErrDeadlineExceeded) && isLate, errors.Is(attemptErr, context.DeadlineExceeded) && isLate:
		return ring.Fail(ring.CodeTimedOut, "service %s did not respond in time", req.service.Name), true
	default:
		return ring.Fail(ring.CodeOutcomeUnknown, "service %s sent no complete response; the request may have run", req.service.Name), !req.route.MayRepeat()
	}
}

// logFailedAttempt counts a failed attempt at a server in the metrics and logs it.
func (f *Front) logFailedAttempt(req *frontRequest, server ring.Server, err error) {
	f.config.Metrics.Count("failed_tries", 1, "service", string(req.service.Name))
	recordMalformed(f.config.Log, f.config.Metrics, req.header.ID, string(server.ID), server.Address, err)
	f.config.Log.Write(event.AttemptFailed, slog.String("request", req.header.ID), slog.String("vm", string(server.ID)), slog.String("group", string(server.Membership.Group)),
		slog.Int("try", req.attempts), slog.Any("error", err))
}
