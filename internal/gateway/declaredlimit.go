package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/clock"
	"eelgrassring.dev/internal/engine"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/node"
	"eelgrassring.dev/internal/quota"
)

// maxDeclaredWait bounds how long a request waits with a permit until it is sent.
const maxDeclaredWait = 500 * time.Millisecond

// routeKey returns the key under which the rate limit of a group's head is kept.
func routeKey(r node.Route) quota.Key { return quota.KeyOf(r.Head, r.Incarnation) }

// addressKey returns the key under which the rate limit of a server of a service is kept.
func addressKey(address string) quota.Key { return quota.KeyOf(ring.VM(address), "") }

// recordLimit records what a response says of its server's rate limit.
func (s *Server) recordLimit(k quota.Key, vm string, h http.Header) {
	limit := ring.ReadRateLimit(h.Values(engine.HeaderRateLimit))
	isLimited := limit.State == ring.RateLimited
	switch {
	case limit.State == ring.RateUnreadable && s.unreadable.isDue(time.Now()):
		s.config.Log.Write(event.LimitUnreadable, slog.String("vm", vm))
	case limit.State == ring.RateUnreadable:
	case !isLimited && s.permits.IsUnused():
	case s.permits.Observe(quota.Observation{Server: k, IsLimited: isLimited, PerSecond: limit.PerSecond, At: time.Now()}):
		s.config.Log.Write(event.ServerLimited, slog.String("vm", vm), slog.Bool("limited", isLimited), slog.Float64("per_second", limit.PerSecond))
	}
}

// permitWait returns how long a request with the deadline may wait with a permit.
func permitWait(deadline time.Time) time.Duration {
	return max(min(maxDeclaredWait, time.Until(deadline)), 0)
}

// awaitPermit gets a permit for a request to the grant's group, and waits until it may be used.
// If none is to be had soon, it moves the grant to another group with a free slot. It returns
// false if there is none either.
func (s *Server) awaitPermit(ctx context.Context, g *Grant) bool {
	excluded := map[ring.Group]bool{}
	for group := range g.triedGroups {
		excluded[group] = true
	}
	for {
		if at, ok := s.permits.Acquire(ctx, routeKey(g.Route()), permitWait(g.request.Deadline)); ok {
			return clock.Sleep(ctx, time.Until(at))
		}
		old := g.Route().Group
		excluded[old] = true
		if !g.moveExcept(excluded) {
			return false
		}
		g.notifyReleased(old)
		g.scheduler.notifier.NotifyTaken(g.Route().Group)
	}
}

// acquirePermitted is acquireGrant with a permit for the group's head, if that is limited.
// While no group has both a free slot and a permit, the request is queued until its deadline.
func (s *Server) acquirePermitted(r *http.Request, c *call, a AcquireRequest) (*Grant, *ring.Failure) {
	for {
		grant, failure := s.acquireGrant(r, c, a)
		if failure != nil || s.awaitPermit(r.Context(), grant) {
			return grant, failure
		}
		next := s.permits.NextAt(routeKey(grant.Route()), time.Now())
		grant.Release()
		if r.Context().Err() != nil || !next.Before(a.Deadline) || !clock.Sleep(r.Context(), queueCheckInterval) {
			return nil, ring.FailRetryAt(ring.CodeOverloaded, spreadRetry(next), "all groups of model %q get as many requests as they take", a.Target.Model)
		}
	}
}

// permittedAddress returns the address of a server for the n-th attempt, with a permit if the
// server is limited. It returns false and the time of the next try if there is none in time.
func (p *serviceCall) permittedAddress(ctx context.Context, n int) (string, time.Time, bool) {
	permits := p.server.permits
	next := time.Time{}
	// The first round takes what may be sent to at once.
	for _, wait := range []time.Duration{0, permitWait(p.call.deadline)} {
		for i := range p.service.Servers {
			address := p.serverAddress(n + i)
			at, ok := permits.Acquire(ctx, addressKey(address), wait)
			if ok && clock.Sleep(ctx, time.Until(at)) {
				return address, at, true
			}
			if next.IsZero() || at.Before(next) {
				next = at
			}
		}
	}
	return "", next, false
}

// failUnpermitted writes the failure of a call for which no server has a permit.
func (p *serviceCall) failUnpermitted(w http.ResponseWriter, next time.Time) {
	f := ring.FailRetryAt(ring.CodeOverloaded, spreadRetry(next), "all servers of service %s get as many requests as they take", p.service.Name)
	if p.mayHaveRun {
		f = ring.Fail(ring.CodeOutcomeUnknown, "the request may have run before it failed: %s", f.Message)
	}
	p.server.writeFailure(w, p.call, f)
}
