package forwarder

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"carobbend.example/carobbend/logger"
)

const (
	// plainRate and troubleRate bound the lines a second for requests that went as planned and for others.
	plainRate   = 5
	troubleRate = 20
	logBurst    = 50
)

// requestLog writes one line for a request, at a bounded rate; a line states how many were left out before it.
type requestLog struct {
	log     logger.Logger
	plain   *rate.Limiter
	trouble *rate.Limiter
	skipped *atomic.Int64
}

func newRequestLog(log logger.Logger) requestLog {
	return requestLog{
		log: log, plain: rate.NewLimiter(plainRate, logBurst), trouble: rate.NewLimiter(troubleRate, logBurst),
		skipped: &atomic.Int64{},
	}
}

func (l requestLog) request(q *query) {
	limit := l.trouble
	if q.outcome == OutcomeWhole && q.hedges+q.retries+q.skips == 0 {
		limit = l.plain
	}
	if !limit.Allow() {
		l.skipped.Add(1)
		return
	}
	kv := []any{"id", q.id, "outcome", q.outcome, "took-ms", time.Since(q.began).Milliseconds()}
	if q.table != nil {
		kv = append(kv, "routing-version", q.table.Version())
	}
	if q.route != nil {
		kv = append(kv, "route", q.route.Name)
	}
	if q.gather != nil {
		kv = append(kv, "covered", q.gather.Covered(), "needed", q.gather.Need(), "shards", len(q.services),
			"hedges", q.hedges, "retries", q.retries, "skips", q.skips, "left-ms", time.Until(q.deadline).Milliseconds())
	}
	if q.lastKind != "" {
		kv = append(kv, "last-failure", q.lastKind)
	}
	if q.reason != "" {
		kv = append(kv, "reason", q.reason)
	}
	if n := l.skipped.Swap(0); n > 0 {
		kv = append(kv, "skipped-lines", n)
	}
	l.log.Info("request ended", kv...)
}
