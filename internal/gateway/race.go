package gateway

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/fleet"
	"eelgrassring.dev/internal/hedge"
	"eelgrassring.dev/internal/suspect"
)

// errOvertaken is the error of an attempt whose request another one has answered.
var errOvertaken = errors.New("another server was faster")

// race is a first attempt and the second one that may be sent beside it. Exactly one of them
// claims the request, before a byte of its answer goes to the caller. A nil race has no second
// attempt.
type race struct {
	front   *Front
	request *frontRequest
	// probe is the copy of the request that the second attempt uses.
	probe   *frontRequest
	ctx     context.Context
	kind    hedge.Kind
	server  ring.Server
	begunAt time.Time
	// prefill is the expected prefill time of the prompt, which the times are without.
	prefill     time.Duration
	cancelFirst context.CancelCauseFunc

	mu sync.Mutex
	// hasWinner is set once an attempt has claimed the request, and isSecondWinner if it was the
	// second one.
	hasWinner, isSecondWinner bool
	// isMove is set if the second attempt was sent because the first one was silent for too long.
	isMove bool
	// late is set for an attempt without an answer at its delay: the first, the second.
	late [2]bool
	// cancelSecond ends the second attempt; it is nil until that is sent. done is closed when it
	// has ended, or has claimed the request.
	cancelSecond context.CancelFunc
	done         chan struct{}
	lateTimer    *time.Timer
	// second is the answer of the second attempt if that has claimed the request, and fallback a
	// server error that it got instead, or nil. reached is set if it reached its server. They are
	// read after done.
	second   *secondAnswer
	fallback *secondAnswer
	reached  bool
	// isMerged is set once the request's counts contain the second attempt.
	isMerged bool
}

// secondAnswer is the whole answer of a second attempt, or the begin of a stream.
type secondAnswer struct {
	ctx    context.Context
	x      *exchange
	server ring.Server
	body   []byte
	// The following are set for a stream.
	replica fleet.Replica
	events  *eventReader
	flight  *flight
}

// newRace returns the race of a first attempt, or nil if it gets no second one beside it.
func (f *Front) newRace(ctx context.Context, req *frontRequest, server ring.Server, isLast bool) *race {
	if isLast || req.attempts > 0 || !req.route.MayRepeat() || req.header.LastEvent != "" {
		return nil
	}
	return &race{front: f, request: req, ctx: ctx, kind: kindOf(req), server: server, begunAt: time.Now(), done: make(chan struct{})}
}

// schedule makes the watch of the first attempt call send at the delay of the request's kind.
// send starts the second attempt, or returns why not. The times are without prefill.
func (r *race) schedule(watch *silenceWatch, prefill time.Duration, send func() hedge.Reason) {
	if r == nil {
		return
	}
	probe := r.request.second()
	watch.mu.Lock() // The watch has begun.
	r.prefill, r.cancelFirst, r.probe = prefill, watch.cancel, probe
	watch.mu.Unlock()
	delay, ok := r.front.hedges.delay(r.kind, r.server)
	if !ok {
		return
	}
	watch.call(delay+prefill, func() { r.begin(send) })
}

// second returns a copy of the request with what another attempt reads, to be used beside the
// first one.
func (req *frontRequest) second() *frontRequest {
	out := req.probe()
	out.route, out.holder, out.method, out.forwardedHeader, out.body = req.route, req.holder, req.method, req.forwardedHeader, req.body
	return out
}

// begin sends the second attempt if that is allowed. Otherwise it counts why not.
func (r *race) begin(send func() hedge.Reason) {
	r.mu.Lock()
	r.late[0] = !r.hasWinner
	isLate := r.late[0]
	r.mu.Unlock()
	if !isLate {
		return
	}
	f := r.front
	f.hedges.recordLate(r.kind, false)
	reason := r.mayBegin(time.Now())
	if reason == hedge.ReasonNone {
		reason = send()
	}
	if reason != hedge.ReasonNone {
		f.config.Metrics.Count("second_attempts_not_sent", 1, "route", r.kind.Route, "reason", string(reason))
		f.config.Log.Write(event.SecondNotSent, slog.String("request", r.probe.header.ID), slog.String("first", string(r.server.ID)), slog.String("reason", string(reason)))
	}
}

