package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"syscall"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/clock"
	"eelgrassring.dev/internal/engine"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/node"
	"eelgrassring.dev/internal/suspect"
)

// subjectOf returns the digest of a model request, which the repeats of an application share.
func subjectOf(c *call, q *completion) suspect.Digest {
	return suspect.NewDigest(string(c.caller.Workspace.Name)+"\x00"+string(c.caller.Application.Name), q.path, string(q.target.Model), string(c.body))
}

// awaitVerdict returns a failure if groups have ended under the request. It waits while that is
// not decided.
func (s *Server) awaitVerdict(ctx context.Context, c *call, q *completion) *ring.Failure {
	suspects := s.config.Node.Suspects()
	for {
		now := time.Now()
		if suspects.IsEmpty(now) {
			return nil
		}
		subject := subjectOf(c, q)
		judgement := suspects.Judge([]suspect.Digest{subject}, now)
		if refusal := judgement.Refusal; refusal != nil {
			s.config.Metrics.Count("suspect_refusals", 1, "workspace", string(c.caller.Workspace.Name))
			s.config.Log.Write(event.SuspectRefused, slog.String("request", c.id), slog.Uint64("digest", uint64(subject)), slog.Any("subjects", refusal.Subjects), slog.Any("servers", refusal.Servers), slog.Duration("for", refusal.Until.Sub(now)))
			return ring.Fail(ring.CodeCrashesServers, "servers have ended under this request")
		}
		if !judgement.IsPending || !clock.Sleep(ctx, pollInterval) {
			return nil
		}
	}
}

// recordCrash records a strike against a model request if the head of its group has ended while
// it was there. hasRun is set if the response had gone on for a while.
func (s *Server) recordCrash(ctx context.Context, c *call, q *completion, route node.Route, err *attemptError, hasRun bool) {
	if !isBrokenConnection(err) || !s.hasEnded(ctx, route) {
		return
	}
	strike := suspect.Strike{Subject: subjectOf(c, q), Server: route.Head, Incarnation: route.Incarnation, IsStrong: !hasRun}
	record, isNew := s.config.Node.Suspects().Add(strike, time.Now())
	if !isNew {
		return
	}
	s.config.Node.AnnounceStrike(strike)
	s.config.Metrics.Count("suspect_strikes", 1, "workspace", string(c.caller.Workspace.Name))
	s.config.Log.Write(event.RequestSuspected, slog.String("request", c.id), slog.Uint64("digest", uint64(record.Subject)), slog.String("vm", string(route.Head)), slog.Bool("strong", !hasRun), slog.Any("servers", record.Servers))
}

// recordSound records that the response to a model request was complete.
func (s *Server) recordSound(c *call, q *completion) {
	now := time.Now()
	suspects := s.config.Node.Suspects()
	if suspects.IsEmpty(now) {
		return
	}
	if sound := suspects.Acquit([]suspect.Digest{subjectOf(c, q)}, true, now); len(sound) > 0 {
		s.config.Node.AnnounceSound(sound, true)
	}
}

// hasEnded reports whether the head of a group that was not about to stop refuses connections.
func (s *Server) hasEnded(ctx context.Context, route node.Route) bool {
	if _, isLeaving := s.table.VMReport(route.Head, time.Now()); isLeaving {
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), connectTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+route.Address+engine.StatusPath, http.NoBody)
	if err != nil {
		return false
	}
	resp, err := s.transport.RoundTrip(req)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	resp.Body.Close()
	return false
}
