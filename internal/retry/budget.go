// Package retry bounds the tries that a node adds to the requests of its
// callers, so that a dead zone does not double the load on the rest.
//
// Invariant: over any span the retries are at most the stated part of the
// requests plus the stated burst.
package retry

import "sync"

// Config configures a Budget. Part is the retries per request; Burst is how
// many retries may come at once.
type Config struct {
	Part  float64
	Burst float64
}

// DefaultConfig returns the values used in production.
func DefaultConfig() Config {
	return Config{Part: 0.1, Burst: 20}
}

// Budget grants retries. It may be used by several goroutines.
type Budget struct {
	config Config
	mu     sync.Mutex
	left   float64
}

// NewBudget returns a budget with its whole burst.
func NewBudget(c Config) *Budget {
	return &Budget{config: c, left: c.Burst}
}

// Request counts a request of a caller.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.config.Burst, b.left+b.config.Part)
}

// Take takes one retry; it reports false when none is left.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
