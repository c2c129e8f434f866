package planner

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"carobbend.example/carobbend"
)

// runQuery drives one planner through a world until all events are delivered, late ones included.
func runQuery(w *world) (*Planner, *carobbend.Answer, time.Duration) {
	deadline := time.Duration(rapid.SampledFrom([]int{70, 70, 70, 70, 70, 70, 20, 20, 5, 1, 0}).Draw(w.t, "deadline-ms")) * time.Millisecond
	giveUp := never
	if rapid.IntRange(0, 9).Draw(w.t, "caller") == 0 {
		giveUp = time.Duration(rapid.IntRange(0, 40).Draw(w.t, "give-up-ms")) * time.Millisecond
	}
	p := New(Config{
		Query:   carobbend.Query{ID: "Q", Index: index, Limit: 100, Deadline: w.start.Add(deadline)},
		Catalog: w, Balancer: w, Hedger: w, Budget: w, Rules: w, Seed: rapid.Uint64().Draw(w.t, "seed"),
	})
	var ans *carobbend.Answer
	var at time.Duration
	ev := Event{Kind: EventStart}
	for steps := 0; ; steps++ {
		if steps > 5000 {
			w.t.Fatalf("the planner doesn't come to an end")
		}
		fx := p.Handle(w.start.Add(w.now), ev)
		if p.Done() && ans != nil && (len(fx.Sends) > 0 || len(fx.Cancels) > 0 || fx.Answer != nil) {
			w.t.Fatalf("effects after the answer: %+v", fx)
		}
		for _, s := range fx.Sends {
			checkSend(w, s)
			w.send(s)
		}
		for _, n := range fx.Cancels {
			w.cancel(n)
		}
		checkCancels(w, p.Done())
		if fx.Answer != nil {
			checkEarly(w, fx.Answer)
			ans, at = fx.Answer, w.now
			if at > max(deadline, 0) {
				w.t.Fatalf("answer at %v, want by %v", at, deadline)
			}
		}
		timer := never
		if !p.Done() {
			if timer = p.NextTimer().Sub(w.start); timer > deadline {
				w.t.Fatalf("timer at %v, want by the deadline %v", timer, deadline)
			}
		}
		switch next := w.nextDelivery(); {
		case !p.Done() && giveUp <= min(next, timer):
			w.now, ev = max(w.now, giveUp), Event{Kind: EventCancel}
		case next == never && timer == never:
			return p, ans, at
		case next <= timer:
			ev = w.deliver()
		default:
			w.now, ev = max(w.now, timer), Event{Kind: EventTimer}
		}
	}
}

// checkSend checks a shard request against the layouts and the requests before it.
func checkSend(w *world, s Send) {
	ref := s.Request.Ref
	i := slices.IndexFunc(w.layouts, func(l carobbend.Layout) bool { return l.Snapshot == ref.Snapshot })
	if i < 0 || ref.Shards != w.layouts[i].Shards() || !slices.Contains(w.layouts[i].Replicas[ref.Shard], s.Upstream) {
		w.t.Fatalf("request %+v is not in the layouts %v", s, w.layouts)
	}
	same, retries := 0, 0
	var last sentRequest
	var asked []carobbend.UpstreamID
	shed := false
	for _, old := range w.sent {
		if old.Request.ID == s.Request.ID {
			w.t.Fatalf("request id %s is used twice", s.Request.ID)
		}
		if old.Request.Ref != ref {
			continue
		}
		same++
		if old.Cause == CauseRetry {
			retries++
		}
		if old.ended && old.endedAt >= last.endedAt {
			last = old
		}
		asked = append(asked, old.Upstream)
		shed = shed || old.Upstream == s.Upstream && old.kind == carobbend.FailureShed
		refused := old.kind == carobbend.FailureLeaving || old.kind == carobbend.FailureSnapshotGone ||
			old.kind == carobbend.FailureShed && s.Cause != CauseRetry
		if old.Upstream == s.Upstream && (refused || !old.ended) {
			w.t.Fatalf("%v to %s, which refused or still works on the shard", s.Cause, s.Upstream)
		}
	}
	if shed && !w.heedless {
		checkAllAsked(w, w.layouts[i].Replicas[ref.Shard], asked, s)
	}
	if (same == 0) != (s.Cause == CausePrimary) {
		w.t.Fatalf("cause %v of request number %d to a shard", s.Cause, same)
	}
	if s.Cause == CauseRetry && (retries >= maxRetries || last.kind == carobbend.FailureDeadline) {
		w.t.Fatalf("retry number %d after %q", retries+1, last.kind)
	}
}

// checkAllAsked checks that a replica which shed is asked again only after all others.
func checkAllAsked(w *world, replicas, asked []carobbend.UpstreamID, s Send) {
	for _, id := range replicas {
		if !slices.Contains(asked, id) {
			w.t.Fatalf("%v to %s, which shed, before %s was asked", s.Cause, s.Upstream, id)
		}
	}
}

