// Package ratelimit lets a simulated backend server name a limit of requests a second in
// its responses, and records the requests that it gets.
package ratelimit

import (
	"net/http"
	"strconv"
	"sync"
	"time"

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
