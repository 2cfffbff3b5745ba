package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
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
	"eelgrassring.dev/internal/reservation"
)

// maxAttempts bounds the attempts of one idempotent request.
const maxAttempts = 4

// maxResponseBytes bounds the body of a response that is not streamed.
const maxResponseBytes = 64 << 20

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

// attemptError is the error of a failed attempt. The flag diverged is set if the
// output of a replayed request differs from the text that the caller already has.
type attemptError struct {
	stage    attemptStage
	diverged bool
	err      error
}

func (e *attemptError) Error() string { return e.err.Error() }
func (e *attemptError) Unwrap() error { return e.err }

// connTrace records whether a request got a connection, after which any byte of it
// may have been sent.
type connTrace struct{ connected atomic.Bool }

// withContext returns a context that traces the round trip made with it.
func (t *connTrace) withContext(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) },
	})
}

// classify returns the attempt error for the error of a round trip.
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
		if err == nil || r.Context().Err() != nil {
			return
		}
		s.logFailedAttempt(c, grant.Route(), err)
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
	}
}

// nextGrant returns the grant for the next attempt: for the same group if the
// request was sent and the group still serves, else for another group with a free
// slot, else for the first group to get one.
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

// takeSameGroupRetry reports whether another attempt may go to the same group. Only the
// first call for a grant returns true.
func (g *Grant) takeSameGroupRetry() bool {
	if g.retriedSameGroup {
		return false
	}
	g.retriedSameGroup = true
	return true
}

// sendAttempt sends one attempt and returns the response with its body unread. Only the
// first attempt of an idempotent request reuses a connection.
func (s *Server) sendAttempt(ctx context.Context, req *http.Request, freshConn bool, trace *connTrace) (*http.Response, *attemptError) {
	transport := s.keepAlive
	if freshConn {
		transport = s.fresh
	}
	resp, err := transport.RoundTrip(req.WithContext(trace.withContext(ctx)))
	if err != nil {
		return nil, trace.classify(err)
	}
	if isRefusal(resp) {
		resp.Body.Close()
		return nil, &attemptError{stage: stageRefused, err: fmt.Errorf("backend server refused: status %d", resp.StatusCode)}
	}
	return resp, nil
}

// isMismatched reports whether a response names another request, and logs it if so.
func (s *Server) isMismatched(c *call, resp *http.Response) bool {
	got := resp.Header.Get(engine.HeaderRequest)
	if got == "" || got == c.id {
		return false
	}
	s.config.Metrics.Count("foreign_answers", 1)
	s.config.Log.Write(event.ResponseMismatch, slog.String("request", c.id), slog.String("answer", got))
	return true
}

// reserveSlot asks the home nodes of up to reservation.MaxHomeNodes groups for a slot,
// until one grants it. The reservation is only advisory: without a grant the
// request goes to the first group that was only busy, because that group likely
// has the prefix cached, or else to the group that this node estimates as best.
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

// acquireGrant waits for a grant to start the request and records the queueing time.
func (s *Server) acquireGrant(r *http.Request, c *call, a AcquireRequest) (*Grant, *ring.Failure) {
	begin := time.Now()
	grant, failure := s.scheduler.Acquire(r.Context(), a)
	c.queuedFor = time.Since(begin)
	s.config.Metrics.Observe(metric.LatencyQueue, c.class, c.queuedFor)
	s.config.Metrics.Count("requests", 1, "workspace", string(c.class.Workspace), "class", string(c.class.Priority))
	if failure == nil && a.Target != nil {
		s.reserveSlot(r.Context(), grant)
	}
	return grant, failure
}

func readResponse(resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = fmt.Errorf("response body exceeds %d bytes", maxResponseBytes)
	}
	return body, err
}

func routeToAddress(address string) node.Route { return node.Route{Address: address} }
