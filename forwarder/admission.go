package forwarder

import (
	"net/http"
	"time"

	"carobbend.example/carobbend/balancer"
	"carobbend.example/carobbend/gatherer"
)

const (
	// maxMeanPart bounds the mean latency that enters the expected latencies, as a part of the latency target. A mean latency
	// observed during an overload must not make every shard count as late.
	maxMeanPart = 0.3
)

// admit leaves out shards that are full or expected to reply too late for the answer, and refuses the query if too few
// remain: requests to full shards would only lengthen the queues that make every query late.
func (q *query) admit(now time.Time, p gatherer.Plan) *refusal {
	if p.AnswerBy.IsZero() {
		return nil
	}
	expected := make([]time.Duration, p.Shards)
	mean := min(q.meanLatency, time.Duration(maxMeanPart*float64(q.route.Target)))
	for i, service := range q.services {
		expected[i] = q.f.Balancer.ExpectedLatency(now, q.f.upstreams.Candidates(service), mean, q.f.latencies.shardMean())
	}
	need, left := q.gather.Need(), p.AnswerBy.Sub(now)
	skip, ok := q.f.admission.forRoute(q.route).Admit(now, expected, left, need)
	if !ok {
		if after, ok := gatherer.RetryAfter(expected, need, left, q.deadline.Sub(now), q.route.Target); ok {
			return &refusal{http.StatusServiceUnavailable, OutcomeNotRun, "too few shards can reply in time", after}
		}
	}
	for _, i := range skip {
		q.gather.Skip(i)
		q.skips++
	}
	q.deferHealthyShards(now)
	return nil
}

// deferHealthyShards defers the requests to healthy shards if the others shed so often that the query is expected to miss its
// minimum coverage: the work of the healthy ones would be wasted.
func (q *query) deferHealthyShards(now time.Time) {
	expectedAccepted := 0.0
	var healthy []int
	for i, service := range q.services {
		if q.gather.IsSkipped(i) {
			continue
		}
		a := q.f.Balancer.AcceptanceRate(now, q.f.upstreams.Candidates(service))
		expectedAccepted += a
		if a >= balancer.HealthyRate {
			healthy = append(healthy, i)
		}
	}
	if expectedAccepted >= float64(q.gather.Need()) {
		return
	}
	for _, i := range healthy {
		q.gather.Defer(i)
	}
}

// tryWithdraw takes an extra request from the retry budget of the shard's service, or returns false. Retries after sheds go
// through the retry selector, since not all queries can be completed while upstreams shed at random.
func (q *query) tryWithdraw(now time.Time, ask gatherer.AttemptSpec) bool {
	f, service := q.f, q.services[ask.Shard]
	if !ask.AfterShed || !q.isFanOut() {
		return f.RetryBudget.TryWithdraw(now, service)
	}
	return f.retrySelector.TryWithdraw(now, f.RetryBudget, &q.grant, service, ask.Shortfall)
}
