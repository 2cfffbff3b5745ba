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
	// failureHalfLife is the time in which the weight of a server's failure halves.
	failureHalfLife = 3 * time.Second
	// failureWeight scales recent failures in a server's score: one failure weighs
	// as much as this many requests in flight per slot.
	failureWeight = 4.0
	// latencyWeight is the number of requests in flight that a mean response time of
	// one second weighs as much as.
	latencyWeight = 10.0
	// latencySmoothing is the weight of the newest sample in a server's mean response
	// time.
	latencySmoothing = 0.2
	// retryFraction is the fraction of the route's latency target after which an
	// idempotent request without a response is retried on another server.
	retryFraction = 0.9
	// minRetryDelay is the least time that an attempt is given before such a retry.
	minRetryDelay = 150 * time.Millisecond
)

// serverStats holds this node's statistics of the servers of plain services, which
// are those without models.
type serverStats struct {
	mu      sync.Mutex
	servers map[ring.VM]*serverRecord
}

// serverRecord holds the statistics of one incarnation of a server.
type serverRecord struct {
	incarnation string
	inFlight    int
	failures    float64
	failedAt    time.Time
	meanSeconds float64
}

func newServerStats() *serverStats { return &serverStats{servers: map[ring.VM]*serverRecord{}} }

// recordOf returns the record of a server. The caller must hold mu.
func (r *serverStats) recordOf(s ring.Server) *serverRecord {
	record, ok := r.servers[s.ID]
	if !ok || record.incarnation != s.Incarnation {
		record = &serverRecord{incarnation: s.Incarnation}
		r.servers[s.ID] = record
	}
	return record
}

// score rates a server for selection; lower is better.
func (r *serverRecord) score(s ring.Server, now time.Time) float64 {
	return (float64(r.inFlight)+latencyWeight*r.meanSeconds)/float64(max(s.Slots, 1)) + failureWeight*r.decayedFailures(now)
}

// decayedFailures returns the sum of the server's failures, each weighted by its
// age.
func (r *serverRecord) decayedFailures(now time.Time) float64 {
	return r.failures * math.Exp2(-float64(now.Sub(r.failedAt))/float64(failureHalfLife))
}

// acquire selects the server with the best score among those not tried yet and
// counts a request in flight there.
func (r *serverStats) acquire(servers []ring.Server, tried map[ring.VM]bool, now time.Time) (ring.Server, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	best, bestScore := -1, 0.0
	for i, s := range servers {
		if s.Leaving || tried[s.ID] {
			continue
		}
		score := r.recordOf(s).score(s, now) + rand.Float64()/float64(max(s.Slots, 1))
		if best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return ring.Server{}, false
	}
	r.recordOf(servers[best]).inFlight++
	return servers[best], true
}

// release ends a request. The failure is 0 for a good response and up to 1
// otherwise; only good responses contribute their duration to the mean.
func (r *serverStats) release(s ring.Server, failure float64, duration time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.recordOf(s)
	record.inFlight = max(record.inFlight-1, 0)
	if failure > 0 {
		record.failures = record.decayedFailures(now) + failure
		record.failedAt = now
		return
	}
	record.meanSeconds += latencySmoothing * (duration.Seconds() - record.meanSeconds)
}

// retryBudgets holds the retry budget of each service.
type retryBudgets struct {
	config retry.Config
	node   FrontNode
	// pool holds the retry usage of all nodes for sharedService, which is the only
	// service with models. It is not used if there are several such services.
	pool          *retry.Pool
	mu            sync.Mutex
	sharedService ring.Service
	isOnlyService bool
	byName        map[ring.Service]*retry.Budget
}

func newRetryBudgets(c retry.Config, n FrontNode) *retryBudgets {
	b := &retryBudgets{config: c, node: n, byName: map[ring.Service]*retry.Budget{}}
	b.pool = n.ShareRetryUsage(b.sharedUsage)
	return b
}

func (b *retryBudgets) budgetOf(s ring.Service) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, ok := b.byName[s]
	if !ok {
		budget = retry.NewBudget(b.config)
		b.byName[s] = budget
	}
	return budget
}

// sharedUsage returns this node's retry usage of sharedService.
func (b *retryBudgets) sharedUsage(now time.Time) retry.Usage {
	b.mu.Lock()
	shared := b.byName[b.sharedService]
	b.mu.Unlock()
	if shared == nil {
		return retry.Usage{}
	}
	return shared.Usage(now)
}

// take reports whether a request to a service may be retried, and counts the
// retry.
func (b *retryBudgets) take(s ring.RoutedService) bool {
	return b.budgetOf(s.Name).Take(time.Now(), b.node.NodeCount(), b.poolFor(s))
}

