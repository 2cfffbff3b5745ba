// Package era tracks the era of a store that may be restored from an older copy.
//
// Terms:
//
//   - Era: the number of a restore. The store names it in each response; it rises by
//     one with each restore.
//   - Settled era: one that is known to have begun so long ago that all owners have written
//     again what its restore lost.
//   - Late response: one that the store sent before a restore of which the client
//     already knows. What it says was undone.
//
// A response shows the era and not when it began: to a client that has just started, any era
// may have begun a moment ago. Only someone who has known the era for long can say that it is
// settled, and that stays true.
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
		t.state = ring.StoreEra{Number: e, ChangedAt: now}
	}
	return e == t.state.Number
}

// Settle records that an era is settled. It does nothing for another era than the newest one.
// It reports whether that has changed anything.
func (t *Tracker) Settle(e ring.Era) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e == 0 || e != t.state.Number || t.state.ChangedAt.IsZero() {
		return false
	}
	t.state.ChangedAt = time.Time{}
	return true
}
