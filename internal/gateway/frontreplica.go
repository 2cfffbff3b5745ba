package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/admission"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/fleet"
	"eelgrassring.dev/internal/hedge"
)

const (
	// stallCheckInterval is how often a waiting attempt checks whether its replica
	// has stalled, and another has room.
	stallCheckInterval = 100 * time.Millisecond
	// streamWriteTimeout bounds one write to a caller, so that a caller that stops
	// reading does not keep a slot of a replica.
	streamWriteTimeout = 5 * time.Second
	// writeDeadlineStep is the least time between two settings of a write deadline. While this
	// node stands still it passes, so little of it may be used up when a write begins.
	writeDeadlineStep = 250 * time.Millisecond
	// resumeMargin is the least time that must be left before the request's deadline
	// for another attempt to start.
	resumeMargin = 400 * time.Millisecond
)

// unreadResponse is logged with a stream that was aborted since its caller did not read.
const unreadResponse = "the caller did not read the response"

// retryBudgetSpent is logged with a request that is not retried for lack of budget.
const retryBudgetSpent = "the retry budget is spent"

// serveReplica serves a request to a service with models. It returns nil if it
// forwarded a response of a replica, otherwise the failure to report; a stream that
// has started and cannot be continued is aborted by a panic. The context ends when the
// caller leaves or the node must answer.
func (f *Front) serveReplica(ctx context.Context, w http.ResponseWriter, r *http.Request, req *frontRequest) *ring.Failure {
	out := &replicaRelay{front: f, w: w, request: req, lastEventID: req.header.LastEvent, tried: map[ring.Group]bool{}}
	defer out.releaseNext()
	defer f.endTrial(req)
	var lastFailure *ring.Failure
	for req.attempts < req.route.MaxAttempts {
		if failure := f.recheck(req); failure != nil {
			return out.finish(failure)
		}
		if failure := f.refuseSuspect(req); failure != nil {
			return out.finish(failure)
		}
		chosen, failure := out.nextReplica(ctx)
		if failure != nil && failure.Code == ring.CodeCrashesServers {
			return out.finish(failure)
		}
		if failure != nil {
			if lastFailure == nil || req.attempts == 0 {
				lastFailure = failure
			}
			if out.started {
				req.note = cmp.Or(req.note, failure.Message)
			}
			break
		}
		out.tried[chosen.Group] = true
		req.destination = string(chosen.Group)
		isLast := req.attempts+1 >= req.route.MaxAttempts
		isFinal, err := out.attempt(ctx, &chosen, isLast)
		if err == nil {
			return nil
		}
		f.logFailedAttempt(req, chosen.Head, err)
		f.recordCrash(ctx, req, chosen.Head, err, out.begunAt)
		f.endTrial(req)
		if r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		if errors.Is(err, errSilent) {
			delete(out.tried, chosen.Group) // It may be sound, and is excluded while it is stalled.
		}
		lastFailure = f.failureFor(req, err)
		if isFinal || ctx.Err() != nil || (out.started && !req.route.Resumable) {
			break
		}
		if err.stage == stageSent && !req.route.MayRepeat() {
			break
		}
		if out.started {
			f.config.Log.Write(event.StreamResumed, slog.String("request", req.header.ID), slog.String("group", string(chosen.Group)),
				slog.String("after", out.lastEventID), slog.Any("error", err))
		}
	}
	if failure := f.awaitVerdict(ctx, req); failure != nil {
		lastFailure = failure
	}
	return out.finish(lastFailure)
}

// failureFor returns the failure to report for a failed attempt.
func (f *Front) failureFor(req *frontRequest, err *attemptError) *ring.Failure {
	retryAt := time.Now().Add(busyRetryAfter)
	switch {
	case err.stage == stageNotSent:
		return ring.FailRetryAt(ring.CodeUnreachable, retryAt, "no replica of the model could be reached")
	case err.stage == stageRefused:
		return ring.FailRetryAt(ring.CodeBackendRefused, retryAt, "the replica refused the request")
	case time.Until(req.deadline) < responseMargin:
		return ring.Fail(ring.CodeTimedOut, "the replica did not respond in time")
	default:
		return ring.Fail(ring.CodeOutcomeUnknown, "the replica sent no complete response")
	}
}

