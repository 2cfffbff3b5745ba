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

// maxTries bounds the dispatches of one idempotent request.
const maxTries = 4

// maxAnswer bounds an answer that is not streamed, in bytes.
const maxAnswer = 64 << 20

// reach says how far a failed try got.
type reach int

const (
	// reachNone: no byte of the request left this node.
	reachNone reach = iota
	// reachRefused: the backend server said that it ran nothing.
	reachRefused
	// reachSent: the request left; it may have run.
	reachSent
)

// tryError is a failed try. Diverged is set when a replay gave another text.
type tryError struct {
	reach    reach
	diverged bool
	err      error
}

func (e *tryError) Error() string { return e.err.Error() }
func (e *tryError) Unwrap() error { return e.err }

// wire follows whether any byte of a request may have left.
type wire struct{ connected atomic.Bool }

func (w *wire) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { w.connected.Store(true) },
	})
}

// failed classifies the error of a round trip.
func (w *wire) failed(err error) *tryError {
	var op *net.OpError
	if !w.connected.Load() || (errors.As(err, &op) && op.Op == "dial") {
		return &tryError{reach: reachNone, err: err}
	}
	return &tryError{reach: reachSent, err: err}
}

// refused reports whether the answer says that the backend server ran nothing.
func refused(resp *http.Response) bool {
	return resp.Header.Get(engine.HeaderRan) == "no" && resp.StatusCode >= http.StatusBadRequest
}

// completeAny serves an idempotent model request by as many tries as the
// budget allows.
func (s *Server) completeAny(w http.ResponseWriter, r *http.Request, c *call, q *completion, grant *Grant) {
	out := &relay{server: s, w: w, call: c, request: q}
	out.onEvent = func() { grant.NoteFirstToken() }
	defer func() { grant.Release() }()
	for n := 1; ; n++ {
		err := out.attempt(r.Context(), grant.Route(), n > 1)
		if err == nil || r.Context().Err() != nil {
			return
		}
		s.logFailedAttempt(c, grant.Route(), err)
		if err.diverged || !out.mayContinue() || n == maxTries || !s.budget.Take(time.Now(), 1, nil) {
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
func (s *Server) nextGrant(r *http.Request, c *call, grant *Grant, err *tryError) (*Grant, *ring.Failure) {
	if err.reach == reachSent && s.table.IsServing(grant.Route(), time.Now()) && grant.resume() {
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
	s.config.Node.NoteTaken(next.Route().Group)
	return next, nil
}

// resume allows one more try at the same group.
func (g *Grant) resume() bool {
	if g.resumed {
		return false
	}
	g.resumed = true
	return true
}

// send dispatches one try and returns the answer's head. Kept connections are
// used only by a first try of an idempotent request.
func (s *Server) send(ctx context.Context, req *http.Request, isFresh bool, t *wire) (*http.Response, *tryError) {
	transport := s.keepAlive
	if isFresh {
		transport = s.fresh
	}
	resp, err := transport.RoundTrip(req.WithContext(t.trace(ctx)))
	if err != nil {
		return nil, t.failed(err)
	}
	if refused(resp) {
		resp.Body.Close()
		return nil, &tryError{reach: reachRefused, err: fmt.Errorf("backend server refused: status %d", resp.StatusCode)}
	}
	return resp, nil
}

// isForeign reports an answer that names another request.
func (s *Server) isForeign(c *call, resp *http.Response) bool {
	got := resp.Header.Get(engine.HeaderRequest)
	if got == "" || got == c.id {
		return false
	}
	s.config.Metrics.Count("foreign_answers", 1)
	s.config.Log.Write(event.AnswerMismatch, slog.String("request", c.id), slog.String("answer", got))
	return true
}

// reserve asks the homes of a few groups for a place. A home only advises:
// after the last refusal, or without an answer, the request goes to the first
// group that was only busy, for it likely has the prefix, or by this node's
// own estimate.
func (s *Server) reserve(ctx context.Context, g *Grant) {
	passed := map[ring.Group]bool{}
	var busy *node.Route
	for range reservation.MaxHomeNodes {
		route := g.Route()
		s.config.Metrics.Count("asks", 1)
		answer := s.config.Node.Reserve(ctx, route)
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
	s.config.Node.NoteTaken(g.Route().Group)
}

// acquire waits for a start and measures the wait.
func (s *Server) acquire(r *http.Request, c *call, a AcquireRequest) (*Grant, *ring.Failure) {
	begin := time.Now()
	grant, failure := s.scheduler.Acquire(r.Context(), a)
	c.queued = time.Since(begin)
	s.config.Metrics.Observe(metric.SpanQueue, c.class, c.queued)
	s.config.Metrics.Count("requests", 1, "workspace", string(c.class.Workspace), "class", string(c.class.Priority))
	if failure == nil && a.Target != nil {
		s.reserve(r.Context(), grant)
	}
	return grant, failure
}

func readAnswer(resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = fmt.Errorf("answer is over %d bytes", maxAnswer)
	}
	return body, err
}

func routeOf(address string) node.Route { return node.Route{Address: address} }
