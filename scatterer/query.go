package scatterer

import (
	"slices"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/balancer"
	"carobbend.example/carobbend/gatherer"
	"carobbend.example/carobbend/hedger"
	"carobbend.example/carobbend/router"
)

const (
	// hedgeDelayPart is the part of the latency target after which a shard is hedged, unless the delay of the hedger is shorter.
	// With 0.2 and with 0.6, answers are worth 1 to 4% less on nearly every day.
	hedgeDelayPart = 0.4
	// answerMargin is the time before the latency target at which an answer is sent, in addition to the network time of the
	// caller: timers fire late, and other requests occupy the processor.
	answerMargin = 4 * time.Millisecond
	// deadlineMargin is the time before the deadline at which a failure is sent.
	deadlineMargin = 5 * time.Millisecond
)

// Query is the state of one query. It isn't safe for concurrent use.
type Query struct {
	s        *Scatterer
	route    *router.Route
	services []string
	// plan is as of the start; gather adjusts its own copy for suspensions.
	plan   gatherer.Plan
	gather *gatherer.Gather
	// meanLatency is the mean latency of the route's attempts.
	meanLatency time.Duration
	// grant records whether the query was granted a retry after a shed.
	grant hedger.RetryGrant
	// asked holds, for each shard, the upstreams that were asked and are avoided by its next attempt.
	asked [][]carobbend.UpstreamID
	// shedBy holds the upstreams that shed the request of a single service. They aren't asked again: a second copy of the
	// refusal would hide that the request ran.
	shedBy []carobbend.UpstreamID
	// failureReply says that an upstream's failure reply can be passed on.
	failureReply bool

	hedges, retries, skips int
}

// NewQuery returns a query to one upstream of each service, without attempts.
func (s *Scatterer) NewQuery(route *router.Route, services []string, t Timing) *Query {
	q := &Query{
		s: s, route: route, services: services, meanLatency: s.latencies.routeMean(route),
		asked: make([][]carobbend.UpstreamID, len(services)),
	}
	q.plan = q.newPlan(t)
	q.gather = gatherer.New(q.plan)
	return q
}

func (q *Query) newPlan(t Timing) gatherer.Plan {
	p := gatherer.Plan{
		Shards: len(q.services), MinCoverage: 1, Attempts: max(q.route.Attempts, 1), Repeatable: q.route.Repeatable,
		Deadline: t.Deadline.Add(-deadlineMargin),
	}
	if target := q.route.Target; target > 0 {
		p.HedgeDelay = min(time.Duration(hedgeDelayPart*float64(target)), q.s.cfg.Hedger.Delay(q.route.Name))
	}
	if q.isFanOut() {
		p.MinCoverage = q.route.MinCoverage
		p.Repeatable = true
		if q.route.Target > 0 {
			p.AnswerBy = t.Began.Add(q.route.Target - answerMargin - t.CallerNetworkTime)
		}
	}
	return p
}

// isFanOut reports whether the answer is combined from shards.
func (q *Query) isFanOut() bool { return len(q.route.Shards) > 0 }

// MaxAttempts returns the greatest number of attempts that the query makes, over all shards.
func (q *Query) MaxAttempts() int { return len(q.services) * q.plan.MaxAttempts() }

// Covered returns the number of shards with a reply.
func (q *Query) Covered() int { return q.gather.Covered() }

// Need returns the number of shards that an answer needs.
func (q *Query) Need() int { return q.gather.Need() }

// Runs returns the number of attempts that may have run.
func (q *Query) Runs() int { return q.gather.Runs() }

// Hedges returns the number of hedges sent.
func (q *Query) Hedges() int { return q.hedges }

// Retries returns the number of retries sent.
func (q *Query) Retries() int { return q.retries }

// Skips returns the number of shards that Admit left out.
func (q *Query) Skips() int { return q.skips }

// LastAsked returns the upstream of a shard that was asked last, or "" if none was or if it may be asked again.
func (q *Query) LastAsked(shard int) carobbend.UpstreamID {
	if n := len(q.asked[shard]); n > 0 {
		return q.asked[shard][n-1]
	}
	return ""
}

// FirstAttempts returns the attempts with which an admitted query begins.
func (q *Query) FirstAttempts() []gatherer.AttemptSpec {
	first := make([]gatherer.AttemptSpec, 0, len(q.services))
	for i := range q.services {
		if !q.gather.IsSkipped(i) && !q.gather.IsDeferred(i) {
			first = append(first, gatherer.AttemptSpec{Shard: i, First: true})
		}
	}
	return first
}

