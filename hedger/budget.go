package hedger

import (
	"math"
	"sync"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/asserter"
)

const (
	// unit is the number of parts that one hedge or retry costs; integers keep the bound exact.
	unit = 1_000_000
	// defaultBurst is the number of hedges and retries that may be saved up.
	defaultBurst = 100
)

// BudgetOption configures a Budget.
type BudgetOption func(*Budget)

// WithBurst sets the number of hedges and retries that may be saved up for each index.
func WithBurst(n int) BudgetOption { return func(b *Budget) { b.burst = int64(n) * unit } }

// Budget implements carobbend.Budget: a token bucket per index that primary shard requests fill. It starts empty.
type Budget struct {
	burst int64

	mu      sync.Mutex
	buckets map[string]*bucket
}

var _ carobbend.Budget = (*Budget)(nil)

type bucket struct {
	tokens int64
	// earned and spent are totals in the same parts of a token.
	earned int64
	spent  int64
}

// NewBudget returns a Budget whose buckets are empty.
func NewBudget(opts ...BudgetOption) *Budget {
	b := &Budget{burst: defaultBurst * unit, buckets: map[string]*bucket{}}
	for _, o := range opts {
		o(b)
	}
	return b
}

// Earn records n primary shard requests, each of which earns percent/100 token. A percentage of 0 empties the
// bucket, so that a removed rule takes effect at once.
func (b *Budget) Earn(index string, n int, percent float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.of(index)
	if !(percent > 0) {
		k.tokens = 0
		return
	}
	if n <= 0 {
		return
	}
	part := int64(math.Floor(min(percent, 100) / 100 * unit))
	k.earned += part * int64(n)
	k.tokens = min(k.tokens+part*int64(n), b.burst)
}

// Spend takes one hedge or retry from the budget, or returns false.
func (b *Budget) Spend(index string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.of(index)
	if k.tokens < unit {
		return false
	}
	k.tokens -= unit
	k.spent += unit
	asserter.Check(k.spent <= k.earned, asserter.ExtraLoad, "index", index, "spent", k.spent, "earned", k.earned)
	return true
}

// Fill returns the share of the burst that is saved up, from 0 to 1.
func (b *Budget) Fill(index string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.buckets[index]
	if k == nil || b.burst == 0 {
		return 0
	}
	return float64(k.tokens) / float64(b.burst)
}

func (b *Budget) of(index string) *bucket {
	k := b.buckets[index]
	if k == nil {
		k = &bucket{}
		b.buckets[index] = k
	}
	return k
}
