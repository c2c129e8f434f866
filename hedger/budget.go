package hedger

import (
	"math"
	"sync"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/asserter"
)

const (
	// tokenUnits is the number of units in a token, the cost of one hedge or retry; integers keep the bound exact.
	tokenUnits = 1_000_000
	// defaultBurst is the default capacity of a bucket in hedges and retries.
	defaultBurst = 100
)

// BudgetOption configures a Budget.
type BudgetOption func(*Budget)

// WithBurst sets the capacity of each index's bucket in hedges and retries.
func WithBurst(n int) BudgetOption { return func(b *Budget) { b.burst = int64(n) * tokenUnits } }

// Budget implements carobbend.Budget by a token bucket per index that primary shard requests fill. Buckets start empty.
type Budget struct {
	burst int64

	mu      sync.Mutex
	buckets map[string]*bucket
}

var _ carobbend.Budget = (*Budget)(nil)

type bucket struct {
	// tokens, deposited and withdrawn are in units of a token; the latter two are totals.
	tokens    int64
	deposited int64
	withdrawn int64
}

// NewBudget returns a Budget whose buckets are empty.
func NewBudget(opts ...BudgetOption) *Budget {
	b := &Budget{burst: defaultBurst * tokenUnits, buckets: map[string]*bucket{}}
	for _, o := range opts {
		o(b)
	}
	return b
}

// Deposit records n primary shard requests, each of which adds percent/100 token. A percentage of 0 empties the
// bucket, so that a removed rule takes effect at once.
func (b *Budget) Deposit(index string, n int, percent float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucketOf(index)
	if !(percent > 0) {
		k.tokens = 0
		return
	}
	if n <= 0 {
		return
	}
	part := int64(math.Floor(min(percent, 100) / 100 * tokenUnits))
	k.deposited += part * int64(n)
	k.tokens = min(k.tokens+part*int64(n), b.burst)
}

// TryWithdraw takes one hedge or retry from the budget, or returns false if none is left.
func (b *Budget) TryWithdraw(index string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucketOf(index)
	if k.tokens < tokenUnits {
		return false
	}
	k.tokens -= tokenUnits
	k.withdrawn += tokenUnits
	asserter.Check(k.withdrawn <= k.deposited, asserter.ExtraLoad, "index", index, "spent", k.withdrawn, "earned", k.deposited)
	return true
}

// Fill returns the fill level of the index's bucket, from 0 to 1.
func (b *Budget) Fill(index string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.buckets[index]
	if k == nil || b.burst == 0 {
		return 0
	}
	return float64(k.tokens) / float64(b.burst)
}

func (b *Budget) bucketOf(index string) *bucket {
	k := b.buckets[index]
	if k == nil {
		k = &bucket{}
		b.buckets[index] = k
	}
	return k
}
