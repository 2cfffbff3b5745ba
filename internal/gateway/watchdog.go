package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"eelgrassring.dev/internal/clock"
	"eelgrassring.dev/internal/node"
)

// sweepInterval is how often the sweeper checks whether the groups of running attempts
// are lost.
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

// newWatchdog returns a watchdog and a context that the watchdog cancels after the
// timeout unless it is reset or stopped.
func newWatchdog(ctx context.Context, timeout time.Duration) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watchdog{cancel: cancel}
	w.timer = time.AfterFunc(timeout, func() { cancel(errServerSilent) })
	return ctx, w
}

// reset restarts the watchdog's timer after an event.
func (w *watchdog) reset(timeout time.Duration) { w.timer.Reset(timeout) }

// stop ends the watchdog and cancels its context.
func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel(nil)
}

// sweeper cancels running attempts at lost groups. A group is lost if it is known not
// to finish its requests; see node.Table.IsLost.
type sweeper struct {
	table *node.Table

	mu sync.Mutex
	// attempts holds the route of each running attempt by its watchdog.
	attempts map[*watchdog]node.Route
}

// newSweeper returns a sweeper that looks up lost groups in the node's table t.
func newSweeper(t *node.Table) *sweeper {
	return &sweeper{table: t, attempts: map[*watchdog]node.Route{}}
}

// track adds a running attempt to those that cancelLost checks.
func (s *sweeper) track(w *watchdog, r node.Route) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts[w] = r
}

// untrack removes an attempt that has ended.
func (s *sweeper) untrack(w *watchdog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.attempts, w)
}

// run calls cancelLost every sweepInterval until the context ends.
func (s *sweeper) run(ctx context.Context) {
	clock.Every(ctx, sweepInterval, func(context.Context) { s.cancelLost() })
}

// cancelLost cancels the tracked attempts whose groups are known not to finish their
// requests.
func (s *sweeper) cancelLost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w, route := range s.attempts {
		if s.table.IsLost(route) {
			w.cancel(errGroupLost)
		}
	}
}