// replicaRelay forwards the response to one request, from one or more attempts.
type replicaRelay struct {
	front   *Front
	w       http.ResponseWriter
	request *frontRequest
	// started is set after the response header was sent to the caller.
	started bool
	// lastEventID is the ID of the last event that the caller has.
	lastEventID string
	// lastEventAt is when the last event was forwarded, and begunAt when the first event
	// of the current attempt came, or zero.
	lastEventAt time.Time
	begunAt     time.Time
	// spacedFrom is when the last event that was waited for came, or zero if there was none in the
	// current attempt, and spacedEvents how many came since.
	spacedFrom   time.Time
	spacedEvents int
	// writeDeadline is the current deadline of writes to the caller.
	writeDeadline time.Time
	// writing is set during a write to the caller, and writtenAfter is how long after receivedAt,
	// in nanoseconds, the last one ended, or 0 if there was none.
	writing      atomic.Bool
	writtenAfter atomic.Int64
	// flight is the current attempt, and soundAt when it is next recorded as sound.
	flight  *flight
	soundAt time.Time
	// race is that of the first attempt, or nil, and sentFirstAt when it began.
	race        *race
	sentFirstAt time.Time
	// tried holds the groups that the request was sent to. next is the replica that was
	// reserved for the next attempt, or nil.
	tried map[ring.Group]bool
	next  *fleet.Candidate
}

// nextReplica returns the replica for the next attempt, at which it has counted the
// request. It returns a failure if there is none in time, or if the retry budget is
// spent.
func (o *replicaRelay) nextReplica(ctx context.Context) (fleet.Replica, *ring.Failure) {
	f, req := o.front, o.request
	if o.next != nil {
		next := *o.next
		o.next = nil
		f.selector.assign(req, next, f.selector.prefillTime(req))
		return next.Replica, nil
	}
	chosen, failure := f.selector.acquire(ctx, req, o.tried)
	if failure == nil && req.attempts > 0 && !f.budgets.take(req.service) {
		f.config.Fleet.EndRequest(chosen.Group, false)
		req.note = retryBudgetSpent
		failure = ring.Fail(ring.CodeOverloaded, retryBudgetSpent)
	}
	return chosen, failure
}

// reserveNext reserves a replica for an attempt that replaces the current one. It
// returns false if the request may not be sent again, or if no replica has room. It
// runs beside the attempt, and sees the request only as in probe, its own copy.
func (o *replicaRelay) reserveNext(ctx context.Context, probe *frontRequest) bool {
	f, now := o.front, time.Now()
	probe.streamedFor.Store(o.request.streamedFor.Load())
	if probe.deadline.Sub(now) < resumeMargin || f.recheck(probe) != nil || !f.admitsAtStop(probe, now) || !f.budgets.allows(probe.service) {
		return false
	}
	mayTry, failure := f.mayTry(probe)
	defer f.endTrial(probe)
	if !mayTry || failure != nil {
		return false
	}
	prefill := f.selector.prefillTime(probe)
	ticket := f.selector.arrive(probe, prefill, now)
	defer f.selector.leave(probe, ticket, false)
	c, _, decision := f.selector.tryAcquire(ctx, probe, ticket, o.tried, prefill, 0, now)
	if decision.Verdict != admission.Send {
		return false
	}
	if !f.budgets.take(probe.service) {
		f.config.Fleet.EndRequest(c.Replica.Group, false)
		return false
	}
	o.next = &c
	return true
}

// releaseNext gives back a reserved replica that is not needed.
func (o *replicaRelay) releaseNext() {
	if o.next != nil {
		o.front.config.Fleet.EndRequest(o.next.Replica.Group, false)
		o.next = nil
	}
}

