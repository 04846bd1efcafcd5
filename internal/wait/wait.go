// Package wait holds a goroutine up, for as long as its context lives.
package wait

import (
	"context"
	"time"
)

// For waits for a span. It reports false, at once, if the context ends first or
// has ended.
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

// Until waits for a time, as For does.
func Until(ctx context.Context, when time.Time) bool { return For(ctx, time.Until(when)) }
