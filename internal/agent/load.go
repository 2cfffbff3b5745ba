package agent

import (
	"log/slog"
	"sync"
	"time"

	"eelgrassring.dev/internal/event"
)

// controllerLoad measures how long the decisions of a controller, its calls to backend
// servers and their results wait. Long waits show that the node has too little processor
// time for its work.
type controllerLoad struct {
	mu sync.Mutex
	// steps counts the decision steps, which took stepTotal together and stepMax at most.
	steps     int
	stepTotal time.Duration
	stepMax   time.Duration
	// calls counts the calls begun. callWaitMax is the longest time that one waited for
	// a slot, and queueWaitMax the longest time that a result waited for the composer.
	calls        int
	callWaitMax  time.Duration
	queueWaitMax time.Duration
	// timeouts counts the calls without a response, and lateMax is the longest time past
	// its deadline at which such a call ended.
	timeouts int
	lateMax  time.Duration
}

// addStep counts a decision step that took d.
func (l *controllerLoad) addStep(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.steps++
	l.stepTotal += d
	l.stepMax = max(l.stepMax, d)
}

// addCall counts a call that waited for a slot.
func (l *controllerLoad) addCall(waited time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	l.callWaitMax = max(l.callWaitMax, waited)
}

// addQueueWait records the time that a result waited for the composer.
func (l *controllerLoad) addQueueWait(waited time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queueWaitMax = max(l.queueWaitMax, waited)
}

// addTimeout counts a call without a response, which this node noticed late after its
// deadline.
func (l *controllerLoad) addTimeout(late time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timeouts++
	l.lateMax = max(l.lateMax, late)
}

// write logs the measures since the last call and resets them.
func (l *controllerLoad) write(log *event.Log) {
	l.mu.Lock()
	defer l.mu.Unlock()
	log.Write(event.ControllerLoad, slog.Int("steps", l.steps), slog.Duration("step_total", l.stepTotal), slog.Duration("step_max", l.stepMax),
		slog.Int("calls", l.calls), slog.Duration("call_wait_max", l.callWaitMax), slog.Duration("queue_wait_max", l.queueWaitMax),
		slog.Int("timeouts", l.timeouts), slog.Duration("late_max", l.lateMax))
	l.steps, l.stepTotal, l.stepMax = 0, 0, 0
	l.calls, l.callWaitMax, l.queueWaitMax = 0, 0, 0
	l.timeouts, l.lateMax = 0, 0
}