// finish ends the response to a request that failed. If no response has started, it
// returns the failure to report. Otherwise it aborts the response by a panic, so that
// the caller does not take it for complete.
func (o *replicaRelay) finish(failure *ring.Failure) *ring.Failure {
	if !o.started {
		return failure
	}
	o.request.code = ring.CodeStreamBroken
	if o.request.note == "" {
		o.request.note = failure.Message
	}
	panic(http.ErrAbortHandler)
}

// reportStall marks a replica as stalled: its streams have had no event for too long.
// If the replica was not marked before, reportStall requests that the peers are told at
// once.
func (f *Front) reportStall(g ring.Group) {
	if f.config.Fleet.MarkSuspected(g, time.Now()) {
		f.config.Node.SendDigestSoon()
	}
}

// watch starts the silence watch of an attempt at the replica of group g. A request that
// may be repeated moves to another replica when this one has stalled, unless isLast is
// set or a second attempt was sent. Since a stream's header comes only with its first event, the watch begins before
// the request is sent.
func (o *replicaRelay) watch(ctx context.Context, g ring.Group, isLast bool, r *race) (context.Context, *silenceWatch) {
	if !mayMove(o.request, isLast) {
		return watchSilence(ctx, 0, 0, nil)
	}
	f, probe := o.front, o.request.probe()
	probe.shedRank = rand.Float64()
	return watchSilence(ctx, stallCheckInterval, stallCheckInterval, func() bool {
		now := time.Now()
		if o.isHeldByCaller(now) || f.config.Fleet.StalledFor(g, now) <= fleet.StallTimeout {
			return false
		}
		f.reportStall(g)
		return r.mayMove() && o.reserveNext(ctx, probe) && !o.moveBeside(r)
	})
}

// isHeldByCaller reports whether the caller has taken no events until now or a moment ago, so
// that the server's next events were not read.
func (o *replicaRelay) isHeldByCaller(now time.Time) bool {
	written := time.Duration(o.writtenAfter.Load())
	return o.writing.Load() || (written > 0 && now.Sub(o.request.receivedAt)-written <= fleet.StallTimeout)
}

// attempt sends the request to a replica, and to a second one if that is slow, and forwards the
// response. It returns a nil error if it forwarded the whole response, and otherwise sets chosen
// to the replica that the error is of. The bool reports whether the outcome is final, so that no
// other replica may be tried. isLast is set if the route allows no attempt after this one.
func (o *replicaRelay) attempt(ctx context.Context, chosen *fleet.Replica, isLast bool) (bool, *attemptError) {
	f, req := o.front, o.request
	r := f.newRace(ctx, req, chosen.Head, isLast)
	defer r.close()
	isFinal, err := o.attemptFirst(ctx, *chosen, isLast, r)
	if err == nil || o.started || !r.isSent() {
		return isFinal, err
	}
	second := r.await()
	if second == nil {
		return isFinal, err
	}
	if !errors.Is(err, errOvertaken) {
		f.logFailedAttempt(req, chosen.Head, err)
		f.recordCrash(ctx, req, chosen.Head, err, o.begunAt)
	}
	*chosen = second.replica
	return o.forwardSecond(second)
}

// hasTimedOut reports whether the error of a stream means that the request's time is over.
func hasTimedOut(req *frontRequest, err *attemptError) bool {
	return err != nil && errors.Is(err, os.ErrDeadlineExceeded) && time.Until(req.deadline) <= 0
}

// mayMove reports whether a request that was sent may continue at another replica. isLast is set
// if the route allows no attempt after this one.
func mayMove(req *frontRequest, isLast bool) bool { return !isLast && req.route.MayRepeat() }

