package agent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/digest"
	"eelgrassring.dev/internal/quota"
)

// limitedServer is a server that names a limit in the tests below.
var limitedServer = quota.KeyOf("s", "1")

// nodesWithoutLimit counts the nodes that do not know that limitedServer is limited.
func (tc *testCluster) nodesWithoutLimit() int {
	count := 0
	for _, a := range tc.agents {
		if a.Quota().IsOpen(limitedServer, time.Now()) {
			count++
		}
	}
	return count
}

// observe lets a node get a response of limitedServer.
func observe(a *Agent, isLimited bool, perSecond float64) {
	a.Quota().Observe(quota.Observation{Server: limitedServer, IsLimited: isLimited, PerSecond: perSecond, At: time.Now()})
}

// TestLimitsReachAllNodes guards against nodes that send a limited server their first
// requests because only others know its limit, and against nodes that hold back requests
// after it has ended.
func TestLimitsReachAllNodes(t *testing.T) {
	for _, nodes := range []int{3, 30, 90} {
		runCluster(t, nodes, func(is *is.I, tc *testCluster) {
			tc.writeConfig(1)
			time.Sleep(10 * time.Second)
			observe(tc.agents[nodes-1], true, 4)
			time.Sleep(100 * time.Millisecond)
			is.Equal(tc.nodesWithoutLimit(), 0)
			observe(tc.agents[nodes/2], false, 0)
			time.Sleep(100 * time.Millisecond)
			is.Equal(tc.nodesWithoutLimit(), nodes)
		})
	}
}

// TestLimitsAreRepeated guards against nodes that never learn of a limit because its
// datagram was lost.
func TestLimitsAreRepeated(t *testing.T) {
	for _, nodes := range []int{3, 90} {
		runCluster(t, nodes, func(is *is.I, tc *testCluster) {
			tc.writeConfig(1)
			time.Sleep(10 * time.Second)
			tc.network.setDrops(func(_ string, m digest.Message) bool { return len(m.Limits) > 0 })
			for _, a := range tc.agents[:2] { // In the tree, at least one of two has heard of by the root's repetition.
				observe(a, true, 4)
			}
			time.Sleep(300 * time.Millisecond)
			is.True(tc.nodesWithoutLimit() > 0)
			tc.network.setDrops(nil)
			observe(tc.agents[nodes-1], true, 4)
			time.Sleep(6 * time.Second)
			is.Equal(tc.nodesWithoutLimit(), 0)
		})
	}
}

// TestNodeThatStartsLearnsLimits guards against a node that has just started and sends a
// limited server requests, because it was not there when the limit began.
func TestNodeThatStartsLearnsLimits(t *testing.T) {
	for _, nodes := range []int{3, 30} {
		runCluster(t, nodes, func(is *is.I, tc *testCluster) {
			tc.writeConfig(1)
			time.Sleep(10 * time.Second)
			observe(tc.agents[0], true, 4)
			time.Sleep(time.Second)
			tc.startNode("z")
			time.Sleep(4 * time.Second)
			is.Equal(tc.nodesWithoutLimit(), 0)
		})
	}
}

// permitLog holds the times at which nodes may send requests to a server.
type permitLog struct {
	mu    sync.Mutex
	times []time.Time
}

// mostIn returns the largest number of requests in a window, from a time on.
func (l *permitLog) mostIn(window time.Duration, from time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	slices.SortFunc(l.times, time.Time.Compare)
	most, first := 0, 0
	for i, at := range l.times {
		for l.times[first].Before(from) || at.Sub(l.times[first]) > window {
			if first++; first > i {
				break
			}
		}
		most = max(most, i-first+1)
	}
	return most
}

// sendPermitted lets each node try to send demand requests a second to limitedServer for a
// time, whose responses name the limit perSecond.
func (tc *testCluster) sendPermitted(perSecond, demand float64, lasts time.Duration) *permitLog {
	var log permitLog
	var wait sync.WaitGroup
	for i, a := range tc.agents {
		wait.Go(func() {
			random := rand.New(rand.NewPCG(uint64(i), 5))
			for end := time.Now().Add(lasts); time.Now().Before(end); {
				time.Sleep(time.Duration(random.ExpFloat64() / demand * float64(time.Second)))
				at, ok := a.Quota().Acquire(context.Background(), limitedServer, 100*time.Millisecond)
				if !ok {
					continue
				}
				time.Sleep(time.Until(at))
				log.mu.Lock()
				log.times = append(log.times, time.Now())
				log.mu.Unlock()
				observe(a, true, perSecond)
			}
		})
	}
	wait.Wait()
	return &log
}

// TestNodesTogetherStayWithinALimit guards against nodes that together send a server many
// times the requests that it takes, because each gives its own permits.
func TestNodesTogetherStayWithinALimit(t *testing.T) {
	const perSecond, window = 4, 4 * time.Second
	for _, nodes := range []int{1, 3, 30, 90} {
		runCluster(t, nodes, func(is *is.I, tc *testCluster) {
			tc.writeConfig(1)
			time.Sleep(10 * time.Second)
			observe(tc.agents[0], true, perSecond)
			time.Sleep(100 * time.Millisecond)
			begin := time.Now()
			log := tc.sendPermitted(perSecond, 12/float64(nodes), 20*time.Second)
			most := log.mostIn(window, begin)
			if most > perSecond*4+2 {
				t.Errorf("%d nodes: %d requests in %s", nodes, most, window)
			}
			if used := float64(len(log.times)) / (perSecond * 20); used < 0.8 {
				t.Errorf("%d nodes: %.2f of the permits are used", nodes, used)
			}
		})
	}
}

