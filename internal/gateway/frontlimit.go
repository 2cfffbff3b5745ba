package gateway

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/clock"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/fleet"
	"eelgrassring.dev/internal/quota"
)

// unreadableLogInterval is the least time between two log lines of limits that cannot be
// read.
const unreadableLogInterval = time.Minute

const (
	// maxAsks bounds the home nodes that are asked for a permit in one try to find a server
	// for a request.
	maxAsks = 2
	// plainWaitFraction is the fraction of a route's latency target that a request to a service
	// without models waits for a permit.
	plainWaitFraction = 0.5
)

// logInterval limits log lines to one every unreadableLogInterval. It is safe for concurrent
// use.
type logInterval struct{ last atomic.Pointer[time.Time] }

// isDue reports whether a line may be written now, and if so, counts it.
func (l *logInterval) isDue(now time.Time) bool {
	last := l.last.Load()
	return (last == nil || now.Sub(*last) >= unreadableLogInterval) && l.last.CompareAndSwap(last, &now)
}

// keyOf returns the key under which a server's rate limit is kept.
func keyOf(s ring.Server) quota.Key { return quota.KeyOf(s.ID, s.Incarnation) }

// splitLimited divides candidates into those that need no permit and the others. The
// others, of which a permit may be had within maxWait, are in the order of their load.
func (s *replicaSelector) splitLimited(candidates []fleet.Candidate, maxWait time.Duration, now time.Time) (open, limited []fleet.Candidate) {
	for _, c := range candidates {
		switch key := keyOf(c.Replica.Head); {
		case s.permits.IsOpen(key, now):
			open = append(open, c)
		case !s.permits.IsDenied(key, maxWait, now):
			limited = append(limited, c)
		}
	}
	rand.Shuffle(len(limited), func(i, j int) { limited[i], limited[j] = limited[j], limited[i] })
	slices.SortStableFunc(limited, func(a, b fleet.Candidate) int { return cmp.Compare(a.Load, b.Load) })
	return open, limited
}

// chooseOwn returns a limited candidate of which this node can take a permit at once without
// asking another node, unless it has more requests than the open ones have on average. Such
// permits cannot be kept, and take load off the open ones.
func (s *replicaSelector) chooseOwn(ctx context.Context, open, limited []fleet.Candidate, limit replicaLimit, now time.Time) (fleet.Candidate, bool) {
	total := 0
	for _, c := range open {
		total += c.Load
	}
	for _, c := range limited {
		key := keyOf(c.Replica.Head)
		isLoaded := c.Load*len(open) > total && len(open) > 0
		if isLoaded || c.Load >= limit.maxLoad || c.Prefill > limit.maxPrefill || !s.permits.IsHome(key, now) || s.permits.IsDenied(key, 0, now) {
			continue
		}
		if at, ok := s.permits.Acquire(ctx, key, 0); ok {
			c.SendAt = at
			return c, true
		}
	}
	return fleet.Candidate{}, false
}

// chooseLimited returns a limited candidate with a permit that may be used within maxWait.
func (s *replicaSelector) chooseLimited(ctx context.Context, limited []fleet.Candidate, limit replicaLimit, maxWait time.Duration) (fleet.Candidate, bool) {
	asked := 0
	for _, c := range limited {
		if c.Load >= limit.maxLoad || c.Prefill > limit.maxPrefill {
			continue
		}
		if at, ok := s.permits.Acquire(ctx, keyOf(c.Replica.Head), maxWait); ok {
			c.SendAt = at
			return c, true
		}
		if asked++; asked == maxAsks {
			break
		}
	}
	return fleet.Candidate{}, false
}

// maxPermitWait returns how long the request may wait with a permit until it is used. A
// request that is late for its latency target gets only permits that those in time leave.
func (s *replicaSelector) maxPermitWait(req *frontRequest, prefill time.Duration, deadline, now time.Time) time.Duration {
	if req.attempts == 0 && s.isLate(req, prefill, now) {
		return 0
	}
	return max(deadline.Sub(now), 0)
}

