// Package gateway answers callers: it knows who calls, admits, routes and
// dispatches the request, and owns its outcome.
//
// Terms:
//
//   - Try: one dispatch of a request to a group or a plain service.
//   - Once: a request that must not run twice; it is dispatched under a claim.
//   - Splice: the place where a broken stream goes on from another try.
//
// Invariants:
//
//   - Every request gets one answer: a backend server's whole answer, or one
//     numbered failure.
//   - A once request is dispatched at most one time, on a connection of its
//     own, and never again.
//   - A failure whose code says "not run" is given only before a byte of the
//     request left for a backend server, or on a backend server's refusal.
//
// Lock order: Scheduler.mu before the locks of package node.
package gateway

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/claim"
	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/metric"
	"eelgrassring.dev/internal/node"
	"eelgrassring.dev/internal/openai"
	"eelgrassring.dev/internal/retry"
)

// Config configures a Server. Spans are those of the settings.
type Config struct {
	Node         *node.Node
	Ledger       *claim.Ledger
	Log          *event.Log
	Metrics      *metric.Registry
	MaxBody      int64
	FirstTimeout time.Duration
	StallTimeout time.Duration
	MaxWait      time.Duration
	QueueLimit   int
	// KeepAlive and Fresh carry requests to backend servers; nil means TCP. Kept
	// reuses connections and Fresh opens one for each request.
	KeepAlive http.RoundTripper
	Fresh     http.RoundTripper
}

// Server answers callers.
type Server struct {
	config    Config
	table     *node.Table
	scheduler *Scheduler
	budget    *retry.Budget
	sweeper   *sweeper
	// keepAlive reuses connections and fresh opens one for each request.
	keepAlive http.RoundTripper
	fresh     http.RoundTripper
	// settling counts claims whose outcome is being recorded.
	settling sync.WaitGroup
}

// New returns a server and names its demand to the node.
func New(c Config) *Server {
	s := &Server{
		config:    c,
		table:     c.Node.Table(),
		scheduler: NewScheduler(c.Node.Table(), c.Node, c.QueueLimit),
		budget:    retry.NewBudget(retry.DefaultConfig()),
		sweeper:   newSweeper(c.Node.Table()),
		keepAlive: c.KeepAlive,
		fresh:     c.Fresh,
	}
	if s.keepAlive == nil {
		s.keepAlive = newTransport(c.FirstTimeout, false)
	}
	if s.fresh == nil {
		s.fresh = newTransport(c.FirstTimeout, true)
	}
	c.Node.SetDemand(s.scheduler)
	return s
}

// newTransport returns a transport over TCP. One that opens a connection for
// each request never sends a request a second time by itself.
func newTransport(first time.Duration, isFresh bool) *http.Transport {
	return &http.Transport{
		DialContext: newDialer().DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second,
		ResponseHeaderTimeout: first, DisableCompression: true, DisableKeepAlives: isFresh,
	}
}

// Run starts waiting requests and gives up tries at lost groups until the
// context ends.
func (s *Server) Run(ctx context.Context) {
	go s.sweeper.run(ctx)
	s.scheduler.Run(ctx)
}

// Scheduler returns the server's scheduler.
func (s *Server) Scheduler() *Scheduler { return s.scheduler }

// Handler serves the callers' API.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter().SkipClean(true)
	r.HandleFunc("/v1/chat/completions", s.authenticate(s.complete)).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", s.authenticate(s.complete)).Methods(http.MethodPost)
	r.HandleFunc("/v1/models", s.authenticate(s.listModels)).Methods(http.MethodGet)
	r.HandleFunc("/v1/models/{model}", s.authenticate(s.getModel)).Methods(http.MethodGet)
	r.PathPrefix("/services/{service}").HandlerFunc(s.authenticate(s.callService))
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	r.HandleFunc("/readyz", s.ready)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.fail(w, nil, ring.Fail(ring.CodeNotFound, "no such path: %s", r.URL.Path))
	})
	return r
}

