package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point in time whose age includes time during which the machine
// was suspended. The monotonic clock alone stops during a suspend.
type Instant struct {
	monotonic time.Time
	// suspended is how long the machine had been suspended until then.
	suspended time.Duration
}

// minSuspension is the shortest suspend that counts. Two clocks that are read one after the other
// differ by some time in between, by which ages of the same instant must not differ.
const minSuspension = 50 * time.Millisecond

// NewInstant returns the current instant.
func NewInstant() Instant {
	// If the process stands still between the two readings, ages are too large, never too small.
	boot := read(unix.CLOCK_BOOTTIME)
	return Instant{monotonic: time.Now(), suspended: boot - read(unix.CLOCK_MONOTONIC)}
}

// Earlier returns the instant d before i.
func (i Instant) Earlier(d time.Duration) Instant {
	return Instant{monotonic: i.monotonic.Add(-d), suspended: i.suspended}
}

// IsZero reports whether i was never set.
func (i Instant) IsZero() bool { return i.monotonic.IsZero() }

// Age returns the time since i.
func (i Instant) Age() time.Duration {
	age := time.Since(i.monotonic)
	steady := read(unix.CLOCK_MONOTONIC)
	if suspended := read(unix.CLOCK_BOOTTIME) - steady - i.suspended; suspended >= minSuspension {
		age += suspended
	}
	return age
}

// read returns the value of one of the system's clocks, or 0 if the system does not have it.
// CLOCK_BOOTTIME less CLOCK_MONOTONIC is how long the machine has been suspended.
func read(clock int32) time.Duration {
	var now unix.Timespec
	if unix.ClockGettime(clock, &now) != nil {
		return 0
	}
	return time.Duration(now.Nano())
}
