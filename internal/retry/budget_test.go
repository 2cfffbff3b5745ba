package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var begin = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

// greedy asks so many requests a second for so long, each of which would like
// three retries, and returns when retries were granted.
func greedy(b *Budget, perSecond, seconds, nodes int, pool *Pool) (granted []time.Time) {
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

// most returns the most moments within one window.
func most(moments []time.Time, window time.Duration) int {
	out := 0
	for i, from := range moments {
		n := 0
		for _, one := range moments[i:] {
			if one.Sub(from) < window {
				n++
			}
		}
		out = max(out, n)
	}
	return out
}

func TestBudgetBoundsRetriesInEveryWindow(t *testing.T) {
	is := is.New(t)
	c := Config{Ratio: 0.1, Burst: 20, Window: 10 * time.Second}
	granted := greedy(NewBudget(c), 50, 60, 1, nil)
	limit := 500/10 + 20
	is.True(most(granted, c.Window) <= limit)
	is.True(len(granted) >= 5*limit) // and is had again in each window
}

func TestNodesShareTheBurst(t *testing.T) {
	is := is.New(t)
	c := Config{Ratio: 0.1, Burst: 20, Window: 10 * time.Second}
	is.True(most(greedy(NewBudget(c), 50, 30, 10, nil), c.Window) <= 500/10+2)
}

func TestNodeTakesMoreThanItsPartOnlyWhileThePoolIsHardlyUsed(t *testing.T) {
	is := is.New(t)
	c := Config{Ratio: 0.1, Burst: 200, Window: 10 * time.Second}
	own := 50/10 + 2 // of 100 nodes
	taken := func(all Usage, until time.Time) int {
		pool := &Pool{}
		pool.Update(all, until)
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
	is.Equal(taken(Usage{Requests: 5000, Retries: 349}, at(100)), 2*own) // half of 700
	is.Equal(taken(Usage{Requests: 5000, Retries: 350}, at(100)), own)
	is.Equal(taken(Usage{Requests: 5000, Retries: 0}, at(0)), own) // too old
}
