package gatherer_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/balancer"
	"carobbend.example/carobbend/gatherer"
	"carobbend.example/carobbend/hedger"
)

// Upstreams of an index shed three fifths of their requests at random for some seconds although they have capacity, and an
// answer needs nine of ten shards.
const (
	shedShare       = 0.6
	shedRate        = 200.0 // queries a second, five sixths of the capacity of one healthy upstream
	shedServiceTime = 12500 * time.Microsecond
	shedLatency     = 2 * time.Millisecond
	shedTarget      = 120 * time.Millisecond
	shedHedgeDelay  = 48 * time.Millisecond
	shedCoverage    = 0.89
	extraRatio      = 0.19
	extraSlack      = 44
)

// sheddingPattern says which upstreams shed, and how the load is spread.
type sheddingPattern struct {
	// unhealthyShards is the number of shards of which all upstreams shed; of the others, one doesn't.
	unhealthyShards int
	replicas        int
	// instances share the queries and the retry budget; each has its own view of the upstreams.
	instances int
	// pause is the time for which each upstream stops once in pauseInterval.
	pause, pauseInterval time.Duration
}

// sheddingSimulation runs queries against shedding upstreams in simulated time.
type sheddingSimulation struct {
	rng        *rand.Rand
	instances  []*sheddingInstance
	upstreams  map[carobbend.UpstreamID]*simulatedUpstream
	sheds      map[carobbend.UpstreamID]bool
	candidates [][]carobbend.UpstreamID
	services   []string
	events     events

	queries, inTime, requests, extra, shed int
}

// sheddingInstance is the state of one instance.
type sheddingInstance struct {
	balancer      *balancer.Balancer
	retryBudget   *hedger.WindowBudget
	admission     gatherer.AdmissionControl
	retrySelector hedger.RetrySelector
}

func newSheddingSimulation(p sheddingPattern, seed uint64) *sheddingSimulation {
	l := &sheddingSimulation{
		rng:       rand.New(rand.NewPCG(seed, 2)),
		upstreams: map[carobbend.UpstreamID]*simulatedUpstream{}, sheds: map[carobbend.UpstreamID]bool{},
	}
	for i := range p.instances {
		x := &sheddingInstance{
			balancer: balancer.New(balancer.WithInFlightLatency(), balancer.WithAllCandidates(), balancer.WithLatencyDecay(time.Second),
				balancer.WithSeed(seed+uint64(i))),
			retryBudget: hedger.NewWindowBudget(10 * time.Second),
		}
		x.retryBudget.Set(sheddingStart.Add(-time.Minute), extraRatio, extraSlack/float64(p.instances))
		l.instances = append(l.instances, x)
	}
	for i := range shards {
		l.services = append(l.services, string(rune('a'+i)))
		ids := make([]carobbend.UpstreamID, 0, p.replicas)
		for j := range p.replicas {
			id := carobbend.UpstreamID([]byte{'a' + byte(i), '0' + byte(j)})
			u := &simulatedUpstream{id: id, pause: p.pause, pauseInterval: p.pauseInterval}
			if p.pauseInterval > 0 {
				u.firstPause = sheddingStart.Add(time.Duration(l.rng.Int64N(int64(p.pauseInterval))))
			}
			l.upstreams[id] = u
			l.sheds[id] = i < p.unhealthyShards || j > 0
			ids = append(ids, id)
		}
		l.candidates = append(l.candidates, ids)
	}
	return l
}

var sheddingStart = time.Unix(1000, 0)

// run returns the share of queries that are answered within the latency target.
func (l *sheddingSimulation) run() float64 {
	end := sheddingStart.Add(simulatedTime)
	for at := sheddingStart; at.Before(end); at = at.Add(time.Duration(l.rng.ExpFloat64() / shedRate * float64(time.Second))) {
		heap.Push(&l.events, event{at, l.query})
	}
	for l.events.Len() > 0 {
		if ev, ok := heap.Pop(&l.events).(event); ok {
			ev.do(ev.at)
		}
	}
	return float64(l.inTime) / float64(l.queries)
}

