// Package retry bounds the tries that a node adds to the requests of its
// callers, so that a dead zone does not double the load on the rest.
//
// Terms:
//
//   - Window: the span over which tries are counted; it slides.
//   - Pool: what all nodes together asked and retried in a window.
//
// Invariant: over any window the retries of a node are at most the stated part
// of its requests plus its part of the burst, and as much again while the pool
// is hardly used.
package retry

import (
	"sync"
	"time"
)

// windowSlots is into how many parts a window is split. Counts leave it a part at a
// time, so a window is up to a part longer than stated.
const windowSlots = 20

// Config configures a Budget. Part is the retries per request, Burst how many
// more fit into a window.
type Config struct {
	Ratio  float64
	Burst  float64
	Window time.Duration
}

// DefaultConfig returns the values used in production.
func DefaultConfig() Config {
	return Config{Ratio: 0.1, Burst: 20, Window: 10 * time.Second}
}

// slidingCounter counts what happened within a window.
type slidingCounter struct {
	slots [windowSlots + 1]int
	last  int64
}

// advance drops what is older than the window.
func (c *slidingCounter) advance(now time.Time, window time.Duration) {
	at := now.UnixNano() / int64(window/windowSlots)
	for gone := min(at-c.last, int64(len(c.slots))); gone > 0; gone-- {
		c.slots[(at-gone+1)%int64(len(c.slots))] = 0
	}
	c.last = max(c.last, at)
}

func (c *slidingCounter) add(now time.Time, window time.Duration) {
	c.advance(now, window)
	c.slots[c.last%int64(len(c.slots))]++
}

func (c *slidingCounter) sum(now time.Time, window time.Duration) int {
	c.advance(now, window)
	n := 0
	for _, one := range c.slots {
		n += one
	}
	return n
}

// Budget grants retries. It may be used by several goroutines.
type Budget struct {
	config   Config
	mu       sync.Mutex
	requests slidingCounter
	retries  slidingCounter
}

// NewBudget returns an unused budget.
func NewBudget(c Config) *Budget { return &Budget{config: c} }

// RecordRequest counts a request of a caller.
func (b *Budget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests.add(now, b.config.Window)
}

// Take takes one retry for one of so many nodes that share the burst; it reports
// false when none is left. A pool of nil is not known.
func (b *Budget) Take(now time.Time, nodes int, pool *Pool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.config.Ratio*float64(b.requests.sum(now, b.config.Window)) + b.config.Burst/float64(max(nodes, 1))
	spent := float64(b.retries.sum(now, b.config.Window))
	isOwn := spent+1 <= own
	isShared := spent+1 <= 2*own && pool.hasSpare(now, b.config)
	if !isOwn && !isShared {
		return false
	}
	b.retries.add(now, b.config.Window)
	return true
}

// Usage returns the requests and the retries of the window.
func (b *Budget) Usage(now time.Time) Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Requests: b.requests.sum(now, b.config.Window), Retries: b.retries.sum(now, b.config.Window)}
}

// Usage counts requests and retries within a window.
type Usage struct{ Requests, Retries int }

// Add returns the sum of two uses.
func (u Usage) Add(o Usage) Usage {
	return Usage{Requests: u.Requests + o.Requests, Retries: u.Retries + o.Retries}
}

// maxPoolFraction is the part of the whole budget up to which a node may use more than
// its own part. What is known of the pool is up to 1.2 s old, and the rest has
// room for what the others take meanwhile.
const maxPoolFraction = 0.5

// Pool is what all nodes together used, as far as is known.
type Pool struct {
	mu         sync.Mutex
	total      Usage
	validUntil time.Time
}

// Update takes the sum over all nodes; it counts until a deadline.
func (p *Pool) Update(all Usage, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.total, p.validUntil = all, until
}

func (p *Pool) hasSpare(now time.Time, c Config) bool {
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.validUntil) && float64(p.total.Retries) < maxPoolFraction*(c.Ratio*float64(p.total.Requests)+c.Burst)
}
