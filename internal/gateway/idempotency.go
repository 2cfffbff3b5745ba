package gateway

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/claim"
	"eelgrassring.dev/internal/event"
)

const (
	// headerKey carries a key that the caller's retries of a request share.
	headerKey = "Idempotency-Key"
	// maxKeyLength is the longest idempotency key accepted, in bytes.
	maxKeyLength = 255
	// maxDispatchDelay is how long after the node asked for a claim, the stored record
	// of a non-idempotent request, the request may be dispatched. If the node pauses
	// for longer, it releases the claim instead.
	maxDispatchDelay = 5 * time.Second
	// replySettleTimeout bounds how long the caller's response waits for the
	// outcome to be recorded. Recording continues after it.
	replySettleTimeout = time.Second
	// settleTimeout bounds the recording of a request's outcome in its claim.
	settleTimeout = 2 * time.Minute
)

// idempotencyKey returns the request's idempotency key, or "" if it has none. It
// returns a failure if the key is invalid or given twice.
func idempotencyKey(r *http.Request) (string, *ring.Failure) {
	values := r.Header.Values(headerKey)
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 || values[0] == "" || len(values[0]) > maxKeyLength {
		return "", ring.Fail(ring.CodeBadHeader, "%s must be given only once, with 1 to %d bytes", headerKey, maxKeyLength)
	}
	return values[0], nil
}

// runClaimed ensures that the request with the idempotency key runs at most once. It
// writes a claim, a record of the key and the request, to the store, calls dispatch and
// records the outcome in the claim. If the key already has a claim, it responds from
// that one instead. The outcome must be recorded within outcomeTimeout after the latest
// time of dispatch; if it is not, later retries are told that it is unknown.
func (s *Server) runClaimed(w http.ResponseWriter, r *http.Request, c *call, key string, outcomeTimeout time.Duration, dispatch func() dispatchResult) {
	id := claim.Identity{Workspace: c.caller.Workspace.Name, Key: key}
	fingerprint := claim.Fingerprint(r.Method, r.URL.RequestURI(), c.body)
	begin := time.Now()
	ownClaim, verdict, stored, failure := s.config.Ledger.Claim(r.Context(), id, fingerprint, begin.Add(maxDispatchDelay+outcomeTimeout))
	if failure != nil {
		s.writeFailure(w, c, failure)
		return
	}
	if ownClaim == nil {
		s.answerFromClaim(w, c, verdict, stored)
		return
	}
	// The node may have paused before this point. It still owns the claim, but a retry
	// may have been told that the outcome is not known yet, so the request must not run now.
	if r.Context().Err() != nil || time.Since(begin) > maxDispatchDelay {
		s.settling.Go(ownClaim.Release)
		s.writeFailure(w, c, ring.FailRetryAt(ring.CodeClaimUnavailable, time.Now().Add(time.Second), "the request was not dispatched in time; it was not run"))
		return
	}
	s.settle(c, ownClaim, dispatch())
}

// dispatchResult is the outcome of the only dispatch of a request.
type dispatchResult struct {
	// response is set if the backend server's response was complete.
	response *claim.Response
	// notRun is set if the request certainly did not run. Then no outcome is recorded,
	// and the claim is released.
	notRun bool
	// reply writes the response to the caller. It is called as soon as the outcome is
	// recorded or replySettleTimeout has passed, or at once if notRun is set.
	reply func()
}

// settle records the outcome of a dispatch in the claim, the stored record of the
// request, and then replies to the caller. It waits at most replySettleTimeout for the
// record. If the request did not run, settle replies and releases the claim, so that a
// retry may run.
func (s *Server) settle(c *call, ownClaim *claim.Claim, result dispatchResult) {
	if result.notRun {
		result.reply()
		s.settling.Go(ownClaim.Release)
		return
	}
	done := make(chan struct{})
	s.settling.Go(func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		var err error
		if result.response != nil {
			err = ownClaim.Complete(ctx, *result.response)
		} else {
			err = ownClaim.MarkUnknown(ctx)
		}
		if err != nil {
			s.config.Log.Write(event.ClaimOutcomeNotRecorded, slog.String("request", c.id), slog.Any("error", err))
		}
	})
	timer := time.NewTimer(replySettleTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
	result.reply()
}