func (l *sheddingSimulation) query(now time.Time) {
	l.queries++
	l.requests++
	x := l.instances[l.rng.IntN(len(l.instances))]
	x.retryBudget.Requested(now, l.services...)
	q := &sheddingQuery{l: l, x: x, began: now, g: gatherer.New(gatherer.Plan{
		Shards: shards, MinCoverage: shedCoverage, Attempts: 3, Repeatable: true,
		HedgeDelay: shedHedgeDelay, AnswerBy: now.Add(shedTarget), Deadline: now.Add(6 * shedTarget),
	})}
	expected := make([]time.Duration, shards)
	expectedAccepted := 0.0
	for i := range shards {
		expected[i] = x.balancer.ExpectedLatency(now, l.candidates[i], shedServiceTime, shedServiceTime)
		expectedAccepted += x.balancer.AcceptanceRate(now, l.candidates[i])
	}
	skip, ok := x.admission.Admit(now, expected, shedTarget, q.g.Need())
	if !ok {
		return
	}
	for _, i := range skip {
		q.g.Skip(i)
	}
	for i := range shards {
		switch {
		case q.g.IsSkipped(i):
		case expectedAccepted < float64(q.g.Need()) && x.balancer.AcceptanceRate(now, l.candidates[i]) >= balancer.HealthyRate:
			q.g.Defer(i)
		default:
			q.start(now, gatherer.AttemptSpec{Shard: i, First: true})
		}
	}
	q.next(now)
}

// sheddingQuery is one query in flight.
type sheddingQuery struct {
	l     *sheddingSimulation
	x     *sheddingInstance
	g     *gatherer.Gather
	began time.Time
	grant hedger.RetryGrant
	// asked holds, for each shard, the upstreams that the next attempt avoids.
	asked [shards][]carobbend.UpstreamID
	done  bool
}

// start sends an attempt, or reports to the gather that it is denied or postponed.
func (q *sheddingQuery) start(now time.Time, a gatherer.AttemptSpec) {
	id, ok := q.x.balancer.Pick(now, q.l.candidates[a.Shard], q.asked[a.Shard])
	switch {
	case !ok || (!a.First && slices.Contains(q.asked[a.Shard], id)):
		q.g.Denied(a.Shard, now)
	case a.First:
		q.send(now, a.Shard, id)
	case q.tryWithdraw(now, a):
		q.l.extra++
		q.send(now, a.Shard, id)
	case a.AfterShed && a.Shortfall <= 0:
		q.g.Postpone(a.Shard)
	default:
		q.g.Denied(a.Shard, now)
	}
}

func (q *sheddingQuery) send(now time.Time, shard int, id carobbend.UpstreamID) {
	l, x := q.l, q.x
	q.asked[shard] = append(q.asked[shard], id)
	u, r := l.upstreams[id], x.balancer.Begin(now, id, shedServiceTime)
	q.g.Sent(shard, now)
	kind, end := carobbend.FailureShed, now.Add(shedLatency)
	if !l.sheds[id] || l.rng.Float64() >= shedShare {
		if at, ok := u.accept(now, time.Duration(float64(shedServiceTime)*(0.7+0.6*l.rng.Float64()))); ok {
			kind, end = carobbend.FailureNone, at
		}
	}
	if kind == carobbend.FailureShed {
		l.shed++
	}
	heap.Push(&l.events, event{end, func(at time.Time) {
		x.balancer.End(at, r, kind, u.load())
		switch {
		case q.done:
		case kind == carobbend.FailureNone:
			q.g.Replied(shard)
		default:
			q.asked[shard] = slices.DeleteFunc(q.asked[shard], func(o carobbend.UpstreamID) bool { return o == id })
			q.g.Failed(shard, kind)
		}
		q.next(at)
	}})
}

func (q *sheddingQuery) tryWithdraw(now time.Time, a gatherer.AttemptSpec) bool {
	x, service := q.x, q.l.services[a.Shard]
	if !a.AfterShed {
		return x.retryBudget.TryWithdraw(now, service)
	}
	return x.retrySelector.TryWithdraw(now, x.retryBudget, &q.grant, service, a.Shortfall)
}

