package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/fleet"
	"eelgrassring.dev/internal/intake"
	"eelgrassring.dev/internal/metric"
	"eelgrassring.dev/internal/quota"
	"eelgrassring.dev/internal/retry"
	"eelgrassring.dev/internal/route"
	"eelgrassring.dev/internal/suspect"
)

const (
	// responseMargin is subtracted from the request's timeout, so that the response
	// reaches the caller in time.
	responseMargin = 20 * time.Millisecond
	// defaultTimeout is the timeout of a request if neither its route nor its caller
	// sets one.
	defaultTimeout = 30 * time.Second
	// unconfiguredRetryAfter is the retry delay sent to callers when the node has no
	// configuration yet or cannot confirm it.
	unconfiguredRetryAfter = 300 * time.Millisecond
	// retryWindow is the sliding window over which retries are counted.
	retryWindow = 10 * time.Second
	// busyRetryAfter is the retry delay sent to callers when no server could take the
	// request.
	busyRetryAfter = 500 * time.Millisecond
)

// FrontNode is the part of the node that a Front uses: the routing table, the node's
// status and the messages to its peers.
type FrontNode interface {
	// Routing returns the current routing table, or nil if there is none yet.
	Routing() *route.Table
	// MayAcceptAPIKeys reports whether the node may accept the API keys of the
	// configuration with a number. It may if each of these keys is still valid or was
	// revoked less than the revocation bound ago.
	MayAcceptAPIKeys(number int64) bool
	// IsDraining reports whether the node is shutting down, so that callers should open
	// new connections to other nodes.
	IsDraining() bool
	// NodeCount returns the number of nodes that share the retry budget.
	NodeCount() int
	// NodeIndex returns this node's place among them in the order of their names, from 0.
	NodeIndex() int
	// ShareRetryUsage registers own as the source of this node's retry usage, which
	// is sent to the peers. It returns the pool that holds the retry usage of all
	// nodes, or nil if the nodes do not share it.
	ShareRetryUsage(own func(now time.Time) retry.Usage) *retry.Pool
	// SendDigestSoon requests that this node's state is sent to the peers now instead
	// of at the next interval.
	SendDigestSoon()
	// AnnounceLeaving tells the peers that a backend server is about to stop.
	AnnounceLeaving(s ring.Server)
	// AnnounceStrike tells the peers that a server has ended under a subject.
	AnnounceStrike(s suspect.Strike)
	// AnnounceSound tells the peers that responses to requests with suspected subjects were
	// complete, or have gone on for a while.
	AnnounceSound(subjects []suspect.Digest, isComplete bool)
	// AnnounceRefusals tells the peers the refusals in the registry of suspects.
	AnnounceRefusals()
	// AnnouncePrefill tells the peers that this node sent a replica a prompt with the
	// given prefill time.
	AnnouncePrefill(e ring.Epoch, prefill time.Duration)
	// ObserveColdAnswer records what a server's answer says of how long it is cold, and tells the
	// peers.
	ObserveColdAnswer(s ring.Server, cold ring.ColdAnswer)
	// Quota returns the client that gets permits for requests to servers with a rate limit.
	Quota() *quota.Client
}

// FrontConfig configures a Front.
type FrontConfig struct {
	Node FrontNode
	// Fleet holds the discovered servers and replicas.
	Fleet *fleet.Fleet
	// Dialect reads and writes the platform's request and response headers.
	Dialect ring.Dialect
	Log     *event.Log
	Metrics *metric.Registry
	// RetryRatio and RetryBurst bound the retries to a service over all nodes:
	// RetryRatio retries per request, plus RetryBurst retries per retryWindow.
	RetryRatio float64
	RetryBurst float64
	// Hedge is the share of its requests that this node may send to a second server while the
	// first one is slow; 0 means none.
	Hedge float64
	// Suspects holds what servers have ended under, as known to this node and its peers. Nil means a registry of its own.
	Suspects *suspect.Registry
	// Dial connects to servers; nil means TCP.
	Dial Dialer
	// Intake bounds what is held for callers; nil means a fixed memory for large bodies.
	Intake *intake.Budget
}