// poolFor returns the pool if the service is the only one with models that has had
// retries so far, otherwise nil.
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

// servePlain serves a request to a service without models. It returns a failure
// if no response of a server was forwarded to the caller.
func (f *Front) servePlain(w http.ResponseWriter, r *http.Request, req *frontRequest) *ring.Failure {
	tried := map[ring.VM]bool{}
	var lastFailure *ring.Failure
	for req.attempts < req.route.MaxAttempts {
		if failure := f.recheck(req); failure != nil {
			return failure
		}
		server, ok := f.servers.acquire(f.config.Fleet.Servers(req.service.Name), tried, time.Now())
		if !ok {
			break
		}
		if req.attempts > 0 && !f.budgets.take(req.service) {
			f.servers.release(server, 0, 0, time.Now())
			req.note = retryBudgetSpent
			break
		}
		tried[server.ID] = true
		req.destination = string(server.ID)
		isLast := req.attempts+1 >= req.route.MaxAttempts
		failure, isFinal := f.attemptPlain(w, r, req, server, isLast)
		if isFinal || r.Context().Err() != nil {
			return failure // A request whose caller has left is not retried.
		}
		lastFailure = failure
	}
	if lastFailure == nil {
		lastFailure = ring.FailRetryAt(ring.CodeUnreachable, time.Now().Add(busyRetryAfter), "service %s has no available server", req.service.Name)
	}
	return lastFailure
}

// attemptPlain sends the request to a server once and forwards its response. It
// reports whether the outcome is final.
func (f *Front) attemptPlain(w http.ResponseWriter, r *http.Request, req *frontRequest, server ring.Server, isLast bool) (*ring.Failure, bool) {
	deadline := req.deadline
	if !isLast && req.route.MayRepeat() {
		delay := max(time.Duration(retryFraction*float64(req.route.LatencyTarget)), minRetryDelay)
		if retryAt := time.Now().Add(delay); retryAt.Before(deadline) {
			deadline = retryAt
		}
	}
	begin := time.Now()
	x, attemptErr := f.sendAttempt(r.Context(), req, server, "", deadline)
	if attemptErr == nil || attemptErr.stage != stageNotSent {
		req.attempts++
	}
	if attemptErr != nil {
		f.servers.release(server, 1, 0, time.Now())
		return f.classifyFailure(req, server, attemptErr)
	}
	defer x.close()
	body, err := x.readBody()
	if err != nil {
		f.servers.release(server, 1, 0, time.Now())
		return f.classifyFailure(req, server, &attemptError{stage: stageSent, err: err})
	}
	duration := time.Since(begin)
	if x.header.NotRun {
		f.servers.release(server, 0.5, 0, time.Now())
		f.logFailedAttempt(req, server, fmt.Errorf("refused with status %d", x.response.StatusCode))
		return ring.FailRetryAt(ring.CodeBackendRefused, time.Now().Add(busyRetryAfter), "service %s refused the request", req.service.Name), false
	}
	isServerError := x.response.StatusCode >= http.StatusInternalServerError
	if isServerError {
		f.servers.release(server, 0.25, 0, time.Now())
		if !isLast && req.route.MayRepeat() && time.Until(req.deadline) > minRetryDelay && f.hasOtherServer(req, server) {
			f.logFailedAttempt(req, server, fmt.Errorf("status %d", x.response.StatusCode))
			return ring.Fail(ring.CodeOutcomeUnknown, "service %s failed", req.service.Name), false
		}
	} else {
		f.servers.release(server, 0, duration, time.Now())
	}
	req.timeToFirstEvent = time.Since(req.receivedAt)
	writeResponse(w, req, x, body)
	return nil, true
}

// hasOtherServer reports whether a server other than the given one may take the
// request.
func (f *Front) hasOtherServer(req *frontRequest, except ring.Server) bool {
	for _, s := range f.config.Fleet.Servers(req.service.Name) {
		if s.ID != except.ID && !s.Leaving {
			return true
		}
	}
	return false
}

// classifyFailure returns the failure to report for an attempt without a response,
// and whether it is final.
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

func (f *Front) logFailedAttempt(req *frontRequest, server ring.Server, err error) {
	f.config.Metrics.Count("failed_tries", 1, "service", string(req.service.Name))
	f.config.Log.Write(event.AttemptFailed, slog.String("request", req.header.ID), slog.String("vm", string(server.ID)), slog.String("group", string(server.Membership.Group)),
		slog.Int("try", req.attempts), slog.Any("error", err))
}
