// Package waiter provides sleeps and periodic calls that end with a context.
package waiter

import (
	"context"
	"time"
)

// Wait sleeps for d or until ctx ends. It returns false if ctx has ended.
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

// Every calls f after each interval until ctx ends.
func Every(ctx context.Context, interval time.Duration, f func(now time.Time)) {
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
