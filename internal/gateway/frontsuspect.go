package gateway

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"slices"
	"syscall"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/fleet"
	"eelgrassring.dev/internal/suspect"
)

// strongStrikeTime is how long a request may have had events when its server ends for the
// strike to be strong. A server may end before the first event of the request under which
// it ends reaches this node.
const strongStrikeTime = 500 * time.Millisecond

// digest returns the digest of what the request asks for, keyed by the caller's key.
func (req *frontRequest) digest() suspect.Digest {
	return suspect.NewDigest(req.header.Key, req.route.Name, req.method, req.target, string(req.header.Model), req.header.Content, string(req.body))
}

// refuseSuspect returns a failure if so many servers have ended under the request, or a
// repeat of it, that it must not be sent to another one. It marks a request with a strong
// strike, which goes to the replica with the fewest requests.
func (f *Front) refuseSuspect(req *frontRequest) *ring.Failure {
	now := time.Now()
	if f.config.Suspects.IsEmpty(now) {
		return nil
	}
	record := f.config.Suspects.Find(req.digest(), now)
	req.isSuspect = record.Strong > 0
	if !record.IsRefused() {
		return nil
	}
	f.config.Metrics.Count("suspect_refusals", 1, "workspace", string(req.holder.Workspace))
	f.config.Log.Write(event.SuspectRefused, slog.String("request", req.header.ID), slog.Uint64("digest", uint64(record.Request)),
		slog.Any("servers", record.Servers), slog.Duration("for", record.Until.Sub(now)))
	return ring.Fail(ring.CodeCrashesServers, "%d servers have ended under this request", len(record.Servers))
}

// recordCrash records a strike against the request if its server has ended while it was
// there, and tells the peers. begunAt is the time of the attempt's first event, or zero.
func (f *Front) recordCrash(ctx context.Context, req *frontRequest, head ring.Server, err *attemptError, begunAt time.Time) {
	now := time.Now()
	if !isBrokenConnection(err) || !f.hasEnded(ctx, head) {
		return
	}
	strike := suspect.Strike{
		Request: req.digest(), Server: head.ID, Incarnation: head.Incarnation,
		IsStrong: begunAt.IsZero() || now.Sub(begunAt) < strongStrikeTime,
	}
	record, isNew := f.config.Suspects.Add(strike, now)
	if !isNew {
		return
	}
	f.config.Node.AnnounceStrike(strike)
	f.config.Metrics.Count("suspect_strikes", 1, "workspace", string(req.holder.Workspace))
	f.config.Log.Write(event.RequestSuspected, slog.String("request", req.header.ID), slog.Uint64("digest", uint64(strike.Request)), slog.String("vm", string(head.ID)),
		slog.Bool("strong", strike.IsStrong), slog.Any("servers", record.Servers), slog.Any("parts", req.partDigests()))
}

// partDigests returns a digest for each part of the prompt, in order. Requests of all
// callers that have a part in common have that digest in common.
func (req *frontRequest) partDigests() []suspect.Digest {
	var out []suspect.Digest
	for _, part := range req.header.PromptParts {
		out = append(out, suspect.NewDigest(string(req.service.Name), string(req.header.Model), part))
	}
	return out
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
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := f.config.Dial(ctx, "tcp", server.Address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close() // Nothing was sent.
	return false
}

// chooseLeastLoaded returns the candidate with the fewest requests within the limit, or
// false if there is none.
func chooseLeastLoaded(candidates []fleet.Candidate, limit replicaLimit) (fleet.Candidate, bool) {
	var best fleet.Candidate
	found := false
	for _, c := range candidates {
		if c.Load < limit.maxLoad && c.Prefill <= limit.maxPrefill && (!found || c.Load < best.Load) {
			best, found = c, true
		}
	}
	return best, found
}
