// Package balancer chooses the replica that a shard request goes to.
//
// The choice is the less loaded of two random candidates. A candidate's load is its own requests in flight plus
// one, times its smoothed latency. Failures add a penalty and never lower the latency estimate, so a replica that
// fails fast doesn't attract requests. A replica is ejected for a back-off time after consecutive failures or when
// its latency is far above the other candidates'; at most half of the candidates are passed over for this reason.
//
// The package uses no clock; all times are passed in. A Balancer is safe for concurrent use.
//
// # Usage
//
//	b := balancer.New(balancer.WithSeed(1), balancer.WithLimits(limits))
//	id, ok := b.Pick(now, layout.Replicas[shard], nil)
//	b.Sent(now, id)
//	b.Finished(now, id, latency, carobbend.KindOf(err), reply.Load)
package balancer

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/asserter"
)

// LeavingBound is the time after which a leaving upstream must receive no new work.
const LeavingBound = 3 * time.Second

// noOutlook is the latency expected where there is no candidate.
const noOutlook = time.Hour

// leastSuccess is the share of successes that is expected of an upstream which fails all requests. It makes such an
// upstream slower than any latency target.
const leastSuccess = 0.02

// refusalTime is the time that a refused request takes: a round trip between data centres and the timers of both ends.
const refusalTime = 4 * time.Millisecond

// ownPart is the weight of this instance's requests in flight where they stand for those of all instances. With 1, an
// instance that has more requests at an upstream than the others by chance foresees queues that aren't there.
const ownPart = 0.5

// referenceLatency is the latency to which those of requests with a usual latency are scaled.
const referenceLatency = 20 * time.Millisecond

// Limits is a concurrency limit per upstream that a Balancer consults and informs.
type Limits interface {
	// Allow reports whether another request to id is within the limit.
	Allow(now time.Time, id carobbend.UpstreamID) bool
	// Sent records that a request to id was started.
	Sent(now time.Time, id carobbend.UpstreamID)
	// Finished records the end of a request.
	Finished(now time.Time, id carobbend.UpstreamID, latency time.Duration, kind carobbend.FailureKind)
}

// Option configures a Balancer.
type Option func(*Balancer)

// WithSeed fixes the random choices.
func WithSeed(seed uint64) Option {
	return func(b *Balancer) { b.rng = rand.New(rand.NewPCG(seed, 0)) }
}

// WithLimits makes candidates that are over their limit come after the others.
func WithLimits(l Limits) Option { return func(b *Balancer) { b.limits = l } }

// WithoutEjection switches ejection off, for comparison.
func WithoutEjection() Option { return func(b *Balancer) { b.noEject = true } }

// WithoutSlowStart switches slow start off, for comparison.
func WithoutSlowStart() Option { return func(b *Balancer) { b.noSlowStart = true } }

// WithoutLoadHint ignores reported load, for comparison.
func WithoutLoadHint() Option { return func(b *Balancer) { b.noHint = true } }

// WithOverdue counts silence against an upstream while a request still runs: a request in flight for longer than usual
// raises the expected latency at once instead of at its end.
func WithOverdue() Option { return func(b *Balancer) { b.overdue = true } }

// WithForgetting lets a raised latency estimate return to the upstream's baseline with this time constant while no
// request is sent to it, so that a short pause doesn't keep it out of use.
func WithForgetting(d time.Duration) Option { return func(b *Balancer) { b.forget = d } }

// WithDistance scales scores: f returns 1 for the nearest upstreams and more for others. Differences in distance
// decide only between upstreams of about the same latency.
func WithDistance(f func(carobbend.UpstreamID) float64) Option {
	return func(b *Balancer) { b.distance = f }
}

// WithSlots lets a Balancer foresee queues that no reply has reported yet: f returns how many slots of an upstream fall to
// this instance, 0 where they aren't known.
func WithSlots(f func(carobbend.UpstreamID) float64) Option {
	return func(b *Balancer) { b.slots = f }
}

