package planner

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"carobbend.example/carobbend"
)

const index = "i"

// fault is what is wrong with one upstream or snapshot from a point in time on.
type fault struct {
	kind     string
	upstream carobbend.UpstreamID
	snapshot carobbend.SnapshotID
	from     time.Duration
}

var faultKinds = []string{"slow", "silent", "broken", "shed", "leaving", "not-sent", "deadline", "crossed", "other-snapshot", "duplicated", "drop-snapshot", "lagging-catalog"}

// world holds the upstreams, the catalog and the policies of one randomised query. It is a model of what a planner
// may see, and it records what the planner did, but it has none of the planner's rules.
type world struct {
	t       *rapid.T
	layouts []carobbend.Layout
	faults  []fault
	noRoom  int
	// heedless lets the balancer choose among all candidates, those to avoid included.
	heedless bool
	percent  float64
	tokens   float64
	wanted   float64
	hedge    time.Duration
	start    time.Time
	now      time.Duration

	queue    []delivery
	sent     []sentRequest
	finished int
	spent    int
	earned   int
	observed int
	leaving  int
	denied   int
}

type delivery struct {
	at    time.Duration
	event Event
}

// sentRequest is an attempt as the world saw it.
type sentRequest struct {
	Send
	at       time.Duration
	canceled bool
	// good says that a correct reply was delivered before the attempt ended or was cancelled; ended that any was.
	good, ended bool
	endedAt     time.Duration
	kind        carobbend.FailureKind
}

func (w *world) Layouts(string) []carobbend.Layout {
	var out []carobbend.Layout
	for _, l := range w.layouts {
		if !w.hasFault("drop-snapshot", "", l.Snapshot) || w.hasFault("lagging-catalog", "", 0) {
			out = append(out, l)
		}
	}
	return out
}

func (w *world) hasFault(kind string, id carobbend.UpstreamID, s carobbend.SnapshotID) bool {
	return slices.ContainsFunc(w.faults, func(f fault) bool {
		return f.kind == kind && w.now >= f.from && (id == "" || f.upstream == id) && (s == 0 || f.snapshot == s)
	})
}

func (w *world) Pick(_ time.Time, candidates, avoid []carobbend.UpstreamID) (carobbend.UpstreamID, bool) {
	if len(candidates) == 0 {
		w.t.Fatalf("pick without candidates")
	}
	if w.noRoom > 0 && rapid.IntRange(0, 99).Draw(w.t, "room") < w.noRoom {
		return "", false
	}
	if w.heedless {
		avoid = nil
	}
	fresh := slices.DeleteFunc(slices.Clone(candidates), func(id carobbend.UpstreamID) bool { return slices.Contains(avoid, id) })
	if len(fresh) == 0 {
		fresh = candidates
	}
	return rapid.SampledFrom(fresh).Draw(w.t, "replica"), true
}

func (w *world) Sent(time.Time, carobbend.UpstreamID) {}

func (w *world) Finished(_ time.Time, _ carobbend.UpstreamID, d time.Duration, _ carobbend.FailureKind, _ float64) {
	if w.finished++; d < 0 {
		w.t.Fatalf("latency: got %v, want 0 or more", d)
	}
}

func (w *world) Leaving(time.Time, carobbend.UpstreamID, bool) { w.leaving++ }
func (w *world) Delay(string) time.Duration                    { return w.hedge }

// Observe checks that the latency counts from a request that was no hedge.
func (w *world) Observe(_ string, d time.Duration) {
	w.observed++
	if !slices.ContainsFunc(w.sent, func(s sentRequest) bool { return s.Cause != CauseHedge && w.now-s.at == d }) {
		w.t.Fatalf("observed %v, which is the age of no first request", d)
	}
}

func (w *world) Earn(_ string, n int, percent float64) {
	w.earned += n
	w.tokens += float64(n) * percent / 100
}

func (w *world) Spend(string) bool {
	if w.tokens < 1 {
		w.denied++
		return false
	}
	w.tokens--
	w.spent++
	return true
}

func (w *world) Version() uint64                      { return 1 }
func (w *world) Class(string, string) carobbend.Class { return carobbend.ClassOrdinary }
func (w *world) Deadline(string) time.Duration        { return carobbend.DefaultDeadline }
func (w *world) ExtraLoad(string) float64             { return w.percent }
func (w *world) Coverage(string) float64              { return w.wanted }
func (w *world) Share(string) int                     { return 1 }
func (w *world) AtMostOnce(string) bool               { return false }

// item states where it comes from, so that an answer shows which replies it was merged from.
func item(s carobbend.SnapshotID, shard int, origin string) carobbend.Item {
	return carobbend.Item{Key: fmt.Sprint(shard), Data: json.RawMessage(fmt.Sprintf("%d/%d/%s", s, shard, origin))}
}

