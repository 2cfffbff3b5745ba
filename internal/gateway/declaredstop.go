package gateway

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/event"
)

// serverStop is the shutdown of a Server. Its zero value is that of a server that runs on.
type serverStop struct {
	// refuseAt is when requests that have not been dispatched are refused; nil means never.
	refuseAt atomic.Pointer[time.Time]
	// stopping ends when AnswerPending is called; end ends it. Both are set by init.
	init     sync.Once
	stopping context.Context
	end      context.CancelFunc

	mu       sync.Mutex
	underWay map[*call]struct{}
}

// context returns the context that ends when AnswerPending is called.
func (s *serverStop) context() context.Context {
	s.init.Do(func() { s.stopping, s.end = context.WithCancel(context.Background()) })
	return s.stopping
}

// until returns a context that AnswerPending ends too, with the cause errStopping.
func (s *serverStop) until(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	undo := context.AfterFunc(s.context(), func() { cancel(errStopping) })
	return ctx, func() {
		undo()
		cancel(nil)
	}
}

// mark records that a call is under way until the returned function is called.
func (s *serverStop) mark(c *call) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.underWay == nil {
		s.underWay = map[*call]struct{}{}
	}
	s.underWay[c] = struct{}{}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.underWay, c)
	}
}

// hasLeft reports whether a request's context has ended because its caller is gone. One that
// AnswerPending has ended still needs an answer.
func hasLeft(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStopping)
}

// BeginStop makes the server refuse requests from refuseAt on. AnswerPending must be called
// later.
func (s *Server) BeginStop(refuseAt time.Time) { s.stop.refuseAt.Store(&refuseAt) }

// AnswerPending ends the requests that are under way, and refuses all later ones. A request
// without a response gets a failure, which says that it did not run only if that is so; a
// stream ends with an error event; the outcome of a non-idempotent request is recorded as
// unknown. It is called shortly before the process ends, which would close the callers'
// connections.
func (s *Server) AnswerPending() {
	s.stop.context()
	s.stop.end()
}

// LogCutOff logs the requests that are under way, and returns how many there are. It is
// called right before the process ends, which cuts them off.
func (s *Server) LogCutOff() int {
	s.stop.mu.Lock()
	underWay := maps.Clone(s.stop.underWay)
	s.stop.mu.Unlock()
	now := time.Now()
	for c := range underWay {
		s.config.Log.Write(event.RequestCutOff, slog.String("request", c.id), slog.Bool("begun", c.hasBegun.Load()),
			slog.Int64("age_ms", now.Sub(c.receivedAt).Milliseconds()))
	}
	return len(underWay)
}

// refuseAtStop returns a failure if the node shuts down and takes no more requests.
func (s *Server) refuseAtStop() *ring.Failure {
	now := time.Now()
	refuseAt := s.stop.refuseAt.Load()
	if s.stop.context().Err() == nil && (refuseAt == nil || now.Before(*refuseAt)) {
		return nil
	}
	s.config.Metrics.Count("refused_at_stop", 1)
	return ring.FailRetryAt(ring.CodeOverloaded, now, "the node is stopping")
}
