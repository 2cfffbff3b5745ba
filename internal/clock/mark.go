package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a moment whose age counts time in which the machine was suspended;
// the steady clock stands still then.
type Instant struct {
	monotonic time.Time
	sinceBoot time.Duration
}

// NewInstant returns the current moment.
func NewInstant() Instant {
	return Instant{monotonic: time.Now(), sinceBoot: timeSinceBoot()}
}

// Earlier returns the moment that lies the span before m.
func (m Instant) Earlier(span time.Duration) Instant {
	return Instant{monotonic: m.monotonic.Add(-span), sinceBoot: m.sinceBoot - span}
}

// IsZero reports whether m was never set.
func (m Instant) IsZero() bool { return m.monotonic.IsZero() }

// Age returns the time since m.
func (m Instant) Age() time.Duration {
	return max(time.Since(m.monotonic), timeSinceBoot()-m.sinceBoot)
}

// timeSinceBoot reads the clock that counts suspended time; it is 0 where there is
// none.
func timeSinceBoot() time.Duration {
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) != nil {
		return 0
	}
	return time.Duration(now.Nano())
}
