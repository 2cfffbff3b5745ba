// Package retry limits the retries that a node adds to the requests of its
// callers, so that the loss of an availability zone does not double the request
// load on the other zones.
//
// Terms:
//
//   - Window: the sliding period over which requests and retries are counted.
//   - Pool: the requests and retries of all nodes together in a window.
//
// Invariant: in any window the retries of a node are at most Config.Ratio of its
// requests plus its part of Config.Burst, or twice that while the nodes together
// have used less than half of the whole budget.
package retry

import (
	"sync"
	"time"
)

// windowBuckets is the number of time slices, called buckets, that a window is divided
// into. Counts expire one bucket at a time, so a window is up to one bucket longer than
// configured.
const windowBuckets = 20

// Config configures a Budget. Ratio is the number of retries per request, and
// Burst the number of further retries per window, shared by all nodes.
type Config struct {
	Ratio  float64
	Burst  float64
	Window time.Duration
}

// DefaultConfig returns the values used in production.
func DefaultConfig() Config {
	return Config{Ratio: 0.1, Burst: 20, Window: 10 * time.Second}
}

// slidingCounter counts occurrences within a sliding window. It keeps one count for
// each bucket, a time slice of the window.
type slidingCounter struct {
	buckets [windowBuckets + 1]int
	// last is the number of the newest bucket since the Unix epoch, as the time of day was at
	// origin, the first count. The difference of two times does not change with the time of
	// day.
	last   int64
	origin time.Time
}

// advance clears the counts of the buckets (time slices) that have left the window.
func (c *slidingCounter) advance(now time.Time, window time.Duration) {
	if c.origin.IsZero() {
		c.origin = now
	}
	current := (c.origin.UnixNano() + int64(now.Sub(c.origin))) / int64(window/windowBuckets)
	for expired := min(current-c.last, int64(len(c.buckets))); expired > 0; expired-- {
		c.buckets[(current-expired+1)%int64(len(c.buckets))] = 0
	}
	c.last = max(c.last, current)
}

// add counts one occurrence at the time now.
func (c *slidingCounter) add(now time.Time, window time.Duration) {
	c.advance(now, window)
	c.buckets[c.last%int64(len(c.buckets))]++
}

// sum returns the number of occurrences in the window that ends now.
func (c *slidingCounter) sum(now time.Time, window time.Duration) int {
	c.advance(now, window)
	n := 0
	for _, count := range c.buckets {
		n += count
	}
	return n
}

// Budget limits the retries of one node. It is safe for concurrent use.
type Budget struct {
	config   Config
	mu       sync.Mutex
	requests slidingCounter
	retries  slidingCounter
}

// NewBudget returns an unused budget.
func NewBudget(c Config) *Budget { return &Budget{config: c} }

// RecordRequest counts a caller's request, which adds Config.Ratio retries to the
// budget of the window.
func (b *Budget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests.add(now, b.config.Window)
}

// Take reports whether the budget allows a retry now. If so, it counts the retry. Each
// of the given number of nodes has an equal part of Config.Burst. The pool holds the
// retry usage of all nodes; nil means that it is not known.
func (b *Budget) Take(now time.Time, nodes int, pool *Pool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.allows(now, nodes, pool) {
		return false
	}
	b.retries.add(now, b.config.Window)
	return true
}

// Force counts a retry that something else has allowed.
func (b *Budget) Force(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries.add(now, b.config.Window)
}

// Allows reports whether Take would return true now.
func (b *Budget) Allows(now time.Time, nodes int, pool *Pool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows(now, nodes, pool)
}

// allows reports whether the budget allows another retry now; mu is held.
func (b *Budget) allows(now time.Time, nodes int, pool *Pool) bool {
	own := b.config.Ratio*float64(b.requests.sum(now, b.config.Window)) + b.config.Burst/float64(max(nodes, 1))
	retries := float64(b.retries.sum(now, b.config.Window))
	withinOwn := retries+1 <= own
	return withinOwn || (retries+1 <= 2*own && pool.hasSpare(now, b.config))
}

// Usage returns the numbers of requests and retries in the window that ends now.
func (b *Budget) Usage(now time.Time) Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Requests: b.requests.sum(now, b.config.Window), Retries: b.retries.sum(now, b.config.Window)}
}

// Usage counts requests and retries within a window.
type Usage struct{ Requests, Retries int }

// Add returns the sum of two usages.
func (u Usage) Add(o Usage) Usage {
	return Usage{Requests: u.Requests + o.Requests, Retries: u.Retries + o.Retries}
}

// maxPoolFraction is the fraction of the budget of all nodes below which a node
// may exceed its own part. The known usage is up to 1.2 s old; the remainder
// leaves room for the retries of other nodes in that time.
const maxPoolFraction = 0.5

// Pool holds the last known retry usage of all nodes together. It is safe for
// concurrent use.
type Pool struct {
	mu         sync.Mutex
	total      Usage
	validUntil time.Time
}

// Update sets the usage of all nodes together, which is valid until the deadline.
func (p *Pool) Update(total Usage, validUntil time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.total, p.validUntil = total, validUntil
}

// hasSpare reports whether the nodes together have used less than maxPoolFraction of
// the retry budget of all nodes. It returns false if the pool is nil or its usage is no
// longer valid.
func (p *Pool) hasSpare(now time.Time, c Config) bool {
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.validUntil) && float64(p.total.Retries) < maxPoolFraction*(c.Ratio*float64(p.total.Requests)+c.Burst)
}
