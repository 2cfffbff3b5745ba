// Package admin serves operators: status, explanation, metrics and the start
// of a graceful shutdown. It listens on an address of its own.
//
// Invariant: nothing that it prints holds a key.
package admin

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/gorilla/mux"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/gateway"
	"eelgrassring.dev/internal/metric"
	"eelgrassring.dev/internal/node"
	"eelgrassring.dev/internal/placement"
)

// System is what a Server shows: a node of the own interface (see Declared), or
// one on discovered backend servers (see Routed).
type System interface {
	Status(now time.Time) Status
	// Explain tells what would become of a request; the query names it.
	Explain(q url.Values) gateway.Explanation
	// UpdateGauges sets the gauges that are derived when they are asked for.
	UpdateGauges(m *metric.Registry)
}

// Config configures a Server. Stop begins a graceful shutdown.
type Config struct {
	Version string
	System  System
	Metrics *metric.Registry
	Stop    func()
}

// Server answers operators.
type Server struct {
	config Config
}

// New returns a server.
func New(c Config) *Server { return &Server{config: c} }

// Handler serves the operators' interface.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/status", s.status).Methods(http.MethodGet)
	r.HandleFunc("/explain", s.explain).Methods(http.MethodGet)
	r.HandleFunc("/metrics", s.metrics).Methods(http.MethodGet)
	r.HandleFunc("/version", s.version).Methods(http.MethodGet)
	r.HandleFunc("/drain", s.drain).Methods(http.MethodPost)
	return r
}

// Status is the system as one node sees it.
type Status struct {
	Node           string        `json:"node"`
	Controller     bool          `json:"controller"`
	Draining       bool          `json:"draining"`
	StoreConnected bool          `json:"store"`
	ConfigNumber   int64         `json:"configuration"`
	Nodes          []NodeStatus  `json:"nodes"`
	Groups         []GroupStatus `json:"groups"`
	VMs            []VMStatus    `json:"vms"`
	Objectives     Objectives    `json:"measures"`
}

// NodeStatus is one node; Age is the time since it was heard.
type NodeStatus struct {
	Name          string              `json:"name"`
	Zone          ring.Zone           `json:"zone"`
	CallerAddress string              `json:"entry"`
	ConfigNumber  int64               `json:"configuration"`
	Draining      bool                `json:"draining"`
	Live          bool                `json:"live"`
	Age           deployment.Duration `json:"age"`
}

// GroupStatus is one group. Reason says why it gets no requests.
type GroupStatus struct {
	Name        ring.Group      `json:"name"`
	Phase       placement.Phase `json:"phase"`
	Epoch       ring.Epoch      `json:"epoch"`
	Spec        ring.Spec       `json:"spec"`
	Members     []ring.VM       `json:"members"`
	Serving     bool            `json:"serving"`
	Reason      node.Reason     `json:"reason,omitempty"`
	ReasonVM    ring.VM         `json:"culprit,omitempty"`
	Outstanding int             `json:"outstanding"`
	Load        float64         `json:"load"`
	Slowness    float64         `json:"slowness"`
}

// VMStatus is one VM. Age is the time since the node last had its report.
type VMStatus struct {
	Name            ring.VM             `json:"name"`
	Zone            ring.Zone           `json:"zone"`
	Domain          ring.Domain         `json:"domain"`
	Phase           ring.BackendPhase   `json:"phase"`
	Group           ring.Group          `json:"group,omitempty"`
	Epoch           ring.Epoch          `json:"epoch,omitempty"`
	Leaving         bool                `json:"leaving"`
	HasRecentReport bool                `json:"heard"`
	ReportAge       deployment.Duration `json:"age"`
}

// Objectives are the objectives that this node counted as controller.
type Objectives struct {
	GroupsDown              int                 `json:"down"`
	AcceleratorsStranded    int                 `json:"stranded"`
	GroupDowntime           deployment.Duration `json:"downtime"`
	AcceleratorStrandedTime deployment.Duration `json:"strandedtime"`
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.config.System.Status(time.Now()))
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, s.config.System.Explain(r.URL.Query()))
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	s.config.System.UpdateGauges(s.config.Metrics)
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_ = s.config.Metrics.Write(w)
}

func (s *Server) version(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, s.config.Version+"\n")
}

func (s *Server) drain(w http.ResponseWriter, _ *http.Request) {
	s.config.Stop()
	w.WriteHeader(http.StatusAccepted)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
