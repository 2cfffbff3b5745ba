// Package ratelimit lets a simulated backend server name a limit of requests a second in
// its responses, and records the requests that it gets.
package ratelimit

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"eelgrassring.dev/internal/engine"
)

// Limit is the limit that a server names. The zero value names none. It is safe for
// concurrent use.
type Limit struct {
	mu        sync.Mutex
	isSet     bool
	perSecond float64
	arrivals  []time.Time
}

// Set makes the server name a limit from now on.
func (l *Limit) Set(perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isSet, l.perSecond = true, perSecond
}

// End makes the server name no limit from now on.
func (l *Limit) End() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isSet = false
}

// Arrivals returns the times at which the server got requests.
func (l *Limit) Arrivals() []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]time.Time(nil), l.arrivals...)
}

// Register adds to a router the paths by which tests of processes set the limit and read the
// requests: POST /control/limit/{perSecond}, where none ends the limit, and GET
// /control/arrivals, the times of the requests in Unix nanoseconds.
func (l *Limit) Register(r *mux.Router) {
	r.HandleFunc("/control/limit/{perSecond}", l.serveSet).Methods(http.MethodPost)
	r.HandleFunc("/control/arrivals", l.serveArrivals).Methods(http.MethodGet)
}

// serveSet sets or ends the limit.
func (l *Limit) serveSet(w http.ResponseWriter, r *http.Request) {
	text := mux.Vars(r)["perSecond"]
	if text == "none" {
		l.End()
		return
	}
	perSecond, err := strconv.ParseFloat(text, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.Set(perSecond)
}

// serveArrivals responds with the times of the requests.
func (l *Limit) serveArrivals(w http.ResponseWriter, _ *http.Request) {
	out := []int64{}
	for _, at := range l.Arrivals() {
		out = append(out, at.UnixNano())
	}
	_ = json.NewEncoder(w).Encode(out)
}

// Wrap returns a handler that records each request and names the limit in its response.
func (l *Limit) Wrap(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		l.mu.Lock()
		l.arrivals = append(l.arrivals, time.Now())
		if l.isSet {
			w.Header().Set(engine.HeaderRateLimit, strconv.FormatFloat(l.perSecond, 'f', -1, 64))
		}
		l.mu.Unlock()
		h(w, r)
	}
}
