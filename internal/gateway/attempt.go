package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/engine"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/metric"
	"eelgrassring.dev/internal/node"
	"eelgrassring.dev/internal/quota"
	"eelgrassring.dev/internal/reservation"
)

// maxAttempts bounds the attempts of one idempotent request.
const maxAttempts = 4

// attemptStage is how far a failed attempt got.
type attemptStage int

const (
	// stageNotSent means that no byte of the request left this node.
	stageNotSent attemptStage = iota
	// stageRefused means that the backend server reported that it did not run the
	// request.
	stageRefused
	// stageSent means that the request was sent and may have run.
	stageSent
)

// attemptError is the error of a failed attempt.
type attemptError struct {
	stage attemptStage
	// diverged is set if the output of a replayed request differs from the text that
	// the caller already has.
	diverged bool
	err      error
}

func (e *attemptError) Error() string { return e.err.Error() }
func (e *attemptError) Unwrap() error { return e.err }

// connTrace records whether a request got a connection to its backend server. Without
// one, no byte of the request was sent.
type connTrace struct{ connected atomic.Bool }

// withContext returns a context that makes t record whether the round trip made with it
// got a connection.
func (t *connTrace) withContext(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) },
	})
}

// classify returns the attempt error for the error of a round trip, with
// stageNotSent if the request got no connection and stageSent otherwise.
func (t *connTrace) classify(err error) *attemptError {
	var op *net.OpError
	if !t.connected.Load() || (errors.As(err, &op) && op.Op == "dial") {
		return &attemptError{stage: stageNotSent, err: err}
	}
	return &attemptError{stage: stageSent, err: err}
}

// isRefusal reports whether the response says that the backend server did not run
// the request.
func isRefusal(resp *http.Response) bool {
	return resp.Header.Get(engine.HeaderRan) == "no" && resp.StatusCode >= http.StatusBadRequest
}

// serveIdempotent serves an idempotent model request. It makes up to
// maxAttempts attempts while the retry budget allows them.
func (s *Server) serveIdempotent(w http.ResponseWriter, r *http.Request, c *call, q *completion, grant *Grant) {
	out := &relay{server: s, w: w, call: c, request: q}
	out.onEvent = func() { grant.NotifyFirstToken() }
	defer func() { grant.Release() }()
	for attempt := 1; ; attempt++ {
		err := out.attempt(r.Context(), grant.Route(), attempt > 1)
		if err == nil {
			s.recordSound(c, q)
		}
		if err == nil || hasLeft(r.Context()) {
			return
		}
		s.logFailedAttempt(c, grant.Route(), err)
		if r.Context().Err() != nil {
			out.fail(out.failureAtStop(err))
			return
		}
		out.mayHaveRun = out.mayHaveRun || err.stage == stageSent
		s.recordCrash(r.Context(), c, q, grant.Route(), err, out.hasRun())
		if failure := s.awaitVerdict(r.Context(), c, q); failure != nil {
			out.fail(failure)
			return
		}
		if err.diverged || !out.mayContinue() || attempt == maxAttempts || !s.budget.Take(time.Now(), 1, nil) {
			out.writeFailure(err)
			return
		}
		if out.started {
			s.config.Log.Write(event.StreamReplayed, slog.String("request", c.id), slog.Int("sent", len(out.sentText)))
		}
		next, failure := s.nextGrant(r, c, grant, err)
		if failure != nil {
			grant = next
			out.writeFailure(err)
			return
		}
		grant = next
		if !s.awaitPermit(r.Context(), grant) {
			out.writeFailure(err)
			return
		}
	}
}

// nextGrant returns the grant for the next attempt after an attempt failed with err.
// The grant is for the same group if the request was sent, the group still serves and
// its only retry there is unused. Otherwise it is for another group with a free slot.
// If there is none, nextGrant waits for a slot of any group; if it gets none, it
// returns the old grant and a failure.
func (s *Server) nextGrant(r *http.Request, c *call, grant *Grant, err *attemptError) (*Grant, *ring.Failure) {
	if err.stage == stageSent && s.table.IsServing(grant.Route(), time.Now()) && grant.takeSameGroupRetry() {
		return grant, nil
	}
	if grant.MoveToUntried() {
		return grant, nil
	}
	request := grant.request
	request.Deadline = time.Now().Add(s.config.MaxWait)
	next, failure := s.scheduler.Acquire(r.Context(), request)
	if failure != nil {
		return grant, failure
	}
	grant.Release()
	s.config.Node.NotifyTaken(next.Route().Group)
	return next, nil
}

