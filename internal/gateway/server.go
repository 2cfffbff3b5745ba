// Package gateway serves callers: it authenticates them, admits, routes and
// dispatches their requests, and reports each outcome. Server serves the models
// and services of a deployment, Front the declared routes.
//
// Terms:
//
//   - Attempt: one dispatch of a request to a group, a replica or a server of a
//     service.
//   - Non-idempotent request: a request that must not run twice. Server dispatches
//     it under a claim, the stored record of the request; see package claim.
//   - Splice: the position in a broken stream from which another attempt
//     continues it.
//
// Invariants:
//
//   - Every request ends with one result: a backend server's complete response, or
//     a failure with a numeric code.
//   - A non-idempotent request is dispatched on a connection of its own. Server
//     dispatches it at most once; Front repeats it only if it was not sent or the
//     backend server refused it.
//   - A failure whose code says "not run" is returned only if no byte of the
//     request was sent to a backend server, or if the backend server refused it.
//
// Lock order: Scheduler.mu before the locks of package node.
package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"math"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/claim"
	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/head"
	"eelgrassring.dev/internal/intake"
	"eelgrassring.dev/internal/metric"
	"eelgrassring.dev/internal/node"
	"eelgrassring.dev/internal/openai"
	"eelgrassring.dev/internal/quota"
	"eelgrassring.dev/internal/retry"
)

// Config configures a Server.
type Config struct {
	Node *node.Node
	// Ledger keeps the claims of requests with an idempotency key.
	Ledger  *claim.Ledger
	Log     *event.Log
	Metrics *metric.Registry
	// MaxBody is the largest request body in bytes.
	MaxBody int64
	// FirstTimeout bounds the time to the first event of a stream or to a complete
	// response of another kind.
	FirstTimeout time.Duration
	// StallTimeout bounds the time between two events and one write to the caller.
	StallTimeout time.Duration
	// MaxWait bounds how long a request waits for capacity.
	MaxWait time.Duration
	// QueueLimit is how many requests may wait.
	QueueLimit int
	// Transport sends requests to backend servers, each on a connection of its own; nil
	// means TCP.
	Transport http.RoundTripper
	// Intake bounds what is held for callers; nil means no bound for their bodies together.
	Intake *intake.Budget
}

// Server is the API for callers of a deployment's models and services.
type Server struct {
	config    Config
	table     *node.Table
	scheduler *Scheduler
	budget    *retry.Budget
	sweeper   *sweeper
	// bodies bounds the memory for response bodies, and callerBodies that for the bodies of
	// requests.
	bodies       *bodyMemory
	callerBodies *bodyMemory
	// permits gets the permits for requests to limited backend servers.
	permits *quota.Client
	// unreadable limits the log lines of limits that could not be read.
	unreadable logInterval
	// transport sends requests to backend servers. It never reuses a connection, so that no
	// response to another request can be taken for the response to this one.
	transport http.RoundTripper
	// settling counts claims whose outcome is being recorded.
	settling sync.WaitGroup
	stop     serverStop
}

// New returns a server. It registers the server's scheduler with the node as the source
// of its demand: the running and queued requests of each workspace, which the node
// reports to its peers.
func New(c Config) *Server {
	s := &Server{
		config:    c,
		table:     c.Node.Table(),
		scheduler: NewScheduler(c.Node.Table(), c.Node, c.QueueLimit),
		budget:    retry.NewBudget(retry.DefaultConfig()),
		sweeper:   newSweeper(c.Node.Table()),
		bodies:    newBodyMemory(maxDeclaredBody, maxDeclaredBodies),
		transport: c.Transport,
		permits:   c.Node.Quota(),
	}
	s.callerBodies, s.bodies = useIntake(c.Intake, newBodyMemory(int(c.MaxBody), math.MaxInt), s.bodies)
	if s.transport == nil {
		s.transport = newTransport(c.FirstTimeout)
	}
	c.Node.SetDemand(s.scheduler)
	return s
}

// newTransport returns a transport over TCP. It opens a connection for each request, so it
// never resends one.
func newTransport(firstTimeout time.Duration) *head.Transport {
	return head.NewTransport(&http.Transport{
		DialContext: newDialer().DialContext, ResponseHeaderTimeout: firstTimeout,
		MaxResponseHeaderBytes: maxResponseHead, DisableCompression: true, DisableKeepAlives: true,
	})
}

