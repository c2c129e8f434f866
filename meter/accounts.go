package meter

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"carobbend.example/carobbend/allotter"
	"carobbend.example/carobbend/forwarder"
)

const (
	// maxAccounts is the number of accounts with metrics of their own.
	maxAccounts = 100
	// maxCounted is the number of accounts that are counted one by one.
	maxCounted = 1000
	// otherAccounts is the account of the metrics that sum up all others. No account has it as its name, since it can't be
	// sent in a header.
	otherAccounts = "(other)\n"
	// otherLabel is how otherAccounts appears.
	otherLabel = "(other)"
)

// accounts counts requests by account. At each collection accounts get metrics of their own, those with most requests first, until
// there are maxAccounts; they keep them, so that no counter decreases.
type accounts struct {
	mu      sync.Mutex
	counts  map[string]map[forwarder.Outcome]int64
	exposed map[string]bool
}

// add counts a request of an account.
func (a *accounts) add(account string, outcome forwarder.Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.counts == nil {
		a.counts, a.exposed = map[string]map[forwarder.Outcome]int64{}, map[string]bool{}
	}
	if a.counts[account] == nil && len(a.counts) >= maxCounted {
		account = otherAccounts
	}
	if a.counts[account] == nil {
		a.counts[account] = map[forwarder.Outcome]int64{}
	}
	a.counts[account][outcome]++
}

// expose chooses the accounts with metrics of their own. a.mu must be held.
func (a *accounts) expose() {
	type total struct {
		name string
		n    int64
	}
	var all []total
	for name, outcomes := range a.counts {
		if name == otherAccounts || a.exposed[name] {
			continue
		}
		t := total{name: name}
		for _, n := range outcomes {
			t.n += n
		}
		all = append(all, t)
	}
	slices.SortFunc(all, func(p, q total) int { return cmp.Or(cmp.Compare(q.n, p.n), cmp.Compare(p.name, q.name)) })
	for _, t := range all[:min(len(all), max(maxAccounts-len(a.exposed), 0))] {
		a.exposed[t.name] = true
	}
}

// observe passes the counts to f, those of the accounts without metrics of their own as a sum.
func (a *accounts) observe(f func(account string, outcome forwarder.Outcome, n int64)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expose()
	others := map[forwarder.Outcome]int64{}
	for name, outcomes := range a.counts {
		for outcome, n := range outcomes {
			if a.exposed[name] {
				f(name, outcome, n)
			} else {
				others[outcome] += n
			}
		}
	}
	for outcome, n := range others {
		f(otherLabel, outcome, n)
	}
}

// has reports whether an account has metrics of its own.
func (a *accounts) has(name string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.exposed[name]
}

// observeAccounts registers the metrics by account.
func (b *builder) observeAccounts(a *accounts, allotments func() []allotter.Account) {
	_, err := b.meter.Int64ObservableCounter("carobbend_account_requests",
		metric.WithDescription("Requests ended by account and outcome."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			a.observe(func(account string, outcome forwarder.Outcome, n int64) {
				o.Observe(n, metric.WithAttributes(attribute.String("account", account), attribute.String("outcome", string(outcome))))
			})
			return nil
		}))
	b.setErr(err)
	if allotments == nil {
		return
	}
	for _, m := range []struct {
		name, help string
		value      func(allotter.Account) float64
	}{
		{"carobbend_account_rate", "Requests a second that the account may send through all instances.", func(x allotter.Account) float64 { return x.Rate }},
		{"carobbend_account_burst", "Requests beyond the rate that it may send at once.", func(x allotter.Account) float64 { return x.Burst }},
		{"carobbend_account_share", "Fraction of the allotment that this instance holds.", func(x allotter.Account) float64 { return x.Share }},
		{"carobbend_account_granted", "Fraction of the allotment that this instance granted to others.", func(x allotter.Account) float64 { return x.Granted }},
	} {
		_, err := b.meter.Float64ObservableGauge(m.name, metric.WithDescription(m.help),
			metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
				for _, x := range allotments() {
					if a.has(x.Name) {
						o.Observe(m.value(x), metric.WithAttributes(attribute.String("account", x.Name)))
					}
				}
				return nil
			}))
		b.setErr(err)
	}
	_, err = b.meter.Int64ObservableCounter("carobbend_account_overdraft",
		metric.WithDescription("Requests of the account that were served from the overdraft, without a token."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for _, x := range allotments() {
				if a.has(x.Name) {
					o.Observe(x.FromOverdraft, metric.WithAttributes(attribute.String("account", x.Name)))
				}
			}
			return nil
		}))
	b.setErr(err)
}