// send decides what the upstream will do with a request.
func (w *world) send(s Send) {
	n, ref, id := s.Attempt, s.Request.Ref, s.Upstream
	w.sent = append(w.sent, sentRequest{Send: s, at: w.now})
	d := time.Duration(rapid.IntRange(500, 12_000).Draw(w.t, "latency-us")) * time.Microsecond
	if w.hasFault("slow", id, 0) {
		d *= 10
	}
	reply := Event{Kind: EventReply, Attempt: n, Reply: carobbend.ShardReply{
		ID: s.Request.ID, Ref: ref, Items: []carobbend.Item{item(ref.Snapshot, ref.Shard, "own")}, Load: -1,
	}}
	for _, kind := range []string{"broken", "shed", "leaving", "not-sent", "deadline"} {
		if w.hasFault(kind, id, 0) {
			reply = Event{Kind: EventFailure, Attempt: n, Failure: carobbend.FailureKind(kind)}
		}
	}
	switch {
	case w.hasFault("drop-snapshot", "", ref.Snapshot):
		reply = Event{Kind: EventFailure, Attempt: n, Failure: carobbend.FailureSnapshotGone}
	case w.hasFault("silent", id, 0):
		d = time.Hour
	case w.hasFault("crossed", id, 0) && n > 0:
		other := w.sent[rapid.IntRange(0, n-1).Draw(w.t, "other")].Request
		reply.Reply.ID, reply.Reply.Ref = other.ID, other.Ref
		reply.Reply.Items = []carobbend.Item{item(other.Ref.Snapshot, other.Ref.Shard, "crossed")}
	case w.hasFault("other-snapshot", id, 0):
		reply.Reply.Ref.Snapshot++
		reply.Reply.Items = []carobbend.Item{item(ref.Snapshot+1, ref.Shard, "other-snapshot")}
	}
	w.queue = append(w.queue, delivery{w.now + d, reply})
	if w.hasFault("duplicated", id, 0) {
		again := reply
		again.Reply.Items = []carobbend.Item{item(ref.Snapshot, ref.Shard, "again")}
		w.queue = append(w.queue, delivery{w.now + d + time.Millisecond, again})
	}
}

// cancel ends an attempt soon, unless its reply is already on the way.
func (w *world) cancel(n int) {
	w.sent[n].canceled = true
	at := w.now + time.Duration(rapid.IntRange(0, 3000).Draw(w.t, "cancel-us"))*time.Microsecond
	if i := slices.IndexFunc(w.queue, func(d delivery) bool { return d.event.Attempt == n }); i >= 0 && w.queue[i].at > at {
		w.queue[i] = delivery{at, Event{Kind: EventFailure, Attempt: n, Failure: carobbend.FailureCanceled}}
	}
}

// deliver takes the next event of an upstream and notes what it means for its attempt.
func (w *world) deliver() Event {
	i := 0
	for k := range w.queue {
		if w.queue[k].at < w.queue[i].at {
			i = k
		}
	}
	d := w.queue[i]
	w.queue = slices.Delete(w.queue, i, i+1)
	w.now = max(w.now, d.at)
	s := &w.sent[d.event.Attempt]
	if d.event.Kind == EventReply && w.hasFault("drop-snapshot", "", s.Request.Ref.Snapshot) {
		d.event = Event{Kind: EventFailure, Attempt: d.event.Attempt, Failure: carobbend.FailureSnapshotGone}
	}
	if !s.ended {
		s.ended, s.endedAt, s.kind = true, w.now, d.event.Failure
		s.good = d.event.Kind == EventReply && !s.canceled && d.event.Reply.ID == s.Request.ID && d.event.Reply.Ref == s.Request.Ref
	}
	return d.event
}

// nextDelivery returns when the next event of an upstream is due.
func (w *world) nextDelivery() time.Duration {
	at := never
	for _, d := range w.queue {
		at = min(at, d.at)
	}
	return at
}

// drawWorld draws a world with up to two faults; the first is of the given kind.
func drawWorld(t *rapid.T, first string) *world {
	ids := make([]carobbend.UpstreamID, rapid.SampledFrom([]int{1, 3, 4, 6}).Draw(t, "upstreams"))
	for i := range ids {
		ids[i] = carobbend.UpstreamID(fmt.Sprint("u", i))
	}
	w := &world{t: t, start: time.Unix(1_800_000_000, 0)}
	snapshots := rapid.SampledFrom([]int{2, 3, 1, 2, 0}).Draw(t, "snapshots")
	for s := snapshots; s > 0; s-- {
		l := carobbend.Layout{Index: index, Snapshot: carobbend.SnapshotID(s)}
		for range rapid.SampledFrom([]int{1, 2, 3, 4, 6}).Draw(t, "shards") {
			order := rapid.Permutation(ids).Draw(t, "replicas")
			least := 1
			if rapid.IntRange(0, 9).Draw(t, "may-lack") == 0 {
				least = 0
			}
			l.Replicas = append(l.Replicas, order[:rapid.IntRange(least, min(3, len(ids))).Draw(t, "count")])
		}
		w.layouts = append(w.layouts, l)
	}
	kinds := []string{first}
	if second := rapid.SampledFrom(append([]string{"none"}, faultKinds...)).Draw(t, "fault"); second != "none" {
		kinds = append(kinds, second)
	}
	for _, kind := range kinds {
		if kind == "none" {
			continue
		}
		f := fault{
			kind: kind, upstream: rapid.SampledFrom(ids).Draw(t, "at"),
			snapshot: carobbend.SnapshotID(max(1, snapshots-rapid.SampledFrom([]int{0, 0, 1}).Draw(t, "of"))),
			from:     time.Duration(rapid.SampledFrom([]int{0, 0, 2, 8, 25}).Draw(t, "from-ms")) * time.Millisecond,
		}
		w.faults = append(w.faults, f)
	}
	w.noRoom = rapid.SampledFrom([]int{0, 0, 0, 0, 30, 100}).Draw(t, "no-room")
	w.heedless = rapid.Bool().Draw(t, "heedless")
	w.percent = rapid.SampledFrom([]float64{100, 5, 100, 0}).Draw(t, "percent")
	w.tokens = float64(rapid.SampledFrom([]int{3, 20, 1, 0}).Draw(t, "tokens"))
	w.wanted = rapid.SampledFrom([]float64{100, 50}).Draw(t, "wanted")
	w.hedge = time.Duration(rapid.SampledFrom([]int{3, 8, 20, 0}).Draw(t, "hedge-ms")) * time.Millisecond
	return w
}