// checkCancels checks that no request stays open whose reply is of no more use.
func checkCancels(w *world, done bool) {
	for i, s := range w.sent {
		won := slices.ContainsFunc(w.sent, func(o sentRequest) bool { return o.good && o.Request.Ref == s.Request.Ref })
		if (won || done) && !s.ended && !s.canceled {
			w.t.Fatalf("request %d is still open", i)
		}
	}
}

// checkEarly checks that the planner doesn't leave out a reply, and doesn't state the deadline before it has come.
func checkEarly(w *world, ans *carobbend.Answer) {
	for _, m := range ans.Missing {
		timedOut := func(s sentRequest) bool { return s.kind == carobbend.FailureDeadline && s.Request.Ref.Shard == m.Shard }
		if m.Reason == carobbend.MissingDeadline && ans.Detail == "" && !slices.ContainsFunc(w.sent, timedOut) {
			w.t.Fatalf("shard %d is missing for the deadline at %v", m.Shard, w.now)
		}
		for _, s := range w.sent {
			if s.Request.Ref.Snapshot == ans.Snapshot && s.Request.Ref.Shard == m.Shard && s.good {
				w.t.Fatalf("shard %d is missing (%s), but its reply came in time", m.Shard, m.Reason)
			}
		}
	}
}

// Guards the promises P1 to P4 under two faults at once: an answer that mixes snapshots, counts coverage wrongly,
// takes a late, duplicated or crossed reply, or says not-run after a request was sent; and extra load beyond the
// budget, requests to replicas that refused, and requests that never end for the balancer.
//
// Each kind of fault is drawn often enough for a short run; the second fault is of any kind.
// A long run: RAPID_CHECKS=1000000 go test -run TestPromises -timeout 1h ./planner.
func TestPromises(t *testing.T) {
	for _, kind := range append([]string{"none"}, faultKinds...) {
		t.Run(kind, func(t *testing.T) { rapid.Check(t, checkPromises(kind)) })
	}
}

func checkPromises(kind string) func(*rapid.T) {
	return func(t *rapid.T) {
		w := drawWorld(t, kind)
		p, ans, at := runQuery(w)
		if ans == nil || ans.QueryID != "Q" || ans.Index != index {
			t.Fatalf("answer: got %+v, want one for Q", ans)
		}
		if (ans.Outcome == carobbend.OutcomeNotRun) != (len(w.sent) == 0) {
			t.Fatalf("outcome: got %s after %d requests", ans.Outcome, len(w.sent))
		}
		if w.finished != len(w.sent) {
			t.Fatalf("finished requests: got %d, want %d", w.finished, len(w.sent))
		}
		good, leaving := 0, 0
		for _, s := range w.sent {
			if s.good {
				good++
			}
			if s.kind == carobbend.FailureLeaving {
				leaving++
			}
		}
		st := p.Stats()
		if most := int(carobbend.DefaultDeadline/hedgePause) + maxRetries*(st.Primaries+1); w.denied > most {
			t.Fatalf("requests to an empty budget: got %d, want at most %d", w.denied, most)
		}
		if w.earned != st.Primaries || w.observed != good || w.leaving != leaving {
			t.Fatalf("earned, observed, leaving: got %d, %d, %d, want %d, %d, %d", w.earned, w.observed, w.leaving, st.Primaries, good, leaving)
		}
		if extra := st.Hedges + st.Retries; extra > w.spent || st.Primaries+extra != len(w.sent) || w.percent == 0 && extra > 0 {
			t.Fatalf("requests: got %+v, want %d in all, extra at most %d", st, len(w.sent), w.spent)
		}
		if ans.Outcome != carobbend.OutcomeNotRun {
			checkAnswer(w, ans)
			checkHealthy(w, ans, at)
		}
	}
}

// checkAnswer compares the answer with the replies that the world delivered.
func checkAnswer(w *world, ans *carobbend.Answer) {
	good, snapshots := map[int]bool{}, map[carobbend.SnapshotID]bool{}
	for _, s := range w.sent {
		snapshots[s.Request.Ref.Snapshot] = true
		if s.good && s.Request.Ref.Snapshot == ans.Snapshot {
			good[s.Request.Ref.Shard] = true
		}
	}
	if len(snapshots) > 2 {
		w.t.Fatalf("snapshots asked: got %d, want at most one replan", len(snapshots))
	}
	var want []string
	var missing []int
	for shard := range ans.Total {
		if good[shard] {
			want = append(want, string(item(ans.Snapshot, shard, "own").Data))
		} else {
			missing = append(missing, shard)
		}
	}
	got := make([]string, 0, len(ans.Items))
	for _, it := range ans.Items {
		got = append(got, string(it.Data))
	}
	if slices.Sort(got); !slices.Equal(got, want) || ans.Covered != len(want) {
		w.t.Fatalf("covered %d, items: got %v, want %v", ans.Covered, got, want)
	}
	listed := make([]int, 0, len(ans.Missing))
	for _, m := range ans.Missing {
		listed = append(listed, m.Shard)
	}
	if !slices.Equal(listed, missing) || (ans.Outcome == carobbend.OutcomeComplete) != (len(missing) == 0) {
		w.t.Fatalf("%s, missing: got %v, want %v", ans.Outcome, listed, missing)
	}
	i := slices.IndexFunc(w.layouts, func(l carobbend.Layout) bool { return l.Snapshot == ans.Snapshot })
	if i < 0 || ans.Total != w.layouts[i].Shards() {
		w.t.Fatalf("total: got %d of snapshot %d, want that of %v", ans.Total, ans.Snapshot, w.layouts)
	}
}