// pin marks a request that ends with its replica, and returns the function that ends this.
func (f *Front) pin(req *frontRequest, g ring.Group, isLast bool) (unpin func()) {
	if mayMove(req, isLast) {
		return func() {}
	}
	f.config.Fleet.Pin(g)
	return func() { f.config.Fleet.Unpin(g) }
}

// attemptFirst sends the request to a replica once and forwards the response, unless that of the
// second attempt came first.
func (o *replicaRelay) attemptFirst(ctx context.Context, chosen fleet.Replica, isLast bool, r *race) (bool, *attemptError) {
	req, f := o.request, o.front
	streaming := false
	o.begunAt = time.Time{}
	defer func() { f.config.Fleet.EndRequest(chosen.Group, streaming) }()
	defer f.pin(req, chosen.Group, isLast)()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	o.flight = &flight{content: contentOf(req), cancel: cancel}
	f.suspicion.begin(o.flight)
	defer f.suspicion.end(o.flight)
	ctx, watch := o.watch(ctx, chosen.Group, isLast, r)
	defer watch.close()
	o.race = r
	defer func() { o.race = nil }()
	r.schedule(watch, req.expectedPrefill, func() hedge.Reason { return o.sendSecond(r) })
	o.sentFirstAt = time.Now()
	x, attemptErr := f.sendAttempt(ctx, req, chosen.Head, nil, o.lastEventID, req.deadline)
	if attemptErr == nil || attemptErr.stage != stageNotSent {
		req.attempts++
	}
	if attemptErr != nil {
		if watch.stop() {
			attemptErr.err = errSilent
		}
		if r.isOvertakenMove() {
			f.config.Fleet.MarkFailed(chosen.Group, time.Now())
		}
		if r.isOvertaken() {
			attemptErr.err = errOvertaken
			return false, attemptErr
		}
		if errors.Is(context.Cause(ctx), errRefusedMeanwhile) {
			attemptErr.err = errRefusedMeanwhile
			return false, attemptErr
		}
		f.config.Fleet.MarkFailed(chosen.Group, time.Now())
		return false, attemptErr
	}
	defer x.close()
	if x.header.NotRun {
		if o.started {
			req.attempts-- // A refusal must not use up the last attempt that can end the stream.
		}
		watch.stop()
		f.hedges.recordRefusal(kindOf(req), x)
		f.config.Fleet.MarkFailed(chosen.Group, time.Now())
		return false, &attemptError{stage: stageRefused, err: fmt.Errorf("refused with status %d by %s", x.response.StatusCode, x.header.FaultyServer)}
	}
	if o.started && !x.header.Signed {
		return false, &attemptError{stage: stageSent, err: errForeign}
	}
	if !isEventStream(x) {
		isFinal, err := o.forwardWhole(ctx, x, chosen, isLast)
		watch.stop()
		return isFinal, err
	}
	err := o.forwardStream(ctx, x, chosen, newEventReader(x.response.Body), &streaming)
	if watch.stop() && err != nil {
		err = &attemptError{stage: stageSent, err: errSilent}
	}
	if r.isOvertaken() && err != nil {
		err = &attemptError{stage: stageSent, err: errOvertaken}
	}
	return hasTimedOut(req, err), err
}

// forwardWhole forwards a response that is not an event stream. If the response is a
// server error and another attempt may follow, or if a stream has already started, it
// forwards nothing and returns an error. The bool reports whether the outcome is final,
// so that no other replica may be tried.
func (o *replicaRelay) forwardWhole(ctx context.Context, x *exchange, chosen fleet.Replica, isLast bool) (bool, *attemptError) {
	isServerError := x.response.StatusCode >= http.StatusInternalServerError
	if isServerError {
		// A replica that fails fast would otherwise appear the least loaded.
		o.front.config.Fleet.MarkFailed(chosen.Group, time.Now())
	}
	if o.started || (isServerError && !isLast && o.request.route.MayRepeat()) {
		return false, &attemptError{stage: stageSent, err: fmt.Errorf("status %d", x.response.StatusCode)}
	}
	if isFalsePromise(o.request, x) {
		return true, &attemptError{stage: stageSent, err: fmt.Errorf("status %d, which does not say that it was not run", x.response.StatusCode)}
	}
	body, err := x.readBody()
	if err == nil {
		err = o.front.checkEnd(ctx, o.request, x, chosen.Head)
	}
	if err != nil {
		return false, &attemptError{stage: stageSent, err: err}
	}
	if !o.race.claim() {
		return false, &attemptError{stage: stageSent, err: errOvertaken}
	}
	o.request.timeToFirstEvent = time.Since(o.request.receivedAt)
	if x.response.StatusCode < http.StatusBadRequest {
		o.front.recordSound(o.request, true)
	}
	o.front.writeResponse(o.w, o.request, x, body)
	return true, nil
}

