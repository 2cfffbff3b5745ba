package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/clock"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/routing"
)

// decisionCounter is a log handler that counts the controllers' decisions about replicas
// and servers, and all log lines by their message.
type decisionCounter struct {
	mu     sync.Mutex
	counts map[string]int
	// maxSteps is the largest number of decision steps that a controller made in 2 s.
	maxSteps int
}

func (d *decisionCounter) Enabled(_ context.Context, l slog.Level) bool { return l >= slog.LevelInfo }
func (d *decisionCounter) WithAttrs([]slog.Attr) slog.Handler           { return d }
func (d *decisionCounter) WithGroup(string) slog.Handler                { return d }

func (d *decisionCounter) Handle(_ context.Context, r slog.Record) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts[r.Message]++
	if r.Message != event.ReplicaChanged.Name && r.Message != event.ControllerLoad.Name {
		return nil
	}
	r.Attrs(func(a slog.Attr) bool {
		switch a.Key {
		case "what":
			d.counts[a.Value.String()]++
		case "steps":
			d.maxSteps = max(d.maxSteps, int(a.Value.Int64()))
		}
		return true
	})
	return nil
}

// count returns how often a decision was made, or a message was logged.
func (d *decisionCounter) count(what string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.counts[what]
}

// mostSteps returns the largest number of decision steps that a controller made in 2 s.
func (d *decisionCounter) mostSteps() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.maxSteps
}

// busyControl is a control interface of backend servers that answer at once, on a node
// whose processor completes one call after the other and needs callTime for each.
type busyControl struct {
	testControl
	callTime  time.Duration
	processor chan struct{}
	mu        sync.Mutex
	// servers holds the state of each server by address; those that are missing never
	// answer.
	servers map[string]ring.Server
	// register writes the registry entry of a server whose state has changed, if it is set.
	register func(ring.Server)
	// stagedAt holds when the orders to stage a model were carried out.
	stagedAt []time.Time
}

// waitForProcessor returns when the processor has completed the call, or with an error
// when the context has ended before.
func (c *busyControl) waitForProcessor(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case c.processor <- struct{}{}:
	}
	defer func() { <-c.processor }()
	clock.Sleep(ctx, c.callTime)
	return ctx.Err()
}

func (c *busyControl) Inspect(ctx context.Context, address string) (ring.Server, error) {
	c.mu.Lock()
	s, lives := c.servers[address]
	c.mu.Unlock()
	if !lives {
		<-ctx.Done()
		return ring.Server{}, ctx.Err()
	}
	return s, c.waitForProcessor(ctx)
}

func (c *busyControl) Order(ctx context.Context, address string, o ring.ReplicaOrder, _ func() bool) (bool, error) {
	if err := c.waitForProcessor(ctx); err != nil {
		return false, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s, lives := c.servers[address]
	if !lives {
		return false, context.DeadlineExceeded
	}
	s.Orders++
	switch o.Kind {
	case ring.OrderLeave:
		s.Membership = ring.Membership{}
	case ring.OrderJoin:
		s.Model, s.Membership = o.Model, ring.Membership{Group: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, s.ID), State: ring.MemberReady}
	case ring.OrderOpen:
		s.Membership.State = ring.MemberOpen
	case ring.OrderStage:
		s.Staged = []ring.Model{o.Model}
		c.stagedAt = append(c.stagedAt, time.Now())
	}
	c.servers[address] = s
	if c.register != nil {
		c.register(s)
	}
	return true, nil
}

// useBusyControl makes the first node reach the servers by a busyControl.
func (tc *testCluster) useBusyControl(callTime time.Duration) *busyControl {
	control := &busyControl{callTime: callTime, processor: make(chan struct{}, 1), servers: map[string]ring.Server{}}
	tc.agents[0].config.Control = control
	return control
}

// putBusyServers registers servers of an earlier controller's replica whose head is gone,
// so that a new controller asks each of them for its state.
func (tc *testCluster) putBusyServers(is *is.I, control *busyControl, n int) {
	for i := range n {
		id := fmt.Sprintf("h%03d", i)
		s := ring.Server{
			ID: ring.VM(id), Address: id, Service: "s", Domain: ring.Domain(fmt.Sprint("d", i/16)), Staged: []ring.Model{"m"},
			Membership: ring.Membership{Group: ring.Group(fmt.Sprint("g", i/16)), Epoch: ring.Epoch(1 + i/16), Rank: i % 16, State: ring.MemberReady},
		}
		control.servers[id] = s
		tc.putServer(s)
	}
	value, err := json.Marshal(ring.Routing{Number: 1, Services: []ring.RoutedService{{Name: "s", Models: []ring.ReplicaModel{{Name: "m", Size: 16, LoadTime: time.Minute}}}}})
	is.NoErr(err)
	tc.writeKey("routing", value)
}