// ready tells the balancer whether to send new connections here.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	_, number := s.table.Configuration()
	if s.config.Node.IsDraining() || number == 0 {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// call is one request of a known caller.
type call struct {
	caller        deployment.Caller
	configuration *deployment.Configuration
	class         metric.Class
	begin         time.Time
	deadline      time.Time
	// queued is how long the request waited for its start.
	queued time.Duration
	body   []byte
	id     string
}

type callHandler func(w http.ResponseWriter, r *http.Request, c *call)

// authenticate finds out who calls and reads the whole body before anything is done.
func (s *Server) authenticate(next callHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, failure := s.readCall(w, r)
		if failure != nil {
			s.fail(w, nil, failure)
			return
		}
		w.Header().Set("X-Request-Id", c.id)
		if s.config.Node.IsDraining() {
			w.Header().Set("Connection", "close")
		}
		// Streams set write deadlines; the connection may serve others after.
		defer func() { _ = http.NewResponseController(w).SetWriteDeadline(time.Time{}) }()
		next(w, r, c)
		s.config.Metrics.Observe(metric.SpanTotal, c.class, time.Since(c.begin))
	}
}

func (s *Server) readCall(w http.ResponseWriter, r *http.Request) (*call, *ring.Failure) {
	configuration, _ := s.table.Configuration()
	if configuration == nil {
		return nil, ring.FailUntil(ring.CodeNoConfiguration, time.Now().Add(2*time.Second), "no configuration is in force yet")
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil, ring.Fail(ring.CodeBadKey, "the Authorization header must be \"Bearer KEY\"")
	}
	caller, ok := configuration.Caller(key)
	if !ok {
		return nil, ring.Fail(ring.CodeBadKey, "the key is not known")
	}
	c := &call{
		caller: caller, configuration: configuration, id: newRequestID(),
		class: metric.Class{Workspace: caller.Workspace.Name, Priority: caller.Application.Priority},
	}
	if failure := s.readBody(w, r, c); failure != nil {
		return nil, failure
	}
	c.begin = time.Now()
	return c, s.readDeadline(r, c)
}

func (s *Server) readBody(w http.ResponseWriter, r *http.Request, c *call) *ring.Failure {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.config.MaxBody))
	if _, tooLarge := err.(*http.MaxBytesError); tooLarge {
		return ring.Fail(ring.CodeBodyTooLarge, "the body is over the limit of %d bytes", s.config.MaxBody)
	}
	if err != nil {
		return ring.Fail(ring.CodeBadBody, "the body could not be read whole")
	}
	c.body = body
	return nil
}

// HeaderMaxWait names how long the caller will wait for a start, such as
// "2.5s".
const HeaderMaxWait = "Eelgrass-Patience"

func (s *Server) readDeadline(r *http.Request, c *call) *ring.Failure {
	patience := s.config.MaxWait
	if text := r.Header.Get(HeaderMaxWait); text != "" {
		span, err := time.ParseDuration(text)
		if err != nil || span <= 0 {
			return ring.Fail(ring.CodeBadHeader, "%s must be a duration above 0, such as \"2.5s\"", HeaderMaxWait)
		}
		patience = min(span, patience)
	}
	c.deadline = c.begin.Add(patience)
	return nil
}

func (s *Server) listModels(w http.ResponseWriter, _ *http.Request, c *call) {
	list := openai.ModelList{Object: "list", Data: []openai.ModelEntry{}}
	for _, name := range c.configuration.Names(c.caller.Application) {
		list.Data = append(list.Data, modelEntry(name))
	}
	writeJSON(w, http.StatusOK, list)
}

func (s *Server) getModel(w http.ResponseWriter, r *http.Request, c *call) {
	want := mux.Vars(r)["model"]
	for _, name := range c.configuration.Names(c.caller.Application) {
		if name == want {
			writeJSON(w, http.StatusOK, modelEntry(name))
			return
		}
	}
	s.fail(w, c, ring.Fail(ring.CodeUnknownModel, "no model %q", want))
}

func modelEntry(name string) openai.ModelEntry {
	return openai.ModelEntry{ID: name, Object: "model", OwnedBy: "eelgrassring"}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (s *Server) logFailedAttempt(c *call, route node.Route, err error) {
	s.config.Metrics.Count("failed_tries", 1)
	s.config.Log.Write(event.TryFailed, slog.String("request", c.id), slog.String("group", string(route.Group)), slog.Any("error", err))
}