// answerFromClaim responds to a request whose idempotency key already has a claim, the
// stored record of an earlier request. It writes the recorded response if there is one,
// otherwise a failure.
func (s *Server) answerFromClaim(w http.ResponseWriter, c *call, v claim.Verdict, stored *claim.Record) {
	switch v {
	case claim.VerdictReplay:
		w.Header().Set(headerReplayed, "true")
		w.Header().Set("Content-Type", stored.Response.ContentType)
		w.WriteHeader(stored.Response.Status)
		_, _ = w.Write(stored.Response.Body)
	case claim.VerdictNotStored:
		s.writeFailure(w, c, ring.Fail(ring.CodeAnswerNotKept, "the request ran with status %d; its response was too large to store", stored.Response.Status))
	case claim.VerdictInProgress:
		s.writeFailure(w, c, ring.FailRetryAt(ring.CodeInProgress, time.Now().Add(time.Second), "an earlier request with this key may be in progress; its outcome is not known yet"))
	case claim.VerdictKeyReused:
		s.writeFailure(w, c, ring.Fail(ring.CodeKeyReused, "the key was used for a different request; this one was not run"))
	default:
		s.writeFailure(w, c, ring.Fail(ring.CodeOutcomeUnknown, "the request may have run; its outcome is unknown"))
	}
}

// serveNonIdempotent serves a model request that has an idempotency key. It dispatches
// the request at most once.
func (s *Server) serveNonIdempotent(w http.ResponseWriter, r *http.Request, c *call, q *completion, grant *Grant, key string) {
	s.runClaimed(w, r, c, key, s.config.FirstTimeout+settleTimeout, func() dispatchResult {
		return s.dispatchCompletion(w, r, c, q, grant)
	})
}

// dispatchCompletion dispatches a model request once and forwards the response to the
// caller. It returns the outcome with a copy of the response, to be recorded in the
// request's claim.
func (s *Server) dispatchCompletion(w http.ResponseWriter, r *http.Request, c *call, q *completion, grant *Grant) dispatchResult {
	// The request continues after the caller disconnects, so that a retry with
	// the same key gets the recorded response.
	ctx, cancel := s.stop.until(context.WithoutCancel(r.Context()))
	defer cancel()
	out := &relay{server: s, w: w, call: c, request: q, record: &bytes.Buffer{}, onEvent: grant.NotifyFirstToken}
	err := out.attempt(ctx, grant.Route(), true)
	if err == nil {
		s.recordSound(c, q)
		contentType := w.Header().Get("Content-Type")
		return dispatchResult{response: &claim.Response{Status: out.status, ContentType: contentType, Body: out.record.Bytes()}, reply: func() {}}
	}
	s.logFailedAttempt(c, grant.Route(), err)
	if ctx.Err() == nil {
		s.recordCrash(ctx, c, q, grant.Route(), err, out.hasRun())
	}
	return dispatchResult{notRun: !out.started && err.stage != stageSent, reply: func() { s.writeNonIdempotentFailure(out, err) }}
}

// writeNonIdempotentFailure writes the failure of a non-idempotent request's only
// dispatch as its response. If a stream has started, it ends the stream with an event
// that says that the outcome is unknown.
func (s *Server) writeNonIdempotentFailure(out *relay, err *attemptError) {
	if !out.started {
		s.writeFailure(out.w, out.call, out.failureFor(err))
		return
	}
	out.writeStreamFailure(ring.Fail(ring.CodeOutcomeUnknown, "the stream broke; the request may have run"))
}

// WaitSettled waits until this node has recorded the outcome of each non-idempotent
// request that it dispatched, or has given up after settleTimeout. It returns earlier
// if ctx is done.
func (s *Server) WaitSettled(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.settling.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
