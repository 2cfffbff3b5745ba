package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"eelgrassring.dev/internal/clock"
	"eelgrassring.dev/internal/node"
)

// sweepInterval is how often running attempts are checked for lost groups.
const sweepInterval = 200 * time.Millisecond

var (
	errServerSilent = errors.New("the backend server sent no event or complete response in time")
	errGroupLost    = errors.New("the group was lost")
)

// watchdog cancels an attempt whose backend server sends no event or complete
// response in time.
type watchdog struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

func newWatchdog(ctx context.Context, timeout time.Duration) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watchdog{cancel: cancel}
	w.timer = time.AfterFunc(timeout, func() { cancel(errServerSilent) })
	return ctx, w
}

func (w *watchdog) reset(timeout time.Duration) { w.timer.Reset(timeout) }

func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel(nil)
}

// sweeper cancels the running attempts at groups that are known to be lost.
type sweeper struct {
	table *node.Table

	mu       sync.Mutex
	attempts map[*watchdog]node.Route
}

func newSweeper(t *node.Table) *sweeper {
	return &sweeper{table: t, attempts: map[*watchdog]node.Route{}}
}

func (s *sweeper) track(w *watchdog, r node.Route) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts[w] = r
}

func (s *sweeper) untrack(w *watchdog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.attempts, w)
}

// run calls sweep periodically until the context ends.
func (s *sweeper) run(ctx context.Context) {
	clock.Every(ctx, sweepInterval, func(context.Context) { s.cancelLost() })
}

func (s *sweeper) cancelLost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w, route := range s.attempts {
		if s.table.IsLost(route) {
			w.cancel(errGroupLost)
		}
	}
}
