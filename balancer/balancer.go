// Package balancer chooses the replica that a shard request goes to.
//
// It uses the power of two choices: the candidate with the lower score of two random ones. A candidate's score is the
// number of this instance's requests in flight to it plus one, times its smoothed latency. Failures add a penalty and
// never lower the latency estimate, so a replica that fails fast doesn't attract requests. A replica is ejected for a
// back-off time after consecutive failures or when its latency is far above the other candidates'; at most half of the
// candidates are left out because of ejection.
//
// The package uses no clock; all times are passed in. A Balancer is safe for concurrent use.
//
// # Usage
//
//	b := balancer.New(balancer.WithSeed(1), balancer.WithLimits(limits))
//	id, ok := b.Pick(now, layout.Replicas[shard], nil)
//	b.Sent(now, id)
//	b.Finished(now, id, latency, carobbend.FailureKindOf(err), reply.Load)
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

// noCandidateLatency is the expected latency if there is no candidate.
const noCandidateLatency = time.Hour

// minSuccessRate is the success rate assumed for an upstream that fails all requests. It puts the expected latency of
// such an upstream above any latency target.
const minSuccessRate = 0.02

// HealthyRate is the acceptance or success rate from which an upstream doesn't count as shedding or failing at random.
const HealthyRate = 0.8

// shedLatency is the time that a shed request costs: a round trip between data centres and the timers of both ends.
const shedLatency = 4 * time.Millisecond

// localLoadWeight weights this instance's requests in flight when they are scaled up to those of all instances. With 1, an
// instance that by chance has more requests at an upstream than the others predicts queues that don't exist.
const localLoadWeight = 0.5

// referenceLatency is the latency to which the latencies of different kinds of requests are normalized.
const referenceLatency = 20 * time.Millisecond

// Limits is a concurrency limit per upstream. A Balancer asks it before a choice and reports each request to it.
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

// WithSeed seeds the random choices.
func WithSeed(seed uint64) Option {
	return func(b *Balancer) { b.rng = rand.New(rand.NewPCG(seed, 0)) }
}

// WithLimits prefers candidates that are within their concurrency limit.
func WithLimits(l Limits) Option { return func(b *Balancer) { b.limits = l } }

// WithoutEjection disables ejection, for comparison.
func WithoutEjection() Option { return func(b *Balancer) { b.noEject = true } }

// WithoutSlowStart disables slow start, for comparison.
func WithoutSlowStart() Option { return func(b *Balancer) { b.noSlowStart = true } }

// WithoutReportedLoad ignores the load that upstreams report, for comparison.
func WithoutReportedLoad() Option { return func(b *Balancer) { b.ignoreLoad = true } }

// WithInFlightLatency includes requests in flight in the expected latency: one that takes longer than expected raises it
// at once instead of at its end.
func WithInFlightLatency() Option { return func(b *Balancer) { b.useInFlight = true } }

// WithLatencyDecay lets a raised latency estimate decay to the upstream's baseline with time constant d while no request
// is in flight to it, so that a short pause of the upstream doesn't keep it out of use.
func WithLatencyDecay(d time.Duration) Option { return func(b *Balancer) { b.latencyDecay = d } }

// WithDistance multiplies scores by f, which returns 1 for the nearest upstreams and more for others. The distance
// decides only between upstreams of about the same latency.
func WithDistance(f func(carobbend.UpstreamID) float64) Option {
	return func(b *Balancer) { b.distance = f }
}

// WithSlots lets a Balancer predict queues that no reply has reported yet: f returns this instance's share of an
// upstream's slots, 0 if it isn't known.
func WithSlots(f func(carobbend.UpstreamID) float64) Option {
	return func(b *Balancer) { b.slots = f }
}

// WithPace limits the requests of all instances to an upstream that has just started, recovered or failed, by how it answers;
// instances returns the number of instances that share the load. It needs WithInFlightLatency.
func WithPace(instances func() int) Option {
	return func(b *Balancer) { b.pacer = &pacer{instances: instances} }
}

// WithAllCandidates compares all candidates instead of two random ones, for shards with few replicas.
func WithAllCandidates() Option { return func(b *Balancer) { b.compareAll = true } }