// Run starts queued requests and cancels attempts at lost groups, which are known not
// to finish them. It returns when ctx is done.
func (s *Server) Run(ctx context.Context) {
	go s.sweeper.run(ctx)
	s.scheduler.Run(ctx)
}

// Scheduler returns the server's scheduler.
func (s *Server) Scheduler() *Scheduler { return s.scheduler }

// Handler returns the handler of the callers' API.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter().SkipClean(true)
	r.HandleFunc("/v1/chat/completions", s.authenticate(s.serveCompletion)).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", s.authenticate(s.serveCompletion)).Methods(http.MethodPost)
	r.HandleFunc("/v1/models", s.authenticate(s.listModels)).Methods(http.MethodGet)
	r.HandleFunc("/v1/models/{model}", s.authenticate(s.getModel)).Methods(http.MethodGet)
	r.PathPrefix("/services/{service}").HandlerFunc(s.authenticate(s.serveServiceCall))
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	r.HandleFunc("/readyz", s.serveReadiness)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.writeFailure(w, nil, ring.Fail(ring.CodeNotFound, "path %s does not exist", r.URL.Path))
	})
	return r
}

// serveReadiness responds to the load balancer's health check. It responds with an
// error while the node drains or has no configuration, so that the node gets no new
// connections.
func (s *Server) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	_, number := s.table.Configuration()
	if s.config.Node.IsDraining() || number == 0 {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// call is the request of an authenticated caller to a model or service.
type call struct {
	caller        deployment.Caller
	configuration *deployment.Configuration
	class         metric.RequestClass
	// receivedAt is when the body had been read, and deadline when the request must
	// have started.
	receivedAt time.Time
	deadline   time.Time
	// queuedFor is how long the request waited in the scheduler.
	queuedFor time.Duration
	body      []byte
	// releaseBody is called when the body is no longer used.
	releaseBody func()
	id          string
	// hasBegun is set when the response begins.
	hasBegun atomic.Bool
}

// callHandler is an http.HandlerFunc that also gets the authenticated call.
type callHandler func(w http.ResponseWriter, r *http.Request, c *call)

// authenticate returns a handler that authenticates the caller and reads the whole body
// before it calls next. If either fails, it responds with the failure and does not call
// next.
func (s *Server) authenticate(next callHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, failure := s.readCall(w, r)
		if c != nil {
			defer c.releaseBody()
		}
		if failure != nil {
			s.writeFailure(w, nil, failure)
			return
		}
		w.Header().Set("X-Request-Id", c.id)
		if s.config.Node.IsDraining() {
			w.Header().Set("Connection", "close")
		}
		// Streams set write deadlines, which must not apply to the next request on the
		// connection.
		defer func() { _ = http.NewResponseController(w).SetWriteDeadline(time.Time{}) }()
		defer s.stop.mark(c)()
		ctx, cancel := s.stop.until(r.Context())
		defer cancel()
		next(w, r.WithContext(ctx), c)
		s.config.Metrics.Observe(metric.LatencyTotal, c.class, time.Since(c.receivedAt))
	}
}

// readCall authenticates the caller by its key, and reads the body and the deadline. It
// returns a failure if the key, the body or the deadline is invalid, or if no
// configuration is active.
func (s *Server) readCall(w http.ResponseWriter, r *http.Request) (*call, *ring.Failure) {
	configuration, _ := s.table.Configuration()
	if configuration == nil {
		return nil, ring.FailRetryAt(ring.CodeNoConfiguration, time.Now().Add(2*time.Second), "no configuration is active yet")
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil, ring.Fail(ring.CodeBadKey, "the Authorization header must be \"Bearer KEY\"")
	}
	caller, ok := configuration.Caller(key)
	if !ok {
		return nil, ring.Fail(ring.CodeBadKey, "unknown API key")
	}
	c := &call{
		caller: caller, configuration: configuration, id: newRequestID(),
		class: metric.RequestClass{Workspace: caller.Workspace.Name, Priority: caller.Application.Priority},
	}
	if failure := joinWorkspace(r, c.caller.Workspace.Name); failure != nil {
		return nil, failure
	}
	if failure := s.readBody(w, r, c); failure != nil {
		c.releaseBody()
		return nil, failure
	}
	c.receivedAt = time.Now()
	return c, s.setDeadline(r, c)
}

