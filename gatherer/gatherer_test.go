package gatherer

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"carobbend.example/carobbend"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func searchPlan() Plan {
	return Plan{
		Shards: 10, MinCoverage: 0.89, Attempts: 2, Repeatable: true, HedgeDelay: 60 * time.Millisecond,
		AnswerBy: at(142), Deadline: at(1500),
	}
}

func startAll(p Plan) *Gather {
	g := New(p)
	for i := range p.Shards {
		g.Sent(i, start)
	}
	return g
}

func replied(g *Gather, n int) {
	for i := range n {
		g.Replied(i)
	}
}

// TestAnswersAtTargetWithMinimumCoverage guards against waiting for a straggler until the answer is late.
func TestAnswersAtTargetWithMinimumCoverage(t *testing.T) {
	g := startAll(searchPlan())
	replied(g, 9)
	if got := g.Next(at(141)); got.Action != Wait {
		t.Errorf("before the target: got action %v, want Wait", got.Action)
	}
	if got := g.Next(at(142)); got.Action != Answer || g.Covered() != 9 {
		t.Errorf("at the target: got action %v with %d shards, want Answer with 9", got.Action, g.Covered())
	}
}

// TestMinimumCoverage guards against an answer below the minimum coverage, and against delaying it once that is reached after
// the target.
func TestMinimumCoverage(t *testing.T) {
	g := startAll(searchPlan())
	replied(g, 8)
	if got := g.Next(at(500)); got.Action != Wait {
		t.Errorf("with 8 of 10: got action %v, want Wait", got.Action)
	}
	g.Replied(9)
	if got := g.Next(at(501)); got.Action != Answer {
		t.Errorf("with 9 of 10 after the target: got action %v, want Answer", got.Action)
	}
}

// TestAnswersOnceAllShardsReplied guards against delaying a complete answer until the target.
func TestAnswersOnceAllShardsReplied(t *testing.T) {
	g := startAll(searchPlan())
	replied(g, 10)
	if got := g.Next(at(20)); got.Action != Answer {
		t.Errorf("got action %v, want Answer", got.Action)
	}
}

// TestHedge guards against hedges before the delay, against retrying a denied hedge at once, and against more attempts than the
// route allows.
func TestHedge(t *testing.T) {
	g := startAll(searchPlan())
	replied(g, 9)
	if got := g.Next(at(59)); len(got.Launch) != 0 || !got.Until.Equal(at(60)) {
		t.Errorf("before the delay: got %+v, want no hedge until 60 ms", got)
	}
	if got := g.Next(at(60)); !slices.Equal(got.Launch, []AttemptSpec{{Shard: 9, Hedge: true}}) {
		t.Errorf("after the delay: got %+v, want a hedge of shard 9", got.Launch)
	}
	g.Denied(9, at(60))
	if got := g.Next(at(69)); len(got.Launch) != 0 {
		t.Errorf("after the denial: got %+v, want none", got.Launch)
	}
	if got := g.Next(at(70)); len(got.Launch) != 1 {
		t.Errorf("after the pause: got %+v, want one", got.Launch)
	}
	g.Sent(9, at(70))
	if got := g.Next(at(140)); len(got.Launch) != 0 {
		t.Errorf("with all attempts made: got %+v, want none", got.Launch)
	}
	// The first failure leaves the other attempt open.
	g.Failed(9, carobbend.FailureBroken)
	if got := g.Next(at(140)); got.Action != Wait || len(got.Launch) != 0 {
		t.Errorf("with one attempt open: got %+v, want Wait", got)
	}
}

// TestSkippedShardIsAskedWhenNeeded guards against queries that fail although an upstream could still be asked: admission
// control left out a slow shard, and then the attempt of another shard can't be started.
func TestSkippedShardIsAskedWhenNeeded(t *testing.T) {
	g := New(Plan{Shards: 3, MinCoverage: 0.6, Attempts: 1, Repeatable: true, AnswerBy: at(100), Deadline: at(1000)})
	g.Skip(0)
	for _, i := range []int{1, 2} {
		g.Sent(i, at(0))
	}
	if step := g.Next(at(0)); len(step.Launch) != 0 {
		t.Errorf("while two shards are open: got %v, want nothing to ask", step.Launch)
	}
	g.Replied(1)
	g.Failed(2, carobbend.FailureNotSent)
	g.Next(at(1))
	g.Denied(2, at(1))
	step := g.Next(at(2))
	if len(step.Launch) != 1 || step.Launch[0] != (AttemptSpec{Shard: 0, First: true}) {
		t.Fatalf("after shard 2 was lost: got %+v, want a first attempt of shard 0", step)
	}
	g.Sent(0, at(2))
	g.Replied(0)
	if step := g.Next(at(50)); step.Action != Answer {
		t.Errorf("after its reply: got %+v, want an answer", step)
	}
}