// TestSlowControllerTakesNoLiveServerForDead guards against a controller on a slow
// processor that counts its own slowness against the servers: calls that it could not
// complete in time made live servers count as dead, which broke replicas and caused more
// calls.
func TestSlowControllerTakesNoLiveServerForDead(t *testing.T) {
	runCluster(t, 1, func(is *is.I, tc *testCluster) {
		control := tc.useBusyControl(10 * time.Millisecond)
		tc.putBusyServers(is, control, 400)
		time.Sleep(20 * time.Second)
		if n := tc.decisions.count("server considered dead"); n != 0 {
			t.Errorf("%d live servers were considered dead", n)
		}
	})
}

// TestSlowControllerFindsDeadServers checks that the tolerance for the controller's own
// slowness does not hide servers that are dead.
func TestSlowControllerFindsDeadServers(t *testing.T) {
	runCluster(t, 1, func(is *is.I, tc *testCluster) {
		control := tc.useBusyControl(10 * time.Millisecond)
		tc.putBusyServers(is, control, 400)
		control.mu.Lock()
		for i := range 10 {
			delete(control.servers, fmt.Sprintf("h%03d", 40*i))
		}
		control.mu.Unlock()
		time.Sleep(40 * time.Second)
		if n := tc.decisions.count("server considered dead"); n != 10 {
			t.Errorf("%d servers were considered dead, want the 10 that are", n)
		}
	})
}

// TestManyResultsCauseFewDecisions guards against a controller that decides anew after
// each result of an order or inspection: with hundreds of results a second the decisions
// took most of its processor time, and the calls in progress timed out.
func TestManyResultsCauseFewDecisions(t *testing.T) {
	runCluster(t, 1, func(is *is.I, tc *testCluster) {
		control := tc.useBusyControl(time.Millisecond)
		tc.putBusyServers(is, control, 400)
		time.Sleep(10 * time.Second)
		if steps, most := tc.decisions.mostSteps(), 250; steps > most { // 100 a second, in 2 s and the rest of a tick
			t.Errorf("%d decisions within 2 s, want at most %d", steps, most)
		}
	})
}

// TestQueuedLoadsAreNotSentOnceThereAreRequests guards against exceeding the rate of loads
// from the weight store (CEILING): before the first request all servers may load at once,
// and orders that a slow node still has queued then were sent all the same.
func TestQueuedLoadsAreNotSentOnceThereAreRequests(t *testing.T) {
	const loadsPerSecond, window, tolerance = 10, 5 * time.Second, 1.1
	runCluster(t, 1, func(is *is.I, tc *testCluster) {
		control := tc.useBusyControl(10 * time.Millisecond)
		control.register = tc.putServer
		for i := range 400 {
			s := ring.Server{ID: ring.VM(fmt.Sprintf("h%03d", i)), Incarnation: "1", Address: fmt.Sprint("h", i), Service: "s", Domain: ring.Domain(fmt.Sprint("d", i/40))}
			control.servers[s.Address] = s
			tc.putServer(s)
		}
		models := []ring.ReplicaModel{{Name: "large", Size: 16, Share: 0.5, LoadTime: 16 * time.Second}, {Name: "small", Size: 4, Share: 0.5, LoadTime: 12 * time.Second}}
		value, err := json.Marshal(ring.Routing{Number: 1, Services: []ring.RoutedService{{Name: "s", Models: models, LoadsPerSecond: loadsPerSecond, LoadsAtOnce: 200}}})
		is.NoErr(err)
		tc.writeKey("routing", value)
		for len(control.staged(time.Time{})) < 20 {
			time.Sleep(10 * time.Millisecond)
		}
		tc.agents[0].fleet.ObserveProfile("large", routing.RequestProfile{Prefill: time.Millisecond})
		began := time.Now().Add(200 * time.Millisecond) // Orders may be on their way.
		time.Sleep(window + 200*time.Millisecond)
		if n, most := len(control.staged(began)), int(loadsPerSecond*window.Seconds()*tolerance)+3; n > most {
			t.Errorf("%d loads began within %s, want at most %d", n, window, most)
		}
		time.Sleep(20 * time.Second)
		if n := len(control.staged(began)); n < 100 {
			t.Errorf("%d loads began within 25 s, want at least 100 of those that were dropped", n)
		}
	})
}

// staged returns when orders to stage a model were carried out after a time.
func (c *busyControl) staged(after time.Time) []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []time.Time
	for _, at := range c.stagedAt {
		if at.After(after) {
			out = append(out, at)
		}
	}
	return out
}
