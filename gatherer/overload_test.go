package gatherer_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/balancer"
	"carobbend.example/carobbend/gatherer"
)

// The load pattern: several shards of an index have a single healthy replica left, and the queries slightly exceed the
// capacity of these replicas. Without admission control their queues grow until every query is late.
const (
	shards              = 10
	singleReplicaShards = 4 // shards with one upstream; the others have three
	slots               = 3
	queueBound          = 18
	serviceTime         = 20 * time.Millisecond
	target              = 100 * time.Millisecond
	overloadFactor      = 1.1 // load over the capacity of a single replica
	simulatedTime       = 10 * time.Second
)

// simulatedUpstream is an upstream with slots and a bounded queue, in simulated time.
type simulatedUpstream struct {
	id      carobbend.UpstreamID
	free    [slots]time.Time
	running []time.Time // ends of the requests that are in
	// The upstream stops for pause once in pauseInterval, from firstPause on; it never does if pause is 0.
	pause, pauseInterval time.Duration
	firstPause           time.Time
}

// end returns the end of a request that starts at the given time and takes d without pauses.
func (u *simulatedUpstream) end(start time.Time, d time.Duration) time.Time {
	end := start.Add(d)
	if u.pause == 0 {
		return end
	}
	paused := u.firstPause
	if n := start.Sub(paused) / u.pauseInterval; n > 0 {
		paused = paused.Add(n * u.pauseInterval)
	}
	for ; paused.Before(end); paused = paused.Add(u.pauseInterval) {
		if resumed := paused.Add(u.pause); resumed.After(start) {
			end = end.Add(min(u.pause, resumed.Sub(start)))
		}
	}
	return end
}

// accept returns the end of a request that arrives now, or false if the queue is full.
func (u *simulatedUpstream) accept(now time.Time, d time.Duration) (time.Time, bool) {
	in := u.running[:0]
	for _, end := range u.running {
		if end.After(now) {
			in = append(in, end)
		}
	}
	u.running = in
	if len(in) >= slots+queueBound {
		return now, false
	}
	first := 0
	for i := range u.free {
		if u.free[i].Before(u.free[first]) {
			first = i
		}
	}
	start := now
	if u.free[first].After(now) {
		start = u.free[first]
	}
	u.free[first] = u.end(start, d)
	u.running = append(u.running, u.free[first])
	return u.free[first], true
}

func (u *simulatedUpstream) load() float64 { return float64(len(u.running)) / slots }

type event struct {
	at time.Time
	do func(now time.Time)
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any) {
	if ev, ok := x.(event); ok {
		*e = append(*e, ev)
	}
}

func (e *events) Pop() any {
	old := *e
	ev := old[len(old)-1]
	*e = old[:len(old)-1]
	return ev
}

// simulateOverload returns the share of all queries that are answered within the latency target.
func simulateOverload(withAdmission bool, seed uint64) float64 {
	rng := rand.New(rand.NewPCG(seed, 1))
	b := balancer.New(balancer.WithInFlightLatency(), balancer.WithAllCandidates(), balancer.WithLatencyDecay(time.Second), balancer.WithSeed(seed))
	upstreams := map[carobbend.UpstreamID]*simulatedUpstream{}
	candidates := make([][]carobbend.UpstreamID, shards)
	for i := range shards {
		n := 3
		if i < singleReplicaShards {
			n = 1
		}
		for j := range n {
			id := carobbend.UpstreamID([]byte{'a' + byte(i), '0' + byte(j)})
			upstreams[id] = &simulatedUpstream{id: id}
			candidates[i] = append(candidates[i], id)
		}
	}
	var admission gatherer.AdmissionControl
	var q events
	start := time.Unix(1000, 0)
	queries, inTime := 0, 0
	query := func(now time.Time) {
		queries++
		g := gatherer.New(gatherer.Plan{Shards: shards, MinCoverage: 0.89, Attempts: 1, Repeatable: true, AnswerBy: now.Add(target), Deadline: now.Add(10 * target)})
		if withAdmission {
			expected := make([]time.Duration, shards)
			for i := range shards {
				expected[i] = b.ExpectedLatency(now, candidates[i], serviceTime, serviceTime)
			}
			skip, ok := admission.Admit(now, expected, target, g.Need())
			if !ok {
				return
			}
			for _, i := range skip {
				g.Skip(i)
			}
		}
		done := false
		check := func(now time.Time) {
			if step := g.Next(now); !done && step.Action != gatherer.Wait {
				done = true
				if step.Action == gatherer.Answer && now.Sub(start) >= 0 {
					inTime++
				}
			}
		}
		for i := range shards {
			if g.IsSkipped(i) {
				continue
			}
			id, _ := b.Pick(now, candidates[i], nil)
			u := upstreams[id]
			r := b.Begin(now, id, serviceTime)
			g.Sent(i, now)
			end, ok := u.accept(now, time.Duration(float64(serviceTime)*(0.7+0.6*rng.Float64())))
			heap.Push(&q, event{end, func(at time.Time) {
				if !ok {
					b.End(at, r, carobbend.FailureShed, u.load())
					g.Failed(i, carobbend.FailureShed)
				} else {
					b.End(at, r, carobbend.FailureNone, u.load())
					g.Replied(i)
				}
				if at.Sub(now) <= target {
					check(at)
				}
			}})
		}
		heap.Push(&q, event{now.Add(target), check})
	}
	rate := overloadFactor * slots / serviceTime.Seconds()
	for at := start; at.Before(start.Add(simulatedTime)); at = at.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second))) {
		heap.Push(&q, event{at, query})
	}
	for q.Len() > 0 {
		if ev, ok := heap.Pop(&q).(event); ok {
			ev.do(ev.at)
		}
	}
	return float64(inTime) / float64(queries)
}

// TestOverloadOfSingleReplicaShards guards against an overload of a tenth that makes nearly all queries late.
func TestOverloadOfSingleReplicaShards(t *testing.T) {
	for seed := range uint64(3) {
		without, with := simulateOverload(false, seed), simulateOverload(true, seed)
		t.Logf("seed %d: in time %.2f without admission control, %.2f with it", seed, without, with)
		if with < 0.7 {
			t.Errorf("seed %d: got %.2f of the queries in time, want at least 0.7 of an overload of 1.1", seed, with)
		}
		if without > 0.5 {
			t.Errorf("seed %d: got %.2f in time without admission control, want at most half, or the load is no overload", seed, without)
		}
	}
}
