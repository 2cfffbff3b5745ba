package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/fleet"
)

const (
	// stallCheckInterval is how often a waiting stream looks whether its replica still
	// works.
	stallCheckInterval = 100 * time.Millisecond
	// streamWriteTimeout bounds one write to a caller, so that one who stops reading
	// holds no place.
	streamWriteTimeout = 5 * time.Second
	// resumeMargin is the least time that must be left for a resumed stream.
	resumeMargin = 400 * time.Millisecond
)

// retryBudgetSpent is why a call that could go on does not.
const retryBudgetSpent = "the budget of retries is spent"

// errStalled marks a try that was given up because its replica stands still.
var errStalled = errors.New("the replica stands still")

// serveReplica serves a call that names a model.
func (f *Front) serveReplica(w http.ResponseWriter, r *http.Request, v *frontRequest) *ring.Failure {
	passed := map[ring.Group]bool{}
	out := &replicaRelay{front: f, w: w, request: v, lastEventID: v.header.LastEvent}
	var last *ring.Failure
	for v.attempts < v.route.Tries {
		if failure := f.recheck(v); failure != nil {
			return out.finish(failure)
		}
		chosen, failure := f.selector.acquire(r.Context(), v, passed)
		if failure != nil {
			if last == nil || v.attempts == 0 {
				last = failure
			}
			break
		}
		if v.attempts > 0 && !f.budgets.take(v.service) {
			f.config.Fleet.End(chosen.Group, false)
			v.note = retryBudgetSpent
			break
		}
		passed[chosen.Group] = true
		v.destination = string(chosen.Group)
		isLast := v.attempts+1 >= v.route.Tries
		isFinal, err := out.attempt(r.Context(), chosen, isLast)
		if err == nil {
			return nil
		}
		f.logFailedAttempt(v, chosen.Head, err)
		if r.Context().Err() != nil {
			return out.finish(nil)
		}
		last = f.failureFor(v, err)
		if isFinal || (out.started && !v.route.Resumable) {
			break
		}
		if err.stage == stageSent && !v.route.MayRepeat() {
			break
		}
		if out.started {
			f.config.Log.Write(event.StreamResumed, slog.String("request", v.header.ID), slog.String("group", string(chosen.Group)),
				slog.String("after", out.lastEventID), slog.Any("error", err))
		}
	}
	return out.finish(last)
}

// failureFor says what a failed try means for the caller.
func (f *Front) failureFor(v *frontRequest, err *attemptError) *ring.Failure {
	back := time.Now().Add(busyRetryAfter)
	switch {
	case err.stage == stageNotSent:
		return ring.FailUntil(ring.CodeUnreachable, back, "no replica of the model could be reached")
	case err.stage == stageRefused:
		return ring.FailUntil(ring.CodeBackendRefused, back, "the replica refused the request")
	case time.Until(v.deadline) < responseMargin:
		return ring.Fail(ring.CodeTimedOut, "the replica gave no answer in time")
	default:
		return ring.Fail(ring.CodeOutcomeUnknown, "the replica gave no whole answer")
	}
}

// replicaRelay passes one call's answer on over several tries.
type replicaRelay struct {
	front   *Front
	w       http.ResponseWriter
	request *frontRequest
	// started is set once the caller has a byte of the answer; lastEvent is the
	// last event that it has.
	started     bool
	lastEventID string
	// lastEventAt is when the caller got its last event.
	lastEventAt time.Time
	// writeUntil is the deadline of writes that is set.
	writeUntil time.Time
}

// finish gives the final answer. A stream that began can only be broken off, so
// that it does not look whole.
func (o *replicaRelay) finish(failure *ring.Failure) *ring.Failure {
	if !o.started {
		return failure
	}
	if failure != nil {
		o.request.code = ring.CodeStreamBroken
		if o.request.note == "" {
			o.request.note = failure.Message
		}
	}
	panic(http.ErrAbortHandler)
}

// stallWatch watches one try: it breaks the try off when the replica stands still
// and another may serve the call.
type stallWatch struct {
	mu      sync.Mutex
	timer   *time.Timer
	stalled bool
	done    bool
}

// reportStall tells the peers at once when a replica is first seen to stand still.
func (f *Front) reportStall(g ring.Group) {
	if f.config.Fleet.MarkSuspected(g, time.Now()) {
		f.config.Node.SendDigestSoon()
	}
}

func (f *Front) watchStall(x *exchange, g ring.Group) *stallWatch {
	out := &stallWatch{}
	out.mu.Lock()
	defer out.mu.Unlock()
	out.timer = time.AfterFunc(stallCheckInterval, func() {
		out.mu.Lock()
		defer out.mu.Unlock()
		switch {
		case out.done:
		case f.config.Fleet.StalledFor(g, time.Now()) > fleet.StallTimeout:
			out.stalled = true
			f.reportStall(g)
			x.abort()
		default:
			out.timer.Reset(stallCheckInterval)
		}
	})
	return out
}

// stop ends the watch and reports whether it broke the try off.
func (g *stallWatch) stop() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.done = true
	if g.timer != nil {
		g.timer.Stop()
	}
	return g.stalled
}

