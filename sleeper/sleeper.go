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
	"math/rand/v2"
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

// maxDoublings keeps the pause of BackOff from overflowing.
const maxDoublings = 10

// BackOff returns the pause after a number of failures in a row, at least 1: it doubles from first up to last, and half of
// it is drawn at random.
func BackOff(failures int, first, last time.Duration) time.Duration {
	d := min(first<<min(max(failures-1, 0), maxDoublings), last)
	return d/2 + rand.N(d/2)
}
