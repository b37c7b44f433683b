// Package sleep provides delays that end early when a context is done.
package sleep

import (
	"context"
	"time"
)

// For waits for d. If the context is done first, it returns the cause of the context.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return context.Cause(ctx)
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-timer.C:
		return nil
	}
}
