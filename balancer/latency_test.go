package balancer

import (
	"testing"
	"time"

	"carobbend.example/carobbend"
)

const ms = time.Millisecond

var epoch = time.Unix(1000, 0)

func after(d time.Duration) time.Time { return epoch.Add(d) }

// observeReplies records n replies of an upstream with the given latency, 50 ms apart, the last one at end.
func observeReplies(b *Balancer, id carobbend.UpstreamID, n int, latency time.Duration, end time.Time) {
	for i := range n {
		now := end.Add(-time.Duration(n-1-i) * 50 * ms)
		b.End(now, b.Begin(now.Add(-latency), id, 0), carobbend.FailureNone, -1)
	}
}

func ids(names ...carobbend.UpstreamID) []carobbend.UpstreamID { return names }

// countPicks returns how often each candidate is chosen in 1,000 picks.
func countPicks(b *Balancer, now time.Time, candidates ...carobbend.UpstreamID) map[carobbend.UpstreamID]int {
	n := map[carobbend.UpstreamID]int{}
	for range 1000 {
		id, _ := b.Pick(now, candidates, nil)
		n[id]++
	}
	return n
}

// TestRequestInFlightRaisesLatency guards against choosing an upstream that stopped replying until its first request
// times out.
func TestRequestInFlightRaisesLatency(t *testing.T) {
	b := New(WithInFlightLatency(), WithAllCandidates(), WithoutSlowStart())
	observeReplies(b, "unresponsive", 50, 10*ms, after(4*time.Second))
	observeReplies(b, "healthy", 50, 12*ms, after(4*time.Second))
	b.Begin(after(4*time.Second), "unresponsive", 0)
	if got := countPicks(b, after(4*time.Second+60*ms), "unresponsive", "healthy"); got["unresponsive"] != 0 {
		t.Errorf("after 60 ms of silence: got %d picks of 1000, want 0", got["unresponsive"])
	}
	// Requests in flight for less than the expected latency don't affect the choice.
	c := New(WithInFlightLatency(), WithAllCandidates(), WithoutSlowStart())
	observeReplies(c, "a", 50, 10*ms, after(4*time.Second))
	observeReplies(c, "b", 50, 10*ms, after(4*time.Second))
	c.Begin(after(4*time.Second), "a", 0)
	c.Begin(after(4*time.Second), "b", 0)
	if got := countPicks(c, after(4*time.Second+10*ms), "a", "b"); got["a"] < 300 || got["b"] < 300 {
		t.Errorf("both with a request in flight: got %v, want about half each", got)
	}
}

// TestLatencyDecaysAfterPause guards against an upstream that stays unused after a short pause.
func TestLatencyDecaysAfterPause(t *testing.T) {
	b := New(WithInFlightLatency(), WithAllCandidates(), WithoutSlowStart(), WithLatencyDecay(time.Second))
	observeReplies(b, "paused", 100, 10*ms, after(10*time.Second))
	observeReplies(b, "other", 100, 10*ms, after(10*time.Second))
	now := after(10*time.Second + 200*ms)
	b.End(now, b.Begin(after(10*time.Second), "paused", 0), carobbend.FailureCanceled, -1)
	if got := countPicks(b, now, "paused", "other"); got["paused"] != 0 {
		t.Errorf("right after the pause: got %d picks, want 0", got["paused"])
	}
	if got := countPicks(b, now.Add(4*time.Second), "paused", "other"); got["paused"] < 300 {
		t.Errorf("4 s later: got %d picks of 1000, want about half", got["paused"])
	}
}

// TestOneRequestAtATimeProbesSlowUpstream guards against a burst of requests to a slow upstream each time its
// latency estimate has decayed.
func TestOneRequestAtATimeProbesSlowUpstream(t *testing.T) {
	b := New(WithInFlightLatency(), WithAllCandidates(), WithoutSlowStart(), WithLatencyDecay(time.Second))
	observeReplies(b, "slow", 3, 300*ms, after(time.Second))
	now := after(6 * time.Second)
	first := b.ExpectedLatency(now, ids("slow"), referenceLatency, referenceLatency)
	b.Begin(now, "slow", 0)
	second := b.ExpectedLatency(now.Add(ms), ids("slow"), referenceLatency, referenceLatency)
	if first > 60*ms || second < 200*ms {
		t.Errorf("got %v idle and %v with a request in flight, want a low one and the observed one", first, second)
	}
}