// permitsUntil returns when the first permit for one of the candidates may be had, or false
// if one of them needs none or there are none.
func (s *replicaSelector) permitsUntil(candidates []fleet.Candidate, now time.Time) (time.Time, bool) {
	var first time.Time
	for _, c := range candidates {
		key := keyOf(c.Replica.Head)
		if s.permits.IsOpen(key, now) {
			return time.Time{}, false
		}
		if at := s.permits.NextAt(key, now); first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first, len(candidates) > 0
}

// acquireServer returns a server of a service without models for the next attempt of a
// request, with a permit if the server is limited, and counts a request in flight there. It
// waits up to maxWait for a permit if no server can be had without. It returns false if there
// is no server.
func (f *Front) acquireServer(ctx context.Context, req *frontRequest, tried map[ring.VM]bool, maxWait time.Duration) (ring.Server, bool) {
	now := time.Now()
	servers := f.config.Fleet.AvailableServers(req.service.Name, now)
	if f.permits.IsUnused() {
		return f.servers.acquire(servers, tried, now)
	}
	excluded := maps.Clone(tried)
	for _, wait := range []time.Duration{0, maxWait} {
		for range servers {
			usable := slices.DeleteFunc(slices.Clone(servers), func(s ring.Server) bool { return f.permits.IsDenied(keyOf(s), wait, time.Now()) })
			server, ok := f.servers.acquire(usable, excluded, time.Now())
			if !ok {
				break
			}
			at, ok := f.permits.Acquire(ctx, keyOf(server), wait)
			if ok && clock.Sleep(ctx, time.Until(at)) {
				return server, true
			}
			f.servers.cancel(server)
			if ctx.Err() != nil {
				return ring.Server{}, false
			}
			excluded[server.ID] = true
		}
		excluded = maps.Clone(tried)
	}
	return ring.Server{}, false
}

// serversDeniedUntil returns when the first permit for a server of a service may be had, or
// false if one of them needs none or there are none.
func (f *Front) serversDeniedUntil(service ring.Service, now time.Time) (time.Time, bool) {
	var first time.Time
	for _, s := range f.config.Fleet.AvailableServers(service, now) {
		if f.permits.IsOpen(keyOf(s), now) {
			return time.Time{}, false
		}
		if at := f.permits.NextAt(keyOf(s), now); first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// spreadRetry returns a time shortly after at, so that the callers that are told of the same
// permit do not all return at once.
func spreadRetry(at time.Time) time.Time { return at.Add(rand.N(busyRetryAfter)) }

// recordLimit records what a response says of its server's rate limit, and of how long it is cold.
// A response that
// another server may have sent, because it has the address now, says nothing.
func (f *Front) recordLimit(req *frontRequest, server ring.Server, x *exchange) {
	if x.response.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	if x.header.Cold != (ring.ColdAnswer{}) {
		f.config.Node.ObserveColdAnswer(server, x.header.Cold)
	}
	now, limit := time.Now(), x.header.RateLimit
	vm, request := slog.String("vm", string(server.ID)), slog.String("request", req.header.ID)
	if limit.State == ring.RateUnreadable {
		if f.unreadable.isDue(now) {
			f.config.Log.Write(event.LimitUnreadable, vm, request)
		}
		return
	}
	isLimited := limit.State == ring.RateLimited
	if !isLimited && f.permits.IsUnused() {
		return
	}
	o := quota.Observation{Server: keyOf(server), IsLimited: isLimited, PerSecond: limit.PerSecond, At: now}
	if f.permits.Observe(o) {
		f.config.Log.Write(event.ServerLimited, vm, slog.Bool("limited", isLimited), slog.Float64("per_second", limit.PerSecond), request)
	}
	if isLimited {
		f.config.Metrics.Count("limited_responses", 1, "service", string(req.service.Name))
	}
}