func (q *sheddingQuery) next(now time.Time) {
	for !q.done {
		step := q.g.Next(now)
		if step.Action != gatherer.Wait {
			q.done = true
			if step.Action == gatherer.Answer && now.Sub(q.began) <= shedTarget {
				q.l.inTime++
			}
			return
		}
		if len(step.Launch) == 0 {
			heap.Push(&q.l.events, event{step.Until, q.next})
			return
		}
		for _, a := range step.Launch {
			q.start(now, a)
		}
	}
}

// TestRandomSheds guards against queries that are refused, or lost after two sheds, although the upstreams that shed at random
// have capacity. First attempts alone complete 0.35 of the queries; one retry each for a fifth of these attempts, spent where
// it completes a query, raises that to 0.6.
func TestRandomSheds(t *testing.T) {
	const want = 0.5
	for seed := range uint64(3) {
		l := newSheddingSimulation(sheddingPattern{unhealthyShards: 3, replicas: 2, instances: 1}, seed)
		got := l.run()
		t.Logf("seed %d: in time %.2f, extra %d, shed %d of %d", seed, got, l.extra, l.shed, l.requests*shards)
		if got < want {
			t.Errorf("seed %d: got %.2f of the queries in time, want at least %.2f", seed, got, want)
		}
	}
}

// TestShedsBesideHealthyReplicas guards against a healthy replica that is ejected as a latency outlier after a pause, so that
// all of its requests go to the ones that shed. One dispatcher that sees all queues sheds an eighth of the requests and
// answers 0.99 of the queries in time.
func TestShedsBesideHealthyReplicas(t *testing.T) {
	const want = 0.9
	pattern := sheddingPattern{replicas: 3, instances: 6, pause: 150 * time.Millisecond, pauseInterval: 3600 * time.Millisecond}
	for seed := range uint64(3) {
		l := newSheddingSimulation(pattern, seed)
		got := l.run()
		t.Logf("seed %d: in time %.2f, extra %d, shed %d of %d", seed, got, l.extra, l.shed, l.requests*shards)
		if got < want {
			t.Errorf("seed %d: got %.2f of the queries in time, want at least %.2f", seed, got, want)
		}
	}
}

// TestDeferredShards guards against healthy shards that are asked before the shedding ones accepted their requests, and against
// deferred shards that are never asked.
func TestDeferredShards(t *testing.T) {
	start := time.Unix(1000, 0)
	g := gatherer.New(gatherer.Plan{Shards: 4, MinCoverage: 0.75, Attempts: 2, Repeatable: true, Deadline: start.Add(time.Second)})
	g.Defer(2)
	g.Defer(3)
	g.Sent(0, start)
	g.Sent(1, start)
	if step := g.Next(start.Add(time.Millisecond)); len(step.Launch) != 0 || step.Until.Sub(start) > 10*time.Millisecond {
		t.Errorf("before any is accepted: got %v until %v, want none and a check within 10 ms", step.Launch, step.Until.Sub(start))
	}
	g.Failed(0, carobbend.FailureShed)
	if step := g.Next(start.Add(2 * time.Millisecond)); len(step.Launch) != 0 {
		t.Errorf("while the other one may be shed: got %v, want none", step.Launch)
	}
	step := g.Next(start.Add(20 * time.Millisecond))
	if len(step.Launch) != 3 || !step.Launch[0].AfterShed || step.Launch[0].Shortfall > 0 || !step.Launch[1].First || !step.Launch[2].First {
		t.Errorf("after the other one accepted: got %v, want an optional retry and both deferred shards", step.Launch)
	}
	g.Postpone(0)
	g.Sent(2, start.Add(20*time.Millisecond))
	g.Sent(3, start.Add(20*time.Millisecond))
	g.Failed(1, carobbend.FailureShed)
	step = g.Next(start.Add(30 * time.Millisecond))
	if len(step.Launch) != 1 || step.Launch[0].Shard != 1 || step.Launch[0].Shortfall != 1 {
		t.Errorf("after a shed of a required shard: got %v, want a retry with a shortfall of 1", step.Launch)
	}
	g.Denied(1, start.Add(30*time.Millisecond))
	step = g.Next(start.Add(30 * time.Millisecond))
	if len(step.Launch) != 1 || step.Launch[0].Shard != 0 || step.Launch[0].First || step.Launch[0].Shortfall != 1 {
		t.Errorf("after that was denied: got %v, want the postponed retry of shard 0", step.Launch)
	}
}
