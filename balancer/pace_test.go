package balancer

import (
	"testing"
	"time"

	"carobbend.example/carobbend"
)

// fleetOf returns the balancers of n instances that know two working replicas, a and b, and have chosen among a, b and paced six
// times a second each, until the given time.
func fleetOf(n int, until time.Time) []*Balancer {
	fleet := make([]*Balancer, n)
	for i := range fleet {
		fleet[i] = New(WithInFlightLatency(), WithAllCandidates(), WithoutSlowStart(), WithoutEjection(), WithLatencyDecay(time.Second),
			WithSeed(uint64(i)), WithPace(func() int { return n }))
		for k := range 30 {
			now := until.Add(-time.Duration(30-k) * 160 * ms)
			if id, _ := fleet[i].Pick(now, ids("a", "b"), nil); id != "" {
				fleet[i].End(now.Add(20*ms), fleet[i].Begin(now, id, 0), carobbend.FailureNone, 0)
			}
		}
		observeReplies(fleet[i], "a", 2, 20*ms, until)
		observeReplies(fleet[i], "b", 2, 20*ms, until)
	}
	return fleet
}

// first sends the first request of each instance at a time, and returns those that went to the upstream named paced.
func first(fleet []*Balancer, now time.Time) map[*Balancer]Request {
	sent := map[*Balancer]Request{}
	for _, b := range fleet {
		if id, _ := b.Pick(now, ids("a", "b", "paced"), nil); id == "paced" {
			sent[b] = b.Begin(now, id, 0)
		}
	}
	return sent
}

// finish ends requests with a result and tells all instances, as reports do.
func finish(fleet []*Balancer, now time.Time, sent map[*Balancer]Request, kind carobbend.FailureKind, load float64) {
	for b, r := range sent {
		b.End(now, r, kind, load)
		for _, o := range b.TakeObservations(now, nil) {
			for _, other := range fleet {
				if other != b {
					other.RecordPeerObservations(now, []Observation{o})
				}
			}
		}
	}
}

// rounds sends the first requests of ten rounds, each 100 ms after the last one, with the given end, and returns the mean number
// of requests of a round that went to the paced upstream.
func rounds(fleet []*Balancer, from time.Time, latency time.Duration, kind carobbend.FailureKind, load float64) float64 {
	sum := 0
	for i := range 10 {
		now := from.Add(time.Duration(i) * 100 * ms)
		sent := first(fleet, now)
		sum += len(sent)
		finish(fleet, now.Add(latency), sent, kind, load)
	}
	return float64(sum) / 10
}

// TestManyInstancesFindOneUpstream guards against an upstream of four slots that gets a request of each of many instances at once
// when it starts or recovers, since each of them sees it idle.
func TestManyInstancesFindOneUpstream(t *testing.T) {
	for _, n := range []int{23, 76} {
		for _, c := range []struct {
			name  string
			begin func(b *Balancer, now time.Time)
		}{
			{"new", func(b *Balancer, now time.Time) { b.Started(now, "paced") }},
			{"recovered", func(b *Balancer, now time.Time) {
				for range 5 {
					b.RecordPeerObservations(now.Add(-10*time.Second), []Observation{{Upstream: "paced", Failed: 1}})
				}
			}},
			{"silent before", func(b *Balancer, now time.Time) {
				b.RecordPeerObservations(now.Add(-10*time.Second), []Observation{{Upstream: "paced", Overdue: 5, Latency: 10}})
			}},
		} {
			fleet := fleetOf(n, epoch)
			for _, b := range fleet {
				c.begin(b, epoch)
			}
			if got := len(first(fleet, epoch)); got > 3*minWindow {
				t.Errorf("%d instances, %s: got %d requests at once, want at most %d (%d on average)", n, c.name, got, 3*minWindow, minWindow)
			}
		}
	}
}

// TestPaceGrowsWithGoodAnswers guards against an upstream that stays idle after it started, and against one that grows although it
// fails fast, is slow, or has no free slot.
func TestPaceGrowsWithGoodAnswers(t *testing.T) {
	for _, c := range []struct {
		name       string
		latency    time.Duration
		kind       carobbend.FailureKind
		load       float64
		wantAtMost float64
		wantFull   bool
	}{
		{"good", 20 * ms, carobbend.FailureNone, 0.25, 23, true},
		{"without a load", 20 * ms, carobbend.FailureNone, -1, 23, true},
		{"fails fast", ms, carobbend.FailureBroken, -1, 2 * minWindow, false},
		{"sheds", ms, carobbend.FailureShed, 0, 2 * minWindow, false},
		{"slow", 90 * ms, carobbend.FailureNone, 0.25, 2 * minWindow, false},
		{"no free slot", 20 * ms, carobbend.FailureNone, 1.5, 2 * minWindow, false},
	} {
		fleet := fleetOf(23, epoch)
		for _, b := range fleet {
			b.Started(epoch, "paced")
		}
		got := rounds(fleet, epoch, c.latency, c.kind, c.load)
		full := 0
		for _, b := range fleet {
			if b.nodes["paced"].pace.isFull() {
				full++
			}
		}
		if got > c.wantAtMost || (full == len(fleet)) != c.wantFull || !c.wantFull && full > 0 {
			t.Errorf("%s: got %.1f requests a round and the full part at %d of 23, want at most %.0f and the full part at all: %v",
				c.name, got, full, c.wantAtMost, c.wantFull)
		}
	}
}

// TestFlappingUpstream guards against an upstream that fails for a while again and again and gets its full part each time at its
// first good answer.
func TestFlappingUpstream(t *testing.T) {
	fleet := fleetOf(23, epoch)
	b := fleet[0]
	for i := range 4 {
		now := after(time.Duration(i) * time.Second)
		for range 5 {
			b.End(now, b.Begin(now.Add(-ms), "paced", 0), carobbend.FailureBroken, -1)
		}
		observeReplies(b, "paced", 1, 20*ms, now.Add(500*ms))
		if got := b.nodes["paced"].pace; got.lacking != fullPace-1 {
			t.Errorf("after failures and a good answer: got %d answers lacking, want %d", got.lacking, fullPace-1)
		}
	}
	observeReplies(b, "paced", fullPace-1, 20*ms, after(5*time.Second))
	if !b.nodes["paced"].pace.isFull() {
		t.Errorf("after %d good answers: got a part, want the full one", fullPace)
	}
}

// TestWholeServiceRestarted guards against a shard whose replicas all started at once and hold each other back, and against a paced
// replica that is left out while the others have queues.
func TestWholeServiceRestarted(t *testing.T) {
	fleet := fleetOf(23, epoch)
	for _, b := range fleet {
		for _, id := range ids("a", "b", "paced") {
			b.Remove(id)
			b.Started(epoch, id)
		}
	}
	if got := len(first(fleet, epoch)); got < 2 {
		t.Errorf("all started: got %d of 23 requests at one of three, want about a third", got)
	}
	fleet = fleetOf(23, epoch)
	for _, b := range fleet {
		b.Started(epoch, "paced")
		for _, id := range ids("a", "b") {
			b.End(epoch, b.Begin(epoch.Add(-90*ms), id, 0), carobbend.FailureNone, 4)
		}
	}
	if got := len(first(fleet, epoch.Add(ms))); got < 12 {
		t.Errorf("the others have queues: got %d of 23 requests at the paced one, want most", got)
	}
}
