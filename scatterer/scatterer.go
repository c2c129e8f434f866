// Package scatterer decides how the requests of a query are spread over upstreams: which shards are asked, which upstream
// each attempt goes to, and whether the extra-load budget grants a hedge or a retry.
//
// A Scatterer holds what all queries of an instance share; a Query adds these decisions to a gatherer.Gather. The package
// does no I/O and reads no clock: its caller sends the attempts that it is given and reports how they end. A request to a
// single service is a query of one shard.
//
// # Usage
//
//	s := scatterer.New(scatterer.Config{Balancer: scatterer.NewBalancer(), RetryBudget: budget, Hedger: h, Candidates: set.Candidates})
//	q := s.NewQuery(route, services, scatterer.Timing{Began: now, Deadline: deadline})
//	if after, ok := q.Admit(now); !ok {
//		return refuse(after)
//	}
//	for _, spec := range q.FirstAttempts() {
//		if a, ok := q.Attempt(now, spec); ok {
//			send(a) // then a.Finished and q.Record
//		}
//	}
//	step := q.Next(now) // as of package gatherer
package scatterer

import (
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/balancer"
	"carobbend.example/carobbend/hedger"
)

// latencyDecayTime is the time constant with which the raised latency estimate of an unused upstream decays to its baseline.
const latencyDecayTime = time.Second

// NewBalancer returns a balancer for shards with few replicas. It has no ejection: a replica that pauses or queues for a moment
// serves more requests than its ejection would leave to the others, and requests in flight show a slow or dark one at once. It
// has no slow start either, since the latency of a cold replica's first replies has the same effect.
func NewBalancer(opts ...balancer.Option) *balancer.Balancer {
	return balancer.New(append([]balancer.Option{
		balancer.WithInFlightLatency(), balancer.WithLatencyDecay(latencyDecayTime), balancer.WithAllCandidates(),
		balancer.WithoutEjection(), balancer.WithoutSlowStart(),
	}, opts...)...)
}

// Config holds what a Scatterer depends on.
type Config struct {
	Balancer *balancer.Balancer
	// RetryBudget bounds hedges and retries by service.
	RetryBudget *hedger.WindowBudget
	// Hedger determines hedge delays from the latency of attempts by route.
	Hedger carobbend.Hedger
	// Candidates returns the upstreams of a service that take new work.
	Candidates func(service string) []carobbend.UpstreamID
}

// Scatterer is the state that the queries of an instance share. It is safe for concurrent use.
type Scatterer struct {
	cfg           Config
	latencies     latencies
	admission     admissionControls
	retrySelector hedger.RetrySelector
}

// New returns a Scatterer without observations.
func New(cfg Config) *Scatterer { return &Scatterer{cfg: cfg} }

// Retain drops what was observed of routes for which keep returns false.
func (s *Scatterer) Retain(keep func(route string) bool) {
	s.latencies.retain(keep)
	s.admission.retain(keep)
}

// Timing holds the times of a query.
type Timing struct {
	Began, Deadline time.Time
	// CallerNetworkTime is the network time that the caller counts in addition to the time on this instance.
	CallerNetworkTime time.Duration
}
