package agent

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"eelgrassring.dev/internal/clock"
	"eelgrassring.dev/internal/event"
)

const (
	// stallCheckInterval is how often the agent checks whether its state moves, and
	// stallLimit the time without movement after which the node is not ready.
	stallCheckInterval = time.Second
	stallLimit         = 4 * time.Second
)

// stallWatch finds out that the state of an agent does not move, because a goroutine holds a
// lock and does not go on. Its fields are read and written without a lock.
type stallWatch struct {
	// movedAt is when all locks were last free, as the number of checks until then.
	checks, movedAt atomic.Int64
	isStalled       atomic.Bool
}

// check counts a check and reports whether it has found a stall, or the end of one.
func (s *stallWatch) check() (hasChanged bool) {
	age := time.Duration(s.checks.Add(1)-s.movedAt.Load()) * stallCheckInterval
	isStalled := age > stallLimit
	return s.isStalled.Swap(isStalled) != isStalled
}

// recordMovement records that all locks are free.
func (s *stallWatch) recordMovement() { s.movedAt.Store(s.checks.Load()) }

// runStallWatch logs when the state of the agent stops to move, and when it moves again,
// until the context ends. It counts checks and not time, so that a process that stood still
// does not look stalled when it goes on.
func (a *Agent) runStallWatch(ctx context.Context) {
	moving := make(chan struct{}, 1)
	clock.Every(ctx, stallCheckInterval, func(context.Context) {
		select {
		case moving <- struct{}{}:
			go func() { // It ends only when the locks are free.
				a.touchState()
				a.stall.recordMovement()
				<-moving
			}()
		default:
		}
		if a.stall.check() {
			a.logStall()
		}
	})
}

// logStall logs whether the state moves.
func (a *Agent) logStall() {
	if a.stall.isStalled.Load() {
		a.log.Write(event.StateStalled, slog.Duration("for", stallLimit))
		return
	}
	a.log.Write(event.StateMoves)
}

// touchState takes the locks that the work of the agent needs, one after the other.
func (a *Agent) touchState() {
	a.mu.Lock()
	routing, servers, state := a.routingMirror, a.serversMirror, a.stateMirror
	a.mu.Unlock()
	routing.IsWatching()
	servers.IsWatching()
	state.IsWatching()
	a.fleet.NewestRevision()
}
