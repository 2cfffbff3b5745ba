package gateway

import (
	"log/slog"
	"net/http"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/quota"
)

// unreadableLogInterval is the least time between two log lines of limits that cannot be
// read.
const unreadableLogInterval = time.Minute

// recordLimit records what a response says of its server's rate limit. A response that
// another server may have sent, because it has the address now, says nothing.
func (f *Front) recordLimit(req *frontRequest, server ring.Server, x *exchange) {
	if x.response.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	now, limit := time.Now(), x.header.RateLimit
	vm, request := slog.String("vm", string(server.ID)), slog.String("request", req.header.ID)
	if limit.State == ring.RateUnreadable {
		last := f.unreadableAt.Load()
		if (last == nil || now.Sub(*last) >= unreadableLogInterval) && f.unreadableAt.CompareAndSwap(last, &now) {
			f.config.Log.Write(event.LimitUnreadable, vm, request)
		}
		return
	}
	isLimited := limit.State == ring.RateLimited
	if !isLimited && f.limits.IsEmpty() {
		return
	}
	o := quota.Observation{Server: quota.KeyOf(server.ID, server.Incarnation), IsLimited: isLimited, PerSecond: limit.PerSecond, At: now}
	if f.limits.Observe(o) {
		f.config.Log.Write(event.ServerLimited, vm, slog.Bool("limited", isLimited), slog.Float64("per_second", limit.PerSecond), request)
	}
	if isLimited {
		f.config.Metrics.Count("limited_responses", 1, "service", string(req.service.Name))
	}
}
