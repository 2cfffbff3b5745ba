package gateway

import (
	"context"
	"errors"
	"sync"
	"time"
)

// errSilent is the error of an attempt that was given up for another server, because
// its own had sent nothing for too long.
var errSilent = errors.New("the server was silent for too long")

// maxTimerLag is how late the timer of a watch may fire. If it fires later, this node itself
// has stood still: what the server has sent meanwhile is not read yet.
const maxTimerLag = 100 * time.Millisecond

// silenceWatch gives up an attempt at a silent server. It does so only after it has
// reserved another server: a sound server may be silent for a time and go on, and then
// the attempt is the caller's only chance for a response.
type silenceWatch struct {
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
	dueAt time.Time
	// extra is the timer of call, or nil.
	extra *time.Timer
	// hasMoved is set when the watch gives up the attempt, and isDone when it has ended.
	hasMoved bool
	isDone   bool
}

// watchSilence returns a watch and the context of its attempt. After delay, and then
// every interval, the watch calls reserve until that returns true, and then cancels the
// context. The calls end with stop. If reserve is nil, the attempt is never given up.
func watchSilence(ctx context.Context, delay, interval time.Duration, reserve func() bool) (context.Context, *silenceWatch) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &silenceWatch{cancel: cancel}
	if reserve == nil {
		return ctx, w
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dueAt = time.Now().Add(delay)
	w.timer = time.AfterFunc(delay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		hasStoodStill := time.Since(w.dueAt) > maxTimerLag
		switch {
		case w.isDone:
		case !hasStoodStill && reserve():
			w.hasMoved = true
			w.cancel(errSilent)
		default:
			w.dueAt = time.Now().Add(interval)
			w.timer.Reset(interval)
		}
	})
	return ctx, w
}

// call calls do after delay, unless the watch has ended by then or this node has stood still. The
// call does not overlap one of reserve.
func (w *silenceWatch) call(delay time.Duration, do func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	dueAt := time.Now().Add(delay)
	w.extra = time.AfterFunc(delay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.isDone && !w.hasMoved && time.Since(dueAt) <= maxTimerLag {
			do()
		}
	})
}

// stop ends the watch and reports whether it gave up the attempt.
func (w *silenceWatch) stop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isDone = true
	if w.timer != nil {
		w.timer.Stop()
	}
	if w.extra != nil {
		w.extra.Stop()
	}
	return w.hasMoved
}

// close ends the watch and its context. It must be called after the attempt.
func (w *silenceWatch) close() {
	w.stop()
	w.cancel(nil)
}
