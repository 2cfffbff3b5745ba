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
	"eelgrassring.dev/internal/suspect"
)

// System provides what a Server reports. It is a node whose groups are declared by
// name (see Declared) or one with discovered backend servers (see Routed).
type System interface {
	// Status returns the state of the system as this node sees it.
	Status(now time.Time) Status
	// Explain predicts the outcome of the request that the query describes.
	Explain(query url.Values) gateway.Explanation
	// UpdateGauges sets those gauges that are computed only when an operator
	// reads the metrics.
	UpdateGauges(registry *metric.Registry)
}

// Config configures a Server. Stop starts a graceful shutdown of the node. Suspects holds
// what backend servers have ended under; it may be nil. AnnounceSound tells the other nodes of
// subjects that are not refused any more; it may be nil.
type Config struct {
	Version       string
	System        System
	Metrics       *metric.Registry
	Stop          func()
	Suspects      *suspect.Registry
	AnnounceSound func(subjects []suspect.Digest, isComplete bool)
}

// Server serves the operators' interface of one node.
type Server struct {
	config Config
}

// New returns a Server; Handler serves its requests.
func New(c Config) *Server {
	if c.Suspects == nil {
		c.Suspects = &suspect.Registry{}
	}
	return &Server{config: c}
}

// Handler returns the HTTP handler of the operators' interface.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/status", s.serveStatus).Methods(http.MethodGet)
	r.HandleFunc("/explain", s.serveExplanation).Methods(http.MethodGet)
	r.HandleFunc("/metrics", s.serveMetrics).Methods(http.MethodGet)
	r.HandleFunc("/version", s.serveVersion).Methods(http.MethodGet)
	r.HandleFunc("/suspects", s.serveSuspects).Methods(http.MethodGet)
	r.HandleFunc("/suspects", s.clearSuspects).Methods(http.MethodDelete)
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
	// Cold are the servers that are cold, as this node knows.
	Cold []ColdStatus `json:"cold,omitempty"`
	// Evacuations holds the evacuated zones.
	Evacuations []EvacuationStatus `json:"evacuations,omitempty"`
}

// ColdStatus is a cold server: for how much longer it is, and how many requests a second it takes
// from all nodes meanwhile.
type ColdStatus struct {
	VM        ring.VM             `json:"vm"`
	Service   ring.Service        `json:"service"`
	Zone      ring.Zone           `json:"zone"`
	For       deployment.Duration `json:"for"`
	PerSecond float64             `json:"perSecond"`
}

// EvacuationStatus is how far the evacuation of a zone is: the servers registered there, the
// replicas with members there, how many of these have requests, and how many requests of all
// nodes.
type EvacuationStatus struct {
	Zone     ring.Zone `json:"zone"`
	Servers  int       `json:"servers"`
	Replicas int       `json:"replicas"`
	Busy     int       `json:"busy"`
	Requests int       `json:"requests"`
}

// NodeStatus is the state of one node. Age is the time since its last heartbeat
// or digest (its state, sent by datagram), or 0 for the node itself and for a
// peer that has sent none.
type NodeStatus struct {
	Name          string              `json:"name"`
	Zone          ring.Zone           `json:"zone"`
	CallerAddress string              `json:"entry"`
	ConfigNumber  int64               `json:"configuration"`
	Draining      bool                `json:"draining"`
	Live          bool                `json:"live"`
	Age           deployment.Duration `json:"age"`
}

// GroupStatus is the state of one group as this node sees it. Reason says why the
// group gets no requests, and ReasonVM names the VM that caused this. Outstanding
// counts this node's requests, Load those of all nodes. Slowness is the ratio of the
// group's event gap to the median of all groups, or 1 if the group is not slow.
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
// the last report of the VM's backend server; HasRecentReport is set while that
// report is recent enough to be relied on.
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

// Objectives holds group downtime and stranded accelerators as this node measured
// them while it was the controller: the current numbers and the accumulated times.
type Objectives struct {
	GroupsDown              int                 `json:"down"`
	AcceleratorsStranded    int                 `json:"stranded"`
	GroupDowntime           deployment.Duration `json:"downtime"`
	AcceleratorStrandedTime deployment.Duration `json:"strandedtime"`
}

// serveStatus writes the status as JSON.
func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.config.System.Status(time.Now()))
}

// serveExplanation writes the predicted outcome of the request that the query
// describes.
func (s *Server) serveExplanation(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, s.config.System.Explain(r.URL.Query()))
}

// serveMetrics updates the gauges and writes all metrics in the Prometheus text
// format.
func (s *Server) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	s.config.System.UpdateGauges(s.config.Metrics)
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_ = s.config.Metrics.Write(w)
}

// serveVersion writes the version of the program.
func (s *Server) serveVersion(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, s.config.Version+"\n")
}

// startDrain starts a graceful shutdown of the node and does not wait for its end.
func (s *Server) startDrain(w http.ResponseWriter, _ *http.Request) {
	s.config.Stop()
	w.WriteHeader(http.StatusAccepted)
}

// writeJSON writes value as the response body.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