// Balancer implements carobbend.Balancer.
type Balancer struct {
	limits       Limits
	useInFlight  bool
	latencyDecay time.Duration
	distance     func(carobbend.UpstreamID) float64
	slots        func(carobbend.UpstreamID) float64
	compareAll   bool
	noEject      bool
	noSlowStart  bool
	ignoreLoad   bool
	pacer        *pacer

	mu    sync.Mutex
	rng   *rand.Rand
	nodes map[carobbend.UpstreamID]*node
	// scratch and scores are buffers for the candidates of the pick in progress and their scores.
	scratch []*node
	scores  []float64
}

var _ carobbend.Balancer = (*Balancer)(nil)

// New returns a Balancer without any observations.
func New(opts ...Option) *Balancer {
	b := &Balancer{rng: rand.New(rand.NewPCG(1, 0)), nodes: map[carobbend.UpstreamID]*node{}}
	for _, o := range opts {
		o(b)
	}
	return b
}

// Pick returns the candidate for a new request. Leaving candidates are never returned; candidates in avoid are
// returned only if no other candidate is in use. If avoid isn't empty, false may also mean that all candidates are at
// capacity for now, so that a later call may succeed.
func (b *Balancer) Pick(now time.Time, candidates, avoid []carobbend.UpstreamID) (carobbend.UpstreamID, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	nodes := b.notLeaving(now, candidates)
	inUse := b.notEjected(now, nodes)
	eligible := exclude(inUse, avoid)
	if len(eligible) == 0 {
		// A replica that was already asked is a better choice than an ejected one.
		eligible = inUse
	}
	if len(avoid) > 0 {
		// A retry or hedge only goes to a replica that isn't shedding and has capacity.
		eligible = filter(eligible, func(n *node) bool {
			return !now.Before(n.shedUntil) && (b.ignoreLoad || !n.busy(now) || b.rng.IntN(busyProbeRatio) == 0)
		})
		if len(eligible) == 0 {
			return "", false
		}
	}
	if b.useInFlight {
		// A reply from a reliable upstream is worth a short wait: a shed or failed request costs a retry.
		eligible = prefer(eligible, func(n *node) bool { return n.isReliable(now) && n.isResponsive(now, b.latencyDecay) })
	} else {
		// Without failure rates, which are recorded only with WithInFlightLatency, the last reply says whether it sheds.
		eligible = prefer(eligible, func(n *node) bool { return !now.Before(n.shedUntil) })
	}
	if b.pacer != nil {
		for _, n := range nodes {
			n.picks.add(now, 1)
		}
		eligible = b.pacer.filter(now, eligible, b.latencyDecay, b.rng)
	}
	if b.limits != nil {
		eligible = prefer(eligible, func(n *node) bool { return b.limits.Allow(now, n.id) })
	}
	if !b.noSlowStart {
		eligible = prefer(eligible, func(n *node) bool { return b.rng.Float64() < n.ramp(now) })
	}
	return b.pickLessLoaded(now, eligible)
}

// Sent records that a request to id was started.
func (b *Balancer) Sent(now time.Time, id carobbend.UpstreamID) { b.Begin(now, id, 0) }

// Request is a request in flight.
type Request struct {
	id      carobbend.UpstreamID
	started time.Time
	scale   float64
}

// Upstream returns the upstream that the request was sent to.
func (r Request) Upstream() carobbend.UpstreamID { return r.id }

