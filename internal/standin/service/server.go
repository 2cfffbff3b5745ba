// Package service stands in for a plain service beside the models: it signs
// off laboratory records and counts how often each one was run.
package service

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Server is one plain service.
type Server struct {
	mu   sync.Mutex
	runs map[string]int
}

// Signoff is the body of a sign-off. Hold makes the service act and then stay
// silent for so many milliseconds.
type Signoff struct {
	Sample            string `json:"sample"`
	DelayMilliseconds int    `json:"hold,omitempty"`
}

// Certificate is the answer to a sign-off. Run counts the runs of the sample.
type Certificate struct {
	Sample string `json:"sample"`
	Number string `json:"number"`
	Run    int    `json:"run"`
}

// New returns a service that has run nothing.
func New() *Server {
	return &Server{runs: map[string]int{}}
}

// Handler serves POST /signoffs, GET /signoffs/{sample} and an echo.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/signoffs", s.postSignoff).Methods(http.MethodPost)
	r.HandleFunc("/signoffs/{sample}", s.getSignoff).Methods(http.MethodGet)
	r.HandleFunc("/echo", s.echo)
	return r
}

// Runs returns how often a sample was signed off.
func (s *Server) Runs(sample string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[sample]
}

func (s *Server) postSignoff(w http.ResponseWriter, r *http.Request) {
	var body Signoff
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.runs[body.Sample]++
	run := s.runs[body.Sample]
	s.mu.Unlock()
	time.Sleep(time.Duration(body.DelayMilliseconds) * time.Millisecond)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(Certificate{body.Sample, fmt.Sprintf("C-%s-%d", body.Sample, run), run})
}

func (s *Server) getSignoff(w http.ResponseWriter, r *http.Request) {
	sample := mux.Vars(r)["sample"]
	_ = json.NewEncoder(w).Encode(Certificate{Sample: sample, Run: s.Runs(sample)})
}

func (s *Server) echo(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", r.Header.Get("Content-Type"))
	_, _ = io.Copy(w, r.Body)
}
