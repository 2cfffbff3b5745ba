// Package clock waits for time to pass without outliving its caller.
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