// WithAllCandidates compares all candidates instead of two random ones; it pays where there are few.
func WithAllCandidates() Option { return func(b *Balancer) { b.compareAll = true } }

// Balancer implements carobbend.Balancer.
type Balancer struct {
	limits      Limits
	overdue     bool
	forget      time.Duration
	distance    func(carobbend.UpstreamID) float64
	slots       func(carobbend.UpstreamID) float64
	compareAll  bool
	noEject     bool
	noSlowStart bool
	noHint      bool

	mu    sync.Mutex
	rng   *rand.Rand
	nodes map[carobbend.UpstreamID]*node
	// scratch holds the candidates of the pick in progress.
	scratch []*node
	scores  []float64
}

var _ carobbend.Balancer = (*Balancer)(nil)

// New returns a Balancer that knows no upstream yet.
func New(opts ...Option) *Balancer {
	b := &Balancer{rng: rand.New(rand.NewPCG(1, 0)), nodes: map[carobbend.UpstreamID]*node{}}
	for _, o := range opts {
		o(b)
	}
	return b
}

// Pick returns the candidate for a new request. Leaving candidates are never returned; candidates in avoid are
// returned only where no other one is in use. Where avoid isn't empty, false may also say that all candidates
// are full for now and that it pays to ask again.
func (b *Balancer) Pick(now time.Time, candidates, avoid []carobbend.UpstreamID) (carobbend.UpstreamID, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	staying := b.staying(now, candidates)
	inUse := b.notEjected(now, staying)
	eligible := without(inUse, avoid)
	if len(eligible) == 0 {
		// A replica that was asked before is a better choice than one that is ejected.
		eligible = inUse
	}
	if len(avoid) > 0 {
		// A second request for a shard goes to a replica that isn't shedding and has room, or to none.
		eligible = keep(eligible, func(n *node) bool {
			return !now.Before(n.shedUntil) && (b.noHint || !n.busy(now) || b.rng.IntN(busyTries) == 0)
		})
		if len(eligible) == 0 {
			return "", false
		}
	}
	eligible = prefer(eligible, func(n *node) bool { return !now.Before(n.shedUntil) })
	if b.overdue {
		eligible = prefer(eligible, func(n *node) bool { return n.backlog(now) < fullBacklog })
	}
	if b.limits != nil {
		eligible = prefer(eligible, func(n *node) bool { return b.limits.Allow(now, n.id) })
	}
	if !b.noSlowStart {
		eligible = prefer(eligible, func(n *node) bool { return b.rng.Float64() < n.ramp(now) })
	}
	return b.choose(now, eligible)
}

// Sent records that a request to id was started.
func (b *Balancer) Sent(now time.Time, id carobbend.UpstreamID) { b.Begin(now, id, 0) }

// Request is a request in flight.
type Request struct {
	id      carobbend.UpstreamID
	started time.Time
	scale   float64
}

// Upstream returns where the request was sent.
func (r Request) Upstream() carobbend.UpstreamID { return r.id }

// Begin records that a request to id was started. usual is the usual latency of its kind of request, by which the
// latencies of different kinds are made comparable; 0 takes them as they are.
func (b *Balancer) Begin(now time.Time, id carobbend.UpstreamID, usual time.Duration) Request {
	r := Request{id: id, started: now, scale: 1}
	if usual > 0 {
		r.scale = float64(referenceLatency) / float64(usual)
	}
	b.mu.Lock()
	n := b.node(now, id)
	n.inFlight++
	if b.overdue {
		n.open = append(n.open, openRequest{now, r.scale})
	}
	late := n.leaving && now.Sub(n.leavingSince) > LeavingBound
	since := n.leavingSince
	b.mu.Unlock()
	asserter.Check(!late, asserter.Leaving, "upstream", id, "since", since, "now", now)
	if b.limits != nil {
		b.limits.Sent(now, id)
	}
	return r
}