// takeSameGroupRetry uses up the only retry that a grant allows at the same group. It
// returns false if that retry was used before.
func (g *Grant) takeSameGroupRetry() bool {
	if g.retriedSameGroup {
		return false
	}
	g.retriedSameGroup = true
	return true
}

// sendAttempt sends one attempt and returns the response with its body unread. to is the
// server's key for rate limits.
func (s *Server) sendAttempt(ctx context.Context, req *http.Request, to quota.Key, trace *connTrace) (*http.Response, *attemptError) {
	resp, err := s.transport.RoundTrip(req.WithContext(trace.withContext(ctx)))
	if err != nil {
		return nil, trace.classify(err)
	}
	if id := resp.Header.Get(engine.HeaderRequest); id == "" || id == req.Header.Get(engine.HeaderRequest) {
		s.recordLimit(to, req.URL.Host, resp.Header)
	}
	if isRefusal(resp) {
		resp.Body.Close()
		return nil, &attemptError{stage: stageRefused, err: fmt.Errorf("backend server refused: status %d", resp.StatusCode)}
	}
	return resp, nil
}

// isMismatched reports whether a response carries the ID of another request. If so, it
// logs the mismatch.
func (s *Server) isMismatched(c *call, resp *http.Response) bool {
	got := resp.Header.Get(engine.HeaderRequest)
	if got == "" || got == c.id {
		return false
	}
	s.config.Metrics.Count("foreign_answers", 1)
	s.config.Log.Write(event.ResponseMismatch, slog.String("request", c.id), slog.String("answer", got))
	return true
}

// reserveSlot asks for a slot at up to reservation.MaxHomeNodes groups, one after the
// other, until one is granted, and moves the grant to that group. It asks each group's
// home node, which keeps the group's reservations. The reservation is only advisory: if
// none is granted, the request goes to the first group whose answer was busy, because
// that group likely has the prefix cached. If none was busy either, it keeps the group
// that this node last picked by its own estimate.
func (s *Server) reserveSlot(ctx context.Context, g *Grant) {
	tried := map[ring.Group]bool{}
	var busy *node.Route
	for range reservation.MaxHomeNodes {
		route := g.Route()
		s.config.Metrics.Count("asks", 1)
		result := s.config.Node.ReserveSlot(ctx, route)
		if result == reservation.ResultGranted {
			return
		}
		if result == reservation.ResultBusy && busy == nil {
			busy = &route
		}
		tried[route.Group] = true
		if result == reservation.ResultUnavailable || !g.moveExcept(tried) {
			break
		}
	}
	if busy != nil {
		g.moveTo(*busy)
	}
	s.config.Node.NotifyTaken(g.Route().Group)
}

// acquireGrant waits until the scheduler lets the request start, and records the
// queueing time. If the request needs a group, it also reserves a slot at one. It
// returns a failure if the scheduler does not let the request start in time.
func (s *Server) acquireGrant(r *http.Request, c *call, a AcquireRequest) (*Grant, *ring.Failure) {
	begin := time.Now()
	grant, failure := s.scheduler.Acquire(r.Context(), a)
	c.queuedFor = time.Since(begin)
	s.config.Metrics.Observe(metric.LatencyQueue, c.class, c.queuedFor)
	s.config.Metrics.Count("requests", 1, "workspace", string(c.class.Workspace), "class", string(c.class.Priority))
	if failure != nil && r.Context().Err() != nil && !hasLeft(r.Context()) {
		return nil, s.refuseAtStop()
	}
	if failure == nil && a.Target != nil {
		s.reserveSlot(r.Context(), grant)
	}
	if failure != nil {
		return nil, failure
	}
	if failure := s.refuseAtStop(); failure != nil {
		grant.Release()
		return nil, failure
	}
	return grant, nil
}

// routeToAddress returns a route for logs that has an address but no group.
func routeToAddress(address string) node.Route { return node.Route{Address: address} }