// Next returns what to do now; each attempt in Step.Launch is passed to Attempt.
func (q *Query) Next(now time.Time) gatherer.Step { return q.gather.Next(now) }

// AdjustForSuspension moves the times of the query earlier by d, the time for which the machine was suspended.
func (q *Query) AdjustForSuspension(d time.Duration) { q.gather.AdjustForSuspension(d) }

// KeepFailureReply records that the caller of this package holds a failure reply of an upstream that answers the request if no
// further attempt is possible. A denied retry is then not waited for.
func (q *Query) KeepFailureReply() { q.failureReply = true }

// Attempt returns the attempt to send for a shard. It returns false if there is none: no upstream is left, or the extra-load
// budget denies it.
func (q *Query) Attempt(now time.Time, spec gatherer.AttemptSpec) (Attempt, bool) {
	b, shard, kind := q.s.cfg.Balancer, spec.Shard, kindOf(spec)
	id, ok := b.Pick(now, q.candidates(spec), q.asked[shard])
	if !ok || (kind != AttemptPrimary && !spec.Delayed && slices.Contains(q.asked[shard], id)) {
		if !q.delayed(now, spec, kind) {
			q.gather.Denied(shard, now)
		}
		return Attempt{}, false
	}
	if kind != AttemptPrimary && !q.tryWithdraw(now, spec) {
		switch {
		case q.delayed(now, spec, kind):
		case spec.AfterShed && spec.Shortfall <= 0:
			q.gather.Postpone(shard)
		default:
			q.gather.Denied(shard, now)
		}
		return Attempt{}, false
	}
	switch kind {
	case AttemptHedge:
		q.hedges++
	case AttemptRetry:
		q.retries++
	case AttemptPrimary:
	}
	q.gather.Sent(shard, now)
	q.asked[shard] = append(q.asked[shard], id)
	return Attempt{s: q.s, route: q.route, shard: shard, kind: kind, sent: b.Begin(now, id, q.meanLatency), sentAt: now}, true
}

// candidates returns the upstreams from which an attempt is chosen. A retry that was delayed may go to one that was asked before
// if no other one is left: what broke the first attempt, such as a restart, may have passed.
func (q *Query) candidates(spec gatherer.AttemptSpec) []carobbend.UpstreamID {
	all := q.s.cfg.Candidates(q.services[spec.Shard])
	if !spec.Delayed || len(q.shedBy) == 0 {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(id carobbend.UpstreamID) bool { return slices.Contains(q.shedBy, id) })
}

// delayed delays the retry of a single request that may have run and returns true, or returns false for any other attempt. The
// request could only be answered as failed although there is time left: after a while, the budget of a service with few
// requests allows a retry, and so do upstreams that are busy. A request that didn't run is refused at once instead.
func (q *Query) delayed(now time.Time, spec gatherer.AttemptSpec, kind AttemptKind) bool {
	if q.isFanOut() || kind != AttemptRetry || q.gather.Runs() == 0 || q.failureReply {
		return false
	}
	q.gather.Delay(spec.Shard, now)
	return true
}

// tryWithdraw takes an extra request from the retry budget of the shard's service, or returns false. Retries after sheds go
// through the retry selector, since not all queries can be completed while upstreams shed at random.
func (q *Query) tryWithdraw(now time.Time, spec gatherer.AttemptSpec) bool {
	s, service := q.s, q.services[spec.Shard]
	if spec.Hedge && !q.isFanOut() {
		return s.cfg.RetryBudget.TryWithdrawHedge(now, service)
	}
	if !spec.AfterShed || !q.isFanOut() {
		return s.cfg.RetryBudget.TryWithdraw(now, service)
	}
	return s.retrySelector.TryWithdraw(now, s.cfg.RetryBudget, &q.grant, service, spec.Shortfall)
}

// Record records the end of an attempt; kind and load are those that were passed to Finished. It reports whether the reply is
// the first one of its shard.
func (q *Query) Record(a Attempt, kind carobbend.FailureKind, load float64) bool {
	if kind == carobbend.FailureNone {
		return q.gather.Replied(a.shard)
	}
	if kind == carobbend.FailureShed && balancer.HasCapacity(load) && q.isFanOut() {
		// An upstream that sheds at random may accept the next attempt. A request that must not run twice isn't sent there
		// again: a second copy of the refusal would hide that the request ran.
		q.asked[a.shard] = slices.DeleteFunc(q.asked[a.shard], func(id carobbend.UpstreamID) bool { return id == a.Upstream() })
	}
	if kind == carobbend.FailureShed && !q.isFanOut() {
		q.shedBy = append(q.shedBy, a.Upstream())
	}
	q.gather.Failed(a.shard, kind)
	return false
}
