// Package waiter waits for a time or the end of a context.
package waiter

import (
	"context"
	"time"
)

// Wait returns after a time, or earlier when ctx ends.
func Wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
