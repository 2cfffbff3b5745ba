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
	// stillCheck is how often a waiting stream looks whether its replica still
	// works.
	stillCheck = 100 * time.Millisecond
	// streamWrite bounds one write to a caller, so that one who stops reading
	// holds no place.
	streamWrite = 5 * time.Second
	// resumeMargin is the least time that must be left for a resumed stream.
	resumeMargin = 400 * time.Millisecond
)

// noRetryLeft is why a call that could go on does not.
const noRetryLeft = "the budget of retries is spent"

// errStill marks a try that was given up because its replica stands still.
var errStill = errors.New("the replica stands still")

// serveReplica serves a call that names a model.
func (f *Front) serveReplica(w http.ResponseWriter, r *http.Request, v *visit) *ring.Failure {
	passed := map[ring.Group]bool{}
	out := &replicaRelay{front: f, w: w, visit: v, lastEvent: v.header.LastEvent}
	var last *ring.Failure
	for v.tries < v.route.Tries {
		if failure := f.again(v); failure != nil {
			return out.end(failure)
		}
		chosen, failure := f.waits.acquire(r.Context(), v, passed)
		if failure != nil {
			if last == nil || v.tries == 0 {
				last = failure
			}
			break
		}
		if v.tries > 0 && !f.budgets.take(v.service) {
			f.config.Fleet.End(chosen.Group, false)
			v.note = noRetryLeft
			break
		}
		passed[chosen.Group] = true
		v.to = string(chosen.Group)
		isLast := v.tries+1 >= v.route.Tries
		isFinal, err := out.try(r.Context(), chosen, isLast)
		if err == nil {
			return nil
		}
		f.logFailedTry(v, chosen.Head, err)
		if r.Context().Err() != nil {
			return out.end(nil)
		}
		last = f.failureOf(v, err)
		if isFinal || (out.began && !v.route.Resumable) {
			break
		}
		if err.reach == reachSent && !v.route.MayRepeat() {
			break
		}
		if out.began {
			f.config.Log.Write(event.StreamResumed, slog.String("request", v.header.ID), slog.String("group", string(chosen.Group)),
				slog.String("after", out.lastEvent), slog.Any("error", err))
		}
	}
	return out.end(last)
}

// failureOf says what a failed try means for the caller.
func (f *Front) failureOf(v *visit, err *tryError) *ring.Failure {
	back := time.Now().Add(busyRetry)
	switch {
	case err.reach == reachNone:
		return ring.FailUntil(ring.CodeUnreachable, back, "no replica of the model could be reached")
	case err.reach == reachRefused:
		return ring.FailUntil(ring.CodeBackendRefused, back, "the replica refused the request")
	case time.Until(v.deadline) < answerMargin:
		return ring.Fail(ring.CodeTimedOut, "the replica gave no answer in time")
	default:
		return ring.Fail(ring.CodeOutcomeUnknown, "the replica gave no whole answer")
	}
}

// replicaRelay passes one call's answer on over several tries.
type replicaRelay struct {
	front *Front
	w     http.ResponseWriter
	visit *visit
	// began is set once the caller has a byte of the answer; lastEvent is the
	// last event that it has.
	began     bool
	lastEvent string
	// lastAt is when the caller got its last event.
	lastAt time.Time
	// writeUntil is the deadline of writes that is set.
	writeUntil time.Time
}

// end gives the final answer. A stream that began can only be broken off, so
// that it does not look whole.
func (o *replicaRelay) end(failure *ring.Failure) *ring.Failure {
	if !o.began {
		return failure
	}
	if failure != nil {
		o.visit.code = ring.CodeStreamBroken
		if o.visit.note == "" {
			o.visit.note = failure.Message
		}
	}
	panic(http.ErrAbortHandler)
}

// guard watches one try: it breaks the try off when the replica stands still
// and another may serve the call.
type guard struct {
	mu    sync.Mutex
	timer *time.Timer
	still bool
	done  bool
}

// suspect tells the peers at once when a replica is first seen to stand still.
func (f *Front) suspect(g ring.Group) {
	if f.config.Fleet.Suspect(g, time.Now()) {
		f.config.Node.SendDigestSoon()
	}
}

func (f *Front) guard(x *exchange, g ring.Group) *guard {
	out := &guard{}
	out.mu.Lock()
	defer out.mu.Unlock()
	out.timer = time.AfterFunc(stillCheck, func() {
		out.mu.Lock()
		defer out.mu.Unlock()
		switch {
		case out.done:
		case f.config.Fleet.StillFor(g, time.Now()) > fleet.StillAfter:
			out.still = true
			f.suspect(g)
			x.abort()
		default:
			out.timer.Reset(stillCheck)
		}
	})
	return out
}

// stop ends the watch and reports whether it broke the try off.
func (g *guard) stop() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.done = true
	if g.timer != nil {
		g.timer.Stop()
	}
	return g.still
}

