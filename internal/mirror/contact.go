package mirror

import (
	"sync"
	"time"
)

// Contact records when the store did not answer this node. The mirrors of a node share one, as
// the watch of one may wait while the calls of another fail. It is safe for concurrent use; the
// zero value has had no call.
type Contact struct {
	mu         sync.Mutex
	answeredAt time.Time
	// failingSince is from when on the store is known not to answer, or zero.
	failingSince time.Time
	// outageEndedAt is when the last outage ended.
	outageEndedAt time.Time
}

// recordFailure records that a call that began at a time had no answer. A watch that was cut
// counts as a call that began when it was cut.
func (c *Contact) recordFailure(began time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if began.Before(c.answeredAt) {
		began = c.answeredAt
	}
	if c.failingSince.IsZero() || began.Before(c.failingSince) {
		c.failingSince = began
	}
}

// recordAnswer records that the store has answered now. If it is known not to have answered for
// minOutage before, that was an outage.
func (c *Contact) recordAnswer(minOutage time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.failingSince.IsZero() && now.Sub(c.failingSince) >= minOutage {
		c.outageEndedAt = now
	}
	c.failingSince, c.answeredAt = time.Time{}, now
}

// outageEnd returns when the last outage ended, or zero.
func (c *Contact) outageEnd() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outageEndedAt
}