// forwardStream forwards whole events until the stream is complete. It returns an error
// if the stream breaks, and sets streaming at the first event.
func (o *replicaRelay) forwardStream(ctx context.Context, x *exchange, chosen fleet.Replica, events *eventReader, streaming *bool) *attemptError {
	group := chosen.Group
	isContinued := o.started
	for {
		e, err := events.next()
		if errors.Is(err, errStreamEnd) {
			if err := o.checkStreamEnd(ctx, x, chosen.Head, *streaming); err != nil {
				return &attemptError{stage: stageSent, err: fmt.Errorf("stream broke: %w", err)}
			}
			if !o.race.claim() {
				return &attemptError{stage: stageSent, err: errOvertaken}
			}
			if !o.started && !o.writeHeader(x) {
				return &attemptError{stage: stageSent, err: errStopping}
			}
			o.extendWriteDeadline(time.Now()) // net/http writes the end of the stream.
			if *streaming {
				o.front.recordSound(o.request, true)
			}
			return nil
		}
		if err != nil {
			return &attemptError{stage: stageSent, err: fmt.Errorf("stream broke: %w", err)}
		}
		if isContinued && o.isForeign(e) {
			return &attemptError{stage: stageSent, err: errForeign}
		}
		now := time.Now()
		if !*streaming && !o.race.claim() {
			return &attemptError{stage: stageSent, err: errOvertaken}
		}
		if !*streaming && o.race != nil {
			o.front.hedges.recordAttempt(hedge.Attempt{Kind: kindOf(o.request), Server: chosen.Head.ID, Took: now.Sub(o.sentFirstAt) - o.request.expectedPrefill, IsCounted: o.race.isLate()})
		}
		o.front.config.Fleet.ObserveEvent(group, !*streaming, now)
		if !*streaming {
			o.spacedFrom = time.Time{}
			o.begunAt, o.soundAt = now, now.Add(strongStrikeTime)
			o.flight.hasEvents.Store(true)
		}
		*streaming = true
		if now.After(o.soundAt) {
			o.soundAt, o.request.hasRun = now.Add(soundInterval), true
			o.front.recordSound(o.request, false)
		}
		if o.isDuplicate(e) {
			continue
		}
		if !o.started {
			if !o.writeHeader(x) {
				return &attemptError{stage: stageSent, err: errStopping}
			}
			o.request.timeToFirstEvent = now.Sub(o.request.receivedAt)
			if o.request.attempts == 1 {
				o.front.config.Fleet.ObserveFirstEventTime(o.request.header.Model, now.Sub(o.request.sentAt)-o.request.expectedPrefill)
				o.front.selector.observeFirstEvent(o.request)
			}
		}
		if !o.lastEventAt.IsZero() {
			gap := now.Sub(o.lastEventAt)
			o.request.maxEventGap = max(o.request.maxEventGap, gap)
			o.front.config.Fleet.ObserveGap(group, gap, now)
		}
		o.observeSpeed(group, now)
		o.lastEventAt = now
		o.writeEvent(e.raw)
		o.request.streamedFor.Store(int64(now.Sub(o.request.readAt)))
		if e.id != "" {
			o.lastEventID = e.id
		}
	}
}