// mayBegin returns why the request may not be sent again, or ReasonNone.
func (r *race) mayBegin(now time.Time) hedge.Reason {
	f, probe := r.front, r.probe
	if reason := f.hedges.decide(r.kind); reason != hedge.ReasonNone {
		return reason
	}
	switch {
	case probe.deadline.Sub(now) < minRetryDelay:
		return hedge.ReasonTime
	case f.config.Node.IsDraining(), !f.admitsAtStop(probe, now):
		return hedge.ReasonStopping
	case f.recheck(probe) != nil, !probe.route.MayRepeat(), probe.attempts >= probe.route.MaxAttempts:
		return hedge.ReasonRefused
	case !f.budgets.allows(probe.service):
		return hedge.ReasonBudget
	}
	if f.isSuspect(probe, now) {
		return hedge.ReasonSuspect
	}
	return hedge.ReasonNone
}

// isSuspect reports whether a server is known to have ended under the request or a part of its
// prompt, or whether the request may not go to any server.
func (f *Front) isSuspect(req *frontRequest, now time.Time) bool {
	if f.config.Suspects.IsEmpty(now) {
		return false
	}
	if slices.ContainsFunc(req.subjectsOf(), func(d suspect.Digest) bool { return f.config.Suspects.Find(d, now).Strong > 0 }) {
		return true
	}
	mayTry, failure := f.mayTry(req)
	defer f.endTrial(req)
	return !mayTry || failure != nil || req.isIsolated || req.isPending || req.trial != ""
}

// take counts a second attempt that is sent at once. It returns why there may be none.
func (r *race) take() hedge.Reason {
	switch {
	case !r.front.budgets.take(r.probe.service):
		return hedge.ReasonBudget
	case !r.front.hedges.countSent(r.kind):
		return hedge.ReasonShare
	}
	return hedge.ReasonNone
}

// start runs the second attempt, which must end with a call of claimSecond or lose.
func (r *race) start(server ring.Server, run func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(r.ctx)
	if delay, ok := r.front.hedges.delay(r.kind, server); ok {
		r.lateTimer = time.AfterFunc(delay+r.prefill, r.markSecondLate)
	}
	r.mu.Lock()
	r.cancelSecond = cancel
	if r.hasWinner {
		cancel()
	}
	r.mu.Unlock()
	r.front.config.Metrics.Count("second_attempts", 1, "route", r.kind.Route)
	go func() {
		defer close(r.done)
		run(ctx)
	}()
}

// markSecondLate records that the second attempt has no answer at its delay.
func (r *race) markSecondLate() {
	r.mu.Lock()
	isLate := !r.hasWinner
	r.late[1] = isLate
	r.mu.Unlock()
	if isLate {
		r.front.hedges.recordLate(r.kind, true)
	}
}

// isSent reports whether the second attempt was sent.
func (r *race) isSent() bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cancelSecond != nil
}

// mayMove reports whether the first attempt may still move: no second one was sent, or that did
// not reach its server.
func (r *race) mayMove() bool {
	if !r.isSent() {
		return true
	}
	select {
	case <-r.done:
		return !r.reached
	default:
		return false
	}
}

// startMove runs the last attempt that the route allows beside the silent first one: that is kept
// until the other has an answer, since it may be the only chance. It returns false, and runs
// nothing, if another attempt may follow, a second one was sent before or the first has begun to
// answer: then the first is given up. It is too if schedule was not called yet, in a goroutine that
// stood still since the watch began.
func (r *race) startMove(server ring.Server, run func(ctx context.Context)) bool {
	if r == nil || r.probe == nil || r.isSent() || r.probe.attempts+1 < r.probe.route.MaxAttempts {
		return false
	}
	r.mu.Lock()
	r.isMove = !r.hasWinner
	hasBegun := r.hasWinner
	r.mu.Unlock()
	if hasBegun {
		return false
	}
	r.start(server, run)
	return true
}

// isOvertakenMove reports whether the request has moved, and was answered by the other server.
func (r *race) isOvertakenMove() bool {
	if !r.isOvertaken() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isMove
}

// stopped ends the watch, after which no second attempt is sent, and reports whether one was.
func (r *race) stopped(watch *silenceWatch) bool {
	if r == nil {
		return false
	}
	watch.stop()
	return r.isSent()
}

// isOvertaken reports whether the second attempt has claimed the request.
func (r *race) isOvertaken() bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isSecondWinner
}

