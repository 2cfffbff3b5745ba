// Package admin serves operators: status, explanation, metrics and the start
// of a graceful shutdown. It listens on an address of its own.
//
// Invariant: nothing that it prints holds a key.
package admin

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"time"

	"github.com/gorilla/mux"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/gateway"
	"eelgrassring.dev/internal/metric"
	"eelgrassring.dev/internal/node"
	"eelgrassring.dev/internal/placement"
)

// Config configures a Server. Stop begins a graceful shutdown.
type Config struct {
	Name    string
	Version string
	Node    *node.Node
	Gateway *gateway.Server
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
	Node       string        `json:"node"`
	Controller bool          `json:"controller"`
	Draining   bool          `json:"draining"`
	Store      bool          `json:"store"`
	Number     int64         `json:"configuration"`
	Nodes      []NodeStatus  `json:"nodes"`
	Groups     []GroupStatus `json:"groups"`
	VMs        []VMStatus    `json:"vms"`
	Measures   Measures      `json:"measures"`
}

// NodeStatus is one node; Age is the time since it was heard.
type NodeStatus struct {
	Name     string              `json:"name"`
	Zone     ring.Zone           `json:"zone"`
	Entry    string              `json:"entry"`
	Number   int64               `json:"configuration"`
	Draining bool                `json:"draining"`
	Live     bool                `json:"live"`
	Age      deployment.Duration `json:"age"`
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
	Culprit     ring.VM         `json:"culprit,omitempty"`
	Outstanding int             `json:"outstanding"`
	Load        float64         `json:"load"`
	Slowness    float64         `json:"slowness"`
}

// VMStatus is one VM. Age is the time since the node last had its report.
type VMStatus struct {
	Name    ring.VM             `json:"name"`
	Zone    ring.Zone           `json:"zone"`
	Domain  ring.Domain         `json:"domain"`
	Phase   ring.BackendPhase   `json:"phase"`
	Group   ring.Group          `json:"group,omitempty"`
	Epoch   ring.Epoch          `json:"epoch,omitempty"`
	Leaving bool                `json:"leaving"`
	Heard   bool                `json:"heard"`
	Age     deployment.Duration `json:"age"`
}

// Measures are the objectives that this node counted as controller.
type Measures struct {
	Down         int                 `json:"down"`
	Stranded     int                 `json:"stranded"`
	DownTime     deployment.Duration `json:"downtime"`
	StrandedTime deployment.Duration `json:"strandedtime"`
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	n := s.config.Node
	c, number := n.Table().Configuration()
	out := Status{
		Node: s.config.Name, Controller: n.IsController(), Draining: n.IsDraining(), Store: n.IsStoreUp(), Number: number,
		Nodes: s.nodes(number, now),
	}
	t := n.Measures().Totals()
	out.Measures = Measures{t.Now.Down, t.Now.Stranded, deployment.Duration(t.Down), deployment.Duration(t.Stranded)}
	if c != nil {
		out.Groups = s.groups(c, now)
		out.VMs = s.vms(c, now)
	}
	writeJSON(w, out)
}

func (s *Server) nodes(number int64, now time.Time) []NodeStatus {
	n := s.config.Node
	out := []NodeStatus{{Name: s.config.Name, Zone: n.Zone(), Entry: n.Entry(), Number: number, Draining: n.IsDraining(), Live: true}}
	for _, p := range n.Table().Peers() {
		age := deployment.Duration(0)
		if !p.Heard.IsZero() {
			age = deployment.Duration(now.Sub(p.Heard).Round(time.Millisecond))
		}
		out = append(out, NodeStatus{p.Name, p.Zone, p.Entry, p.Number, p.Draining, p.IsLive(now), age})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

func (s *Server) groups(c *deployment.Configuration, now time.Time) []GroupStatus {
	var out []GroupStatus
	for _, d := range c.Groups() {
		g := s.config.Node.Table().Group(d.Name, now)
		r := g.Record.Record
		one := GroupStatus{
			Name: d.Name, Phase: r.Phase, Epoch: r.Epoch, Spec: r.Spec, Serving: g.Reason == node.ReasonNone,
			Reason: g.Reason, Culprit: g.Culprit, Outstanding: g.Outstanding, Load: g.Load, Slowness: g.Slowness,
		}
		for _, m := range r.Members {
			one.Members = append(one.Members, m.VM)
		}
		out = append(out, one)
	}
	return out
}

func (s *Server) vms(c *deployment.Configuration, now time.Time) []VMStatus {
	var out []VMStatus
	for _, d := range c.VMs() {
		e, leaving := s.config.Node.Table().VM(d.Name, now)
		one := VMStatus{Name: d.Name, Zone: d.Zone, Domain: d.Domain, Leaving: leaving}
		if !e.Asked.IsZero() {
			age := now.Sub(e.Asked)
			one.Phase, one.Group, one.Epoch = e.Status.Phase, e.Status.Group, e.Status.Epoch
			one.Heard = age <= node.EvidenceAge
			one.Age = deployment.Duration(age.Round(time.Millisecond))
		}
		out = append(out, one)
	}
	return out
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	e := s.config.Gateway.Explain(ring.Workspace(q.Get("workspace")), ring.Application(q.Get("application")), q.Get("model"))
	writeJSON(w, e)
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	t := s.config.Node.Measures().Totals()
	s.config.Metrics.Gauge("groups_down", float64(t.Now.Down))
	s.config.Metrics.Gauge("accelerators_stranded", float64(t.Now.Stranded))
	s.config.Metrics.Gauge("group_downtime_seconds", t.Down.Seconds())
	s.config.Metrics.Gauge("accelerator_stranded_seconds", t.Stranded.Seconds())
	s.config.Metrics.Gauge("recoveries", float64(t.Recoveries))
	for part, d := range map[string]time.Duration{
		"detect": t.Parts.Detect, "decide": t.Parts.Decide, "order": t.Parts.Order, "load": t.Parts.Load, "ready": t.Parts.Ready,
	} {
		s.config.Metrics.Gauge("recovery_seconds", d.Seconds(), "part", part)
	}
	_, number := s.config.Node.Table().Configuration()
	s.config.Metrics.Gauge("configuration_number", float64(number))
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
