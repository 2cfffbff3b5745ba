// Package service implements a service without a model for tests and the
// demonstration: it signs off laboratory records and counts the sign-offs of
// each sample, so that repeated requests are detected.
package service

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"eelgrassring.dev/internal/standin/ratelimit"
)

// Server is one instance of the service. It counts the sign-offs of each
// sample.
type Server struct {
	mu   sync.Mutex
	runs map[string]int
	// Limit is the limit of requests that the server names.
	Limit ratelimit.Limit
}

// Signoff is the body of a sign-off request. The service counts the run first
// and then delays its response by DelayMilliseconds.
type Signoff struct {
	Sample            string `json:"sample"`
	DelayMilliseconds int    `json:"hold,omitempty"`
}

// Certificate is the response to a sign-off. Run is the number of sign-offs of
// the sample so far.
type Certificate struct {
	Sample string `json:"sample"`
	Number string `json:"number"`
	Run    int    `json:"run"`
}

// New returns a service without any sign-offs.
func New() *Server {
	return &Server{runs: map[string]int{}}
}

// Handler serves POST /signoffs and GET /signoffs/{sample}; /echo returns the
// body of the request.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/signoffs", s.Limit.Wrap(s.countSignoff)).Methods(http.MethodPost)
	r.HandleFunc("/signoffs/{sample}", s.Limit.Wrap(s.serveSignoffCount)).Methods(http.MethodGet)
	r.HandleFunc("/echo", s.Limit.Wrap(s.echoBody))
	s.Limit.Register(r)
	return r
}

// Runs returns how often a sample was signed off on this server.
func (s *Server) Runs(sample string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[sample]
}

// countSignoff counts a sign-off, waits for the delay that the request asks for,
// and responds with the certificate.
func (s *Server) countSignoff(w http.ResponseWriter, r *http.Request) {
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

// serveSignoffCount responds with a certificate that holds only the sample and
// the number of its sign-offs.
func (s *Server) serveSignoffCount(w http.ResponseWriter, r *http.Request) {
	sample := mux.Vars(r)["sample"]
	_ = json.NewEncoder(w).Encode(Certificate{Sample: sample, Run: s.Runs(sample)})
}

// echoBody responds with the body of the request, for any method.
func (s *Server) echoBody(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", r.Header.Get("Content-Type"))
	_, _ = io.Copy(w, r.Body)
}
