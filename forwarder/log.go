package forwarder

import (
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/logger"
)

const (
	// plainRate and troubleRate bound the lines a second for requests that went as planned and for others.
	plainRate   = 5
	troubleRate = 20
	logBurst    = 50
)

// maxMissing is the number of shards without a reply that a line names.
const maxMissing = 3

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
	if missing := q.missing(); missing != "" {
		kv = append(kv, "missing", missing)
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

// oversized tells that an upstream sent more than a reply may hold.
func (l requestLog) oversized(id, service string, upstream carobbend.UpstreamID, err error) {
	if !l.trouble.Allow() {
		l.skipped.Add(1)
		return
	}
	l.log.Error(err, "reply given up", "id", id, "service", service, "upstream", upstream)
}

// missing names the first shards without a reply as service/upstream, by the upstream that was asked last, or as
// service/none where none was asked.
func (q *query) missing() string {
	if q.gather == nil || !q.fansOut() {
		return ""
	}
	var names []string
	for i, p := range q.parts {
		if p != nil || len(names) == maxMissing {
			continue
		}
		last := "none"
		if n := len(q.asked[i]); n > 0 {
			last = string(q.asked[i][n-1])
		}
		names = append(names, q.services[i]+"/"+last)
	}
	return strings.Join(names, ",")
}
