package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Mark is a moment whose age counts time in which the machine was suspended;
// the steady clock stands still then.
type Mark struct {
	steady time.Time
	boot   time.Duration
}

// NewMark returns the current moment.
func NewMark() Mark {
	return Mark{steady: time.Now(), boot: sinceBoot()}
}

// Before returns the moment that lies the span before m.
func (m Mark) Before(span time.Duration) Mark {
	return Mark{steady: m.steady.Add(-span), boot: m.boot - span}
}

// IsZero reports whether m was never set.
func (m Mark) IsZero() bool { return m.steady.IsZero() }

// Age returns the time since m.
func (m Mark) Age() time.Duration {
	return max(time.Since(m.steady), sinceBoot()-m.boot)
}

// sinceBoot reads the clock that counts suspended time; it is 0 where there is
// none.
func sinceBoot() time.Duration {
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) != nil {
		return 0
	}
	return time.Duration(now.Nano())
}
