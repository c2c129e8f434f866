// Package limiter bounds the concurrency towards each upstream, the connections that an instance may hold to it, and what
// callers can make a process hold: an Account divides its memory and descriptors, and a ConnTable decides which
// connections of callers are closed.
//
// A limit starts at the upstream's slots divided by the live instances, grows by additive increase while it is in
// use, and falls by multiplicative decrease on sheds and on latency far above its baseline, down to one. Where the
// slots are fewer than the instances, the limits of one each exceed the slots in total; the upstream's queue absorbs the
// difference, and the admission limit of the instances ends an overload. Limits below one, enforced by a pause
// after each request, aren't implemented, since they bring no benefit over this.
//
// The package reads no clock; all times are passed in. A Limiter is safe for concurrent use.
//
// # Usage
//
//	l := limiter.New(limiter.WithSlots(slotsOf), limiter.WithInstances(liveInstances))
//	b := balancer.New(balancer.WithLimits(l))
//	share := limiter.ConnShare(30, 7)
//
//	account := limiter.NewAccount(184<<20, 4100)
//	table := limiter.NewConnTable(account, limiter.Times{Write: 10 * time.Second, Body: 40 * time.Second})
//	callers := table.Group("callers", account.Connections)
package limiter

import (
	"sync"
	"time"

	"carobbend.example/carobbend/estimator"

	"carobbend.example/carobbend"
)

const (
	// defaultSlots is assumed for upstreams whose slots aren't known.
	defaultSlots = 4
	// minLimit is the minimum limit; below one, an upstream that shed everything would never be tried again.
	minLimit = 1
	// shedFactor and slowFactor scale the limit on a shed and on a latency above the baseline.
	shedFactor = 0.7
	slowFactor = 0.9
	// slowRatio is the ratio of the smoothed latency to its baseline above which the upstream counts as congested.
	slowRatio = 3
	// latencyWeight is the weight of one observation in the smoothed latency.
	latencyWeight = 0.1
	// baselineRise is the weight with which the baseline follows a smoothed latency above it.
	baselineRise = 0.002
	// minPause is the minimum time between two decreases.
	minPause = 10 * time.Millisecond
)

// Option configures a Limiter.
type Option func(*Limiter)

// WithSlots sets the number of requests that an upstream runs at a time; 0 means that it isn't known.
func WithSlots(f func(carobbend.UpstreamID) int) Option { return func(l *Limiter) { l.slots = f } }

// WithInstances sets the number of live instances.
func WithInstances(f func() int) Option { return func(l *Limiter) { l.instances = f } }

// Limiter holds an adaptive concurrency limit for each upstream (additive increase, multiplicative decrease).
type Limiter struct {
	slots     func(carobbend.UpstreamID) int
	instances func() int

	mu    sync.Mutex
	state map[carobbend.UpstreamID]*limit
}

type limit struct {
	value    float64
	maxValue float64
	inFlight int
	// latency is in nanoseconds.
	latency      estimator.Baseline
	nextDecrease time.Time
}

// New returns a Limiter without upstreams.
func New(opts ...Option) *Limiter {
	l := &Limiter{
		slots:     func(carobbend.UpstreamID) int { return defaultSlots },
		instances: func() int { return 1 },
		state:     map[carobbend.UpstreamID]*limit{},
	}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Allow reports whether another request to id is within the limit.
func (l *Limiter) Allow(_ time.Time, id carobbend.UpstreamID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.limitOf(id)
	return s.inFlight < int(s.value)
}

// Sent records that a request to id was started.
func (l *Limiter) Sent(_ time.Time, id carobbend.UpstreamID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limitOf(id).inFlight++
}

// Finished records the end of a request; latency counts from Sent.
func (l *Limiter) Finished(now time.Time, id carobbend.UpstreamID, latency time.Duration, kind carobbend.FailureKind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.limitOf(id)
	used := s.inFlight >= int(s.value)
	s.inFlight = max(s.inFlight-1, 0)
	switch kind {
	case carobbend.FailureShed:
		s.decrease(now, shedFactor)
	case carobbend.FailureNone:
		s.latency.Observe(float64(latency))
		switch {
		case s.latency.Smoothed() > slowRatio*s.latency.BaselineLevel():
			s.decrease(now, slowFactor)
		case used:
			s.value = min(s.value+1/s.value, s.maxValue)
		}
	default:
		// Other failures say nothing about concurrency; the balancer ejects on them.
	}
}

// Limit returns the current limit of id.
func (l *Limiter) Limit(id carobbend.UpstreamID) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limitOf(id).value
}

func (l *Limiter) limitOf(id carobbend.UpstreamID) *limit {
	s := l.state[id]
	if s == nil {
		slots := l.slots(id)
		if slots <= 0 {
			slots = defaultSlots
		}
		s = &limit{
			value: max(float64(slots)/float64(max(l.instances(), 1)), 1), maxValue: float64(slots),
			latency: estimator.NewBaseline(latencyWeight, baselineRise),
		}
		l.state[id] = s
	}
	return s
}

// decrease scales the limit at most once per smoothed latency, so that one congestion isn't counted several times.
func (s *limit) decrease(now time.Time, factor float64) {
	if now.Before(s.nextDecrease) {
		return
	}
	s.nextDecrease = now.Add(max(time.Duration(s.latency.Smoothed()), minPause))
	s.value = max(s.value*factor, minLimit)
}
