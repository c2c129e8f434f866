// Package sleeper waits with an end by context.
//
// # Usage
//
//	if !sleeper.Sleep(ctx, 50*time.Millisecond) {
//		return ctx.Err()
//	}
package sleeper

import (
	"context"
	"time"
)

// Sleep waits for d and returns true, or returns false as soon as ctx is done. Without a positive d it returns at once
// whether ctx is still in force.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
