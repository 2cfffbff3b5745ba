package gateway

import (
	"errors"
	"log/slog"

	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/head"
	"eelgrassring.dev/internal/metric"
)

// recordMalformed counts and logs an attempt that failed with err, if the response was malformed:
// unlike one that was cut off, its server is likely in trouble.
func recordMalformed(log *event.Log, metrics *metric.Registry, request, vm, address string, err error) {
	if !errors.Is(err, head.ErrMalformed) {
		return
	}
	metrics.Count("malformed_answers", 1)
	log.Write(event.ResponseMalformed, slog.String("request", request), slog.String("vm", vm), slog.String("address", address), slog.Any("error", err))
}