// Begin records that a request to id was started. typical is the typical latency of this kind of request; it normalizes
// the latencies of different kinds. With 0 the latency isn't scaled.
func (b *Balancer) Begin(now time.Time, id carobbend.UpstreamID, typical time.Duration) Request {
	r := Request{id: id, started: now, scale: 1}
	if typical > 0 {
		r.scale = float64(referenceLatency) / float64(typical)
	}
	b.mu.Lock()
	n := b.node(now, id)
	n.inFlight++
	if b.useInFlight {
		n.open = append(n.open, inFlightRequest{now, r.scale})
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

// Finished records the end of a request; latency is measured from Sent, and load is negative if none was reported.
func (b *Balancer) Finished(
	now time.Time, id carobbend.UpstreamID, latency time.Duration, kind carobbend.FailureKind, load float64,
) {
	b.End(now, Request{id: id, started: now.Add(-latency), scale: 1}, kind, load)
}

// End records the end of a request; load is negative if none was reported.
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
	n.removeRequest(r.started)
	if load >= 0 {
		n.load, n.loadAt = load, now
	}
	if b.useInFlight && kind != carobbend.FailureCanceled && kind != carobbend.FailureSnapshotGone {
		n.recordOutcome(now, kind, load)
	}
	if b.useInFlight && kind != carobbend.FailureSnapshotGone {
		n.count(now, kind, latency, load)
		if b.pacer != nil {
			before := n.pace
			n.recordPace(kind, float64(latency)/float64(referenceLatency), load)
			if n.pace != before {
				n.inQuestionUntil = now.Add(questionTime)
			}
		}
	}
	switch kind {
	case carobbend.FailureNone:
		n.succeeded(now, latency)
	case carobbend.FailureShed:
		n.shed(now, load)
	case carobbend.FailureLeaving:
		n.setLeaving(now, true)
	case carobbend.FailureSnapshotGone:
		// The upstream works; the catalog records that it no longer holds the snapshot.
		n.failures = 0
	case carobbend.FailureCanceled:
		n.observeIncomplete(now, latency)
	default:
		n.observeIncomplete(now, latency)
		n.failed(now, b.rng)
	}
}

// SetLeaving records whether id is leaving, i.e. accepts no new work.
func (b *Balancer) SetLeaving(now time.Time, id carobbend.UpstreamID, leaving bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.node(now, id).setLeaving(now, leaving)
}

// Started records that the process of an upstream has just started. With WithPace it gets a growing part of the requests.
func (b *Balancer) Started(now time.Time, id carobbend.UpstreamID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.node(now, id).pace.start()
}

// Remove drops the state of upstreams that are no longer in use.
func (b *Balancer) Remove(ids ...carobbend.UpstreamID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, id := range ids {
		delete(b.nodes, id)
	}
}

func (b *Balancer) node(now time.Time, id carobbend.UpstreamID) *node {
	n := b.nodes[id]
	if n == nil {
		n = &node{id: id, activeSince: now}
		b.nodes[id] = n
	}
	return n
}

// notLeaving returns the candidates that aren't leaving. The result uses b.scratch and is valid until the next call.
func (b *Balancer) notLeaving(now time.Time, ids []carobbend.UpstreamID) []*node {
	out := b.scratch[:0]
	for _, id := range ids {
		if n := b.node(now, id); !n.leaving {
			out = append(out, n)
		}
	}
	b.scratch = out
	return out
}

// pickLessLoaded returns the node with the lower score of two random ones, or of all with WithAllCandidates.
func (b *Balancer) pickLessLoaded(now time.Time, nodes []*node) (carobbend.UpstreamID, bool) {
	switch len(nodes) {
	case 0:
		return "", false
	case 1:
		return nodes[0].id, true
	}
	if b.compareAll {
		return b.pickBest(now, nodes), true
	}
	i := b.rng.IntN(len(nodes))
	j := b.rng.IntN(len(nodes) - 1)
	if j >= i {
		j++
	}
	x, y := nodes[i], nodes[j]
	unknown := 0.0
	if x.samples == 0 || y.samples == 0 {
		unknown = max(medianLatency(nodes), float64(time.Millisecond))
	}
	sx, sy := b.score(now, x, unknown), b.score(now, y, unknown)
	// If differences within the noise of the estimates counted, all requests would go to the same replica.
	if sy < sx*(1-tieTolerance) {
		return y.id, true
	}
	return x.id, true
}

// pickBest returns the node with the lowest score. Scores within tieTolerance of the lowest are ties, broken at random.
func (b *Balancer) pickBest(now time.Time, nodes []*node) carobbend.UpstreamID {
	unknown := 0.0
	for _, n := range nodes {
		if n.samples == 0 {
			unknown = max(medianLatency(nodes), float64(time.Millisecond))
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
		if b.scores[i]*(1-tieTolerance) > lowest {
			continue
		}
		ties++
		if b.rng.IntN(ties) == 0 {
			chosen = n
		}
	}
	return chosen.id
}

// ExpectedLatency returns the expected latency of a new request at the best candidate, for a kind of request with the given
// typical latency. It is the larger of the smoothed latency and the time that the queue takes (wait for each request per slot),
// times the number of attempts expected from the failure rate. Each request that the upstream sheds although it has capacity
// adds shedLatency only, since such sheds don't slow down accepted requests. Candidates that others report as failing or shedding,
// and ejected ones, are used only if there is no other one. The latency is that of own observations, so that wrong reports of all
// candidates have no effect.
func (b *Balancer) ExpectedLatency(now time.Time, candidates []carobbend.UpstreamID, typical, wait time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	lowest := math.Inf(1)
	skipReported := b.someUnreported(now, candidates)
	for _, ejected := range []bool{false, true} {
		for _, id := range candidates {
			n := b.node(now, id)
			if n.leaving || now.Before(n.ejectedUntil) != ejected || skipReported && n.isReported(now) {
				continue
			}
			smoothed := max(n.ownLatency(now, float64(referenceLatency), b.latencyDecay), n.inFlightLatency(now)) / float64(referenceLatency) * float64(typical)
			queued := float64(typical) + max(n.backlog(now)-1, b.localBacklog(n)-1, 0)*float64(wait)
			attempts := 1 / max(1-n.failureRate.current(now), minSuccessRate)
			refusals := 1/max(1-shareOf(n.unloadedShedRate.current(now)), minSuccessRate) - 1
			lowest = min(lowest, max(smoothed, queued)*attempts+refusals*float64(shedLatency))
		}
		if !math.IsInf(lowest, 1) {
			break
		}
	}
	return time.Duration(min(lowest, float64(noCandidateLatency)))
}

// someUnreported reports whether others report trouble of some of the candidates and not of all.
func (b *Balancer) someUnreported(now time.Time, candidates []carobbend.UpstreamID) bool {
	reported, unreported := false, false
	for _, id := range candidates {
		if n := b.node(now, id); !n.leaving {
			r := n.isReported(now)
			reported, unreported = reported || r, unreported || !r
		}
	}
	return reported && unreported
}

// AcceptanceRate returns the highest recent acceptance rate of a candidate, i.e. the share of requests that it doesn't shed
// while it has capacity. Ejected candidates are used only if there is no other one.
func (b *Balancer) AcceptanceRate(now time.Time, candidates []carobbend.UpstreamID) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, ejected := range []bool{false, true} {
		best, found := 0.0, false
		for _, id := range candidates {
			n := b.node(now, id)
			if n.leaving || now.Before(n.ejectedUntil) != ejected {
				continue
			}
			best, found = max(best, n.acceptanceRate(now)), true
		}
		if found {
			return best
		}
	}
	return 0
}

// localBacklog estimates the number of requests per slot at the upstream from this instance's requests in flight. While
// the upstream is paused, this is the only sign of its queue.
func (b *Balancer) localBacklog(n *node) float64 {
	if b.slots == nil {
		return 0
	}
	slots := b.slots(n.id)
	if slots <= 0 {
		return 0
	}
	return localLoadWeight * float64(n.inFlight) / slots
}

// score is the expected cost of one more request to n, scaled by its distance.
func (b *Balancer) score(now time.Time, n *node, unknown float64) float64 {
	s := n.score(now, unknown, b.latencyDecay, !b.ignoreLoad)
	if b.distance != nil {
		s *= b.distance(n.id)
	}
	return s
}

// filter returns the nodes for which f is true; it allocates only if f is false for one of them.
func filter(nodes []*node, f func(*node) bool) []*node {
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

// prefer returns the nodes for which f is true, or all nodes if there are none.
func prefer(nodes []*node, f func(*node) bool) []*node {
	if out := filter(nodes, f); len(out) > 0 {
		return out
	}
	return nodes
}

func exclude(nodes []*node, avoid []carobbend.UpstreamID) []*node {
	if len(avoid) == 0 {
		return nodes
	}
	return filter(nodes, func(n *node) bool {
		for _, id := range avoid {
			if id == n.id {
				return false
			}
		}
		return true
	})
}
