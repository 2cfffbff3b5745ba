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
	// answerMargin is taken off the caller's time, for the way of the answer.
	answerMargin = 20 * time.Millisecond
	// defaultPatience is the time of a call when neither its route nor its
	// caller names one.
	defaultPatience = 30 * time.Second
	// unconfiguredRetry is when a caller may come back to a node that has no
	// configuration yet, or cannot confirm it.
	unconfiguredRetry = 300 * time.Millisecond
	// retryWindow is the span over which the platform counts retries.
	retryWindow = 10 * time.Second
	// busyRetry is when a caller may come back after a refusal for load.
	busyRetry = 500 * time.Millisecond
)

// Authority is what a Front needs of its node.
type Authority interface {
	// Routing returns the routes in force, or nil.
	Routing() *route.Table
	// MayAcceptAPIKeys reports whether keys can be told valid.
	MayAcceptAPIKeys() bool
	IsDraining() bool
	// NodeCount is how many nodes share the budget of retries.
	NodeCount() int
	// ShareRetries tells all nodes what own returns, and returns what all used;
	// nil when that is not known.
	ShareRetries(own func(now time.Time) retry.Use) *retry.Pool
	// SendDigestSoon tells the peers what this node knows without delay.
	SendDigestSoon()
	// AnnouncePrefill tells the peers that a replica was sent a prompt.
	AnnouncePrefill(e ring.Epoch, read time.Duration)
}

// FrontConfig configures a Front. RetryPart and RetryBurst bound the retries
// to a service over all nodes.
type FrontConfig struct {
	Node       Authority
	Fleet      *fleet.Fleet
	Dialect    ring.Dialect
	Log        *event.Log
	Metrics    *metric.Registry
	RetryPart  float64
	RetryBurst float64
	Dial       Dialer
}

// Front answers callers by the declared routes: it finds the route, knows the
// caller by its key, chooses a server or a replica and owns the outcome.
type Front struct {
	config  FrontConfig
	budgets *budgets
	plain   *records
	waits   *line
}

// NewFront returns a front.
func NewFront(c FrontConfig) *Front {
	if c.Dial == nil {
		c.Dial = newDialer().DialContext
	}
	return &Front{
		config:  c,
		budgets: newBudgets(retry.Config{Part: c.RetryPart, Burst: c.RetryBurst, Window: retryWindow}, c.Node),
		plain:   newRecords(),
		waits:   newLine(c.Fleet, c.Node),
	}
}

// visit is one call of a caller.
type visit struct {
	header   ring.CallHeader
	route    ring.Route
	service  ring.RoutedService
	holder   ring.KeyHolder
	begin    time.Time
	deadline time.Time
	method   string
	target   string
	host     string
	inner    http.Header
	body     []byte
	// mayHaveRun is set once a server may have run the call.
	mayHaveRun bool
	// tries and the rest are for the log.
	tries  int
	sentAt time.Time
	// pause is the longest pause between two events of the stream.
	pause  time.Duration
	first  time.Duration
	queued time.Duration
	// load is the number of requests at the replica when the call was sent.
	load int
	// expected is how long the replica was expected to read the prompts that it
	// had, and the call's own.
	expected time.Duration
	to       string
	status   int
	code     ring.Code
	note     string
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	v := &visit{begin: time.Now(), method: r.Method, target: r.RequestURI, host: r.Host}
	if f.config.Node.IsDraining() {
		w.Header().Set("Connection", "close")
	}
	defer func() { f.done(v, r.Context().Err() != nil) }()
	failure := f.identify(v, r)
	if failure == nil {
		failure = f.readBody(v, w, r)
	}
	if r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	if failure == nil {
		f.budgets.of(v.service.Name).Request(time.Now())
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
		f.fail(w, v, failure)
	}
}

