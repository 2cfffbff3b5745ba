package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point in time whose age includes time during which the machine
// was suspended. The monotonic clock alone stops during a suspend.
type Instant struct {
	monotonic time.Time
	sinceBoot time.Duration
}

// NewInstant returns the current instant.
func NewInstant() Instant {
	return Instant{monotonic: time.Now(), sinceBoot: timeSinceBoot()}
}

// Earlier returns the instant d before i.
func (i Instant) Earlier(d time.Duration) Instant {
	return Instant{monotonic: i.monotonic.Add(-d), sinceBoot: i.sinceBoot - d}
}

// IsZero reports whether i was never set.
func (i Instant) IsZero() bool { return i.monotonic.IsZero() }

// Age returns the time since i.
func (i Instant) Age() time.Duration {
	return max(time.Since(i.monotonic), timeSinceBoot()-i.sinceBoot)
}

// timeSinceBoot returns the value of CLOCK_BOOTTIME, which includes suspended time,
// or 0 if the system does not have this clock.
func timeSinceBoot() time.Duration {
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) != nil {
		return 0
	}
	return time.Duration(now.Nano())
}
