package placement

import (
	"time"

	ring "eelgrassring.dev"
)

// Recovered reports that a group is ready again after the loss of a member, and
// how long each part of the recovery took.
type Recovered struct {
	Group ring.Group
	// Detect is the time from the last report of the lost member until the
	// controller detected the loss. Each other part begins where the one before
	// it ends: Decide ends when the new record is stored, Order when the last
	// order is sent, Load when all members have loaded the model and confirmed
	// the epoch, and Ready when the record is ready.
	Detect, Decide, Order, Load, Ready time.Duration
}

// action marks Recovered as an Action, which the caller of Controller.Step logs and
// counts.
func (Recovered) action() {}

// Total returns the downtime of the group: the sum of the parts.
func (r Recovered) Total() time.Duration {
	return r.Detect + r.Decide + r.Order + r.Load + r.Ready
}

// recovery holds the times of one group's recovery: the last report of the lost
// member, and the end of each part. The time of a part that has not ended is zero.
type recovery struct {
	lostAt          time.Time
	detectedAt      time.Time
	decidedAt       time.Time
	orderedAt       time.Time
	weightsLoadedAt time.Time
}

// start begins a recovery at the loss of a member, which was last seen at lostAt and
// is detected now. It does nothing if a recovery is in progress.
func (rec *recovery) start(lostAt, now time.Time) {
	if rec.detectedAt.IsZero() {
		*rec = recovery{lostAt: lostAt, detectedAt: now}
	}
}

// finish ends a recovery now, clears its times and returns the durations of its
// parts. It returns false and clears nothing if no recovery is in progress or this
// controller did not observe all of its parts.
func (rec *recovery) finish(g ring.Group, now time.Time) (Recovered, bool) {
	if rec.detectedAt.IsZero() || rec.decidedAt.IsZero() || rec.orderedAt.IsZero() || rec.weightsLoadedAt.IsZero() {
		return Recovered{}, false
	}
	r := Recovered{
		Group:  g,
		Detect: rec.detectedAt.Sub(rec.lostAt), Decide: rec.decidedAt.Sub(rec.detectedAt), Order: rec.orderedAt.Sub(rec.decidedAt),
		Load: rec.weightsLoadedAt.Sub(rec.orderedAt), Ready: now.Sub(rec.weightsLoadedAt),
	}
	*rec = recovery{}
	return r, true
}

// oldestReportTime returns the earliest of the times at which the record's members
// were last seen. For a restarted member, the time is that of its new report.
func (c *Controller) oldestReportTime(r Record, now time.Time) time.Time {
	at := now
	for _, m := range r.Members {
		if seen := c.vmStateFor(m.VM).lastSeen; !seen.IsZero() && seen.Before(at) {
			at = seen
		}
	}
	return at
}
