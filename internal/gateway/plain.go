package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/retry"
)

const (
	// failureHalfLife is the time after which a server's failure counts half.
	failureHalfLife = 3 * time.Second
	// failureWeight is how many requests in flight a recent failure counts as
	// in the choice of a server.
	failureWeight = 4.0
	// slowerWeight is how many requests in flight a mean time of a second
	// counts as.
	slowerWeight = 10.0
	// paceShare is the weight of the newest answer in a server's mean time.
	paceShare = 0.2
	// repeatAfter is the part of the objective after which an idempotent call
	// without an answer goes to another server.
	repeatAfter = 0.9
	// leastRepeatAfter bounds it below.
	leastRepeatAfter = 150 * time.Millisecond
)

// records keeps the evidence of servers of plain services at this node.
type records struct {
	mu      sync.Mutex
	servers map[ring.VM]*record
}

type record struct {
	incarnation string
	running     int
	failures    float64
	failedAt    time.Time
	mean        float64
}

func newRecords() *records { return &records{servers: map[ring.VM]*record{}} }

// of returns the record of a server; mu is held.
func (r *records) of(s ring.Server) *record {
	one, ok := r.servers[s.ID]
	if !ok || one.incarnation != s.Incarnation {
		one = &record{incarnation: s.Incarnation}
		r.servers[s.ID] = one
	}
	return one
}

// score orders servers: the lowest goes first.
func (r *record) score(s ring.Server, now time.Time) float64 {
	return (float64(r.running)+slowerWeight*r.mean)/float64(max(s.Slots, 1)) + failureWeight*r.recent(now)
}

// recent returns the server's failures, each weighed by its age.
func (r *record) recent(now time.Time) float64 {
	return r.failures * math.Exp2(-float64(now.Sub(r.failedAt))/float64(failureHalfLife))
}

// take chooses the best server that was not tried and counts the request.
func (r *records) take(servers []ring.Server, tried map[ring.VM]bool, now time.Time) (ring.Server, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	best, bestScore := -1, 0.0
	for i, s := range servers {
		if s.Leaving || tried[s.ID] {
			continue
		}
		score := r.of(s).score(s, now) + rand.Float64()/float64(max(s.Slots, 1))
		if best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return ring.Server{}, false
	}
	r.of(servers[best]).running++
	return servers[best], true
}

// give ends a request; failure is 0 for a good answer, up to 1.
func (r *records) give(s ring.Server, failure float64, span time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	one := r.of(s)
	one.running = max(one.running-1, 0)
	if failure > 0 {
		one.failures = one.recent(now) + failure
		one.failedAt = now
		return
	}
	one.mean += paceShare * (span.Seconds() - one.mean)
}

// budgets holds the retry budget of each service.
type budgets struct {
	config retry.Config
	node   Authority
	// pool is what all nodes used of the budget of the one service with replicas;
	// shared is that service. With several there is no pool.
	pool   *retry.Pool
	mu     sync.Mutex
	shared ring.Service
	isOne  bool
	byName map[ring.Service]*retry.Budget
}

func newBudgets(c retry.Config, n Authority) *budgets {
	b := &budgets{config: c, node: n, byName: map[ring.Service]*retry.Budget{}}
	b.pool = n.ShareRetries(b.used)
	return b
}

func (b *budgets) of(s ring.Service) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	one, ok := b.byName[s]
	if !ok {
		one = retry.NewBudget(b.config)
		b.byName[s] = one
	}
	return one
}

// used returns what this node used of the shared budget.
func (b *budgets) used(now time.Time) retry.Use {
	b.mu.Lock()
	shared := b.byName[b.shared]
	b.mu.Unlock()
	if shared == nil {
		return retry.Use{}
	}
	return shared.Used(now)
}

// take takes a retry of a call to a service.
func (b *budgets) take(s ring.RoutedService) bool {
	return b.of(s.Name).Take(time.Now(), b.node.NodeCount(), b.poolOf(s))
}

func (b *budgets) poolOf(s ring.RoutedService) *retry.Pool {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case len(s.Models) == 0:
		return nil
	case b.shared == "":
		b.shared, b.isOne = s.Name, true
	case b.shared != s.Name:
		b.isOne = false
	}
	if !b.isOne {
		return nil
	}
	return b.pool
}

