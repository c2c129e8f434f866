// Package hedger decides when a slow shard request may be hedged and bounds the extra load.
//
// The hedge delay of an index is a quantile (p95 by default) of its recent latencies. As the budget runs low, the delay
// rises towards p99.5, so that the remaining tokens go to the slowest requests and to retries. The budget
// is a token bucket per index that only primary shard requests fill; hedges and retries can never exceed the
// percentage of primaries that the rule allows.
//
// The package reads no clock; histograms rotate by the number of observations. All types are safe for concurrent use.
//
// # Usage
//
//	budget := hedger.NewBudget()
//	h := hedger.New(hedger.WithBudget(budget))
//	budget.Deposit("sales-desk", 10, 5) // 10 primary shard requests under a rule of 5%
//	if age > h.Delay("sales-desk") && budget.TryWithdraw("sales-desk") { /* hedge */ }
package hedger

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/retainer"
)

const (
	// defaultQuantile is the latency quantile, in percent, after which a request may be hedged.
	defaultQuantile = 95
	// emptyBudgetQuantile is the quantile, in percent, used when the budget is empty.
	emptyBudgetQuantile = 99.5
	// defaultDelay is the hedge delay of an index with fewer than minObservations.
	defaultDelay    = 20 * time.Millisecond
	minObservations = 50
	// minDelay keeps hedges from immediately following their primary if an index is very fast.
	minDelay = time.Millisecond
	// windows is the number of histograms kept, of perWindow observations each; the oldest is dropped when a new one starts.
	windows   = 4
	perWindow = 500
	// refreshAfter is the number of observations after which the quantiles are recomputed.
	refreshAfter = 50
	// histMax is the maximum latency recorded; greater ones are clamped to it.
	histMax    = 10 * time.Second
	histDigits = 2
	// maxHistograms bounds the indexes with a delay of their own, whose histograms take some 90 KB each.
	maxHistograms = 128
)

// Option configures a Hedger.
type Option func(*Hedger)

// WithQuantile sets the latency quantile in percent.
func WithQuantile(q float64) Option { return func(h *Hedger) { h.quantile = q } }

// WithBudget makes the delay rise as the budget runs low.
func WithBudget(b *Budget) Option { return func(h *Hedger) { h.budget = b } }

// Hedger implements carobbend.Hedger.
type Hedger struct {
	quantile float64
	budget   *Budget

	mu sync.Mutex
	// first holds the first observations of each index, and recent the histograms of those that have enough of them.
	first  retainer.Map[string, firstLatencies]
	recent retainer.Map[string, latencies]
}

var _ carobbend.RetainingHedger = (*Hedger)(nil)

// firstLatencies holds the first latencies of one index in microseconds, until there are minObservations. n counts them.
type firstLatencies struct {
	n      int
	values []int64
}

// latencies holds the recent latencies of one index, in microseconds.
type latencies struct {
	windowed *hdrhistogram.WindowedHistogram
	// inWindow and sinceRefresh count observations.
	inWindow         int
	sinceRefresh     int
	quantileDelay    time.Duration
	emptyBudgetDelay time.Duration
}

// New returns a Hedger without observations.
func New(opts ...Option) *Hedger {
	h := &Hedger{quantile: defaultQuantile, recent: retainer.New[string, latencies](maxHistograms)}
	for _, o := range opts {
		o(h)
	}
	return h
}

// Delay returns the age at which a shard request of the index may be hedged.
func (h *Hedger) Delay(index string) time.Duration {
	h.mu.Lock()
	first, l := h.first.Get(index), h.recent.Get(index)
	if first == nil || first.n < minObservations || l == nil {
		h.mu.Unlock()
		return defaultDelay
	}
	normal, scarce := l.quantileDelay, l.emptyBudgetDelay
	h.mu.Unlock()
	if h.budget == nil {
		return max(normal, minDelay)
	}
	fill := h.budget.Fill(index)
	return max(normal+time.Duration((1-fill)*float64(scarce-normal)), minDelay)
}

// Observe records the latency of a successful shard request.
func (h *Hedger) Observe(index string, latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	values := []int64{min(max(latency.Microseconds(), 1), histMax.Microseconds())}
	if first := h.first.Ensure(index); first.n < minObservations {
		first.values = append(first.values, values...)
		if first.n++; first.n < minObservations {
			return
		}
		values, first.values = first.values, nil
	}
	l := h.recent.Ensure(index)
	for _, v := range values {
		l.observe(v, h.quantile)
	}
}

// Retain drops the observations of indexes for which keep returns false.
func (h *Hedger) Retain(keep func(index string) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.first.Retain(func(index string, _ *firstLatencies) bool { return keep(index) })
	h.recent.Retain(func(index string, _ *latencies) bool { return keep(index) })
}

// observe records a latency in microseconds.
func (l *latencies) observe(v int64, quantile float64) {
	if l.windowed == nil {
		l.windowed = hdrhistogram.NewWindowed(windows, 1, histMax.Microseconds(), histDigits)
	}
	if err := l.windowed.Current.RecordValue(v); err != nil {
		return
	}
	l.sinceRefresh++
	if l.inWindow++; l.inWindow >= perWindow {
		l.windowed.Rotate()
		l.inWindow = 0
	}
	if l.sinceRefresh >= refreshAfter {
		l.refresh(quantile)
	}
}

func (l *latencies) refresh(quantile float64) {
	l.sinceRefresh = 0
	m := l.windowed.Merge()
	l.quantileDelay = time.Duration(m.ValueAtQuantile(quantile)) * time.Microsecond
	l.emptyBudgetDelay = max(time.Duration(m.ValueAtQuantile(emptyBudgetQuantile))*time.Microsecond, l.quantileDelay)
}
