// Package admin implements the HTTP interface for operators: status, predicted
// outcomes of requests, metrics and the start of a graceful shutdown. It is
// served on its own address.
//
// Invariant: no response contains an API key.
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

// System provides what a Server reports. It is a node whose groups are declared by
// name (see Declared) or one with discovered backend servers (see Routed).
type System interface {
	Status(now time.Time) Status
	// Explain predicts the outcome of a request described by the query.
	Explain(q url.Values) gateway.Explanation
	// UpdateGauges sets the gauges that are computed only when metrics are read.
	UpdateGauges(m *metric.Registry)
}

// Config configures a Server. Stop starts a graceful shutdown of the node.
type Config struct {
	Version string
	System  System
	Metrics *metric.Registry
	Stop    func()
}

// Server serves the operators' interface of one node.
type Server struct {
	config Config
}

// New returns a Server.
func New(c Config) *Server { return &Server{config: c} }

// Handler returns the HTTP handler of the operators' interface.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/status", s.serveStatus).Methods(http.MethodGet)
	r.HandleFunc("/explain", s.serveExplanation).Methods(http.MethodGet)
	r.HandleFunc("/metrics", s.serveMetrics).Methods(http.MethodGet)
	r.HandleFunc("/version", s.serveVersion).Methods(http.MethodGet)
	r.HandleFunc("/drain", s.startDrain).Methods(http.MethodPost)
	return r
}

// Status is the state of the system as one node sees it.
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

// NodeStatus is the state of one node. Age is the time since its last heartbeat or
// digest, or 0 for the node itself and for a peer that has sent none.
type NodeStatus struct {
	Name          string              `json:"name"`
	Zone          ring.Zone           `json:"zone"`
	CallerAddress string              `json:"entry"`
	ConfigNumber  int64               `json:"configuration"`
	Draining      bool                `json:"draining"`
	Live          bool                `json:"live"`
	Age           deployment.Duration `json:"age"`
}

// GroupStatus is the state of one group. Reason says why it gets no requests, and
// ReasonVM names the VM that this is due to.
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

// VMStatus is the state of one VM. ReportAge is the time since the node requested
// the VM's last report.
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

// Objectives holds the service objectives as this node measured them while it
// was the controller: the current numbers and the accumulated times.
type Objectives struct {
	GroupsDown              int                 `json:"down"`
	AcceleratorsStranded    int                 `json:"stranded"`
	GroupDowntime           deployment.Duration `json:"downtime"`
	AcceleratorStrandedTime deployment.Duration `json:"strandedtime"`
}

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.config.System.Status(time.Now()))
}

func (s *Server) serveExplanation(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, s.config.System.Explain(r.URL.Query()))
}

func (s *Server) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	s.config.System.UpdateGauges(s.config.Metrics)
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_ = s.config.Metrics.Write(w)
}

func (s *Server) serveVersion(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, s.config.Version+"\n")
}

func (s *Server) startDrain(w http.ResponseWriter, _ *http.Request) {
	s.config.Stop()
	w.WriteHeader(http.StatusAccepted)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
