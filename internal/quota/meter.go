package quota

import (
	"time"

	"eelgrassring.dev/internal/clock"
)

// savedPermits is the number of permits that a server without requests saves.
const savedPermits = 1

// maxInterval bounds the time between two permits.
const maxInterval = time.Hour

// meterRetention is how long the schedule of a server is kept after its last permit.
const meterRetention = time.Minute

// meter gives the permits of limited servers, at their home node.
type meter struct {
	// nextAt is when the next permit of each server is due.
	nextAt map[Key]time.Time
}

// reserve takes the next permit of a server. It returns the time at
// which the permit may be used, and false if that is later than maxWait from now: then it
// takes no permit, and returns when another try may succeed.
func (m *meter) reserve(k Key, r homeRate, maxWait time.Duration, now time.Time) (time.Time, bool) {
	interval := intervalOf(r.perSecond)
	next := m.next(k, r, now)
	at := clock.Later(next, now)
	if at.Sub(now) > maxWait {
		return at.Add(-maxWait), false
	}
	m.nextAt[k] = next.Add(interval)
	return at, true
}

// next returns when the next permit of a server is due, at the earliest so long ago that
// savedPermits more are due at once. It begins the schedule of a server that is new.
func (m *meter) next(k Key, r homeRate, now time.Time) time.Time {
	interval := intervalOf(r.perSecond)
	next, known := m.nextAt[k]
	if !known {
		m.prune(now)
		next = now.Add(interval + time.Duration(r.phase*float64(interval)))
		if r.isAlone {
			next = next.Add(-interval)
		}
		m.nextAt[k] = next
	}
	// After a rise of the limit, permits that are due by the former one come sooner.
	if latest := now.Add(maxQueue + interval); next.After(latest) {
		next = latest
	}
	if r.isAlone {
		return clock.Later(next, now)
	}
	return clock.Later(next, now.Add(-savedPermits*interval))
}

// prune drops the schedules of servers that get no permits any more.
func (m *meter) prune(now time.Time) {
	for k, at := range m.nextAt {
		if now.Sub(at) > meterRetention {
			delete(m.nextAt, k)
		}
	}
}

// homeRate is how a home node gives a server's permits. phase, from 0 to 1, is the part of an
// interval by which its first one is late, which differs between nodes: those that lose each
// other at the same time must not begin together.
type homeRate struct {
	perSecond float64
	phase     float64
	// isAlone is set at a node that is out of touch with all others and gives permits of a cold
	// server: as each of them begins with its phase, and saves none, all of them together give a
	// steady rate from the start.
	isAlone bool
}

// intervalOf returns the time between two permits at a rate.
func intervalOf(perSecond float64) time.Duration {
	return time.Duration(min(float64(time.Second)/perSecond, float64(maxInterval)))
}
