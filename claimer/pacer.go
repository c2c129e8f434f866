package claimer

import (
	"math"
	"sync"
	"time"
)

const (
	// pacerStart is the interval between swaps after the first refusal by the store's rate limit.
	pacerStart = 5 * time.Millisecond
	// pacerLongest bounds the interval.
	pacerLongest = 200 * time.Millisecond
	// pacerGrowth and pacerDecay change the interval at each refused and each accepted call.
	pacerGrowth = 1.3
	pacerDecay  = 0.98
	// pacerOff is the interval below which swaps aren't paced.
	pacerOff = 500 * time.Microsecond
	// pacerRecovery is the time after a refusal in which further refusals count as the same one.
	pacerRecovery = 50 * time.Millisecond
)

// pacer spaces the swaps of all partitions once the store's rate limit was reached. Requests queue meanwhile, so
// that fewer and larger groups are committed. The zero value doesn't pace.
type pacer struct {
	mu       sync.Mutex
	interval time.Duration
	next     time.Time
	refused  time.Time
}

// reserve returns the wait before the next swap, or false where it would exceed patience; nothing is reserved then.
func (p *pacer) reserve(now time.Time, patience time.Duration) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wait := max(p.next.Sub(now), 0)
	if p.interval == 0 {
		return 0, true
	}
	if wait > patience {
		return 0, false
	}
	p.next = now.Add(wait + p.interval)
	return wait, true
}

// limited records a call that the store refused for its rate.
func (p *pacer) limited(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.refused) < pacerRecovery {
		return
	}
	p.refused = now
	p.interval = min(max(time.Duration(float64(p.interval)*pacerGrowth), pacerStart), pacerLongest)
}

// accepted records a swap that the store took.
func (p *pacer) accepted() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.interval = time.Duration(float64(p.interval) * pacerDecay)
	if p.interval < pacerOff {
		p.interval = 0
	}
}

// rateWindow is the time constant of rateMeter.
const rateWindow = time.Second

// rateMeter estimates events a second as a moving average. The zero value is ready for use.
type rateMeter struct {
	mu   sync.Mutex
	rate float64
	at   time.Time
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
	if d := now.Sub(m.at); d > 0 {
		m.rate *= math.Exp(-d.Seconds() / rateWindow.Seconds())
		m.at = now
	}
}
