package scatterer

import (
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/balancer"
	"carobbend.example/carobbend/gatherer"
	"carobbend.example/carobbend/router"
)

// AttemptKind says why an attempt is made.
type AttemptKind string

const (
	// AttemptPrimary is the first attempt of a shard.
	AttemptPrimary AttemptKind = "primary"
	// AttemptHedge is made while another one is open.
	AttemptHedge AttemptKind = "hedge"
	// AttemptRetry is made after a failure.
	AttemptRetry AttemptKind = "retry"
)

func kindOf(spec gatherer.AttemptSpec) AttemptKind {
	switch {
	case spec.Hedge:
		return AttemptHedge
	case spec.First:
		return AttemptPrimary
	default:
		return AttemptRetry
	}
}

// Attempt is a request to one upstream for one shard of a query.
type Attempt struct {
	s      *Scatterer
	route  *router.Route
	shard  int
	kind   AttemptKind
	sent   balancer.Request
	sentAt time.Time
}

// Shard returns the index of the shard.
func (a Attempt) Shard() int { return a.shard }

// Kind returns why the attempt is made.
func (a Attempt) Kind() AttemptKind { return a.kind }

// Upstream returns the upstream that the attempt goes to.
func (a Attempt) Upstream() carobbend.UpstreamID { return a.sent.Upstream() }

// Finished reports the end of the attempt; load is the load that the upstream reported, or negative. It is safe for
// concurrent use and may be called after the query has ended.
func (a Attempt) Finished(now time.Time, kind carobbend.FailureKind, load float64) {
	a.s.cfg.Balancer.End(now, a.sent, kind, load)
	if kind == carobbend.FailureNone {
		a.s.latencies.observe(a.route, now.Sub(a.sentAt))
		a.s.cfg.Hedger.Observe(a.route.Name, now.Sub(a.sentAt))
	}
}
