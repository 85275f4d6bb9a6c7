// Package waiter waits for a time or the end of a context.
package waiter

import (
	"context"
	"time"
)

// Wait returns after a time, or earlier when ctx ends. It reports whether ctx
// goes on.
func Wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Each calls f at intervals until ctx ends.
func Each(ctx context.Context, interval time.Duration, f func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f(now)
		}
	}
}
