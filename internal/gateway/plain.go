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
	// latencyWeight is how many requests in flight a mean time of a second
	// counts as.
	latencyWeight = 10.0
	// latencySmoothing is the weight of the newest answer in a server's mean time.
	latencySmoothing = 0.2
	// retryFraction is the part of the objective after which an idempotent call
	// without an answer goes to another server.
	retryFraction = 0.9
	// minRetryDelay bounds it below.
	minRetryDelay = 150 * time.Millisecond
)

// serverStats keeps the evidence of servers of plain services at this node.
type serverStats struct {
	mu      sync.Mutex
	servers map[ring.VM]*serverRecord
}

type serverRecord struct {
	incarnation string
	inFlight    int
	failures    float64
	failedAt    time.Time
	meanSeconds float64
}

func newServerStats() *serverStats { return &serverStats{servers: map[ring.VM]*serverRecord{}} }

// of returns the record of a server; mu is held.
func (r *serverStats) of(s ring.Server) *serverRecord {
	one, ok := r.servers[s.ID]
	if !ok || one.incarnation != s.Incarnation {
		one = &serverRecord{incarnation: s.Incarnation}
		r.servers[s.ID] = one
	}
	return one
}

// score orders servers: the lowest goes first.
func (r *serverRecord) score(s ring.Server, now time.Time) float64 {
	return (float64(r.inFlight)+latencyWeight*r.meanSeconds)/float64(max(s.Slots, 1)) + failureWeight*r.decayedFailures(now)
}

// decayedFailures returns the server's failures, each weighed by its age.
func (r *serverRecord) decayedFailures(now time.Time) float64 {
	return r.failures * math.Exp2(-float64(now.Sub(r.failedAt))/float64(failureHalfLife))
}

// acquire chooses the best server that was not tried and counts the request.
func (r *serverStats) acquire(servers []ring.Server, tried map[ring.VM]bool, now time.Time) (ring.Server, bool) {
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
	r.of(servers[best]).inFlight++
	return servers[best], true
}

// release ends a request; failure is 0 for a good answer, up to 1.
func (r *serverStats) release(s ring.Server, failure float64, span time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	one := r.of(s)
	one.inFlight = max(one.inFlight-1, 0)
	if failure > 0 {
		one.failures = one.decayedFailures(now) + failure
		one.failedAt = now
		return
	}
	one.meanSeconds += latencySmoothing * (span.Seconds() - one.meanSeconds)
}

// retryBudgets holds the retry budget of each service.
type retryBudgets struct {
	config retry.Config
	node   FrontNode
	// pool is what all nodes used of the budget of the one service with replicas;
	// shared is that service. With several there is no pool.
	pool          *retry.Pool
	mu            sync.Mutex
	sharedService ring.Service
	isOnlyService bool
	byName        map[ring.Service]*retry.Budget
}

func newRetryBudgets(c retry.Config, n FrontNode) *retryBudgets {
	b := &retryBudgets{config: c, node: n, byName: map[ring.Service]*retry.Budget{}}
	b.pool = n.ShareRetries(b.sharedUsage)
	return b
}

func (b *retryBudgets) of(s ring.Service) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	one, ok := b.byName[s]
	if !ok {
		one = retry.NewBudget(b.config)
		b.byName[s] = one
	}
	return one
}

// sharedUsage returns what this node used of the shared budget.
func (b *retryBudgets) sharedUsage(now time.Time) retry.Usage {
	b.mu.Lock()
	shared := b.byName[b.sharedService]
	b.mu.Unlock()
	if shared == nil {
		return retry.Usage{}
	}
	return shared.Usage(now)
}

// take takes a retry of a call to a service.
func (b *retryBudgets) take(s ring.RoutedService) bool {
	return b.of(s.Name).Take(time.Now(), b.node.NodeCount(), b.poolFor(s))
}

func (b *retryBudgets) poolFor(s ring.RoutedService) *retry.Pool {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case len(s.Models) == 0:
		return nil
	case b.sharedService == "":
		b.sharedService, b.isOnlyService = s.Name, true
	case b.sharedService != s.Name:
		b.isOnlyService = false
	}
	if !b.isOnlyService {
		return nil
	}
	return b.pool
}