// TestFailsOnceCoverageIsUnreachable guards against callers that wait although the minimum coverage can't be reached any more.
func TestFailsOnceCoverageIsUnreachable(t *testing.T) {
	g := startAll(searchPlan())
	for _, shard := range []int{3, 4} {
		g.Failed(shard, carobbend.FailureBroken)
		step := g.Next(at(5))
		if !slices.Equal(step.Launch, []AttemptSpec{{Shard: shard}}) {
			t.Fatalf("after a failure: got %+v, want a retry of shard %d", step.Launch, shard)
		}
		g.Denied(shard, at(5))
	}
	if got := g.Next(at(6)); got.Action != Fail || got.Reason != ReasonShards {
		t.Errorf("with two shards lost: got %+v, want Fail", got)
	}
}

// TestDeadlineTakesPrecedenceOverLostShards guards against a time-out that is reported as lost shards: a timer fires late, and
// the attempt has failed at the same deadline.
func TestDeadlineTakesPrecedenceOverLostShards(t *testing.T) {
	g := startAll(Plan{Shards: 1, MinCoverage: 1, Attempts: 2, Deadline: at(95)})
	g.Failed(0, carobbend.FailureDeadline)
	if got := g.Next(at(107)); got.Action != Fail || got.Reason != ReasonDeadline {
		t.Errorf("got %+v, want a failure by the deadline", got)
	}
}

// TestRunsOnce guards against a second run of a request that isn't repeatable.
func TestRunsOnce(t *testing.T) {
	for _, c := range []struct {
		kind  carobbend.FailureKind
		again bool
	}{
		{carobbend.FailureNotSent, true},
		{carobbend.FailureShed, true},
		{carobbend.FailureLeaving, true},
		{carobbend.FailureBroken, false},
		{carobbend.FailureIdentity, false},
		{carobbend.FailureDeadline, false},
		{carobbend.FailureCanceled, false},
	} {
		g := startAll(Plan{Shards: 1, MinCoverage: 1, Attempts: 2, HedgeDelay: time.Millisecond, Deadline: at(6000)})
		if got := g.Next(at(100)); len(got.Launch) != 0 {
			t.Errorf("%s: got a hedge %+v, want none", c.kind, got.Launch)
		}
		g.Failed(0, c.kind)
		step := g.Next(at(100))
		if got := len(step.Launch) == 1; got != c.again {
			t.Errorf("%s: got another attempt %v, want %v", c.kind, got, c.again)
		}
		if !c.again && step.Action != Fail {
			t.Errorf("%s: got action %v, want Fail", c.kind, step.Action)
		}
	}
}

// TestAttemptBound guards against more runs than the route allows, for any kind and order of failures.
func TestAttemptBound(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	kinds := []carobbend.FailureKind{carobbend.FailureBroken, carobbend.FailureShed, carobbend.FailureNotSent}
	for range 2000 {
		p := searchPlan()
		p.Shards, p.Attempts = 3, 1+rng.IntN(3)
		g := startAll(p)
		open, runs, now := []int{0, 1, 2}, []int{1, 1, 1}, start
		for range 40 {
			now = now.Add(time.Duration(rng.IntN(30)) * time.Millisecond)
			step := g.Next(now)
			if step.Action != Wait {
				break
			}
			for _, a := range step.Launch {
				if rng.IntN(4) == 0 {
					g.Denied(a.Shard, now)
					continue
				}
				g.Sent(a.Shard, now)
				open = append(open, a.Shard)
				if runs[a.Shard]++; runs[a.Shard] > p.Attempts {
					t.Fatalf("shard %d: got %d runs, want at most %d", a.Shard, runs[a.Shard], p.Attempts)
				}
			}
			if len(open) == 0 {
				continue
			}
			i := rng.IntN(len(open))
			shard := open[i]
			open = slices.Delete(open, i, i+1)
			kind := kinds[rng.IntN(len(kinds))]
			if kind != carobbend.FailureBroken {
				runs[shard]--
			}
			g.Failed(shard, kind)
		}
	}
}

