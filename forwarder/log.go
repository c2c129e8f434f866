package forwarder

import (
	"cmp"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/logger"
)

const (
	// routineRate and problemRate bound the lines a second for complete answers without extra attempts and for other requests.
	routineRate = 5
	problemRate = 20
	logBurst    = 50
)

// maxMissing is the maximum number of shards without a reply that a line names.
const maxMissing = 3

// requestLog writes one line for a request, at a bounded rate; a line states how many lines were dropped before it.
type requestLog struct {
	log     logger.Logger
	routine *rate.Limiter
	problem *rate.Limiter
	dropped *atomic.Int64
}

func newRequestLog(log logger.Logger) requestLog {
	return requestLog{
		log: log, routine: rate.NewLimiter(routineRate, logBurst), problem: rate.NewLimiter(problemRate, logBurst),
		dropped: &atomic.Int64{},
	}
}

func (l requestLog) request(q *query) {
	limit := l.problem
	if q.outcome == OutcomeComplete && q.scatter.Hedges()+q.scatter.Retries()+q.scatter.Skips() == 0 {
		limit = l.routine
	}
	if !limit.Allow() {
		l.dropped.Add(1)
		return
	}
	kv := []any{"id", q.id, "outcome", q.outcome, "took-ms", time.Since(q.began).Milliseconds()}
	if q.table != nil {
		kv = append(kv, "routing-version", q.table.Version())
	}
	if q.route != nil {
		kv = append(kv, "route", q.route.Name)
	}
	if q.account != nil {
		kv = append(kv, "account", q.account.Name)
	}
	if s := q.scatter; s != nil {
		kv = append(kv, "covered", s.Covered(), "needed", s.Need(), "shards", len(q.services),
			"hedges", s.Hedges(), "retries", s.Retries(), "skips", s.Skips(), "left-ms", time.Until(q.deadline).Milliseconds())
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
	if n := l.dropped.Swap(0); n > 0 {
		kv = append(kv, "skipped-lines", n)
	}
	l.log.Info("request ended", kv...)
}

// oversized logs that an upstream's reply exceeded a size limit.
func (l requestLog) oversized(id, service string, upstream carobbend.UpstreamID, err error) {
	if !l.problem.Allow() {
		l.dropped.Add(1)
		return
	}
	l.log.Error(err, "upstream reply discarded because it is too large", "id", id, "service", service, "upstream", upstream)
}

// notice logs what an upstream said about itself.
func (l requestLog) notice(event string, u carobbend.UpstreamRecord, kv ...any) {
	if !l.problem.Allow() {
		l.dropped.Add(1)
		return
	}
	l.log.Info(event, append([]any{"upstream", u.ID, "service", u.Service, "data-centre", u.DataCentre}, kv...)...)
}

// missing lists the first shards without a reply as service/upstream, with the upstream that was asked last, or as
// service/none if none was asked.
func (q *query) missing() string {
	if q.scatter == nil || !q.isFanOut() {
		return ""
	}
	var names []string
	for i, p := range q.replies {
		if p != nil || len(names) == maxMissing {
			continue
		}
		last := cmp.Or(q.scatter.LastAsked(i), "none")
		names = append(names, q.services[i]+"/"+string(last))
	}
	return strings.Join(names, ",")
}