// readBody reads the caller's body into the call. It returns a failure if the body is
// larger than Config.MaxBody or incomplete.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, c *call) *ring.Failure {
	// A read deadline would look as if the caller had left if there is no body: net/http reads
	// from the connection already.
	endRead := func() bool { return true }
	if r.ContentLength != 0 {
		endRead = context.AfterFunc(s.stop.context(), func() { _ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0)) })
	}
	ctx, cancel := context.WithTimeout(intake.WithConn(s.stop.context(), r.Context()), maxBodyWait)
	defer cancel()
	body, release, err := s.callerBodies.readCaller(ctx, http.MaxBytesReader(w, r.Body, s.config.MaxBody), r.ContentLength, s.config.MaxBody)
	c.releaseBody = release
	if !endRead() {
		return s.refuseAtStop()
	}
	if errors.Is(err, errBodyMemory) || errors.Is(err, intake.ErrGivenUp) {
		return refuseBody(err)
	}
	if _, tooLarge := err.(*http.MaxBytesError); tooLarge {
		return ring.Fail(ring.CodeBodyTooLarge, "the body exceeds the limit of %d bytes", s.config.MaxBody)
	}
	if err != nil {
		return ring.Fail(ring.CodeBadBody, "the body could not be read completely")
	}
	c.body = body
	return nil
}

// HeaderMaxWait is the header with the longest time that the request may wait for
// capacity, such as "2.5s".
const HeaderMaxWait = "Eelgrass-Patience"

// setDeadline sets the call's deadline from HeaderMaxWait, which can only shorten
// Config.MaxWait. It returns a failure if the header is invalid.
func (s *Server) setDeadline(r *http.Request, c *call) *ring.Failure {
	maxWait := s.config.MaxWait
	if text := r.Header.Get(HeaderMaxWait); text != "" {
		wait, err := time.ParseDuration(text)
		if err != nil || wait <= 0 {
			return ring.Fail(ring.CodeBadHeader, "%s must be a duration above 0, such as \"2.5s\"", HeaderMaxWait)
		}
		maxWait = min(wait, maxWait)
	}
	c.deadline = c.receivedAt.Add(maxWait)
	return nil
}

// listModels responds with the models that the application may use.
func (s *Server) listModels(w http.ResponseWriter, _ *http.Request, c *call) {
	list := openai.ModelList{Object: "list", Data: []openai.ModelEntry{}}
	for _, name := range c.configuration.ModelNames(c.caller.Application) {
		list.Data = append(list.Data, newModelEntry(name))
	}
	writeJSON(w, http.StatusOK, list)
}

// getModel responds with one model that the application may use.
func (s *Server) getModel(w http.ResponseWriter, r *http.Request, c *call) {
	model := mux.Vars(r)["model"]
	for _, name := range c.configuration.ModelNames(c.caller.Application) {
		if name == model {
			writeJSON(w, http.StatusOK, newModelEntry(name))
			return
		}
	}
	s.writeFailure(w, c, ring.Fail(ring.CodeUnknownModel, "no model %q", model))
}

// newModelEntry returns the description of a model in the format of the OpenAI API.
func newModelEntry(name string) openai.ModelEntry {
	return openai.ModelEntry{ID: name, Object: "model", OwnedBy: "eelgrassring"}
}

// writeJSON writes a response with the status and with value encoded as JSON.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// logFailedAttempt counts a failed attempt of a call in the metrics and logs it.
func (s *Server) logFailedAttempt(c *call, route node.Route, err error) {
	s.config.Metrics.Count("failed_tries", 1)
	recordMalformed(s.config.Log, s.config.Metrics, c.id, string(route.Head), route.Address, err)
	s.config.Log.Write(event.AttemptFailed, slog.String("request", c.id), slog.String("group", string(route.Group)), slog.Any("error", err))
}