// TestSplitNodesStayWithinALimit guards against nodes that are cut off from each other and
// choose a home node on each side of the cut, which together give twice the limit.
func TestSplitNodesStayWithinALimit(t *testing.T) {
	const perSecond, window = 4, 4 * time.Second
	for _, nodes := range []int{6, 30} {
		runCluster(t, nodes, func(is *is.I, tc *testCluster) {
			tc.writeConfig(1)
			time.Sleep(10 * time.Second)
			observe(tc.agents[0], true, perSecond)
			time.Sleep(100 * time.Millisecond)
			isLeft := map[string]bool{}
			for i := range nodes / 2 {
				isLeft[nodeName(i)] = true
			}
			tc.network.setCut(func(from, to string) bool { return isLeft[from] != isLeft[to] })
			begin := time.Now()
			log := tc.sendPermitted(perSecond, 24/float64(nodes), 20*time.Second)
			if most := log.mostIn(window, begin); float64(most) > 1.5*perSecond*window.Seconds()+5 {
				t.Errorf("%d nodes: %d requests in %s", nodes, most, window)
			}
		})
	}
}

// TestPermitsStayWithinByteLimit guards against messages about permits that take more of a
// node's link than all of its control traffic may, while most servers are limited.
func TestPermitsStayWithinByteLimit(t *testing.T) {
	const servers, perSecond, lasts = 60, 3, 15 * time.Second
	for _, nodes := range []int{6, 90} {
		runCluster(t, nodes, func(is *is.I, tc *testCluster) {
			tc.writeConfig(1)
			time.Sleep(10 * time.Second)
			keys := make([]quota.Key, servers)
			for i := range keys {
				keys[i] = quota.KeyOf(ring.VM(fmt.Sprint("s", i)), "1")
				tc.agents[i%nodes].Quota().Observe(quota.Observation{Server: keys[i], IsLimited: true, PerSecond: perSecond, At: time.Now()})
			}
			time.Sleep(time.Second)
			tc.network.resetCounts()
			var wait sync.WaitGroup
			var sent atomic.Int64
			demand := 1.5 * servers * perSecond / float64(nodes)
			for i, a := range tc.agents {
				wait.Go(func() {
					random := rand.New(rand.NewPCG(uint64(i), 6))
					for end := time.Now().Add(lasts); time.Now().Before(end); {
						time.Sleep(time.Duration(random.ExpFloat64() / demand * float64(time.Second)))
						if a.sendToAny(random, keys) {
							sent.Add(1)
						}
					}
				})
			}
			wait.Wait()
			most := 0
			for i := range nodes {
				bytes, _ := tc.network.sent(nodeName(i))
				most = max(most, bytes)
			}
			used := float64(sent.Load()) / (servers * perSecond * lasts.Seconds())
			t.Logf("%d nodes: at most %.0f bytes a second, %.2f of the permits used", nodes, float64(most)/lasts.Seconds(), used)
			if float64(most)/lasts.Seconds() > maxBytesPerSecond {
				t.Errorf("%d nodes: a node sends %.0f bytes a second", nodes, float64(most)/lasts.Seconds())
			}
			if used < 0.8 {
				t.Errorf("%d nodes: %.2f of the permits are used", nodes, used)
			}
		})
	}
}

// sendToAny gets a permit for one of the servers as a gateway does: first for those of which the
// node is the home node, then it asks for two others.
func (a *Agent) sendToAny(random *rand.Rand, keys []quota.Key) bool {
	order := random.Perm(len(keys))
	for _, i := range order {
		if now := time.Now(); a.Quota().IsHome(keys[i], now) && !a.Quota().IsDenied(keys[i], 0, now) {
			if _, ok := a.Quota().Acquire(context.Background(), keys[i], 0); ok {
				return true
			}
		}
	}
	asked := 0
	for _, i := range order {
		if a.Quota().IsDenied(keys[i], 150*time.Millisecond, time.Now()) {
			continue
		}
		if at, ok := a.Quota().Acquire(context.Background(), keys[i], 150*time.Millisecond); ok {
			time.Sleep(time.Until(at))
			return true
		}
		if asked++; asked == 2 {
			return false
		}
	}
	return false
}

// TestOnlyNodeGivesPermitsWhileItStops guards against a node without peers that refuses requests
// to limited servers while it stops, because it leaves their permits to others.
func TestOnlyNodeGivesPermitsWhileItStops(t *testing.T) {
	runCluster(t, 1, func(is *is.I, tc *testCluster) {
		tc.writeConfig(1)
		time.Sleep(5 * time.Second)
		observe(tc.agents[0], true, 4)
		tc.agents[0].Drain()
		time.Sleep(time.Second)
		is.True(tc.agents[0].Quota().IsHome(limitedServer, time.Now()))
		log := tc.sendPermitted(4, 10, 5*time.Second)
		is.True(len(log.times) >= 15)
	})
}
