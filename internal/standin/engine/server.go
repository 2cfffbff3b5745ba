// Package engine simulates a backend server with a model engine. It serves the
// OpenAI-compatible API and the control interface, and generates text that
// tests can compute.
//
// The head is the member with rank 0, which takes the requests.
//
// Invariant, as for real replicas: the head generates tokens only while every
// member reports the head's epoch.
package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/clock"
	"eelgrassring.dev/internal/engine"
	"eelgrassring.dev/internal/standin/ratelimit"
)

// memberCheckInterval is the time between two checks of the members by the
// head.
const memberCheckInterval = 50 * time.Millisecond

// Config configures a Server.
type Config struct {
	VM          ring.VM
	Incarnation string
	// CheckFencing rejects orders with an old epoch, and requests whose epoch
	// is not the current one.
	CheckFencing bool
	// LoadTime is how long the load of a model's weights takes. Loading the same
	// spec again takes a tenth of it, because the weights are still in memory.
	LoadTime time.Duration
	// FirstToken is the time to the first token if the prefix of the prompt is
	// not cached; with a cached prefix it is a quarter.
	FirstToken time.Duration
	// TokenGap is the time between tokens.
	TokenGap time.Duration
	// ReserveLoad reserves a weight load at the weight store and returns how long
	// it must wait; nil means that weight loads start at once.
	ReserveLoad func() time.Duration
	// Transport carries the head's status requests to its members; nil means
	// TCP.
	Transport http.RoundTripper
	// Limit is the limit of requests that the server names; nil means none.
	Limit *ratelimit.Limit
}

// Server is one simulated backend server.
type Server struct {
	config Config
	client *http.Client

	mu     sync.Mutex
	status ring.Status
	// rank, members (their addresses by rank) and slots are from the last order.
	rank    int
	members []string
	slots   int
	running int
	waiting int
	// incomplete is set on a head while a member does not report the head's
	// epoch.
	incomplete bool
	// loadCount counts weight loads, so that an earlier load cannot finish after
	// a later one has started.
	loadCount  int
	loadedSpec ring.Spec
	// cache holds the last use of each cached prefix.
	cache    map[string]time.Time
	counters Counters
	// slotFreed is closed and replaced whenever a request ends.
	slotFreed chan struct{}
}

// Counters counts requests and tokens for tests. Hits and Misses count lookups
// in the prefix cache, Cancelled the requests whose caller disconnected, and
// Resumed the requests that continue an earlier stream.
type Counters struct {
	Requests  int `json:"requests"`
	Tokens    int `json:"tokens"`
	Hits      int `json:"hits"`
	Misses    int `json:"misses"`
	Cancelled int `json:"cancelled"`
	Resumed   int `json:"resumed"`
	Refused   int `json:"refused"`
}

// New returns a server without a loaded model. The caller runs WatchMembers and
// serves Handler.
func New(c Config) *Server {
	if c.Limit == nil {
		c.Limit = &ratelimit.Limit{}
	}
	return &Server{
		config:    c,
		client:    &http.Client{Timeout: 300 * time.Millisecond, Transport: c.Transport},
		status:    ring.Status{VM: c.VM, Incarnation: c.Incarnation, Phase: ring.BackendEmpty},
		cache:     map[string]time.Time{},
		slotFreed: make(chan struct{}),
	}
}

// Counters returns the current counts.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// MarkLeaving makes the server report that its VM is leaving.
func (s *Server) MarkLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status.Leaving = true
}

// Handler serves the model API to nodes and the control interface to the
// controller and to tests.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(engine.StatusPath, s.serveStatus).Methods(http.MethodGet)
	r.HandleFunc(engine.OrderPath, s.executeOrder).Methods(http.MethodPost)
	r.HandleFunc("/control/leave", s.serveLeave).Methods(http.MethodPost)
	r.HandleFunc("/control/counters", s.serveCounters).Methods(http.MethodGet)
	r.HandleFunc("/v1/chat/completions", s.config.Limit.Wrap(s.serveChat)).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", s.config.Limit.Wrap(s.serveCompletion)).Methods(http.MethodPost)
	return r
}

