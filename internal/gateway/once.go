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
	// headerKey names a request over all its tries by the caller.
	headerKey = "Idempotency-Key"
	// maxKeyLength bounds the key, in bytes.
	maxKeyLength = 255
	// maxDispatchDelay is how long after its claim a request may be dispatched;
	// after a longer pause of this node it is given back.
	maxDispatchDelay = 5 * time.Second
	// replySettleTimeout bounds the recording of an answer before the caller gets
	// it; the recording goes on after it.
	replySettleTimeout = time.Second
	// settleTimeout bounds the recording in all.
	settleTimeout = 2 * time.Minute
)

// idempotencyKey returns the request's key, or "" when it has none.
func idempotencyKey(r *http.Request) (string, *ring.Failure) {
	values := r.Header.Values(headerKey)
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 || values[0] == "" || len(values[0]) > maxKeyLength {
		return "", ring.Fail(ring.CodeBadHeader, "%s must stand once, with 1 to %d bytes", headerKey, maxKeyLength)
	}
	return values[0], nil
}

// runClaimed runs do under a claim, or answers from the claim that exists. The
// function do dispatches at most once and returns what became of it.
func (s *Server) runClaimed(w http.ResponseWriter, r *http.Request, c *call, key string, limit time.Duration, do func() dispatchResult) {
	id := claim.Identity{Workspace: c.caller.Workspace.Name, Key: key}
	print := claim.Fingerprint(r.Method, r.URL.RequestURI(), c.body)
	begin := time.Now()
	held, verdict, stored, failure := s.config.Ledger.Claim(r.Context(), id, print, begin.Add(maxDispatchDelay+limit))
	if failure != nil {
		s.fail(w, c, failure)
		return
	}
	if held == nil {
		s.answerFromClaim(w, c, verdict, stored)
		return
	}
	// A paused node wakes here: the claim is still its own, but whoever asked
	// again was told that the outcome is open, so nothing may run now.
	if r.Context().Err() != nil || time.Since(begin) > maxDispatchDelay {
		s.settling.Go(held.Release)
		s.fail(w, c, ring.FailUntil(ring.CodeClaimUnavailable, time.Now().Add(time.Second), "the request was not dispatched in time; it was not run"))
		return
	}
	s.settle(c, held, do())
}

// dispatchResult is what became of the one dispatch.
type dispatchResult struct {
	// answer is set when the backend server's whole answer is there.
	answer *claim.Answer
	// notRun is set when it is certain that nothing ran.
	notRun bool
	// reply gives the caller its answer. It comes after the record.
	reply func()
}

// settle records the outcome, then lets the caller have it.
func (s *Server) settle(c *call, held *claim.Held, result dispatchResult) {
	if result.notRun {
		result.reply()
		s.settling.Go(held.Release)
		return
	}
	done := make(chan struct{})
	s.settling.Go(func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		var err error
		if result.answer != nil {
			err = held.Done(ctx, *result.answer)
		} else {
			err = held.Unknown(ctx)
		}
		if err != nil {
			s.config.Log.Write(event.ClaimUnsettled, slog.String("request", c.id), slog.Any("error", err))
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

// answerFromClaim answers a request whose key is claimed already.
func (s *Server) answerFromClaim(w http.ResponseWriter, c *call, v claim.Verdict, stored *claim.Record) {
	switch v {
	case claim.VerdictReplay:
		w.Header().Set(headerReplayed, "true")
		w.Header().Set("Content-Type", stored.Answer.ContentType)
		w.WriteHeader(stored.Answer.Status)
		_, _ = w.Write(stored.Answer.Body)
	case claim.VerdictNotKept:
		s.fail(w, c, ring.Fail(ring.CodeAnswerNotKept, "the request ran with status %d; its answer was too large to keep", stored.Answer.Status))
	case claim.VerdictInProgress:
		s.fail(w, c, ring.FailUntil(ring.CodeInProgress, time.Now().Add(time.Second), "the request is claimed by another try; its outcome is open"))
	case claim.VerdictReused:
		s.fail(w, c, ring.Fail(ring.CodeKeyReused, "the key belongs to a different request; this one was not run"))
	default:
		s.fail(w, c, ring.Fail(ring.CodeOutcomeUnknown, "the request may have run; its outcome is unknown"))
	}
}

// completeNonIdempotent serves a model request that must not run twice.
func (s *Server) completeNonIdempotent(w http.ResponseWriter, r *http.Request, c *call, q *completion, grant *Grant, key string) {
	s.runClaimed(w, r, c, key, s.config.FirstTimeout+settleTimeout, func() dispatchResult {
		return s.dispatchCompletion(w, r, c, q, grant)
	})
}

func (s *Server) dispatchCompletion(w http.ResponseWriter, r *http.Request, c *call, q *completion, grant *Grant) dispatchResult {
	// The request goes on when its caller leaves: a later try gets the answer.
	ctx := context.WithoutCancel(r.Context())
	out := &relay{server: s, w: w, call: c, request: q, record: &bytes.Buffer{}, onEvent: grant.NoteFirstToken}
	err := out.attempt(ctx, grant.Route(), true)
	if err == nil {
		kind := w.Header().Get("Content-Type")
		return dispatchResult{answer: &claim.Answer{Status: out.status, ContentType: kind, Body: out.record.Bytes()}, reply: func() {}}
	}
	s.logFailedAttempt(c, grant.Route(), err)
	return dispatchResult{notRun: !out.began && err.stage != stageSent, reply: func() { s.failNonIdempotent(out, err) }}
}

// failNonIdempotent gives the final answer of a failed dispatch; a stream that began
// ends with an unknown outcome.
func (s *Server) failNonIdempotent(out *relay, err *attemptError) {
	if !out.began {
		s.fail(out.w, out.call, out.failureOf(err))
		return
	}
	s.failStream(out.w, out.call, ring.Fail(ring.CodeOutcomeUnknown, "the stream broke; the request may have run"))
}

// WaitSettled waits until the outcomes of all claims of this node are recorded or
// given up, or the context ends.
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