// Front is the HTTP handler for the routes that the platform's configuration
// declares. It finds the route, authenticates the caller by its key, selects a
// server or a replica, retries where that is allowed and reports the outcome.
type Front struct {
	config   FrontConfig
	budgets  *retryBudgets
	servers  *serverStats
	selector *replicaSelector
	// suspicion holds the attempts that may have to be given up.
	suspicion *suspicion
	// stopping ends when AnswerPending is called; endStopping ends it. stop is the schedule
	// of the shutdown, or nil before it.
	stopping    context.Context
	endStopping context.CancelFunc
	stop        atomic.Pointer[Stop]
	// durations estimates how long requests take.
	durations *durations
	// underWay holds the IDs of the requests that are being served.
	underWayMu sync.Mutex
	underWay   map[*frontRequest]string
	// bodies bounds the memory for response bodies, and callerBodies that for the bodies of
	// requests.
	bodies       *bodyMemory
	callerBodies *bodyMemory
	// permits gets the permits for requests to servers with a rate limit. unreadable limits
	// the log lines of limits that could not be read.
	permits    *quota.Client
	unreadable logInterval
	// hedges decides on second attempts, or is nil.
	hedges *hedger
}

// NewFront returns a Front. It registers the Front's counts of requests and retries
// with the node, which sends them to its peers.
func NewFront(c FrontConfig) *Front {
	if c.Dial == nil {
		c.Dial = newDialer().DialContext
	}
	if c.Suspects == nil {
		c.Suspects = &suspect.Registry{}
	}
	stopping, endStopping := context.WithCancel(context.Background())
	f := &Front{
		config:       c,
		stopping:     stopping,
		endStopping:  endStopping,
		durations:    newDurations(),
		underWay:     map[*frontRequest]string{},
		budgets:      newRetryBudgets(retry.Config{Ratio: c.RetryRatio, Burst: c.RetryBurst, Window: retryWindow}, c.Node),
		servers:      newServerStats(),
		suspicion:    newSuspicion(),
		bodies:       newBodyMemory(maxRoutedBody, maxRoutedBodies),
		callerBodies: newBodyMemory(0, maxCallerBodies),
		permits:      c.Node.Quota(),
		hedges:       newHedger(c.Hedge),
	}
	f.callerBodies, f.bodies = useIntake(c.Intake, f.callerBodies, f.bodies)
	f.selector = newReplicaSelector(c, f.maySend)
	return f
}

// maySend is mayTry for a request that waits for a replica. It also returns a failure as soon
// as the request cannot be expected to end before the node does.
func (f *Front) maySend(req *frontRequest) (bool, *ring.Failure) {
	if failure := f.refuseAtStop(req); failure != nil {
		return false, failure
	}
	return f.mayTry(req)
}

