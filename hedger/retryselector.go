package hedger

import (
	"sync"
	"time"
)

const (
	// shortfallIncrease and shortfallDecrease change the limit when the budget was little used and when it was exhausted.
	shortfallIncrease = 0.02
	shortfallDecrease = 0.25
	// lowUsage is the used part of a budget up to which the limit rises.
	lowUsage = 0.75
	// optionalRetryPart is the part of a budget that may be used by retries which the answer doesn't need.
	optionalRetryPart = 0.5
)

// RetrySelector restricts retries to the queries with the smallest shortfall of shards while the retry budget isn't enough to
// complete all queries. Retries of a query that fails in the end are wasted, so the greatest shortfall that is served rises
// while the budget is little used and falls when it is exhausted. The zero value serves queries that lack one shard; a
// RetrySelector is safe for concurrent use.
type RetrySelector struct {
	mu sync.Mutex
	// extraShortfall is the number of shards beyond one that a served query may lack.
	extraShortfall float64
}

// RetryGrant records whether a query was granted a retry. The zero value says that it wasn't.
type RetryGrant struct{ granted bool }

// TryWithdraw takes a retry to a service from its budget, or returns false. shortfall is the number of shards that the query
// lacks without its retries; 0 or less says that the answer doesn't need this one. A query that was granted a retry isn't
// subject to the limit any more, so that its retries so far aren't wasted.
func (s *RetrySelector) TryWithdraw(now time.Time, b *WindowBudget, grant *RetryGrant, service string, shortfall int) bool {
	if shortfall <= 0 {
		_, ok := b.TryWithdrawWithin(now, service, optionalRetryPart)
		return ok
	}
	if !grant.granted && !s.admits(shortfall) {
		return false
	}
	used, ok := b.TryWithdrawWithin(now, service, 1)
	s.adjust(used, ok)
	grant.granted = grant.granted || ok
	return ok
}

// admits reports whether a query that lacks the given number of shards may use retries.
func (s *RetrySelector) admits(shortfall int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(shortfall-1) <= s.extraShortfall
}

// adjust moves the limit after a retry: used is the part of the budget in use with it, from 0 to 1; ok is false if the
// budget denied it.
func (s *RetrySelector) adjust(used float64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !ok:
		s.extraShortfall = max(s.extraShortfall-shortfallDecrease, 0)
	case used <= lowUsage:
		s.extraShortfall += shortfallIncrease
	}
}
