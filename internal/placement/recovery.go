package placement

import (
	"time"

	ring "eelgrassring.dev"
)

// Recovered tells that a group is ready, and how long each part of its way
// took since it was lost.
type Recovered struct {
	Group ring.Group
	// Detect is from the last report of the member that was lost until the
	// controller saw the loss; Decide until the new record was stored; Order
	// until the last order was sent; Load until all members confirmed; Ready
	// until the record was ready.
	Detect, Decide, Order, Load, Ready time.Duration
}

func (Recovered) action() {}

// Total is the whole downtime.
func (r Recovered) Total() time.Duration {
	return r.Detect + r.Decide + r.Order + r.Load + r.Ready
}

// recovery holds when each part of a recovery ended; zero means not yet.
type recovery struct {
	lostAt     time.Time
	detectedAt time.Time
	decidedAt  time.Time
	orderedAt  time.Time
	loadedAt   time.Time
}

// start begins a recovery unless one is under way.
func (t *recovery) start(lost, now time.Time) {
	if t.detectedAt.IsZero() {
		*t = recovery{lostAt: lost, detectedAt: now}
	}
}

// finish returns the parts of a recovery that ends now, and whether there was
// one whose every part was seen by this controller.
func (t *recovery) finish(g ring.Group, now time.Time) (Recovered, bool) {
	if t.detectedAt.IsZero() || t.decidedAt.IsZero() || t.orderedAt.IsZero() || t.loadedAt.IsZero() {
		return Recovered{}, false
	}
	r := Recovered{
		Group:  g,
		Detect: t.detectedAt.Sub(t.lostAt), Decide: t.decidedAt.Sub(t.detectedAt), Order: t.orderedAt.Sub(t.decidedAt),
		Load: t.loadedAt.Sub(t.orderedAt), Ready: now.Sub(t.loadedAt),
	}
	*t = recovery{}
	return r, true
}

// lastSeenOfLost returns the last report of the member that has been silent for
// longest; for a member that restarted it is the time of the new report.
func (c *Controller) lastSeenOfLost(r Record, now time.Time) time.Time {
	at := now
	for _, m := range r.Members {
		if heard := c.vm(m.VM).lastSeen; !heard.IsZero() && heard.Before(at) {
			at = heard
		}
	}
	return at
}
