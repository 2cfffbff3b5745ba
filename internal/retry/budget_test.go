package retry

import (
	"testing"
	"time"
	"unsafe"

	"github.com/matryer/is"
)

// begin is the time from which at counts.
var begin = time.Unix(1_700_000_000, 0)

// at returns the time ms milliseconds after begin.
func at(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

// retryAll sends requests at a constant rate, tries to take three retries for
// each, and returns the times of the granted retries.
func retryAll(b *Budget, perSecond, seconds, nodes int, pool *Pool) (granted []time.Time) {
	for i := range perSecond * seconds {
		now := at(i * 1000 / perSecond)
		b.RecordRequest(now)
		for range 3 {
			if b.Take(now, nodes, pool) {
				granted = append(granted, now)
			}
		}
	}
	return granted
}

// maxInWindow returns the largest number of times within one window.
func maxInWindow(times []time.Time, window time.Duration) int {
	highest := 0
	for i, from := range times {
		n := 0
		for _, t := range times[i:] {
			if t.Sub(from) < window {
				n++
			}
		}
		highest = max(highest, n)
	}
	return highest
}

func TestBudgetBoundsRetriesInEveryWindow(t *testing.T) {
	is := is.New(t)
	c := Config{Ratio: 0.1, Burst: 20, Window: 10 * time.Second}
	granted := retryAll(NewBudget(c), 50, 60, 1, nil)
	limit := 500/10 + 20
	is.True(maxInWindow(granted, c.Window) <= limit)
	is.True(len(granted) >= 5*limit) // the budget refills in each window
}

func TestNodesShareTheBurst(t *testing.T) {
	is := is.New(t)
	c := Config{Ratio: 0.1, Burst: 20, Window: 10 * time.Second}
	is.True(maxInWindow(retryAll(NewBudget(c), 50, 30, 10, nil), c.Window) <= 500/10+2)
}

func TestNodeExceedsItsPartOnlyWhileThePoolIsLessThanHalfUsed(t *testing.T) {
	is := is.New(t)
	c := Config{Ratio: 0.1, Burst: 200, Window: 10 * time.Second}
	own := 50/10 + 2 // the burst of 200 is shared by 100 nodes
	taken := func(total Usage, validUntil time.Time) int {
		pool := &Pool{}
		pool.Update(total, validUntil)
		b := NewBudget(c)
		for range 50 {
			b.RecordRequest(at(0))
		}
		n := 0
		for range 100 {
			if b.Take(at(0), 100, pool) {
				n++
			}
		}
		return n
	}
	is.Equal(taken(Usage{Requests: 5000, Retries: 349}, at(100)), 2*own) // half of the budget, 5000/10 + 200, is 350
	is.Equal(taken(Usage{Requests: 5000, Retries: 350}, at(100)), own)
	is.Equal(taken(Usage{Requests: 5000, Retries: 0}, at(0)), own) // the usage is no longer valid
}

// atTimeOfDay returns t with a time of day that is shifted by d, as after a step of the
// machine's clock. The monotonic reading, by which times are compared, stays. It relies on the
// representation of time.Time, whose first word holds the seconds from bit 30 on.
func atTimeOfDay(t time.Time, d time.Duration) time.Time {
	word := (*uint64)(unsafe.Pointer(&t))
	*word += uint64(d/time.Second) << 30
	return t
}

// TestStepsOfTheClockDoNotRenewTheBudget guards against counts that the time of day expires: a
// step of the clock by the window would allow all retries once more.
func TestStepsOfTheClockDoNotRenewTheBudget(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	is.Equal(atTimeOfDay(now, time.Hour).Sub(now), time.Duration(0)) // the helper works
	is.Equal(atTimeOfDay(now, time.Hour).Unix()-now.Unix(), int64(3600))
	b := NewBudget(Config{Ratio: 0, Burst: 5, Window: 10 * time.Second})
	taken := 0
	for i := range 100 {
		step := time.Duration(i%3) * time.Hour
		if b.Take(atTimeOfDay(now.Add(time.Duration(i)*50*time.Millisecond), step), 1, nil) {
			taken++
		}
	}
	is.Equal(taken, 5)
	is.True(b.Take(now.Add(time.Minute), 1, nil)) // the window has passed
}