// servePlain serves a call of a service without models. It returns a failure
// when the caller got no answer of a server.
func (f *Front) servePlain(w http.ResponseWriter, r *http.Request, v *frontRequest) *ring.Failure {
	tried := map[ring.VM]bool{}
	var last *ring.Failure
	for v.attempts < v.route.Tries {
		if failure := f.recheck(v); failure != nil {
			return failure
		}
		server, ok := f.servers.acquire(f.config.Fleet.Servers(v.service.Name), tried, time.Now())
		if !ok {
			break
		}
		if v.attempts > 0 && !f.budgets.take(v.service) {
			f.servers.release(server, 0, 0, time.Now())
			v.note = retryBudgetSpent
			break
		}
		tried[server.ID] = true
		v.destination = string(server.ID)
		isLast := v.attempts+1 >= v.route.Tries
		failure, isFinal := f.attemptPlain(w, r, v, server, isLast)
		if isFinal || r.Context().Err() != nil {
			return failure // A caller that left wants no other try.
		}
		last = failure
	}
	if last == nil {
		last = ring.FailUntil(ring.CodeUnreachable, time.Now().Add(busyRetryAfter), "service %s has no server to use", v.service.Name)
	}
	return last
}

// attemptPlain dispatches the call once. It reports whether the outcome is final.
func (f *Front) attemptPlain(w http.ResponseWriter, r *http.Request, v *frontRequest, server ring.Server, isLast bool) (*ring.Failure, bool) {
	deadline := v.deadline
	if !isLast && v.route.MayRepeat() {
		span := max(time.Duration(retryFraction*float64(v.route.Objective)), minRetryDelay)
		if early := time.Now().Add(span); early.Before(deadline) {
			deadline = early
		}
	}
	begin := time.Now()
	x, failed := f.sendAttempt(r.Context(), v, server, "", deadline)
	if failed == nil || failed.stage != stageNotSent {
		v.attempts++
	}
	if failed != nil {
		f.servers.release(server, 1, 0, time.Now())
		return f.classifyFailure(v, server, failed)
	}
	defer x.close()
	body, err := x.readBody()
	if err != nil {
		f.servers.release(server, 1, 0, time.Now())
		return f.classifyFailure(v, server, &attemptError{stage: stageSent, err: err})
	}
	span := time.Since(begin)
	if x.header.NotRun {
		f.servers.release(server, 0.5, 0, time.Now())
		f.logFailedAttempt(v, server, fmt.Errorf("refused with status %d", x.response.StatusCode))
		return ring.FailUntil(ring.CodeBackendRefused, time.Now().Add(busyRetryAfter), "service %s refused the request", v.service.Name), false
	}
	isBad := x.response.StatusCode >= http.StatusInternalServerError
	if isBad {
		f.servers.release(server, 0.25, 0, time.Now())
		if !isLast && v.route.MayRepeat() && time.Until(v.deadline) > minRetryDelay && f.hasOtherServer(v, server) {
			f.logFailedAttempt(v, server, fmt.Errorf("status %d", x.response.StatusCode))
			return ring.Fail(ring.CodeOutcomeUnknown, "service %s failed", v.service.Name), false
		}
	} else {
		f.servers.release(server, 0, span, time.Now())
	}
	v.timeToFirstEvent = time.Since(v.start)
	writeResponse(w, v, x, body)
	return nil, true
}

// hasOtherServer reports whether another server may take the call.
func (f *Front) hasOtherServer(v *frontRequest, but ring.Server) bool {
	for _, s := range f.config.Fleet.Servers(v.service.Name) {
		if s.ID != but.ID && !s.Leaving {
			return true
		}
	}
	return false
}

// classifyFailure says what a try without an answer means.
func (f *Front) classifyFailure(v *frontRequest, server ring.Server, failed *attemptError) (*ring.Failure, bool) {
	f.logFailedAttempt(v, server, failed)
	isLate := time.Until(v.deadline) < responseMargin
	switch {
	case failed.stage == stageNotSent:
		return ring.FailUntil(ring.CodeUnreachable, time.Now().Add(busyRetryAfter), "service %s could not be reached", v.service.Name), isLate
	case errors.Is(failed, os.ErrDeadlineExceeded) && isLate, errors.Is(failed, context.DeadlineExceeded) && isLate:
		return ring.Fail(ring.CodeTimedOut, "service %s gave no answer in time", v.service.Name), true
	default:
		return ring.Fail(ring.CodeOutcomeUnknown, "service %s gave no whole answer; the request may have run", v.service.Name), !v.route.MayRepeat()
	}
}

func (f *Front) logFailedAttempt(v *frontRequest, server ring.Server, err error) {
	f.config.Metrics.Count("failed_tries", 1, "service", string(v.service.Name))
	f.config.Log.Write(event.TryFailed, slog.String("request", v.header.ID), slog.String("vm", string(server.ID)), slog.String("group", string(server.Place.Group)),
		slog.Int("try", v.attempts), slog.Any("error", err))
}
