package claimer

import (
	"math"
	"sync"
	"time"
)

const (
	// pacerInitialInterval is the interval between swaps after the first refusal by the store's rate limit.
	pacerInitialInterval = 5 * time.Millisecond
	// pacerMaxInterval bounds the interval.
	pacerMaxInterval = 200 * time.Millisecond
	// pacerGrowth and pacerDecay multiply the interval at each refused and each accepted call.
	pacerGrowth = 1.3
	pacerDecay  = 0.98
	// pacerMinInterval is the interval below which swaps aren't paced.
	pacerMinInterval = 500 * time.Microsecond
	// pacerRefusalWindow is the time after a refusal in which further refusals count as the same one.
	pacerRefusalWindow = 50 * time.Millisecond
)

// pacer spaces the swaps of all partitions once the store's rate limit was reached. Requests queue meanwhile, so
// that fewer and larger groups are committed. The zero value doesn't pace.
type pacer struct {
	mu          sync.Mutex
	interval    time.Duration
	next        time.Time
	lastRefusal time.Time
}

// reserve returns the wait before the next swap, or false if it would exceed rateLimitWait; nothing is reserved then.
func (p *pacer) reserve(now time.Time, rateLimitWait time.Duration) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wait := max(p.next.Sub(now), 0)
	if p.interval == 0 {
		return 0, true
	}
	if wait > rateLimitWait {
		return 0, false
	}
	p.next = now.Add(wait + p.interval)
	return wait, true
}

// recordLimited records a call that the store refused because of its rate limit, and lengthens the interval.
func (p *pacer) recordLimited(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.lastRefusal) < pacerRefusalWindow {
		return
	}
	p.lastRefusal = now
	p.interval = min(max(time.Duration(float64(p.interval)*pacerGrowth), pacerInitialInterval), pacerMaxInterval)
}

// recordAccepted records a swap that the store handled, and shortens the interval.
func (p *pacer) recordAccepted() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.interval = time.Duration(float64(p.interval) * pacerDecay)
	if p.interval < pacerMinInterval {
		p.interval = 0
	}
}

// rateWindow is the time constant of rateMeter's exponential decay.
const rateWindow = time.Second

// rateMeter estimates events a second as an exponentially weighted moving average. The zero value is ready for use.
type rateMeter struct {
	mu      sync.Mutex
	rate    float64
	updated time.Time
}

func (m *rateMeter) add(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	m.rate += 1 / rateWindow.Seconds()
}

func (m *rateMeter) perSecond(now time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	return m.rate
}

func (m *rateMeter) decay(now time.Time) {
	if d := now.Sub(m.updated); d > 0 {
		m.rate *= math.Exp(-d.Seconds() / rateWindow.Seconds())
		m.updated = now
	}
}