// attempt dispatches the call once and passes the answer on. It reports whether
// the outcome is final.
func (o *replicaRelay) attempt(ctx context.Context, chosen fleet.Replica, isLast bool) (bool, *attemptError) {
	v, f := o.request, o.front
	streaming := false
	defer func() { f.config.Fleet.End(chosen.Group, streaming) }()
	x, failed := f.sendToReplica(ctx, v, chosen, o.lastEventID, isLast)
	if failed == nil || failed.stage != stageNotSent {
		v.attempts++
	}
	if failed != nil {
		f.config.Fleet.MarkFailed(chosen.Group, time.Now())
		return false, failed
	}
	defer x.close()
	if x.header.NotRun {
		f.config.Fleet.MarkFailed(chosen.Group, time.Now())
		return false, &attemptError{stage: stageRefused, err: fmt.Errorf("refused with status %d by %s", x.response.StatusCode, x.header.Culprit)}
	}
	if !strings.HasPrefix(x.response.Header.Get("Content-Type"), "text/event-stream") || x.response.StatusCode != http.StatusOK {
		return o.relayWhole(x, chosen.Group, isLast)
	}
	watch := &stallWatch{done: true}
	if !isLast && v.route.MayRepeat() {
		watch = f.watchStall(x, chosen.Group)
	}
	defer watch.stop()
	err := o.relayStream(x, chosen.Group, &streaming)
	if watch.stop() && err != nil {
		err = &attemptError{stage: stageSent, err: errStalled}
	}
	return err != nil && errors.Is(err, os.ErrDeadlineExceeded) && time.Until(v.deadline) <= 0, err
}

// sendToReplica begins a try at a replica. The head of a stream's answer comes with
// its first event, so the replica is watched meanwhile.
func (f *Front) sendToReplica(ctx context.Context, v *frontRequest, chosen fleet.Replica, lastEvent string, isLast bool) (*exchange, *attemptError) {
	if isLast || !v.route.MayRepeat() {
		return f.sendAttempt(ctx, v, chosen.Head, lastEvent, v.deadline)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	ticker := time.NewTicker(stallCheckInterval)
	done := make(chan struct{})
	go func() {
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				if f.config.Fleet.StalledFor(chosen.Group, time.Now()) > fleet.StallTimeout {
					f.reportStall(chosen.Group)
					cancel(errStalled)
					return
				}
			}
		}
	}()
	x, failed := f.sendAttempt(ctx, v, chosen.Head, lastEvent, v.deadline)
	close(done)
	if failed != nil && context.Cause(ctx) == errStalled {
		failed.err = errStalled
	}
	if failed != nil {
		cancel(nil)
		return nil, failed
	}
	stop := x.stopAbort
	x.stopAbort = func() bool { cancel(nil); return stop() }
	return x, nil
}

// relayWhole passes an answer on that is no stream.
func (o *replicaRelay) relayWhole(x *exchange, group ring.Group, isLast bool) (bool, *attemptError) {
	body, err := x.readBody()
	if err != nil {
		return false, &attemptError{stage: stageSent, err: err}
	}
	isBad := x.response.StatusCode >= http.StatusInternalServerError
	if isBad {
		// It fails sooner than others answer, so it would look the least loaded.
		o.front.config.Fleet.MarkFailed(group, time.Now())
	}
	if o.started || (isBad && !isLast && o.request.route.MayRepeat()) {
		return false, &attemptError{stage: stageSent, err: fmt.Errorf("status %d", x.response.StatusCode)}
	}
	o.request.timeToFirstEvent = time.Since(o.request.start)
	writeResponse(o.w, o.request, x, body)
	return true, nil
}

// relayStream passes events on until the stream is whole. An event is passed on
// only as a whole.
func (o *replicaRelay) relayStream(x *exchange, group ring.Group, streaming *bool) *attemptError {
	events := newEventReader(x.response.Body)
	for {
		e, err := events.next()
		if errors.Is(err, errStreamEnd) {
			if !o.started {
				o.writeHead(x)
			}
			return nil
		}
		if err != nil {
			return &attemptError{stage: stageSent, err: fmt.Errorf("stream broke: %w", err)}
		}
		now := time.Now()
		o.front.config.Fleet.ObserveEvent(group, !*streaming, now)
		*streaming = true
		if o.isDuplicate(e) {
			continue
		}
		if !o.started {
			o.writeHead(x)
			o.request.timeToFirstEvent = now.Sub(o.request.start)
			if o.request.attempts == 1 {
				o.front.config.Fleet.ObserveFirstEventTime(o.request.header.Model, now.Sub(o.request.sentAt)-o.request.expectedPrefill)
			}
		}
		if !o.lastEventAt.IsZero() {
			pause := now.Sub(o.lastEventAt)
			o.request.maxEventGap = max(o.request.maxEventGap, pause)
			o.front.config.Fleet.ObserveGap(group, pause, now)
		}
		o.lastEventAt = now
		o.writeEvent(e.raw, now)
		if e.id != "" {
			o.lastEventID = e.id
		}
	}
}

// isDuplicate reports whether the caller has the event.
func (o *replicaRelay) isDuplicate(e streamEvent) bool {
	last, hasLast := numericEventID(o.lastEventID)
	own, hasOwn := numericEventID(e.id)
	return hasLast && hasOwn && own <= last
}

func (o *replicaRelay) writeHead(x *exchange) {
	o.started = true
	copyHeader(o.w.Header(), x.response.Header)
	o.request.status = x.response.StatusCode
	o.w.WriteHeader(x.response.StatusCode)
}

func (o *replicaRelay) writeEvent(text []byte, now time.Time) {
	control := http.NewResponseController(o.w)
	if now.After(o.writeUntil.Add(-streamWriteTimeout / 2)) {
		o.writeUntil = now.Add(streamWriteTimeout)
		_ = control.SetWriteDeadline(o.writeUntil)
	}
	if _, err := o.w.Write(text); err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = control.Flush()
}
