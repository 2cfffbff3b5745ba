package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrassring.dev/internal/fleet"
)

// TestRequestsNeedNoLockOfTheAgent guards against a node that answers nothing because a
// goroutine holds the agent's lock: each request asks whether the keys may be accepted, and
// the load balancer whether the node is ready.
func TestRequestsNeedNoLockOfTheAgent(t *testing.T) {
	a := New(Config{Fleet: fleet.New(), Timing: DefaultTiming()})
	a.mu.Lock()
	defer a.mu.Unlock()
	done := make(chan struct{})
	go func() {
		a.Routing()
		a.MayAcceptAPIKeys(1)
		a.ConfirmedAge()
		a.IsReady()
		a.IsDraining()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Error("a request waits for the agent's lock")
	}
}

// TestStalledStateIsNoticed guards against a node that hangs and says nothing.
func TestStalledStateIsNoticed(t *testing.T) {
	is := is.New(t)
	s := &stallWatch{}
	checksUntilChange := func() int {
		for n := 1; n < 100; n++ {
			if s.check() {
				return n
			}
		}
		return 0
	}
	is.Equal(time.Duration(checksUntilChange()-1)*stallCheckInterval, stallLimit)
	is.True(s.isStalled.Load())
	s.recordMovement()
	is.Equal(checksUntilChange(), 1)
	is.True(!s.isStalled.Load())
	for range 20 {
		s.recordMovement()
		is.True(!s.check())
	}
}