// TestMerge guards against lost, duplicated or misordered records, also when parts arrive in chunks that split records.
func TestMerge(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for n := range 30 {
		count := rng.IntN(6)
		parts := make([][]byte, 0, count)
		var all [][]byte
		for range count {
			p := make([]byte, rng.IntN(200))
			for i := range p {
				p[i] = byte(rng.IntN(3))
			}
			parts = append(parts, p)
			for q := p; len(q) >= RecordSize; q = q[RecordSize:] {
				all = append(all, q[:RecordSize])
			}
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := bytes.Join(all[:min(n, len(all))], nil)
		if got := Merge(n, parts...); !bytes.Equal(got, want) {
			t.Errorf("Merge(%d) of %d parts: got %d bytes, want %d", n, len(parts), len(got), len(want))
		}
		// Parts that were reduced in chunks give the same result.
		for i, p := range parts {
			s := NewTopK(n)
			for piece := range slices.Chunk(bytes.Clone(p), 1+rng.IntN(40)) {
				if _, err := s.Write(piece); err != nil {
					t.Fatal(err)
				}
				clear(piece)
			}
			parts[i] = s.Bytes()
		}
		if got := Merge(n, parts...); !bytes.Equal(got, want) {
			t.Errorf("Merge(%d) of %d reduced parts: got %d bytes, want %d", n, len(parts), len(got), len(want))
		}
	}
}

func BenchmarkMerge(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 2))
	parts := make([][]byte, 36)
	for i := range parts {
		parts[i] = make([]byte, 1000)
		for j := range parts[i] {
			parts[i][j] = byte(rng.IntN(256))
		}
	}
	for b.Loop() {
		Merge(50, parts...)
	}
}

// TestHedgedShareIsBounded guards against hedging every shard when all are late: a slow instance or a slow index would get
// twice its load, and the extra requests that stragglers need later would be used up.
func TestHedgedShareIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	g := New(Plan{
		Shards: 100, MinCoverage: 0.95, Attempts: 2, Repeatable: true, HedgeDelay: 40 * time.Millisecond,
		AnswerBy: now.Add(150 * time.Millisecond), Deadline: now.Add(time.Second),
	})
	for i := range 100 {
		g.Sent(i, now)
	}
	asked := 0
	for at := 0 * time.Millisecond; at < 120*time.Millisecond; at += time.Millisecond {
		for _, a := range g.Next(now.Add(at)).Launch {
			g.Sent(a.Shard, now.Add(at))
			asked++
		}
	}
	if asked == 0 || asked > 34 {
		t.Errorf("all shards late: got %d hedges, want some and at most 34", asked)
	}
	// Once most have replied, the stragglers are hedged.
	for i := range 90 {
		g.Replied(i)
	}
	for at := 120 * time.Millisecond; at < 140*time.Millisecond; at += time.Millisecond {
		for _, a := range g.Next(now.Add(at)).Launch {
			g.Sent(a.Shard, now.Add(at))
			asked++
		}
	}
	for i := 90; i < 100; i++ {
		if g.shards[i].open != 2 {
			t.Errorf("straggler %d: got %d attempts open, want 2", i, g.shards[i].open)
		}
	}
}

// TestDeferredShards guards against healthy shards that are asked before the shedding ones accepted their requests, and against
// deferred shards that are never asked.
func TestDeferredShards(t *testing.T) {
	g := New(Plan{Shards: 4, MinCoverage: 0.75, Attempts: 2, Repeatable: true, Deadline: start.Add(time.Second)})
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

// TestRestrictedAttemptIsNotExtra guards against a first request that is denied by the retry budget, because an attempt before
// it was held back and reached no upstream; and against attempts without end if each is held back.
func TestRestrictedAttemptIsNotExtra(t *testing.T) {
	now := time.Unix(1000, 0)
	g := New(Plan{Shards: 1, MinCoverage: 1, Attempts: 2, Deadline: now.Add(time.Second)})
	attempts := 0
	for step := (Step{Launch: []AttemptSpec{{First: true}}}); step.Action != Fail; step = g.Next(now) {
		if len(step.Launch) != 1 || !step.Launch[0].First {
			t.Fatalf("attempt %d: got %+v, want a first one", attempts, step.Launch)
		}
		g.Sent(0, now)
		attempts++
		g.Failed(0, carobbend.FailureRestricted)
		if g.Runs() != 0 {
			t.Fatalf("runs: got %d, want 0", g.Runs())
		}
	}
	if want := (Plan{Attempts: 2}).MaxAttempts(); attempts != want {
		t.Errorf("attempts: got %d, want %d", attempts, want)
	}
	g = New(Plan{Shards: 1, MinCoverage: 1, Attempts: 2, Repeatable: true, Deadline: now.Add(time.Second)})
	g.Sent(0, now)
	g.Failed(0, carobbend.FailureBroken)
	g.Next(now)
	g.Sent(0, now)
	g.Failed(0, carobbend.FailureRestricted)
	if got := g.Next(now).Launch; len(got) != 1 || got[0].First {
		t.Errorf("after a failure: got %+v, want one extra attempt", got)
	}
}
