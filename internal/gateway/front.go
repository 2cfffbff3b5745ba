package gateway

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/fleet"
	"eelgrassring.dev/internal/metric"
	"eelgrassring.dev/internal/retry"
	"eelgrassring.dev/internal/route"
)

const (
	// responseMargin is taken off the caller's time, for the way of the answer.
	responseMargin = 20 * time.Millisecond
	// defaultTimeout is the time of a call when neither its route nor its
	// caller names one.
	defaultTimeout = 30 * time.Second
	// unconfiguredRetryAfter is when a caller may come back to a node that has no
	// configuration yet, or cannot confirm it.
	unconfiguredRetryAfter = 300 * time.Millisecond
	// retryWindow is the span over which the platform counts retries.
	retryWindow = 10 * time.Second
	// busyRetryAfter is when a caller may come back after a refusal for load.
	busyRetryAfter = 500 * time.Millisecond
)

// FrontNode is what a Front needs of its node.
type FrontNode interface {
	// Routing returns the routes in force, or nil.
	Routing() *route.Table
	// MayAcceptAPIKeys reports whether keys can be told valid.
	MayAcceptAPIKeys() bool
	IsDraining() bool
	// NodeCount is how many nodes share the budget of retries.
	NodeCount() int
	// ShareRetries tells all nodes what own returns, and returns what all used;
	// nil when that is not known.
	ShareRetries(own func(now time.Time) retry.Usage) *retry.Pool
	// SendDigestSoon tells the peers what this node knows without delay.
	SendDigestSoon()
	// AnnouncePrefill tells the peers that a replica was sent a prompt.
	AnnouncePrefill(e ring.Epoch, read time.Duration)
}

// FrontConfig configures a Front. RetryRatio and RetryBurst bound the retries
// to a service over all nodes.
type FrontConfig struct {
	Node       FrontNode
	Fleet      *fleet.Fleet
	Dialect    ring.Dialect
	Log        *event.Log
	Metrics    *metric.Registry
	RetryRatio float64
	RetryBurst float64
	Dial       Dialer
}

// Front answers callers by the declared routes: it finds the route, knows the
// caller by its key, chooses a server or a replica and owns the outcome.
type Front struct {
	config   FrontConfig
	budgets  *retryBudgets
	servers  *serverStats
	selector *replicaSelector
}

// NewFront returns a front.
func NewFront(c FrontConfig) *Front {
	if c.Dial == nil {
		c.Dial = newDialer().DialContext
	}
	return &Front{
		config:   c,
		budgets:  newRetryBudgets(retry.Config{Ratio: c.RetryRatio, Burst: c.RetryBurst, Window: retryWindow}, c.Node),
		servers:  newServerStats(),
		selector: newReplicaSelector(c.Fleet, c.Node),
	}
}

// frontRequest is one call of a caller.
type frontRequest struct {
	header          ring.CallHeader
	route           ring.Route
	service         ring.RoutedService
	holder          ring.KeyHolder
	start           time.Time
	deadline        time.Time
	method          string
	target          string
	host            string
	forwardedHeader http.Header
	body            []byte
	// mayHaveRun is set once a server may have run the call.
	mayHaveRun bool
	// attempts and the rest are for the log.
	attempts int
	sentAt   time.Time
	// maxEventGap is the longest pause between two events of the stream.
	maxEventGap      time.Duration
	timeToFirstEvent time.Duration
	queued           time.Duration
	// load is the number of requests at the replica when the call was sent.
	load int
	// expectedPrefill is how long the replica was expected to read the prompts that it
	// had, and the call's own.
	expectedPrefill time.Duration
	destination     string
	status          int
	code            ring.Code
	note            string
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	v := &frontRequest{start: time.Now(), method: r.Method, target: r.RequestURI, host: r.Host}
	if f.config.Node.IsDraining() {
		w.Header().Set("Connection", "close")
	}
	defer func() { f.recordOutcome(v, r.Context().Err() != nil) }()
	failure := f.identify(v, r)
	if failure == nil {
		failure = f.readBody(v, w, r)
	}
	if r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	if failure == nil {
		f.budgets.of(v.service.Name).RecordRequest(time.Now())
		if len(v.service.Models) > 0 {
			failure = f.serveReplica(w, r, v)
		} else {
			failure = f.servePlain(w, r, v)
		}
	}
	if failure != nil && v.mayHaveRun && failure.Code.Info().Ran == ring.RanNo {
		failure = ring.Fail(ring.CodeOutcomeUnknown, "the request may have run; then: %s", failure.Message)
	}
	if failure != nil && r.Context().Err() == nil {
		f.writeFailure(w, v, failure)
	}
}