// Finished records the end of a request; latency counts from Sent, and load is negative where none was reported.
func (b *Balancer) Finished(
	now time.Time, id carobbend.UpstreamID, latency time.Duration, kind carobbend.FailureKind, load float64,
) {
	b.End(now, Request{id: id, started: now.Add(-latency), scale: 1}, kind, load)
}

// End records the end of a request; load is negative where none was reported.
func (b *Balancer) End(now time.Time, r Request, kind carobbend.FailureKind, load float64) {
	latency := now.Sub(r.started)
	if b.limits != nil {
		b.limits.Finished(now, r.id, latency, kind)
	}
	latency = time.Duration(float64(latency) * r.scale)
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.node(now, r.id)
	n.inFlight = max(n.inFlight-1, 0)
	n.closed(r.started)
	if load >= 0 {
		n.load, n.loadAt = load, now
	}
	if b.overdue && kind != carobbend.FailureCanceled && kind != carobbend.FailureSnapshotGone {
		n.ended(now, kind, load)
	}
	switch kind {
	case carobbend.FailureNone:
		n.succeeded(now, latency)
	case carobbend.FailureShed:
		n.shed(now, load)
	case carobbend.FailureLeaving:
		n.setLeaving(now, true)
	case carobbend.FailureSnapshotGone:
		// The upstream answered in order; the catalog learns what it no longer holds.
		n.failures = 0
	case carobbend.FailureCanceled:
		n.cut(now, latency)
	default:
		n.cut(now, latency)
		n.failed(now, b.rng)
	}
}

// Leaving records that id accepts no new work, or that it is back.
func (b *Balancer) Leaving(now time.Time, id carobbend.UpstreamID, leaving bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.node(now, id).setLeaving(now, leaving)
}

// Forget drops what is known of upstreams that are no longer in use.
func (b *Balancer) Forget(ids ...carobbend.UpstreamID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, id := range ids {
		delete(b.nodes, id)
	}
}

func (b *Balancer) node(now time.Time, id carobbend.UpstreamID) *node {
	n := b.nodes[id]
	if n == nil {
		n = &node{id: id, since: now}
		b.nodes[id] = n
	}
	return n
}

// staying returns the candidates that aren't leaving; the result is valid until the next call.
func (b *Balancer) staying(now time.Time, ids []carobbend.UpstreamID) []*node {
	out := b.scratch[:0]
	for _, id := range ids {
		if n := b.node(now, id); !n.leaving {
			out = append(out, n)
		}
	}
	b.scratch = out
	return out
}

// choose returns the less loaded of two random nodes.
func (b *Balancer) choose(now time.Time, nodes []*node) (carobbend.UpstreamID, bool) {
	switch len(nodes) {
	case 0:
		return "", false
	case 1:
		return nodes[0].id, true
	}
	if b.compareAll {
		return b.best(now, nodes), true
	}
	i := b.rng.IntN(len(nodes))
	j := b.rng.IntN(len(nodes) - 1)
	if j >= i {
		j++
	}
	x, y := nodes[i], nodes[j]
	unknown := 0.0
	if x.samples == 0 || y.samples == 0 {
		unknown = max(medianEstimate(nodes), float64(time.Millisecond))
	}
	sx, sy := b.score(now, x, unknown), b.score(now, y, unknown)
	// Differences within the noise of the estimates would send all requests to the same replica.
	if sy < sx*(1-tieBand) {
		return y.id, true
	}
	return x.id, true
}

// best returns the node with the lowest score; one of those within the noise of the estimates is taken at random.
func (b *Balancer) best(now time.Time, nodes []*node) carobbend.UpstreamID {
	unknown := 0.0
	for _, n := range nodes {
		if n.samples == 0 {
			unknown = max(medianEstimate(nodes), float64(time.Millisecond))
			break
		}
	}
	b.scores = b.scores[:0]
	lowest := math.Inf(1)
	for _, n := range nodes {
		s := b.score(now, n, unknown)
		b.scores = append(b.scores, s)
		lowest = min(lowest, s)
	}
	var chosen *node
	ties := 0
	for i, n := range nodes {
		if b.scores[i]*(1-tieBand) > lowest {
			continue
		}
		ties++
		if b.rng.IntN(ties) == 0 {
			chosen = n
		}
	}
	return chosen.id
}

