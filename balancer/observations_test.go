package balancer

import (
	"testing"
	"time"

	"carobbend.example/carobbend"
)

func newSharing() *Balancer {
	return New(WithInFlightLatency(), WithAllCandidates(), WithoutSlowStart(), WithoutEjection(), WithLatencyDecay(time.Second))
}

// TestPeersReportTrouble guards against an instance that learns only from its own few requests which upstreams fail, shed or are
// slow, and that an upstream has recovered.
func TestPeersReportTrouble(t *testing.T) {
	for _, c := range []struct {
		name string
		o    Observation
	}{
		{"sheds", Observation{Upstream: "bad", Served: 2, Shed: 3, Latency: 1}},
		{"fails", Observation{Upstream: "bad", Served: 2, Failed: 3, Latency: 1}},
		{"slow", Observation{Upstream: "bad", Served: 4, Overdue: 1, Latency: 8}},
	} {
		b := newSharing()
		observeReplies(b, "bad", 2, 10*ms, after(3*time.Second))
		observeReplies(b, "good", 2, 12*ms, after(3*time.Second))
		for i := range 4 {
			b.RecordPeerObservations(after(3*time.Second+time.Duration(i)*200*ms), []Observation{c.o})
		}
		if got := countPicks(b, after(3700*ms), "bad", "good"); got["bad"] != 0 {
			t.Errorf("%s: got %d picks of 1000, want 0", c.name, got["bad"])
		}
		for i := range 5 {
			b.RecordPeerObservations(after(4500*ms+time.Duration(i)*200*ms), []Observation{{Upstream: "bad", Served: 20, Latency: 0.5}})
		}
		if got := countPicks(b, after(5500*ms), "bad", "good"); got["bad"] < 300 {
			t.Errorf("%s, after its recovery: got %d picks of 1000, want about half", c.name, got["bad"])
		}
	}
}

// TestShortPauseOfAPeer guards against an upstream that all instances leave at once because one of them reports a pause that is
// over when the others read of it: the other replicas then get all of its requests.
func TestShortPauseOfAPeer(t *testing.T) {
	b := newSharing()
	observeReplies(b, "paused", 2, 10*ms, after(3*time.Second))
	observeReplies(b, "other", 2, 10*ms, after(3*time.Second))
	b.RecordPeerObservations(after(3100*ms), []Observation{{Upstream: "paused", Overdue: 5, Latency: 10}})
	if got := countPicks(b, after(3150*ms), "paused", "other"); got["paused"] < 300 {
		t.Errorf("got %d picks of 1000, want about half", got["paused"])
	}
}

// TestFalseReportsOnlyDelay guards against reports of a faulty or outdated instance that make a shard count as lost, take an
// upstream out of use, or outweigh what this instance observes itself.
func TestFalseReportsOnlyDelay(t *testing.T) {
	false100 := func(id carobbend.UpstreamID) Observation {
		return Observation{Upstream: id, Failed: 100, Shed: 100, Overdue: 100, Latency: 100}
	}
	b := newSharing()
	for i := range 10 {
		observeReplies(b, "a", 2, 10*ms, after(time.Duration(i)*200*ms))
		observeReplies(b, "b", 2, 10*ms, after(time.Duration(i)*200*ms))
		b.RecordPeerObservations(after(time.Duration(i)*200*ms), []Observation{false100("a"), false100("b")})
	}
	now := after(1900 * ms)
	if got := b.ExpectedLatency(now, ids("a", "b"), 20*ms, 20*ms); got > 25*ms {
		t.Errorf("both are reported as failing: got an expected latency of %v, want that of the own observations", got)
	}
	if _, ok := b.Pick(now, ids("a", "b"), ids("a")); !ok {
		t.Error("both are reported as failing: got no upstream for a retry, want one")
	}
	b.RecordPeerObservations(now, []Observation{false100("a")})
	for i := range 25 {
		now = after(2*time.Second + time.Duration(i)*200*ms)
		observeReplies(b, "b", 1, 10*ms, now)
	}
	if got := countPicks(b, now, "a", "b"); got["a"] < 300 {
		t.Errorf("5 s after the last false report: got %d picks of 1000, want about half", got["a"])
	}
}

// TestReportedUpstreamHidesNoQueue guards against queries that are admitted because of a replica that others report as failing: it
// gets no requests, so its own observations look good, while those that it would have got queue at the last other one.
func TestReportedUpstreamHidesNoQueue(t *testing.T) {
	b := newSharing()
	observeReplies(b, "full", 10, 80*ms, after(time.Second))
	observeReplies(b, "failing", 10, 10*ms, after(time.Second))
	for range 3 {
		b.RecordPeerObservations(after(time.Second), []Observation{{Upstream: "failing", Served: 1, Failed: 9}})
	}
	if got := b.ExpectedLatency(after(time.Second), ids("full", "failing"), 20*ms, 20*ms); got < 60*ms {
		t.Errorf("got an expected latency of %v, want that of the full replica, 60 ms or more", got)
	}
}

// TestTakeObservations guards against reports that hold healthy upstreams, which are most, against observations that are reported
// twice, and against a recovery that is never reported.
func TestTakeObservations(t *testing.T) {
	b := newSharing()
	observeReplies(b, "healthy", 5, 10*ms, after(time.Second))
	observeReplies(b, "failing", 2, 10*ms, after(time.Second))
	b.End(after(time.Second), b.Begin(after(900*ms), "failing", 0), carobbend.FailureBroken, -1)
	b.Begin(after(800*ms), "silent", 0)
	b.End(after(time.Second), b.Begin(after(900*ms), "full", 0), carobbend.FailureShed, 5)
	got := map[carobbend.UpstreamID]Observation{}
	for _, o := range b.TakeObservations(after(time.Second), nil) {
		got[o.Upstream] = o
	}
	want := Observation{Upstream: "failing", Served: 2, Failed: 1, Latency: 0.5}
	if len(got) != 2 || got["failing"] != want || got["silent"].Overdue != 1 || got["silent"].Latency < 15 {
		t.Errorf("got %+v, want %+v and a silent request", got, want)
	}
	if again := b.TakeObservations(after(time.Second), nil); len(again) != 1 {
		t.Errorf("at once again: got %+v, want the silent request alone", again)
	}
	// An upstream that another instance reports is in question here, too.
	b.RecordPeerObservations(after(time.Second), []Observation{{Upstream: "healthy", Failed: 1}})
	observeReplies(b, "healthy", 1, 10*ms, after(1500*ms))
	observeReplies(b, "failing", 1, 10*ms, after(1500*ms))
	if served := b.TakeObservations(after(1500*ms), nil); len(served) != 3 {
		t.Errorf("0.5 s after trouble: got %+v, want the replies of both upstreams and the silent request", served)
	}
	observeReplies(b, "failing", 1, 10*ms, after(4*time.Second))
	if late := b.TakeObservations(after(4*time.Second), nil); len(late) != 1 {
		t.Errorf("3 s after trouble: got %+v, want the silent request alone", late)
	}
}
