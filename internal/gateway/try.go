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

// maxAttempts bounds the dispatches of one idempotent request.
const maxAttempts = 4

// maxResponseBytes bounds an answer that is not streamed, in bytes.
const maxResponseBytes = 64 << 20

// attemptStage says how far a failed try got.
type attemptStage int

const (
	// stageNotSent: no byte of the request left this node.
	stageNotSent attemptStage = iota
	// stageRefused: the backend server said that it ran nothing.
	stageRefused
	// stageSent: the request left; it may have run.
	stageSent
)

// attemptError is a failed try. Diverged is set when a replay gave another text.
type attemptError struct {
	stage    attemptStage
	diverged bool
	err      error
}

func (e *attemptError) Error() string { return e.err.Error() }
func (e *attemptError) Unwrap() error { return e.err }

// connTrace follows whether any byte of a request may have left.
type connTrace struct{ connected atomic.Bool }

func (w *connTrace) withContext(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { w.connected.Store(true) },
	})
}

// classify classifies the error of a round trip.
func (w *connTrace) classify(err error) *attemptError {
	var op *net.OpError
	if !w.connected.Load() || (errors.As(err, &op) && op.Op == "dial") {
		return &attemptError{stage: stageNotSent, err: err}
	}
	return &attemptError{stage: stageSent, err: err}
}

// isRefusal reports whether the answer says that the backend server ran nothing.
func isRefusal(resp *http.Response) bool {
	return resp.Header.Get(engine.HeaderRan) == "no" && resp.StatusCode >= http.StatusBadRequest
}

// completeIdempotent serves an idempotent model request by as many tries as the
// budget allows.
func (s *Server) completeIdempotent(w http.ResponseWriter, r *http.Request, c *call, q *completion, grant *Grant) {
	out := &relay{server: s, w: w, call: c, request: q}
	out.onEvent = func() { grant.NoteFirstToken() }
	defer func() { grant.Release() }()
	for n := 1; ; n++ {
		err := out.attempt(r.Context(), grant.Route(), n > 1)
		if err == nil || r.Context().Err() != nil {
			return
		}
		s.logFailedAttempt(c, grant.Route(), err)
		if err.diverged || !out.mayContinue() || n == maxAttempts || !s.budget.Take(time.Now(), 1, nil) {
			out.fail(err)
			return
		}
		if out.began {
			s.config.Log.Write(event.StreamReplayed, slog.String("request", c.id), slog.Int("sent", len(out.sentText)))
		}
		next, failure := s.nextGrant(r, c, grant, err)
		if failure != nil {
			grant = next
			out.fail(err)
			return
		}
		grant = next
	}
}

// nextGrant finds the place of the next try: the same group when a resume is
// worth it, else another with a free slot, else the next that has one.
func (s *Server) nextGrant(r *http.Request, c *call, grant *Grant, err *attemptError) (*Grant, *ring.Failure) {
	if err.stage == stageSent && s.table.IsServing(grant.Route(), time.Now()) && grant.allowResume() {
		return grant, nil
	}
	if grant.MoveToUntried() {
		return grant, nil
	}
	ask := grant.request
	ask.Deadline = time.Now().Add(s.config.MaxWait)
	next, failure := s.scheduler.Acquire(r.Context(), ask)
	if failure != nil {
		return grant, failure
	}
	grant.Release()
	s.config.Node.NotifyTaken(next.Route().Group)
	return next, nil
}

// allowResume allows one more try at the same group.
func (g *Grant) allowResume() bool {
	if g.resumed {
		return false
	}
	g.resumed = true
	return true
}

// send dispatches one try and returns the answer's head. Kept connections are
// used only by a first try of an idempotent request.
func (s *Server) send(ctx context.Context, req *http.Request, isFresh bool, t *connTrace) (*http.Response, *attemptError) {
	transport := s.keepAlive
	if isFresh {
		transport = s.fresh
	}
	resp, err := transport.RoundTrip(req.WithContext(t.withContext(ctx)))
	if err != nil {
		return nil, t.classify(err)
	}
	if isRefusal(resp) {
		resp.Body.Close()
		return nil, &attemptError{stage: stageRefused, err: fmt.Errorf("backend server refused: status %d", resp.StatusCode)}
	}
	return resp, nil
}

// isMismatched reports an answer that names another request.
func (s *Server) isMismatched(c *call, resp *http.Response) bool {
	got := resp.Header.Get(engine.HeaderRequest)
	if got == "" || got == c.id {
		return false
	}
	s.config.Metrics.Count("foreign_answers", 1)
	s.config.Log.Write(event.AnswerMismatch, slog.String("request", c.id), slog.String("answer", got))
	return true
}

// reserveSlot asks the homes of a few groups for a place. A home only advises:
// after the last refusal, or without an answer, the request goes to the first
// group that was only busy, for it likely has the prefix, or by this node's
// own estimate.
func (s *Server) reserveSlot(ctx context.Context, g *Grant) {
	passed := map[ring.Group]bool{}
	var busy *node.Route
	for range reservation.MaxHomeNodes {
		route := g.Route()
		s.config.Metrics.Count("asks", 1)
		answer := s.config.Node.ReserveSlot(ctx, route)
		if answer == reservation.ResultGranted {
			return
		}
		if answer == reservation.ResultBusy && busy == nil {
			busy = &route
		}
		passed[route.Group] = true
		if answer == reservation.ResultUnavailable || !g.moveExcept(passed) {
			break
		}
	}
	if busy != nil {
		g.moveTo(*busy)
	}
	s.config.Node.NotifyTaken(g.Route().Group)
}

// acquire waits for a start and measures the wait.
func (s *Server) acquire(r *http.Request, c *call, a AcquireRequest) (*Grant, *ring.Failure) {
	begin := time.Now()
	grant, failure := s.scheduler.Acquire(r.Context(), a)
	c.queued = time.Since(begin)
	s.config.Metrics.Observe(metric.SpanQueue, c.class, c.queued)
	s.config.Metrics.Count("requests", 1, "workspace", string(c.class.Workspace), "class", string(c.class.Priority))
	if failure == nil && a.Target != nil {
		s.reserveSlot(r.Context(), grant)
	}
	return grant, failure
}

func readResponse(resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = fmt.Errorf("answer is over %d bytes", maxResponseBytes)
	}
	return body, err
}

func routeOf(address string) node.Route { return node.Route{Address: address} }