// TestImmediateFailureIsNotLowLatency guards against preferring an upstream that refuses connections immediately.
func TestImmediateFailureIsNotLowLatency(t *testing.T) {
	b := New(WithInFlightLatency(), WithAllCandidates(), WithoutSlowStart())
	observeReplies(b, "healthy", 20, 30*ms, after(2*time.Second))
	for i := range 2 {
		now := after(2*time.Second + time.Duration(i)*ms)
		b.End(now, b.Begin(now, "refusing", 0), carobbend.FailureNotSent, -1)
	}
	if got := countPicks(b, after(2*time.Second+10*ms), "refusing", "healthy"); got["refusing"] > 0 {
		t.Errorf("got %d picks of 1000, want 0", got["refusing"])
	}
}

// TestFailureRate guards against returning too early to an upstream that sheds requests at random while its load is low.
func TestFailureRate(t *testing.T) {
	b := New(WithInFlightLatency(), WithAllCandidates(), WithoutSlowStart())
	observeReplies(b, "healthy", 20, 15*ms, after(2*time.Second))
	observeReplies(b, "shedding", 20, 10*ms, after(2*time.Second))
	now := after(2 * time.Second)
	for i := range 20 {
		now = now.Add(10 * ms)
		kind := carobbend.FailureNone
		if i%5 < 3 {
			kind = carobbend.FailureShed
		}
		b.End(now, b.Begin(now.Add(-5*ms), "shedding", 0), kind, 0.3)
	}
	now = now.Add(50 * ms)
	if got := countPicks(b, now, "shedding", "healthy"); got["shedding"] > 0 {
		t.Errorf("while it sheds: got %d picks of 1000, want 0", got["shedding"])
	}
	observeReplies(b, "shedding", 20, 10*ms, now.Add(3*time.Second))
	observeReplies(b, "healthy", 20, 15*ms, now.Add(3*time.Second))
	if got := countPicks(b, now.Add(3*time.Second), "shedding", "healthy"); got["shedding"] < 300 {
		t.Errorf("3 s after the last shed: got %d picks of 1000, want a share", got["shedding"])
	}
}

// TestNoEjectionWithoutReplacement guards against ejecting the last upstream that serves its requests as a latency outlier:
// upstreams that shed or fail most requests are faster, but can't take its requests over.
func TestNoEjectionWithoutReplacement(t *testing.T) {
	for _, kind := range []carobbend.FailureKind{carobbend.FailureShed, carobbend.FailureBroken} {
		b := New(WithInFlightLatency())
		now := epoch
		for range 50 {
			for _, id := range ids("a", "b", "c") {
				b.End(now.Add(15*time.Millisecond), b.Begin(now, id, 0), carobbend.FailureNone, 0.5)
			}
			now = now.Add(20 * time.Millisecond)
		}
		for i := range 20 {
			for _, id := range ids("b", "c") {
				outcome := kind
				if i%5 >= 3 {
					outcome = carobbend.FailureNone
				}
				b.End(now.Add(15*time.Millisecond), b.Begin(now, id, 0), outcome, 0.5)
			}
			b.End(now.Add(150*time.Millisecond), b.Begin(now, "a", 0), carobbend.FailureNone, 1)
			now = now.Add(20 * time.Millisecond)
		}
		b.Pick(now, ids("a", "b", "c"), nil)
		if now.Before(b.nodes["a"].ejectedUntil) {
			t.Errorf("%s: got the slow upstream ejected, want it in use", kind)
		}
	}
}

// TestDistance guards against traffic between data centres without a lower latency, and against using a near upstream that is
// slow.
func TestDistance(t *testing.T) {
	far := func(id carobbend.UpstreamID) float64 {
		if id == "near" {
			return 1
		}
		return 2
	}
	for _, c := range []struct {
		near time.Duration
		want carobbend.UpstreamID
	}{{10 * ms, "near"}, {15 * ms, "near"}, {50 * ms, "far"}} {
		b := New(WithInFlightLatency(), WithAllCandidates(), WithoutSlowStart(), WithDistance(far))
		observeReplies(b, "near", 20, c.near, after(2*time.Second))
		observeReplies(b, "far", 20, 10*ms, after(2*time.Second))
		if got := countPicks(b, after(2*time.Second), "near", "far"); got[c.want] != 1000 {
			t.Errorf("near replies in %v: got %v, want %s alone", c.near, got, c.want)
		}
	}
}

// TestLatencyScaledByKindOfRequest guards against treating an upstream that serves long requests as slow.
func TestLatencyScaledByKindOfRequest(t *testing.T) {
	b := New(WithInFlightLatency(), WithAllCandidates(), WithoutSlowStart())
	for i := range 20 {
		now := after(time.Duration(i) * 50 * ms)
		b.End(now, b.Begin(now.Add(-40*ms), "long", 40*ms), carobbend.FailureNone, -1)
		b.End(now, b.Begin(now.Add(-5*ms), "short", 5*ms), carobbend.FailureNone, -1)
	}
	if got := countPicks(b, after(1200*ms), "long", "short"); got["long"] < 300 || got["short"] < 300 {
		t.Errorf("got %v, want about half each", got)
	}
}