// WatchMembers checks the members at intervals while this server is a head,
// until the context ends.
func (s *Server) WatchMembers(ctx context.Context) {
	clock.Every(ctx, memberCheckInterval, s.checkMembers)
}

// checkMembers updates the field incomplete of a head: it is set unless every
// other member reports the head's epoch. On other servers it does nothing.
func (s *Server) checkMembers(ctx context.Context) {
	s.mu.Lock()
	members, epoch := s.members, s.status.Epoch
	isHead := s.rank == 0 && s.status.Phase == ring.BackendReady
	s.mu.Unlock()
	if !isHead {
		return
	}
	complete := true
	for _, address := range members[1:] {
		complete = complete && s.memberHasEpoch(ctx, address, epoch)
	}
	s.mu.Lock()
	if s.status.Epoch == epoch {
		s.incomplete = !complete
	}
	s.mu.Unlock()
}

// memberHasEpoch requests the status of the member at an address and reports
// whether it has the epoch; a failed request counts as no.
func (s *Server) memberHasEpoch(ctx context.Context, address string, epoch ring.Epoch) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+engine.StatusPath, nil)
	if err != nil {
		return false
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var status ring.Status
	if json.NewDecoder(resp.Body).Decode(&status) != nil {
		return false
	}
	return status.Epoch == epoch
}

// serveStatus responds with the status that the controller and the nodes inspect.
func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	status := s.status
	status.Running, status.Waiting = s.running, s.waiting
	s.mu.Unlock()
	writeJSON(w, status)
}

// serveCounters responds with the counts of requests and tokens.
func (s *Server) serveCounters(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Counters())
}

// serveLeave lets a test mark the VM as leaving.
func (s *Server) serveLeave(http.ResponseWriter, *http.Request) { s.MarkLeaving() }

// executeOrder executes an order of the controller: the server joins the group
// and starts the weight load. It refuses an order with an older epoch if
// CheckFencing is set, and ignores an order that it has already executed.
func (s *Server) executeOrder(w http.ResponseWriter, r *http.Request) {
	var order ring.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config.CheckFencing && order.Epoch < s.status.Epoch {
		http.Error(w, "epoch of the order is older than the current one", http.StatusPreconditionFailed)
		return
	}
	if order.Epoch == s.status.Epoch && s.status.Phase != ring.BackendEmpty {
		return
	}
	s.startLoad(order)
}

// startLoad joins the group that an order names and starts the load of its
// weights; mu is held.
func (s *Server) startLoad(order ring.Order) {
	s.status.Epoch = order.Epoch
	s.status.Group = order.Group
	s.status.Spec = order.Spec
	s.rank, s.members, s.slots = order.Rank, order.Members, order.Slots
	s.incomplete = false
	s.status.Phase = ring.BackendLoading
	s.loadCount++
	duration := s.config.LoadTime
	if s.loadedSpec.Equal(order.Spec) {
		duration /= 10
	} else if s.config.ReserveLoad != nil {
		duration += s.config.ReserveLoad()
	}
	loadNumber := s.loadCount
	time.AfterFunc(duration, func() { s.finishLoad(loadNumber, order.Spec) })
}

// finishLoad marks the server as ready, unless another order has started a
// later weight load.
func (s *Server) finishLoad(loadNumber int, spec ring.Spec) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loadCount != loadNumber {
		return
	}
	s.loadedSpec = spec
	s.status.Phase = ring.BackendReady
}

// canServe reports whether this server is the ready head of a replica without a
// missing member, and accepts the epoch in the request's header; mu is held.
func (s *Server) canServe(r *http.Request) bool {
	if s.status.Phase != ring.BackendReady || s.rank != 0 || s.incomplete {
		return false
	}
	epoch, err := strconv.ParseUint(r.Header.Get(engine.HeaderEpoch), 10, 64)
	if s.config.CheckFencing && (err != nil || ring.Epoch(epoch) != s.status.Epoch) {
		return false
	}
	return true
}

// writeJSON responds with a value as JSON.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