// isLate reports whether the first attempt had no answer at its delay.
func (r *race) isLate() bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.late[0]
}

// claim claims the request for the first attempt, whose answer may then go to the caller, and
// ends the second one. It returns false if that has claimed it before.
func (r *race) claim() bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hasWinner {
		return !r.isSecondWinner
	}
	r.hasWinner = true
	if r.cancelSecond != nil {
		r.cancelSecond()
	}
	return true
}

// claimSecond claims the request for the second attempt and ends the first one. It returns false
// if that has claimed it before.
func (r *race) claimSecond(answer *secondAnswer, begunAt time.Time) bool {
	hasLeft := r.ctx.Err() != nil
	r.mu.Lock()
	if r.hasWinner || hasLeft {
		r.mu.Unlock()
		return false
	}
	r.hasWinner, r.isSecondWinner, r.second = true, true, answer
	late := r.late
	r.mu.Unlock()
	r.cancelFirst(errOvertaken)
	f, now := r.front, time.Now()
	f.hedges.recordAttempt(hedge.Attempt{Kind: r.kind, Server: r.server.ID, Took: now.Sub(r.begunAt) - r.prefill, IsGivenUp: true, IsCounted: late[0]})
	f.hedges.recordAttempt(hedge.Attempt{Kind: r.kind, Server: answer.server.ID, Took: now.Sub(begunAt) - r.prefill, IsCounted: late[1]})
	f.config.Metrics.Count("second_attempts_won", 1, "route", r.kind.Route)
	r.log(event.SecondWon, answer.server, begunAt, nil)
	return true
}

// lose records that a second attempt has ended without claiming the request. err is nil if the
// first attempt has claimed it, or the caller has left.
func (r *race) lose(server ring.Server, begunAt time.Time, err error) {
	if err == nil {
		r.mu.Lock()
		isCounted := r.late[1]
		r.mu.Unlock()
		r.front.hedges.recordAttempt(hedge.Attempt{Kind: r.kind, Server: server.ID, Took: time.Since(begunAt) - r.prefill, IsGivenUp: true, IsCounted: isCounted})
	}
	r.front.config.Metrics.Count("second_attempts_lost", 1, "route", r.kind.Route)
	recordMalformed(r.front.config.Log, r.front.config.Metrics, r.probe.header.ID, string(server.ID), server.Address, err)
	r.log(event.SecondLost, server, begunAt, err)
}

// log writes the event of a second attempt that has ended.
func (r *race) log(kind event.Kind, server ring.Server, begunAt time.Time, err error) {
	r.front.config.Log.Write(kind, slog.String("request", r.probe.header.ID), slog.String("route", r.kind.Route), slog.String("first", string(r.server.ID)), slog.String("vm", string(server.ID)),
		slog.String("group", string(server.Membership.Group)), slog.Int64("after_ms", begunAt.Sub(r.begunAt).Milliseconds()), slog.Int64("took_ms", time.Since(begunAt).Milliseconds()), slog.Any("error", err))
}

// await waits for the second attempt after the first one has failed. It returns its answer, or
// nil if it has none.
func (r *race) await() *secondAnswer {
	if r.probe.attempts+1 < r.probe.route.MaxAttempts { // A third server may still answer.
		defer time.AfterFunc(max(time.Duration(retryFraction*float64(r.probe.route.LatencyTarget)), minRetryDelay), r.cancelSecond).Stop()
	}
	<-r.done
	r.merge()
	if r.second == nil {
		return r.fallback
	}
	return r.second
}

// merge adds the second attempt, which has ended or won, to the counts of the request.
func (r *race) merge() {
	if r.isMerged {
		return
	}
	r.isMerged = true
	if r.reached {
		r.request.attempts++
	}
	r.request.mayHaveRun = r.request.mayHaveRun || r.probe.mayHaveRun
}

// close gives up the second attempt if it has not ended, and waits until it has: it reads the
// body of the request.
func (r *race) close() {
	if r == nil || !r.isSent() {
		return
	}
	r.cancelSecond()
	<-r.done
	r.merge()
	if r.lateTimer != nil {
		r.lateTimer.Stop()
	}
	for _, answer := range []*secondAnswer{r.second, r.fallback} {
		if answer != nil {
			answer.x.close()
		}
	}
}