// Outlook returns the latency that a new request may expect at the best candidate, for a kind of request whose usual
// latency is given: what the upstream's replies took lately, or what its queue takes at wait for each request per slot,
// whichever is longer, for as many attempts as the share of failures asks for. Requests that are shed although the upstream
// has room cost the time of a refusal each: what the upstream takes is as fast as ever. Ejected candidates count where
// there is no other one.
func (b *Balancer) Outlook(now time.Time, candidates []carobbend.UpstreamID, usual, wait time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	lowest := math.Inf(1)
	for _, ejected := range []bool{false, true} {
		for _, id := range candidates {
			n := b.node(now, id)
			if n.leaving || now.Before(n.ejectedUntil) != ejected {
				continue
			}
			smoothed := n.expected(now, float64(referenceLatency), b.forget) / float64(referenceLatency) * float64(usual)
			queued := float64(usual) + max(n.backlog(now)-1, b.ownBacklog(n)-1, 0)*float64(wait)
			attempts := 1 / max(1-n.fault.now(now), leastSuccess)
			refusals := 1/max(n.acceptance(now), leastSuccess) - 1
			lowest = min(lowest, max(smoothed, queued)*attempts+refusals*float64(refusalTime))
		}
		if !math.IsInf(lowest, 1) {
			break
		}
	}
	return time.Duration(min(lowest, float64(noOutlook)))
}

// Acceptance returns the greatest share of requests that a candidate takes lately, where others are shed although the
// candidate has room. Ejected candidates count where there is no other one.
func (b *Balancer) Acceptance(now time.Time, candidates []carobbend.UpstreamID) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, ejected := range []bool{false, true} {
		best, found := 0.0, false
		for _, id := range candidates {
			n := b.node(now, id)
			if n.leaving || now.Before(n.ejectedUntil) != ejected {
				continue
			}
			best, found = max(best, n.acceptance(now)), true
		}
		if found {
			return best
		}
	}
	return 0
}

// ownBacklog is the number of requests per slot that this instance's requests in flight stand for. During a pause of the
// upstream nothing else shows its queue.
func (b *Balancer) ownBacklog(n *node) float64 {
	if b.slots == nil {
		return 0
	}
	slots := b.slots(n.id)
	if slots <= 0 {
		return 0
	}
	return ownPart * float64(n.inFlight) / slots
}

// score is the expected cost of one more request to n.
func (b *Balancer) score(now time.Time, n *node, unknown float64) float64 {
	s := n.score(now, unknown, b.forget, !b.noHint)
	if b.distance != nil {
		s *= b.distance(n.id)
	}
	return s
}

// keep returns the nodes that fulfil f; it allocates only where one doesn't.
func keep(nodes []*node, f func(*node) bool) []*node {
	out, all := nodes, true
	for i, n := range nodes {
		switch ok := f(n); {
		case ok && !all:
			out = append(out, n)
		case !ok && all:
			out, all = append(make([]*node, 0, len(nodes)), nodes[:i]...), false
		}
	}
	return out
}

// prefer returns the nodes that fulfil f, or all where none does.
func prefer(nodes []*node, f func(*node) bool) []*node {
	if out := keep(nodes, f); len(out) > 0 {
		return out
	}
	return nodes
}

func without(nodes []*node, avoid []carobbend.UpstreamID) []*node {
	if len(avoid) == 0 {
		return nodes
	}
	return keep(nodes, func(n *node) bool {
		for _, id := range avoid {
			if id == n.id {
				return false
			}
		}
		return true
	})
}
