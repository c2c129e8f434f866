package gatherer

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// probeInterval is the time after the last admitted query at which one is admitted regardless of the expected latencies.
// Without probes, latencies observed during an overload would persist, since no request would be sent that corrects them.
const probeInterval = 50 * time.Millisecond

const (
	// retryAfterPart is the part of the caller's time left that Retry-After takes at most, unless the queues need longer. Callers
	// wait no longer than that, and the rest is enough for another attempt.
	retryAfterPart = 1.0 / 3
	// retryAfterSpread is the part of Retry-After over which refused callers are spread, so that they don't return together.
	retryAfterSpread = 0.5
	// maxRetryAfter bounds Retry-After if no upstream is expected to reply at all.
	maxRetryAfter = 2 * time.Second
)

// AdmissionControl decides whether a query of a route is started, and which shards it leaves out. The zero value is ready to
// use; it is safe for concurrent use.
type AdmissionControl struct {
	mu           sync.Mutex
	lastAdmitted time.Time
}

// Admit returns the shards to leave out, slowest first: those whose expected latency exceeds the time left, as far as an
// answer of need shards allows. Requests to them would only lengthen the queues that make them late. It returns false if
// fewer than need shards are expected in time, unless the query is a probe (see probeInterval).
func (c *AdmissionControl) Admit(now time.Time, expected []time.Duration, left time.Duration, need int) (skip []int, ok bool) {
	for i, d := range expected {
		if d > left {
			skip = append(skip, i)
		}
	}
	spare := len(expected) - need
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(skip) > spare && now.Sub(c.lastAdmitted) < probeInterval {
		return nil, false
	}
	c.lastAdmitted = now
	slices.SortFunc(skip, func(a, b int) int { return cmp.Compare(expected[b], expected[a]) })
	return skip[:min(len(skip), spare)], true
}

// Lateness returns the time by which an answer of need shards is expected to miss the time left; it is negative if the answer is
// expected sooner.
func Lateness(expected []time.Duration, left time.Duration, need int) time.Duration {
	return slices.Sorted(slices.Values(expected))[need-1] - left
}

// RetryAfter returns the time after which the caller of a refused query may come back: a part of its time left that jitter, from
// 0 to 1, spreads, or the lateness that was expected if that is longer. It returns false if the caller's deadline leaves no time
// for an answer within the latency target afterwards: a late answer is then better than a refusal.
func RetryAfter(lateness, untilDeadline, target time.Duration, jitter float64) (time.Duration, bool) {
	longest := retryAfterPart * float64(untilDeadline)
	if float64(untilDeadline)-longest < float64(target) {
		return 0, false
	}
	after := time.Duration(longest * (1 - retryAfterSpread*jitter))
	return min(max(after, lateness), maxRetryAfter), true
}
