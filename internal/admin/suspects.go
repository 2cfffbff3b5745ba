package admin

import (
	"net/http"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
)

// SuspectStatus is one request under which backend servers have ended, as this node
// remembers it. Strong counts the servers that ended before the request had events for
// half a second. It is forgotten after the time For.
type SuspectStatus struct {
	Digest  uint64              `json:"digest,string"`
	Servers []ring.VM           `json:"servers"`
	Strong  int                 `json:"strong"`
	Refused bool                `json:"refused"`
	For     deployment.Duration `json:"for"`
}

// serveSuspects writes the remembered requests as JSON.
func (s *Server) serveSuspects(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	out := []SuspectStatus{}
	for _, r := range s.config.Suspects.List(now) {
		out = append(out, SuspectStatus{Digest: uint64(r.Request), Servers: r.Servers, Strong: r.Strong, Refused: r.IsRefused(), For: deployment.Duration(r.Until.Sub(now).Round(time.Second))})
	}
	writeJSON(w, out)
}

// clearSuspects forgets the remembered requests of this node.
func (s *Server) clearSuspects(w http.ResponseWriter, _ *http.Request) {
	s.config.Suspects.Clear()
	w.WriteHeader(http.StatusNoContent)
}
