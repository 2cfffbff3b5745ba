package quota

import (
	"flag"
	"slices"
	"testing"
	"time"
)

// seeds is the number of seeds of each simulation.
var seeds = flag.Int("quota.seeds", 20, "seeds of each simulation of package quota")

// TestServersGetNoMoreThanTheirLimit guards against nodes that obey a server's limit each
// alone, or start with credit of their own: of hundreds of nodes each sends little, and all
// together many times the limit.
func TestServersGetNoMoreThanTheirLimit(t *testing.T) {
	for _, nodes := range []int{1, 3, 6, 90, 295, 580} {
		for seed := range *seeds {
			w := newWorld(uint64(seed), worldOptions{nodes: nodes, servers: 8, limit: 1 + float64(seed%8), demand: 0.5 + float64(seed%5), delay: 4 * time.Millisecond, lasts: 20 * time.Second})
			w.run()
			for _, s := range w.servers {
				// Two permits may be saved, and a request may take longer than the one before.
				calm := slices.DeleteFunc(slices.Clone(s.all), func(at time.Time) bool { return at.Before(s.namedAt.Add(contactTime)) })
				if over := busiest(calm, func(end time.Time) float64 { return s.allowed(end) + 1 + savedPermits }); over > 0.5 {
					t.Errorf("%d nodes, seed %d: %.1f requests more than the limit in %s", nodes, seed, over, window)
				}
			}
		}
	}
}

// TestLimitsAreUsed guards against permits that nobody gets although requests wait.
func TestLimitsAreUsed(t *testing.T) {
	for _, nodes := range []int{1, 6, 90, 295} {
		for seed := range *seeds {
			w := newWorld(uint64(seed), worldOptions{nodes: nodes, servers: 8, limit: 2 + float64(seed%6), demand: 2, delay: 4 * time.Millisecond, skew: float64(seed%3) * 0.3, lasts: 20 * time.Second})
			w.run()
			used := float64(w.sent) / (w.options.limit * float64(w.options.servers) * w.options.lasts.Seconds())
			if used < 0.9 {
				t.Errorf("%d nodes, seed %d: %.2f of the permits are used", nodes, seed, used)
			}
		}
	}
}

// TestLimitsHoldUnderFaults guards against faults that let servers get more than the rule
// allows: lost and late messages, nodes that restart, freeze, join or are cut off, limits
// that change, end and begin again, and servers that start again.
func TestLimitsHoldUnderFaults(t *testing.T) {
	for _, nodes := range []int{3, 6, 90} {
		broken := 0
		for seed := range *seeds {
			w := newWorld(uint64(seed), worldOptions{
				nodes: nodes, servers: 6, limit: 1 + float64(seed%8), demand: 3, loss: float64(seed%4) * 0.1, delay: time.Duration(4+seed%60) * time.Millisecond,
				skew: float64(seed%3) * 0.3, faults: true, varies: seed%2 == 1, lasts: 40 * time.Second,
			})
			w.run()
			if over := w.brokenBy(); over > 0 {
				broken++
				t.Errorf("%d nodes, seed %d: %.1f requests more than the rule allows in %s", nodes, seed, over, window)
			}
		}
	}
}

// TestNodesThatObeyAloneBreakTheRule checks that the simulation detects requests beyond a
// limit.
func TestNodesThatObeyAloneBreakTheRule(t *testing.T) {
	for _, nodes := range []int{6, 90} {
		w := newWorld(1, worldOptions{nodes: nodes, servers: 4, limit: 3, demand: 4, delay: 4 * time.Millisecond, isAlone: true, lasts: 20 * time.Second})
		w.run()
		if over := w.brokenBy(); over <= 0 {
			t.Errorf("%d nodes: no breach was found", nodes)
		}
	}
}
