package gateway

import (
	"cmp"
	"context"
	"errors"
	"io"
	"log/slog"
	"slices"
	"syscall"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/clock"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/fleet"
	"eelgrassring.dev/internal/routing"
	"eelgrassring.dev/internal/suspect"
)

const (
	// strongStrikeTime is how long a request may have had events when its server ends for the
	// strike to be strong. A server may end before the first event of the request under which
	// it ends reaches this node.
	strongStrikeTime = 500 * time.Millisecond
	// soundInterval is how often a stream that has had events for strongStrikeTime is recorded
	// as sound. A server would have ended under it.
	soundInterval = 100 * time.Millisecond
)

// isolationKey is the key of the trial of all requests that are isolated and that no refusal
// names. A node sends one of them at a time.
const isolationKey = "isolated"

// errRefusedMeanwhile is the error of an attempt that was given up because its request has been
// refused since it was sent.
var errRefusedMeanwhile = errors.New("the request is refused since it was sent")

// mayTry reports whether the request may be sent to a server now. It returns a failure if the
// request is refused because servers have ended under it, a repeat of it, or a part of its
// prompt. It marks a request that must go where all nodes send such requests.
func (f *Front) mayTry(req *frontRequest) (bool, *ring.Failure) {
	now := time.Now()
	if f.config.Suspects.IsEmpty(now) {
		req.isIsolated, req.isPending = false, false
		return true, nil
	}
	judgement := f.config.Suspects.Judge(req.subjectsOf(), now)
	f.applyDecisions()
	req.isIsolated = judgement.IsIsolated
	if refusal := judgement.Refusal; refusal != nil {
		f.endTrial(req)
		f.config.Metrics.Count("suspect_refusals", 1, "workspace", string(req.holder.Workspace))
		f.config.Log.Write(event.SuspectRefused, slog.String("request", req.header.ID), slog.Uint64("digest", uint64(req.subjectsOf()[0])),
			slog.Any("subjects", refusal.Subjects), slog.Any("servers", refusal.Servers), slog.Duration("for", refusal.Until.Sub(now)))
		return false, ring.Fail(ring.CodeCrashesServers, "servers have ended under this request or a part of its prompt")
	}
	req.isPending = judgement.IsPending
	if judgement.IsPending {
		f.endTrial(req)
		return false, nil
	}
	key := subjectsKey(judgement.Trial)
	if key == "" && judgement.IsIsolated {
		key = isolationKey
	}
	if key != req.trial {
		f.endTrial(req)
		if key != "" && !f.suspicion.beginTrial(key) {
			return false, nil
		}
		req.trial = key
	}
	return !judgement.IsRare || f.suspicion.window.IsOpen(now, f.config.Node.NodeCount()), nil
}

// endTrial ends the request's trial, if it is one.
func (f *Front) endTrial(req *frontRequest) {
	if req.trial != "" {
		f.suspicion.endTrial(req.trial)
		req.trial = ""
	}
}

// refuseSuspect returns a failure if the request is refused.
func (f *Front) refuseSuspect(req *frontRequest) *ring.Failure {
	_, failure := f.mayTry(req)
	return failure
}

// awaitVerdict returns a failure if the request is refused. It waits while that is not decided.
func (f *Front) awaitVerdict(ctx context.Context, req *frontRequest) *ring.Failure {
	for {
		if failure := f.refuseSuspect(req); failure != nil || !req.isPending || !clock.Sleep(ctx, pollInterval) {
			return failure
		}
	}
}

// applyDecisions logs refusals that are new or have ended, tells the peers of the new ones,
// and gives up the attempts that they hold for and whose response has not begun.
func (f *Front) applyDecisions() {
	refusals, decisions := f.config.Suspects.Decide(time.Now())
	change := f.suspicion.update(refusals, decisions)
	for _, r := range change.begun {
		f.config.Log.Write(event.RefusalDecided, slog.Any("subjects", r.Subjects), slog.Any("servers", r.Servers), slog.Duration("after", r.DecidedAt.Sub(r.Since)), slog.Bool("adopted", r.IsAdopted))
	}
	for _, subjects := range change.ended {
		f.config.Log.Write(event.RefusalEnded, slog.Any("subjects", subjects))
	}
	if slices.ContainsFunc(change.begun, func(r suspect.Refusal) bool { return !r.IsAdopted }) {
		f.config.Node.AnnounceRefusals()
	}
	for _, fl := range change.waiting {
		subjects := fl.content.subjects()
		if slices.ContainsFunc(refusals, func(r suspect.Refusal) bool { return r.Covers(subjects) }) {
			fl.cancel(errRefusedMeanwhile)
		}
	}
}