// frontRequest is a caller's request and the record of its attempts.
type frontRequest struct {
	header  ring.CallHeader
	route   ring.Route
	service ring.RoutedService
	// holder is the workspace of the caller's key; it is empty on a public route.
	holder ring.KeyHolder
	// receivedAt is when ServeHTTP was called, readAt when the body was read, and deadline
	// when the response must be complete.
	receivedAt time.Time
	readAt     time.Time
	deadline   time.Time
	method     string
	// target is the request target as received, path and query.
	target string
	host   string
	// forwardedHeader is the caller's header without hop-by-hop fields.
	forwardedHeader http.Header
	// body is valid until releaseBody is called.
	body        []byte
	releaseBody func()
	// mayHaveRun is set as soon as a server may have run the request in any attempt.
	mayHaveRun bool
	// attempts counts the attempts that reached a server. It is logged, like most of
	// the fields below.
	attempts int
	// subjects are those of subjectsOf, once they are known.
	subjects []suspect.Digest
	// isIsolated is set if the request goes where all nodes send such requests; see
	// suspect.Judgement, and isPending if it must wait for a verdict. trial is the key of the subjects that it tries, or "".
	isIsolated bool
	isPending  bool
	trial      string
	// hasRun is set once a server has run the request for strongStrikeTime after its first event.
	hasRun bool
	// sentAt is when the last attempt got its connection.
	sentAt time.Time
	// maxEventGap is the longest time between two events of the stream.
	maxEventGap time.Duration
	// timeToFirstEvent is the time to the first event, or to the complete response if
	// it is not a stream.
	timeToFirstEvent time.Duration
	// queuedFor is how long the request waited for a replica, over all attempts.
	queuedFor time.Duration
	// replicaLoad is the number of requests that the replica had when this request was
	// assigned to it.
	replicaLoad int
	// shedRank is from 0 to 1: where requests are shed, those with a low one are first.
	shedRank float64
	// expectedPrefill is the estimated time until the replica has prefilled the
	// prompts sent to it before and that of this request.
	expectedPrefill time.Duration
	// destination is the server or group of the last attempt.
	destination string
	// status is the HTTP status sent to the caller, and code the failure's code or 0.
	status int
	code   ring.Code
	// note says why the request failed, if the code does not.
	note string
	// outliveStop exempts the request from AnswerPending. It is called right before the
	// response begins, and returns false if AnswerPending was called first: the response
	// must not begin then.
	outliveStop func() bool
	// hasBegun is set when the response begins.
	hasBegun atomic.Bool
	// streamedFor is how long after readAt, in nanoseconds, the caller got the last event
	// of a stream, or 0 if it has none.
	streamedFor atomic.Int64
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	req := &frontRequest{receivedAt: time.Now(), method: r.Method, target: r.RequestURI, host: r.Host, releaseBody: func() {}}
	defer func() { req.releaseBody() }()
	defer func() { f.recordOutcome(req, r.Context().Err() != nil) }()
	failure := f.identify(req, r)
	req.readAt = time.Now()
	if failure == nil {
		failure = joinWorkspace(r, req.holder.Workspace)
	}
	if failure == nil && isLongUpload(r) {
		failure = f.refuseAtStop(req)
	}
	if failure == nil {
		failure = f.readBody(req, w, r)
		req.readAt = time.Now()
	}
	if r.Context().Err() != nil && f.stopping.Err() == nil {
		panic(http.ErrAbortHandler)
	}
	if failure == nil {
		failure = f.refuseAtStop(req)
	}
	if failure == nil {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer f.markUnderWay(req)()
		req.outliveStop = context.AfterFunc(f.stopping, cancel)
		defer req.outliveStop()
		f.budgets.budgetOf(req.service.Name).RecordRequest(time.Now())
		f.hedges.countRequest(req, time.Now())
		if req.service.HasReplicas() {
			failure = f.serveReplica(ctx, w, r, req)
		} else {
			failure = f.servePlain(ctx, w, req)
		}
	}
	if failure != nil && req.mayHaveRun && failure.Code.Info().Ran == ring.RanNo {
		failure = ring.Fail(ring.CodeOutcomeUnknown, "the request may have run before it failed: %s", failure.Message)
	}
	if failure == nil {
		return
	}
	if failure.Code == ring.CodeOverloaded {
		f.hedges.recordFull(kindOf(req))
	}
	if r.Context().Err() != nil && f.stopping.Err() == nil {
		// Otherwise net/http would send an empty response with status 200, which a caller
		// that has closed only its sending side would read.
		panic(http.ErrAbortHandler)
	}
	f.writeFailure(w, req, failure)
}

// identify reads the request's header and sets its route, service, key holder and
// deadline. It returns a failure if the header is invalid, or if the routing table does
// not allow the request.
func (f *Front) identify(req *frontRequest, r *http.Request) *ring.Failure {
	table := f.config.Node.Routing()
	if table == nil {
		return ring.FailRetryAt(ring.CodeNoConfiguration, req.receivedAt.Add(unconfiguredRetryAfter), "no configuration is active yet")
	}
	var err error
	req.header, err = f.config.Dialect.ReadCall(r.Header)
	if err != nil {
		return ring.Fail(ring.CodeBadHeader, "%s", err)
	}
	if failure := f.admit(req, table); failure != nil {
		return failure
	}
	timeout := req.header.MaxWait
	if req.route.Timeout > 0 && (timeout == 0 || req.route.Timeout < timeout) {
		timeout = req.route.Timeout
	}
	if timeout == 0 {
		timeout = defaultTimeout
	}
	if timeout <= responseMargin {
		return ring.Fail(ring.CodeDeadline, "the request's deadline is too near")
	}
	req.deadline = req.receivedAt.Add(timeout - responseMargin)
	req.forwardedHeader = forwardedHeader(r)
	return nil
}

