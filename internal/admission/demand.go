package admission

import (
	"math"
	"time"

	ring "eelgrassring.dev"
)

const (
	// priorities is the number of priorities that are told apart, and orders that of the
	// classes: the excess of workspaces comes after all other requests.
	priorities = 10
	orders     = 2 * priorities
	// floorFraction is the part of the mean admitted share that every class gets. Some of the
	// admitted requests are late all the same, so it is more than the quarter that is owed.
	floorFraction = 0.3
	// growth is how much more is admitted than was sent lately, so that the replicas are
	// used in full.
	growth = 1.1
	// demandTime is the time constant of the rates of classes. recentTime and usualTime are
	// those of a workspace's present and usual rate.
	demandTime = 1500 * time.Millisecond
	recentTime = 3 * time.Second
	usualTime  = 20 * time.Second
	// surgeTime is the time constant of the present rate of all requests, and surgeDeviations
	// by how many standard deviations it must exceed the usual rate to count as a surge.
	surgeTime       = 500 * time.Millisecond
	surgeDeviations = 3
	// excessFactor is how many times its usual rate a workspace may send. excessDeviations
	// and excessCount are added for chance, in standard deviations and in requests.
	excessFactor     = 1.5
	excessDeviations = 1
	excessCount      = 0.5
	// maxWorkspaces bounds the workspaces whose rates are kept.
	maxWorkspaces = 4096
)

// rate is a count in which older events weigh less.
type rate struct {
	count float64
	at    time.Time
}

// decay lets the count fall until now.
func (r *rate) decay(constant time.Duration, now time.Time) {
	if d := now.Sub(r.at); d > 0 {
		r.count *= math.Exp(-d.Seconds() / constant.Seconds())
		r.at = now
	}
}

// sentRate is a rate with the time constant of classes.
type sentRate struct{ rate }

// add counts an event.
func (r *sentRate) add(now time.Time) {
	r.decay(demandTime, now)
	r.count++
}

// workspaceRate holds a workspace's present and usual rate.
type workspaceRate struct{ recent, usual rate }

// demand counts what is asked of a model at this node, and what is sent.
type demand struct {
	asked [orders]sentRate
	sent  sentRate
	// present and usual are the rates of all requests, since knownSince.
	present, usual rate
	knownSince     time.Time
	workspaces     map[ring.Workspace]*workspaceRate
	since          time.Time
}

// orderOf returns the place of a class: by priority, all excess last.
func orderOf(priority int, isExcess bool) int {
	order := min(max(priority, 0), priorities-1)
	if isExcess {
		order += priorities
	}
	return order
}

// arrive counts a request of a class.
func (d *demand) arrive(order int, now time.Time) {
	for i := range d.asked {
		d.asked[i].decay(demandTime, now)
	}
	d.sent.decay(demandTime, now)
	d.asked[order].count++
	if d.knownSince.IsZero() {
		d.knownSince = now
	}
	d.present.decay(surgeTime, now)
	d.usual.decay(usualTime, now)
	d.present.count++
	d.usual.count++
}

// isSurge reports whether more requests come than chance lets expect.
func (d *demand) isSurge(now time.Time) bool {
	if d.knownSince.IsZero() || now.Sub(d.knownSince) < surgeTime {
		return false
	}
	d.present.decay(surgeTime, now)
	expected := d.usualRate(now) * surgeTime.Seconds()
	return d.present.count > expected+surgeDeviations*math.Sqrt(expected)
}

// usualRate returns the usual rate of all requests in requests a second.
func (d *demand) usualRate(now time.Time) float64 {
	if d.knownSince.IsZero() || !now.After(d.knownSince) {
		return 0
	}
	d.usual.decay(usualTime, now)
	known := 1 - math.Exp(-now.Sub(d.knownSince).Seconds()/usualTime.Seconds())
	return d.usual.count / usualTime.Seconds() / known
}

// isExcess counts a request of a workspace and reports whether it exceeds the workspace's
// usual rate. chance, from 0 to 1, selects the part that does.
func (d *demand) isExcess(w ring.Workspace, chance float64, now time.Time) bool {
	if w == "" {
		return false
	}
	if d.workspaces == nil {
		d.workspaces, d.since = map[ring.Workspace]*workspaceRate{}, now
	}
	r, ok := d.workspaces[w]
	if !ok {
		if len(d.workspaces) >= maxWorkspaces {
			return false
		}
		r = &workspaceRate{}
		d.workspaces[w] = r
	}
	r.recent.decay(recentTime, now)
	r.usual.decay(usualTime, now)
	r.recent.count++
	// The usual rate is that of the time before the present one. The counts before this node
	// had requests are missing in it.
	known := 1 - math.Exp(-now.Sub(d.since).Seconds()/usualTime.Seconds())
	before := max(r.usual.count-r.recent.count, 0)
	expected := before * recentTime.Seconds() / (usualTime - recentTime).Seconds() / max(known, 0.05)
	allowed := excessFactor*expected + excessDeviations*math.Sqrt(expected) + excessCount
	isExcess := now.Sub(d.since) > 2*recentTime && chance > allowed/r.recent.count
	if !isExcess {
		r.usual.count++ // Otherwise the excess would soon be usual.
	}
	return isExcess
}

// chance returns the probability with which a request of a class is admitted under
// pressure, relative to the class that is admitted most. Each class gets a floor, and what
// is left goes to the classes in their order.
func (d *demand) chance(order int) float64 {
	total := 0.0
	for i := range d.asked {
		total += d.asked[i].count
	}
	budget := d.sent.count * growth
	if total <= 0 || budget >= total {
		return 1
	}
	floor := floorFraction * budget / total
	rest := budget - floor*total
	most, own := 0.0, 1.0
	for i := range d.asked {
		asked := d.asked[i].count
		extra := min(asked*(1-floor), rest)
		rest -= extra
		chance := floor
		if asked > 0 {
			chance += extra / asked
			most = max(most, chance)
		}
		if i == order {
			own = chance
		}
	}
	return own / max(most, floor)
}

// waitingTime is how long a request counts as waiting after it was last told to wait. It
// spans a few polls.
const waitingTime = 50 * time.Millisecond

// isFirst reports whether no other waiting request goes before t.
func (m *model) isFirst(t *Ticket, now time.Time) bool {
	for _, w := range m.waiting {
		if w != t && now.Sub(w.waitedAt) < waitingTime && w.isBefore(t) {
			return false
		}
	}
	return true
}

// isBefore reports whether a waiting request goes before another: by its class, then by the
// time that it has left. The one with the most time goes first: while more requests wait than
// find room, the one with the least would often be late all the same.
func (t *Ticket) isBefore(other *Ticket) bool {
	if t.order != other.order {
		return t.order < other.order
	}
	if !t.request.StartBy.Equal(other.request.StartBy) {
		return t.request.StartBy.After(other.request.StartBy)
	}
	return t.sequence > other.sequence
}
