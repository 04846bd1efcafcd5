// Package wait provides sleeps that end early when a context is cancelled.
package wait

import (
	"context"
	"time"
)

// For sleeps for the given duration. It returns false, without further delay, if
// the context is cancelled before or during the sleep.
func For(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// Until sleeps until the given time, as For does.
func Until(ctx context.Context, when time.Time) bool { return For(ctx, time.Until(when)) }
