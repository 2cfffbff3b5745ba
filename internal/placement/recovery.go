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

// trail holds when each part of a recovery ended; zero means not yet.
type trail struct {
	lost     time.Time
	detected time.Time
	decided  time.Time
	ordered  time.Time
	loaded   time.Time
}

// lose begins a recovery unless one is under way.
func (t *trail) lose(lost, now time.Time) {
	if t.detected.IsZero() {
		*t = trail{lost: lost, detected: now}
	}
}

// done returns the parts of a recovery that ends now, and whether there was
// one whose every part was seen by this controller.
func (t *trail) done(g ring.Group, now time.Time) (Recovered, bool) {
	if t.detected.IsZero() || t.decided.IsZero() || t.ordered.IsZero() || t.loaded.IsZero() {
		return Recovered{}, false
	}
	r := Recovered{
		Group:  g,
		Detect: t.detected.Sub(t.lost), Decide: t.decided.Sub(t.detected), Order: t.ordered.Sub(t.decided),
		Load: t.loaded.Sub(t.ordered), Ready: now.Sub(t.loaded),
	}
	*t = trail{}
	return r, true
}

// lostAt returns the last report of the member that has been silent for
// longest; for a member that restarted it is the time of the new report.
func (c *Controller) lostAt(r Record, now time.Time) time.Time {
	at := now
	for _, m := range r.Members {
		if heard := c.vm(m.VM).heard; !heard.IsZero() && heard.Before(at) {
			at = heard
		}
	}
	return at
}