// checkHealthy checks that a query without faults ends with its last reply and covers what has a replica.
func checkHealthy(w *world, ans *carobbend.Answer, at time.Duration) {
	last := time.Duration(0)
	for _, s := range w.sent {
		last = max(last, s.at+12*time.Millisecond)
	}
	if len(w.faults) > 0 || w.noRoom > 0 || ans.Detail != "" {
		return
	}
	for _, m := range ans.Missing {
		if m.Reason != carobbend.MissingNoReplica {
			w.t.Fatalf("missing without a fault: %+v", m)
		}
	}
	if at > last {
		w.t.Fatalf("answer at %v, want by %v", at, last)
	}
}

// Guards the choice of the snapshot: the newest with the wanted coverage, else the greatest coverage, newest first.
func TestChoose(t *testing.T) {
	layout := func(s carobbend.SnapshotID, replicas ...int) carobbend.Layout {
		l := carobbend.Layout{Index: index, Snapshot: s}
		for _, n := range replicas {
			l.Replicas = append(l.Replicas, make([]carobbend.UpstreamID, n))
		}
		return l
	}
	for _, tt := range []struct {
		wanted  float64
		not     carobbend.SnapshotID
		layouts []carobbend.Layout
		want    carobbend.SnapshotID
	}{
		{100, 0, []carobbend.Layout{layout(3, 1, 0), layout(2, 1, 1, 1), layout(1, 1)}, 2},
		{50, 0, []carobbend.Layout{layout(3, 1, 0), layout(2, 1, 1, 1), layout(1, 1)}, 3},
		{100, 0, []carobbend.Layout{layout(3, 1, 0), layout(2, 1, 1, 0), layout(1, 0, 2, 2)}, 2},
		{100, 2, []carobbend.Layout{layout(3, 1, 0), layout(2, 1), layout(1, 0, 2, 2)}, 1},
		{0, 0, []carobbend.Layout{layout(3, 0, 0), layout(2)}, 0},
	} {
		p := New(Config{Rules: &world{wanted: tt.wanted}})
		if got, _ := p.choose(tt.layouts, tt.not); got.Snapshot != tt.want {
			t.Errorf("wanted %v%%, not %d, of %v: got %d, want %d", tt.wanted, tt.not, tt.layouts, got.Snapshot, tt.want)
		}
	}
}

// Guards the stated reason of a missing shard.
func TestReason(t *testing.T) {
	for _, tt := range []struct {
		open  int16
		kinds []carobbend.FailureKind
		want  carobbend.MissingReason
	}{
		{0, nil, carobbend.MissingDeadline},
		{1, []carobbend.FailureKind{carobbend.FailureBroken}, carobbend.MissingDeadline},
		{0, []carobbend.FailureKind{carobbend.FailureShed, carobbend.FailureSilent}, carobbend.MissingFailed},
		{0, []carobbend.FailureKind{carobbend.FailureNotSent, carobbend.FailureLeaving}, carobbend.MissingRefused},
		{0, []carobbend.FailureKind{carobbend.FailureSnapshotGone, carobbend.FailureNotSent}, carobbend.MissingSnapshotGone},
		{0, []carobbend.FailureKind{carobbend.FailureNotSent}, carobbend.MissingNoReplica},
	} {
		s := shard{replicas: make([]carobbend.UpstreamID, 2), open: tt.open}
		for _, k := range tt.kinds {
			s.seen.add(k)
		}
		if got := s.reason(); got != tt.want {
			t.Errorf("open %d, %v: got %s, want %s", tt.open, tt.kinds, got, tt.want)
		}
	}
	if got := (&shard{}).reason(); got != carobbend.MissingNoReplica {
		t.Errorf("no replicas: got %s, want %s", got, carobbend.MissingNoReplica)
	}
}

// Guards against a slow index whose shards all ask an empty budget for hedges again and again.
func TestHedgesPauseWhenTheBudgetIsEmpty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, start: time.Unix(1_800_000_000, 0), percent: 0.01, wanted: 100, hedge: 3 * time.Millisecond}
		w.layouts = []carobbend.Layout{{Index: index, Snapshot: 1, Replicas: slices.Repeat([][]carobbend.UpstreamID{{"a", "b"}}, 40)}}
		p := New(Config{
			Query:   carobbend.Query{ID: "Q", Index: index, Deadline: w.start.Add(carobbend.DefaultDeadline)},
			Catalog: w, Balancer: w, Hedger: w, Budget: w, Rules: w,
		})
		p.Handle(w.start, Event{Kind: EventStart})
		for !p.Done() {
			p.Handle(p.NextTimer(), Event{Kind: EventTimer})
		}
		if most := int(carobbend.DefaultDeadline / hedgePause); w.denied == 0 || w.denied > most {
			t.Fatalf("denied hedges: got %d, want 1 to %d", w.denied, most)
		}
	})
}
