package admin

import (
	"net/http"
	"strconv"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
)

// SuspectStatus is one request, or part of prompts, under which backend servers have ended, as
// this node remembers it. Strong counts the servers that ended before a request had events for
// half a second. If With is not empty, only requests with all of these subjects besides are
// refused. It is forgotten after the time For.
type SuspectStatus struct {
	Digest  uint64              `json:"digest,string"`
	Kind    string              `json:"kind"`
	Servers []ring.VM           `json:"servers"`
	Strong  int                 `json:"strong"`
	Refused bool                `json:"refused"`
	With    []string            `json:"with,omitempty"`
	For     deployment.Duration `json:"for"`
}

// serveSuspects writes what is remembered as JSON.
func (s *Server) serveSuspects(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	out := []SuspectStatus{}
	for _, r := range s.config.Suspects.List(now) {
		status := SuspectStatus{
			Digest: uint64(r.Subject), Kind: "request", Servers: r.Servers, Strong: r.Strong, Refused: r.IsRefused(), For: deployment.Duration(r.Until.Sub(now).Round(time.Second)),
		}
		if r.Subject.IsPart() {
			status.Kind = "part"
		}
		for _, d := range r.With {
			status.With = append(status.With, strconv.FormatUint(uint64(d), 10))
		}
		out = append(out, status)
	}
	writeJSON(w, out)
}

// clearSuspects forgets what is remembered here, and ends the refusals at all nodes.
func (s *Server) clearSuspects(w http.ResponseWriter, _ *http.Request) {
	if refused := s.config.Suspects.Clear(time.Now()); len(refused) > 0 && s.config.AnnounceSound != nil {
		s.config.AnnounceSound(refused, true)
	}
	w.WriteHeader(http.StatusNoContent)
}
