// Package sleeper provides pauses that end early when a context is done, and random exponential back-off.
//
// # Usage
//
//	if !sleeper.Sleep(ctx, 50*time.Millisecond) {
//		return ctx.Err()
//	}
package sleeper

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep waits for d and returns true, or returns false as soon as ctx is done. If d is not positive, it returns at
// once and reports whether ctx is not done.
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

// maxDoublings keeps the delay of BackOff from overflowing.
const maxDoublings = 10

// BackOff returns the delay after a number of consecutive failures, which is at least 1. The delay doubles with each
// failure from first up to last; its second half is random, so that clients do not retry in step.
func BackOff(failures int, first, last time.Duration) time.Duration {
	d := min(first<<min(max(failures-1, 0), maxDoublings), last)
	return d/2 + rand.N(d/2)
}