// minEventWait is the time without an event after which the next one was waited for: others came
// together with the one before, or while the caller read nothing.
const minEventWait = time.Millisecond

// observeSpeed tells the fleet the mean gap between the events of the current attempt since the
// last one that was waited for. The gap before the first one may be that of another replica.
func (o *replicaRelay) observeSpeed(g ring.Group, now time.Time) {
	o.spacedEvents++
	if now.Sub(o.request.receivedAt)-time.Duration(o.writtenAfter.Load()) < minEventWait {
		return
	}
	if !o.spacedFrom.IsZero() {
		gap := now.Sub(o.spacedFrom) / time.Duration(o.spacedEvents)
		o.front.config.Fleet.ObserveSpeed(g, gap, o.front.selector.passTime(o.request, o.request.replicaLoad+1), now)
	}
	o.spacedFrom, o.spacedEvents = now, 0
}

// checkStreamEnd returns an error if a stream that has ended between two events is not complete.
// An unframed one without any event is not, unless it goes on where the caller may have all.
func (o *replicaRelay) checkStreamEnd(ctx context.Context, x *exchange, head ring.Server, hasEvents bool) error {
	if isUnframed(x.response) && !hasEvents && o.lastEventID == "" {
		return io.ErrUnexpectedEOF
	}
	return o.front.checkEnd(ctx, o.request, x, head)
}

// errForeign is the error of a response that does not continue the stream that the caller has
// a part of: it is not signed, or has an event whose place in the stream is not known. A signed
// one without events says that the caller has all.
var errForeign = errors.New("the response does not continue the stream")

// isForeign reports whether an event of a continued stream has no place in it: the events
// before had numbers as their IDs, and this one has none.
func (o *replicaRelay) isForeign(e streamEvent) bool {
	_, isNumbered := numericEventID(o.lastEventID)
	_, hasNumber := numericEventID(e.id)
	return isNumbered && !hasNumber && e.hasFields
}

// isDuplicate reports whether the caller already has the event.
func (o *replicaRelay) isDuplicate(e streamEvent) bool {
	lastID, hasLast := numericEventID(o.lastEventID)
	id, hasID := numericEventID(e.id)
	return hasLast && hasID && id <= lastID
}

// errStopping is the error of a response that comes after AnswerPending.
var errStopping = errors.New("the node is stopping")

// writeHeader sends the response header to the caller. It returns false and sends nothing if
// AnswerPending was called before: the request gets a failure as its response.
func (o *replicaRelay) writeHeader(x *exchange) bool {
	if !o.request.outliveStop() {
		return false
	}
	o.started = true
	o.front.writeHeader(o.w, o.request, x.response, streamLength)
	return true
}

// writeEvent sends an event to the caller at once. If the caller is gone, or has not read
// for streamWriteTimeout, it aborts the response by a panic.
func (o *replicaRelay) writeEvent(raw []byte) {
	o.extendWriteDeadline(time.Now())
	o.writing.Store(true)
	_, err := o.w.Write(raw)
	if err == nil {
		err = http.NewResponseController(o.w).Flush()
	}
	o.writtenAfter.Store(int64(time.Since(o.request.receivedAt)))
	o.writing.Store(false)
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			o.request.code, o.request.note = ring.CodeStreamBroken, unreadResponse
		}
		panic(http.ErrAbortHandler)
	}
}

// extendWriteDeadline sets a new deadline for writes to the caller, unless the current
// one is far enough in the future: setting it restarts a timer.
func (o *replicaRelay) extendWriteDeadline(now time.Time) {
	if o.writeDeadline.Sub(now) < streamWriteTimeout-writeDeadlineStep {
		o.writeDeadline = now.Add(streamWriteTimeout)
		_ = http.NewResponseController(o.w).SetWriteDeadline(o.writeDeadline)
	}
}