// identify finds the call's route and its caller's workspace.
func (f *Front) identify(v *frontRequest, r *http.Request) *ring.Failure {
	table := f.config.Node.Routing()
	if table == nil {
		return ring.FailUntil(ring.CodeNoConfiguration, v.start.Add(unconfiguredRetryAfter), "no configuration is in force yet")
	}
	var err error
	v.header, err = f.config.Dialect.ReadCall(r.Header)
	if err != nil {
		return ring.Fail(ring.CodeBadHeader, "%s", err)
	}
	if failure := f.admit(v, table); failure != nil {
		return failure
	}
	patience := v.header.Patience
	if v.route.Timeout > 0 && (patience == 0 || v.route.Timeout < patience) {
		patience = v.route.Timeout
	}
	if patience == 0 {
		patience = defaultTimeout
	}
	v.deadline = v.start.Add(patience - responseMargin)
	v.forwardedHeader = forwardedHeader(r)
	return nil
}

// admit checks the call against the routes in force. It is done again before
// each dispatch: a route or a key may be gone since.
func (f *Front) admit(v *frontRequest, table *route.Table) *ring.Failure {
	isConfirmed := f.config.Node.MayAcceptAPIKeys()
	unconfirmed := ring.FailUntil(ring.CodeUnconfirmed, time.Now().Add(unconfiguredRetryAfter), "this node cannot confirm its configuration")
	path, _, _ := strings.Cut(v.target, "?")
	found, ok := table.Find(v.host, path)
	if !ok {
		if !isConfirmed {
			return unconfirmed
		}
		return ring.Fail(ring.CodeNotFound, "no route for this host and path")
	}
	v.route = found
	v.service, ok = table.Service(route.PickService(found, v.header.ID))
	if !ok {
		return ring.FailUntil(ring.CodeNoGroup, time.Now().Add(busyRetryAfter), "route %s leads to no service", found.Name)
	}
	if found.Public || !table.RequiresKey() {
		return nil
	}
	if !isConfirmed {
		return unconfirmed
	}
	v.holder, ok = table.Holder(v.header.Key)
	if !ok || v.header.Key == "" {
		return ring.Fail(ring.CodeBadKey, "the key is not known")
	}
	return nil
}

// recheck checks the call right before a dispatch.
func (f *Front) recheck(v *frontRequest) *ring.Failure {
	return f.admit(v, f.config.Node.Routing())
}

func (f *Front) readBody(v *frontRequest, w http.ResponseWriter, r *http.Request) *ring.Failure {
	limit := f.config.Node.Routing().Limits().Body
	if limit <= 0 {
		limit = maxResponseBytes
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(v.deadline) // The server sets its own for the next request.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return ring.Fail(ring.CodeBodyTooLarge, "the body is over the limit of %d bytes", limit)
	case err != nil:
		return ring.Fail(ring.CodeBadBody, "the body could not be read whole")
	}
	v.body = body
	return nil
}

// writeFailure gives the final answer to a call that has no other.
func (f *Front) writeFailure(w http.ResponseWriter, v *frontRequest, failure *ring.Failure) {
	info := failure.Code.Info()
	h := w.Header()
	h.Set(headerCode, strconv.Itoa(int(failure.Code)))
	f.config.Dialect.WriteFailure(h, v.header.ID, failure, time.Now())
	v.status, v.code = info.Status, failure.Code
	f.config.Metrics.Count("failures", 1, "workspace", string(v.holder.Workspace), "code", strconv.Itoa(int(failure.Code)))
	writeJSON(w, info.Status, errorBody(failure))
}

// recordOutcome writes the call's line and its samples.
func (f *Front) recordOutcome(v *frontRequest, left bool) {
	class := metric.Class{Workspace: v.holder.Workspace, Priority: deployment.Priority(strconv.Itoa(f.priority(v)))}
	now := time.Now()
	f.config.Metrics.Observe(metric.SpanTotal, class, now.Sub(v.start))
	if v.timeToFirstEvent > 0 {
		f.config.Metrics.Observe(metric.SpanFirst, class, v.timeToFirstEvent)
	}
	f.config.Metrics.Count("requests", 1, "route", v.route.Name, "status", strconv.Itoa(v.status))
	kind := event.RequestDone
	if v.code != 0 {
		kind = event.RequestFailed
	}
	f.config.Log.Write(kind, slog.String("request", v.header.ID), slog.String("route", v.route.Name), slog.String("workspace", string(v.holder.Workspace)),
		slog.String("model", string(v.header.Model)), slog.String("to", v.destination), slog.Int("tries", v.attempts), slog.Int("status", v.status), slog.Int("code", int(v.code)),
		slog.Int("load", v.load), slog.Int("prompt", v.header.Prompt), slog.Int64("patience_ms", v.header.Patience.Milliseconds()), slog.Int64("pause_ms", v.maxEventGap.Milliseconds()), slog.Int64("queued_ms", v.queued.Milliseconds()), slog.Int64("first_ms", v.timeToFirstEvent.Milliseconds()), slog.Int64("total_ms", now.Sub(v.start).Milliseconds()),
		slog.Bool("left", left), slog.String("note", v.note))
}

// priority is the workspace's, or else the route's.
func (f *Front) priority(v *frontRequest) int {
	if v.holder.HasPriority {
		return v.holder.Priority
	}
	return v.route.Priority
}