// servePlain serves a call of a service without models. It returns a failure
// when the caller got no answer of a server.
func (f *Front) servePlain(w http.ResponseWriter, r *http.Request, v *visit) *ring.Failure {
	tried := map[ring.VM]bool{}
	var last *ring.Failure
	for v.tries < v.route.Tries {
		if failure := f.again(v); failure != nil {
			return failure
		}
		server, ok := f.plain.take(f.config.Fleet.Servers(v.service.Name), tried, time.Now())
		if !ok {
			break
		}
		if v.tries > 0 && !f.budgets.take(v.service) {
			f.plain.give(server, 0, 0, time.Now())
			v.note = noRetryLeft
			break
		}
		tried[server.ID] = true
		v.to = string(server.ID)
		isLast := v.tries+1 >= v.route.Tries
		failure, isFinal := f.tryPlain(w, r, v, server, isLast)
		if isFinal || r.Context().Err() != nil {
			return failure // A caller that left wants no other try.
		}
		last = failure
	}
	if last == nil {
		last = ring.FailUntil(ring.CodeUnreachable, time.Now().Add(busyRetry), "service %s has no server to use", v.service.Name)
	}
	return last
}

// tryPlain dispatches the call once. It reports whether the outcome is final.
func (f *Front) tryPlain(w http.ResponseWriter, r *http.Request, v *visit, server ring.Server, isLast bool) (*ring.Failure, bool) {
	deadline := v.deadline
	if !isLast && v.route.MayRepeat() {
		span := max(time.Duration(repeatAfter*float64(v.route.Objective)), leastRepeatAfter)
		if early := time.Now().Add(span); early.Before(deadline) {
			deadline = early
		}
	}
	begin := time.Now()
	x, failed := f.begin(r.Context(), v, server, "", deadline)
	if failed == nil || failed.reach != reachNone {
		v.tries++
	}
	if failed != nil {
		f.plain.give(server, 1, 0, time.Now())
		return f.afterFailure(v, server, failed)
	}
	defer x.close()
	body, err := x.readBody()
	if err != nil {
		f.plain.give(server, 1, 0, time.Now())
		return f.afterFailure(v, server, &tryError{reach: reachSent, err: err})
	}
	span := time.Since(begin)
	if x.header.NotRun {
		f.plain.give(server, 0.5, 0, time.Now())
		f.logFailedTry(v, server, fmt.Errorf("refused with status %d", x.answer.StatusCode))
		return ring.FailUntil(ring.CodeBackendRefused, time.Now().Add(busyRetry), "service %s refused the request", v.service.Name), false
	}
	isBad := x.answer.StatusCode >= http.StatusInternalServerError
	if isBad {
		f.plain.give(server, 0.25, 0, time.Now())
		if !isLast && v.route.MayRepeat() && time.Until(v.deadline) > leastRepeatAfter && f.hasOther(v, server) {
			f.logFailedTry(v, server, fmt.Errorf("status %d", x.answer.StatusCode))
			return ring.Fail(ring.CodeOutcomeUnknown, "service %s failed", v.service.Name), false
		}
	} else {
		f.plain.give(server, 0, span, time.Now())
	}
	v.first = time.Since(v.begin)
	pass(w, v, x, body)
	return nil, true
}

// hasOther reports whether another server may take the call.
func (f *Front) hasOther(v *visit, but ring.Server) bool {
	for _, s := range f.config.Fleet.Servers(v.service.Name) {
		if s.ID != but.ID && !s.Leaving {
			return true
		}
	}
	return false
}

// afterFailure says what a try without an answer means.
func (f *Front) afterFailure(v *visit, server ring.Server, failed *tryError) (*ring.Failure, bool) {
	f.logFailedTry(v, server, failed)
	isLate := time.Until(v.deadline) < answerMargin
	switch {
	case failed.reach == reachNone:
		return ring.FailUntil(ring.CodeUnreachable, time.Now().Add(busyRetry), "service %s could not be reached", v.service.Name), isLate
	case errors.Is(failed, os.ErrDeadlineExceeded) && isLate, errors.Is(failed, context.DeadlineExceeded) && isLate:
		return ring.Fail(ring.CodeTimedOut, "service %s gave no answer in time", v.service.Name), true
	default:
		return ring.Fail(ring.CodeOutcomeUnknown, "service %s gave no whole answer; the request may have run", v.service.Name), !v.route.MayRepeat()
	}
}

func (f *Front) logFailedTry(v *visit, server ring.Server, err error) {
	f.config.Metrics.Count("failed_tries", 1, "service", string(v.service.Name))
	f.config.Log.Write(event.TryFailed, slog.String("request", v.header.ID), slog.String("vm", string(server.ID)), slog.String("group", string(server.Place.Group)),
		slog.Int("try", v.tries), slog.Any("error", err))
}