// recordSound records that the response to a request was complete, or has gone on for
// strongStrikeTime, without an end of its server.
func (f *Front) recordSound(req *frontRequest, isComplete bool) {
	now := time.Now()
	if f.config.Suspects.IsEmpty(now) {
		return
	}
	if sound := f.config.Suspects.Acquit(req.subjectsOf(), isComplete, now); len(sound) > 0 {
		f.config.Node.AnnounceSound(sound, isComplete)
		f.applyDecisions()
	}
}

// recordCrash records strikes against the request and the parts of its prompt if its server has
// ended while it was there, and tells the peers. begunAt is the time of the attempt's first
// event, or zero.
func (f *Front) recordCrash(ctx context.Context, req *frontRequest, head ring.Server, err *attemptError, begunAt time.Time) {
	if !isBrokenConnection(err) || !f.hasEnded(ctx, head) {
		return
	}
	now := time.Now()
	// A request that has run for a while at another server is a bystander that has moved.
	isStrong := !req.hasRun && (begunAt.IsZero() || now.Sub(begunAt) < strongStrikeTime)
	req.hasRun = req.hasRun || !isStrong
	subjects := req.subjectsOf()
	var own suspect.Record
	isNew := false
	for i, d := range subjects {
		strike := suspect.Strike{Subject: d, Server: head.ID, Incarnation: head.Incarnation, IsStrong: isStrong}
		record, isStrikeNew := f.config.Suspects.Add(strike, now)
		if isStrikeNew {
			f.config.Node.AnnounceStrike(strike)
		}
		if i == 0 {
			own, isNew = record, isStrikeNew
		}
	}
	time.AfterFunc(suspect.SettleTime, f.applyDecisions)
	if !isNew {
		return
	}
	f.config.Metrics.Count("suspect_strikes", 1, "workspace", string(req.holder.Workspace))
	f.config.Log.Write(event.RequestSuspected, slog.String("request", req.header.ID), slog.Uint64("digest", uint64(own.Subject)), slog.String("vm", string(head.ID)),
		slog.Bool("strong", isStrong), slog.Any("servers", own.Servers), slog.Any("parts", subjects[1:]))
}

// isBrokenConnection reports whether an attempt ended because the server's side closed or
// reset the connection, without a complete response.
func isBrokenConnection(err *attemptError) bool {
	if err.stage != stageSent {
		return false
	}
	return slices.ContainsFunc([]error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE}, func(cause error) bool { return errors.Is(err, cause) })
}

// hasEnded reports whether a server that was not about to stop refuses connections. A
// server that was only reset, cut off or ordered to end its requests does not.
func (f *Front) hasEnded(ctx context.Context, server ring.Server) bool {
	if s, known := f.config.Fleet.Server(server.ID); !known || s.Leaving || s.Incarnation != server.Incarnation {
		return false
	}
	conn, err := f.connect(ctx, server)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close() // Nothing was sent.
	return false
}

// chooseIsolated returns the candidate to which all nodes send the requests that are isolated,
// or false if there is none or it is not within the limit.
func chooseIsolated(candidates []fleet.Candidate, limit replicaLimit) (fleet.Candidate, bool) {
	if len(candidates) == 0 {
		return fleet.Candidate{}, false
	}
	chosen := slices.MaxFunc(candidates, func(a, b fleet.Candidate) int {
		return cmp.Compare(routing.Hash(string(a.Replica.Group)), routing.Hash(string(b.Replica.Group)))
	})
	return chosen, chosen.Load < limit.maxLoad && chosen.Prefill <= limit.maxPrefill
}