// identify finds the call's route and its caller's workspace.
func (f *Front) identify(v *visit, r *http.Request) *ring.Failure {
	table := f.config.Node.Routing()
	if table == nil {
		return ring.FailUntil(ring.CodeNoConfiguration, v.begin.Add(unconfiguredRetry), "no configuration is in force yet")
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
		patience = defaultPatience
	}
	v.deadline = v.begin.Add(patience - answerMargin)
	v.inner = passedHeader(r)
	return nil
}

// admit checks the call against the routes in force. It is done again before
// each dispatch: a route or a key may be gone since.
func (f *Front) admit(v *visit, table *route.Table) *ring.Failure {
	isConfirmed := f.config.Node.MayAcceptAPIKeys()
	unconfirmed := ring.FailUntil(ring.CodeUnconfirmed, time.Now().Add(unconfiguredRetry), "this node cannot confirm its configuration")
	path, _, _ := strings.Cut(v.target, "?")
	found, ok := table.Find(v.host, path)
	if !ok {
		if !isConfirmed {
			return unconfirmed
		}
		return ring.Fail(ring.CodeNotFound, "no route for this host and path")
	}
	v.route = found
	v.service, ok = table.Service(route.Split(found, v.header.ID))
	if !ok {
		return ring.FailUntil(ring.CodeNoGroup, time.Now().Add(busyRetry), "route %s leads to no service", found.Name)
	}
	if found.Public || !table.HasKeys() {
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

// again checks the call right before a dispatch.
func (f *Front) again(v *visit) *ring.Failure {
	return f.admit(v, f.config.Node.Routing())
}

func (f *Front) readBody(v *visit, w http.ResponseWriter, r *http.Request) *ring.Failure {
	limit := f.config.Node.Routing().Limits().Body
	if limit <= 0 {
		limit = maxAnswer
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

// fail gives the final answer to a call that has no other.
func (f *Front) fail(w http.ResponseWriter, v *visit, failure *ring.Failure) {
	info := failure.Code.Info()
	h := w.Header()
	h.Set(headerCode, strconv.Itoa(int(failure.Code)))
	f.config.Dialect.WriteFailure(h, v.header.ID, failure, time.Now())
	v.status, v.code = info.Status, failure.Code
	f.config.Metrics.Count("failures", 1, "workspace", string(v.holder.Workspace), "code", strconv.Itoa(int(failure.Code)))
	writeJSON(w, info.Status, errorBody(failure))
}

// done writes the call's line and its samples.
func (f *Front) done(v *visit, left bool) {
	class := metric.Class{Workspace: v.holder.Workspace, Priority: deployment.Priority(strconv.Itoa(f.priority(v)))}
	now := time.Now()
	f.config.Metrics.Observe(metric.SpanTotal, class, now.Sub(v.begin))
	if v.first > 0 {
		f.config.Metrics.Observe(metric.SpanFirst, class, v.first)
	}
	f.config.Metrics.Count("requests", 1, "route", v.route.Name, "status", strconv.Itoa(v.status))
	kind := event.RequestDone
	if v.code != 0 {
		kind = event.RequestFailed
	}
	f.config.Log.Write(kind, slog.String("request", v.header.ID), slog.String("route", v.route.Name), slog.String("workspace", string(v.holder.Workspace)),
		slog.String("model", string(v.header.Model)), slog.String("to", v.to), slog.Int("tries", v.tries), slog.Int("status", v.status), slog.Int("code", int(v.code)),
		slog.Int("load", v.load), slog.Int("prompt", v.header.Prompt), slog.Int64("patience_ms", v.header.Patience.Milliseconds()), slog.Int64("pause_ms", v.pause.Milliseconds()), slog.Int64("queued_ms", v.queued.Milliseconds()), slog.Int64("first_ms", v.first.Milliseconds()), slog.Int64("total_ms", now.Sub(v.begin).Milliseconds()),
		slog.Bool("left", left), slog.String("note", v.note))
}

// priority is the workspace's, or else the route's.
func (f *Front) priority(v *visit) int {
	if v.holder.HasPriority {
		return v.holder.Priority
	}
	return v.route.Priority
}