// admit sets the request's route, service and key holder from the routing table, or
// returns a failure if one of them is missing. It is also called before each attempt,
// because a route or a key may have been removed since the request arrived.
func (f *Front) admit(req *frontRequest, table *route.Table) *ring.Failure {
	isConfirmed := f.config.Node.MayAcceptAPIKeys(table.Number())
	if !isConfirmed {
		if current := f.config.Node.Routing(); current != table {
			return f.admit(req, current) // The table has been replaced in the meantime.
		}
	}
	unconfirmed := ring.FailRetryAt(ring.CodeUnconfirmed, time.Now().Add(unconfiguredRetryAfter), "this node cannot confirm that its configuration is current")
	path, _, _ := strings.Cut(req.target, "?")
	found, ok := table.Find(req.host, path)
	if !ok {
		if !isConfirmed {
			return unconfirmed
		}
		return ring.Fail(ring.CodeNotFound, "no route for this host and path")
	}
	req.route = found
	req.service, ok = table.Service(route.PickService(found, req.header.ID))
	if !ok {
		return ring.FailRetryAt(ring.CodeNoGroup, time.Now().Add(busyRetryAfter), "route %s has no configured service", found.Name)
	}
	if found.Public || (!table.RequiresKey() && req.header.Key == "") {
		return nil
	}
	if !isConfirmed {
		return unconfirmed
	}
	req.holder, ok = table.Holder(req.header.Key)
	if !ok {
		return ring.Fail(ring.CodeBadKey, "unknown API key")
	}
	return nil
}

// recheck calls admit with the current routing table right before an attempt. It
// returns a failure if the request is no longer allowed, or if it would now go to a service
// with models instead of one without, or the reverse: only the relay of that kind may send it.
func (f *Front) recheck(req *frontRequest) *ring.Failure {
	current := req.service
	if failure := f.admit(req, f.config.Node.Routing()); failure != nil {
		return failure
	}
	if req.service.HasReplicas() != current.HasReplicas() {
		req.service = current
		return ring.FailRetryAt(ring.CodeNoGroup, time.Now().Add(busyRetryAfter), "route %s has moved to another service", req.route.Name)
	}
	return nil
}

// writeFailure writes a failure of this node as the response to the request.
func (f *Front) writeFailure(w http.ResponseWriter, req *frontRequest, failure *ring.Failure) {
	info := failure.Code.Info()
	h := w.Header()
	h.Set(headerCode, strconv.Itoa(int(failure.Code)))
	f.config.Dialect.WriteFailure(h, req.header.ID, failure, time.Now())
	f.closeIfDraining(w)
	req.status, req.code = info.Status, failure.Code
	f.config.Metrics.Count("failures", 1, "workspace", string(req.holder.Workspace), "code", strconv.Itoa(int(failure.Code)))
	writeJSON(w, info.Status, errorBody(failure))
}

// recordOutcome logs the request with its outcome and updates the metrics.
func (f *Front) recordOutcome(req *frontRequest, callerLeft bool) {
	class := metric.RequestClass{Workspace: req.holder.Workspace, Priority: deployment.Priority(strconv.Itoa(req.priority()))}
	now := time.Now()
	f.config.Metrics.Observe(metric.LatencyTotal, class, now.Sub(req.receivedAt))
	if req.timeToFirstEvent > 0 {
		f.config.Metrics.Observe(metric.LatencyFirstToken, class, req.timeToFirstEvent)
	}
	f.config.Metrics.Count("requests", 1, "route", req.route.Name, "status", strconv.Itoa(req.status))
	kind := event.RequestDone
	if req.code != 0 {
		kind = event.RequestFailed
	} else if !callerLeft && req.status < http.StatusBadRequest {
		f.observeDuration(req, now.Sub(req.readAt))
	}
	f.config.Log.Write(kind, slog.String("request", req.header.ID), slog.String("route", req.route.Name), slog.String("workspace", string(req.holder.Workspace)),
		slog.String("model", string(req.header.Model)), slog.String("to", req.destination), slog.Int("tries", req.attempts), slog.Int("status", req.status), slog.Int("code", int(req.code)),
		slog.Int("load", req.replicaLoad), slog.Int("prompt", req.header.PromptTokens), slog.Int64("patience_ms", req.header.MaxWait.Milliseconds()), slog.Int64("pause_ms", req.maxEventGap.Milliseconds()), slog.Int64("queued_ms", req.queuedFor.Milliseconds()), slog.Int64("first_ms", req.timeToFirstEvent.Milliseconds()), slog.Int64("total_ms", now.Sub(req.receivedAt).Milliseconds()),
		slog.Bool("left", callerLeft), slog.String("note", req.note))
}

// priority returns the workspace's priority, or the route's if it has none.
func (req *frontRequest) priority() int {
	if req.holder.HasPriority {
		return req.holder.Priority
	}
	return req.route.Priority
}
