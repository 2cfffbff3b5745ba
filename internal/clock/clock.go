// Package clock waits for time to pass, and repeats work as it passes, without
// outliving its caller.
package clock

import (
	"context"
	"time"
)

// Sleep waits for the span; it reports false when the context ended first.
func Sleep(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Every calls do at once and then at intervals until the context ends.
func Every(ctx context.Context, interval time.Duration, do func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		do(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
