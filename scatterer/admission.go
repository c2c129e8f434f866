package scatterer

import (
	"math/rand/v2"
	"sync"
	"time"

	"carobbend.example/carobbend/balancer"
	"carobbend.example/carobbend/gatherer"
	"carobbend.example/carobbend/retainer"
	"carobbend.example/carobbend/router"
)

// maxMeanPart bounds the mean latency that enters the expected latencies, as a part of the latency target. A mean latency
// observed during an overload must not make every shard count as late.
const maxMeanPart = 0.3

// Admit is called before the first attempt. It leaves out shards that are full or expected to reply too late for the answer. It
// returns false, and the time after which the caller may come back, if too few shards remain: requests to full shards would only
// lengthen the queues that make every query late.
func (q *Query) Admit(now time.Time) (retryAfter time.Duration, ok bool) {
	if q.plan.AnswerBy.IsZero() {
		return 0, true
	}
	expected := q.expectedLatencies(now)
	need, left := q.gather.Need(), q.plan.AnswerBy.Sub(now)
	skip, ok := q.s.admission.forRoute(q.route).Admit(now, expected, left, need)
	if !ok {
		lateness, untilDeadline := gatherer.Lateness(expected, left, need), q.plan.Deadline.Add(deadlineMargin).Sub(now)
		if after, ok := gatherer.RetryAfter(lateness, untilDeadline, q.route.Target, rand.Float64()); ok {
			return after, false
		}
	}
	for _, i := range skip {
		q.gather.Skip(i)
		q.skips++
	}
	q.deferHealthyShards(now)
	return 0, true
}

// expectedLatencies returns the expected latency of each shard.
func (q *Query) expectedLatencies(now time.Time) []time.Duration {
	expected := make([]time.Duration, len(q.services))
	mean := min(q.meanLatency, time.Duration(maxMeanPart*float64(q.route.Target)))
	for i, service := range q.services {
		expected[i] = q.s.cfg.Balancer.ExpectedLatency(now, q.s.cfg.Candidates(service), mean, q.s.latencies.shardMean())
	}
	return expected
}

// deferHealthyShards defers the requests to healthy shards if the others shed so often that the query is expected to miss its
// minimum coverage: the work of the healthy ones would be wasted.
func (q *Query) deferHealthyShards(now time.Time) {
	expectedAccepted := 0.0
	var healthy []int
	for i, service := range q.services {
		if q.gather.IsSkipped(i) {
			continue
		}
		a := q.s.cfg.Balancer.AcceptanceRate(now, q.s.cfg.Candidates(service))
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

// admissionControls holds the admission control of each route. The zero value is empty.
type admissionControls struct {
	mu     sync.Mutex
	routes retainer.Map[string, gatherer.AdmissionControl]
}

func (g *admissionControls) forRoute(r *router.Route) *gatherer.AdmissionControl {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.routes.Ensure(r.Name)
}

// retain drops the admission control of routes for which keep returns false.
func (g *admissionControls) retain(keep func(route string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.routes.Retain(func(route string, _ *gatherer.AdmissionControl) bool { return keep(route) })
}
