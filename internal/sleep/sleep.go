// Package sleep holds waits that end with a context.
package sleep

import (
	"context"
	"time"
)

// For waits for a duration. It returns the cause of the context if that ends first.
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
