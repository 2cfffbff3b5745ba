// Package era tracks the era of a store that may be restored from an older copy.
//
// Terms:
//
//   - Era: the number of a restore. The store names it in each response; it rises by
//     one with each restore.
//   - Late response: one that the store sent before a restore of which the client
//     already knows. What it says was undone.
//
// Invariant: the known era never decreases.
package era

import (
	"sync"
	"time"

	ring "eelgrassring.dev"
)

// Tracker holds the newest era that one client of a store knows. It is safe for
// concurrent use; the zero value knows none.
type Tracker struct {
	mu    sync.Mutex
	state ring.StoreEra
}

// State returns the newest era.
func (t *Tracker) State() ring.StoreEra {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state
}

// Observe records an era that a response or a peer named at the time now. It returns
// false if a newer one is known, so that the response is late.
func (t *Tracker) Observe(e ring.Era, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e > t.state.Number {
		if t.state.Number != 0 {
			t.state.ChangedAt = now
		}
		t.state.Number = e
	}
	return e == t.state.Number
}