// try dispatches the call once and passes the answer on. It reports whether
// the outcome is final.
func (o *replicaRelay) try(ctx context.Context, chosen fleet.Replica, isLast bool) (bool, *tryError) {
	v, f := o.visit, o.front
	streaming := false
	defer func() { f.config.Fleet.End(chosen.Group, streaming) }()
	x, failed := f.beginAt(ctx, v, chosen, o.lastEvent, isLast)
	if failed == nil || failed.reach != reachNone {
		v.tries++
	}
	if failed != nil {
		f.config.Fleet.Fail(chosen.Group, time.Now())
		return false, failed
	}
	defer x.close()
	if x.header.NotRun {
		f.config.Fleet.Fail(chosen.Group, time.Now())
		return false, &tryError{reach: reachRefused, err: fmt.Errorf("refused with status %d by %s", x.answer.StatusCode, x.header.Culprit)}
	}
	if !strings.HasPrefix(x.answer.Header.Get("Content-Type"), "text/event-stream") || x.answer.StatusCode != http.StatusOK {
		return o.whole(x, chosen.Group, isLast)
	}
	watch := &guard{done: true}
	if !isLast && v.route.MayRepeat() {
		watch = f.guard(x, chosen.Group)
	}
	defer watch.stop()
	err := o.stream(x, chosen.Group, &streaming)
	if watch.stop() && err != nil {
		err = &tryError{reach: reachSent, err: errStill}
	}
	return err != nil && errors.Is(err, os.ErrDeadlineExceeded) && time.Until(v.deadline) <= 0, err
}

// beginAt begins a try at a replica. The head of a stream's answer comes with
// its first event, so the replica is watched meanwhile.
func (f *Front) beginAt(ctx context.Context, v *visit, chosen fleet.Replica, lastEvent string, isLast bool) (*exchange, *tryError) {
	if isLast || !v.route.MayRepeat() {
		return f.begin(ctx, v, chosen.Head, lastEvent, v.deadline)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	ticker := time.NewTicker(stillCheck)
	done := make(chan struct{})
	go func() {
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				if f.config.Fleet.StillFor(chosen.Group, time.Now()) > fleet.StillAfter {
					f.suspect(chosen.Group)
					cancel(errStill)
					return
				}
			}
		}
	}()
	x, failed := f.begin(ctx, v, chosen.Head, lastEvent, v.deadline)
	close(done)
	if failed != nil && context.Cause(ctx) == errStill {
		failed.err = errStill
	}
	if failed != nil {
		cancel(nil)
		return nil, failed
	}
	stop := x.stop
	x.stop = func() bool { cancel(nil); return stop() }
	return x, nil
}

// whole passes an answer on that is no stream.
func (o *replicaRelay) whole(x *exchange, group ring.Group, isLast bool) (bool, *tryError) {
	body, err := x.readBody()
	if err != nil {
		return false, &tryError{reach: reachSent, err: err}
	}
	isBad := x.answer.StatusCode >= http.StatusInternalServerError
	if isBad {
		// It fails sooner than others answer, so it would look the least loaded.
		o.front.config.Fleet.Fail(group, time.Now())
	}
	if o.began || (isBad && !isLast && o.visit.route.MayRepeat()) {
		return false, &tryError{reach: reachSent, err: fmt.Errorf("status %d", x.answer.StatusCode)}
	}
	o.visit.first = time.Since(o.visit.begin)
	pass(o.w, o.visit, x, body)
	return true, nil
}

// stream passes events on until the stream is whole. An event is passed on
// only as a whole.
func (o *replicaRelay) stream(x *exchange, group ring.Group, streaming *bool) *tryError {
	events := newEventReader(x.answer.Body)
	for {
		e, err := events.next()
		if errors.Is(err, errStreamEnd) {
			if !o.began {
				o.head(x)
			}
			return nil
		}
		if err != nil {
			return &tryError{reach: reachSent, err: fmt.Errorf("stream broke: %w", err)}
		}
		now := time.Now()
		o.front.config.Fleet.Event(group, !*streaming, now)
		*streaming = true
		if o.isRepeated(e) {
			continue
		}
		if !o.began {
			o.head(x)
			o.visit.first = now.Sub(o.visit.begin)
			if o.visit.tries == 1 {
				o.front.config.Fleet.ObserveFirst(o.visit.header.Model, now.Sub(o.visit.sentAt)-o.visit.expected)
			}
		}
		if !o.lastAt.IsZero() {
			pause := now.Sub(o.lastAt)
			o.visit.pause = max(o.visit.pause, pause)
			o.front.config.Fleet.ObservePause(group, pause, now)
		}
		o.lastAt = now
		o.write(e.text, now)
		if e.id != "" {
			o.lastEvent = e.id
		}
	}
}

// isRepeated reports whether the caller has the event.
func (o *replicaRelay) isRepeated(e streamEvent) bool {
	last, hasLast := eventNumber(o.lastEvent)
	own, hasOwn := eventNumber(e.id)
	return hasLast && hasOwn && own <= last
}

func (o *replicaRelay) head(x *exchange) {
	o.began = true
	copyHeader(o.w.Header(), x.answer.Header)
	o.visit.status = x.answer.StatusCode
	o.w.WriteHeader(x.answer.StatusCode)
}

func (o *replicaRelay) write(text []byte, now time.Time) {
	control := http.NewResponseController(o.w)
	if now.After(o.writeUntil.Add(-streamWrite / 2)) {
		o.writeUntil = now.Add(streamWrite)
		_ = control.SetWriteDeadline(o.writeUntil)
	}
	if _, err := o.w.Write(text); err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = control.Flush()
}