// TestExpectedLatencyOfFullUpstreams guards against adding requests to long queues.
func TestExpectedLatencyOfFullUpstreams(t *testing.T) {
	b := New(WithInFlightLatency(), WithAllCandidates(), WithoutSlowStart())
	now := after(time.Second)
	b.End(now, b.Begin(now.Add(-20*ms), "full", 0), carobbend.FailureNone, 5)
	for _, c := range []struct {
		name       string
		now        time.Time
		candidates []carobbend.UpstreamID
		want       time.Duration
	}{
		{"right after a report of 5 requests a slot", now, ids("full"), 100 * ms},
		{"with an idle one beside it", now, ids("full", "idle"), 20 * ms},
		{"with an old report, since otherwise it would get no requests again", now.Add(maxBacklogAge), ids("full"), 20 * ms},
		{"without candidates", now, nil, noCandidateLatency},
	} {
		if got := b.ExpectedLatency(c.now, c.candidates, 20*ms, 20*ms); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// TestExpectedLatencyOfFailingUpstreams guards against a low expected latency for a shard whose upstreams all refuse
// immediately: admission control would leave out slow shards instead, up to the minimum coverage, and every query would end
// early because of the failed shard.
func TestExpectedLatencyOfFailingUpstreams(t *testing.T) {
	b := New(WithInFlightLatency(), WithAllCandidates(), WithoutSlowStart())
	now := after(4 * time.Second)
	for _, id := range ids("dead-1", "dead-2", "half", "healthy", "half-idle", "none-idle") {
		observeReplies(b, id, 20, 20*ms, now)
	}
	for i := range 20 {
		for _, id := range ids("dead-1", "dead-2") {
			b.End(now, b.Begin(now.Add(-ms), id, 0), carobbend.FailureNotSent, -1)
		}
		b.End(now, b.Begin(now.Add(-ms), "none-idle", 0), carobbend.FailureShed, 0.3)
		if i%2 == 0 {
			b.End(now, b.Begin(now.Add(-ms), "half", 0), carobbend.FailureShed, -1)
			b.End(now, b.Begin(now.Add(-ms), "half-idle", 0), carobbend.FailureShed, 0.3)
		} else {
			b.End(now, b.Begin(now.Add(-20*ms), "half", 0), carobbend.FailureNone, 0)
			b.End(now, b.Begin(now.Add(-20*ms), "half-idle", 0), carobbend.FailureNone, 0.3)
		}
	}
	for _, c := range []struct {
		name        string
		candidates  []carobbend.UpstreamID
		least, most time.Duration
	}{
		{"all dead", ids("dead-1", "dead-2"), 150 * ms, noCandidateLatency},
		{"a healthy one beside them", ids("dead-1", "dead-2", "healthy"), 20 * ms, 20 * ms},
		{"one that sheds every second request", ids("half"), 30 * ms, 100 * ms},
		{"one that does so although it reports capacity", ids("half-idle"), 20 * ms, 30 * ms},
		{"one that sheds all although it reports capacity", ids("none-idle"), 150 * ms, noCandidateLatency},
	} {
		if got := b.ExpectedLatency(now, c.candidates, 20*ms, 20*ms); got < c.least || got > c.most {
			t.Errorf("%s: got %v, want %v to %v", c.name, got, c.least, c.most)
		}
	}
}

// TestExpectedLatencyOfLocalBacklog guards against queries that queue at a paused upstream, which sends no replies with its load.
func TestExpectedLatencyOfLocalBacklog(t *testing.T) {
	b := New(WithInFlightLatency(), WithAllCandidates(), WithoutSlowStart(), WithSlots(func(id carobbend.UpstreamID) float64 {
		if id == "unknown" {
			return 0
		}
		return 0.5
	}))
	now := after(4 * time.Second)
	for _, id := range ids("paused", "unknown") {
		observeReplies(b, id, 50, 20*ms, now)
		for range 5 {
			b.Begin(now, id, 0)
		}
	}
	if got, want := b.ExpectedLatency(now, ids("paused"), 20*ms, 20*ms), 100*ms; got != want {
		t.Errorf("5 requests in flight at half a slot: got %v, want %v", got, want)
	}
	if got, want := b.ExpectedLatency(now, ids("unknown"), 20*ms, 20*ms), 20*ms; got != want {
		t.Errorf("without known slots: got %v, want %v", got, want)
	}
}
