package admission

import "time"

const (
	// maxLateUtilization is the largest used part of the capacity with which late requests
	// are sent. The rest is for the requests in time that arrive while the late ones run.
	maxLateUtilization = 0.75
	// lateWaitFraction is the part of its caller's time for which a late request may wait. It
	// is below a third because callers give up a request without any answer after that.
	lateWaitFraction = 0.3
)

// LateWait returns for how long after its arrival a late request may wait for room, given the
// time that its caller had left then.
func LateWait(left time.Duration) time.Duration {
	return time.Duration(lateWaitFraction * float64(left))
}

// lateQueue holds the late requests that wait at a node, in the order of their arrival.
type lateQueue struct {
	tickets []*Ticket
	sent    sentRate
}

// push adds a request and returns true, unless more wait before it than will be sent until it
// must be sent, at a rate in requests a second.
func (q *lateQueue) push(t *Ticket, rate float64, now time.Time) bool {
	if float64(len(q.tickets)) > rate*t.request.StartBy.Sub(now).Seconds() {
		return false
	}
	q.tickets = append(q.tickets, t)
	return true
}

// isFirst reports whether no other late request goes before t. One that has found room, but no
// replica, holds up none.
func (q *lateQueue) isFirst(t *Ticket, now time.Time) bool {
	for _, w := range q.tickets {
		if w == t {
			break
		}
		if now.Sub(w.waitedAt) < waitingTime {
			return false
		}
	}
	return true
}

// remove removes a request that was sent or given up.
func (q *lateQueue) remove(t *Ticket, wasSent bool, now time.Time) {
	for i, w := range q.tickets {
		if w == t {
			q.tickets = append(q.tickets[:i], q.tickets[i+1:]...)
			break
		}
	}
	if t.request.IsLate && wasSent {
		q.sent.add(now)
	}
}

// lateRate returns how many late requests a second this node expects to send: as many as
// lately, or what those in time leave of the present rate when they come at their usual rate.
func (m *model) lateRate(now time.Time) float64 {
	m.late.sent.decay(demandTime, now)
	m.demand.sent.decay(demandTime, now)
	left := m.demand.sent.count/demandTime.Seconds() - m.demand.usualRate(now)
	return max(m.late.sent.count/demandTime.Seconds(), left)
}

// admitLate decides on a late request: it gets what the requests in time leave.
func (m *model) admitLate(t *Ticket, load load, now time.Time) Decision {
	isFirst := m.late.isFirst(t, now)
	hasRoom := load.utilization() <= maxLateUtilization && load.own+1 <= max(load.share, 1)
	switch {
	case hasRoom && isFirst && !m.isPressed(now):
		return Decision{Verdict: Send}
	case t.isHopeless:
		return Decision{Refuse, ReasonLate}
	}
	t.waitedAt = now
	return Decision{Wait, ReasonLate}
}
