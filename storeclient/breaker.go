package storeclient

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// DefaultFirstBackOff is the bound of the random wait after the first failure.
	DefaultFirstBackOff = 100 * time.Millisecond
	// DefaultMaxBackOff is the bound of the random wait after many failures. It is well below 5 s, since rules must be in
	// force within 5 s after an outage.
	DefaultMaxBackOff = 2 * time.Second

	maxDoublings = 20
)

// breaker is a circuit breaker for all calls of a client. After a failure it refuses calls for a random time up to a bound
// that doubles with each failure (full jitter). Then it allows one call as a probe, and all calls once the probe succeeded.
type breaker struct {
	firstWait, maxWait time.Duration
	// probeTimeout is how long other calls are refused while a probe is in flight.
	probeTimeout time.Duration

	mu           sync.Mutex
	failures     int
	blockedUntil time.Time
	// probe is the number of the probe in flight, 0 if there is none; other calls are refused until blockedUntil at the latest.
	probe ticket
	// probes counts the probes.
	probes ticket
}

// ticket identifies a call that is a probe; it is 0 for other calls.
type ticket uint64

func newBreaker(firstWait, maxWait, probeTimeout time.Duration) *breaker {
	return &breaker{firstWait: firstWait, maxWait: maxWait, probeTimeout: probeTimeout}
}

// allow reports whether a call may be sent now. The first call that it allows after a back-off is the probe. The ticket is
// passed on with the result of the call.
func (b *breaker) allow(now time.Time) (ticket, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures == 0 {
		return 0, true
	}
	if now.Before(b.blockedUntil) {
		return 0, false
	}
	b.probes++
	b.probe, b.blockedUntil = b.probes, now.Add(b.probeTimeout)
	return b.probe, true
}

// failing reports whether a call failed since the last success.
func (b *breaker) failing() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures > 0
}

// recordSuccess ends the back-off, so that all calls are allowed.
func (b *breaker) recordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures, b.probe = 0, 0
}

// cancelProbe allows the next call at once if the canceled call was the probe in flight.
func (b *breaker) cancelProbe(t ticket) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t != 0 && t == b.probe {
		b.probe, b.blockedUntil = 0, time.Time{}
	}
}

// recordFailure starts a back-off. During one, only the failure of the probe in flight extends it: other calls were sent before
// it started.
func (b *breaker) recordFailure(now time.Time, t ticket) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures > 0 && (t == 0 || t != b.probe) {
		return
	}
	bound := b.maxWait
	if b.failures < maxDoublings {
		bound = min(b.maxWait, b.firstWait<<b.failures)
	}
	b.failures++
	b.probe, b.blockedUntil = 0, now.Add(rand.N(bound+1))
}
