package hedger

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Unix(1000, 0)

// Guards against refused hedges while the bound on extra requests isn't reached: a token bucket that holds the slack allows it
// once and then the ratio alone, also when replicas of a shard are down or slow for ten seconds.
func TestSlackReturnsInEachWindow(t *testing.T) {
	b := NewWindowBudget(10 * time.Second)
	b.Set(epoch, 0.2, 50)
	for window := 1; window <= 3; window++ {
		withdrawals := 0
		for ms := range 10_000 {
			now := epoch.Add(time.Duration(window)*11*time.Second + time.Duration(ms)*time.Millisecond)
			if ms%10 == 0 {
				b.Requested(now, "s")
			}
			if b.TryWithdraw(now, "s") {
				withdrawals++
			}
		}
		if want := 200; withdrawals < want || withdrawals > 250 {
			t.Errorf("window %d of 1000 requests: got %d extra ones, want %d to 250", window, withdrawals, want)
		}
	}
}

// Guards against a slack that is used twice in one window: by a restarted instance after its previous process, or by the
// remaining instances after one has left.
func TestLargerSlackIsDelayed(t *testing.T) {
	b := NewWindowBudget(10 * time.Second)
	b.Set(epoch, 0, 50)
	withdraw := func(s float64) (n int) {
		for b.TryWithdraw(epoch.Add(time.Duration(s*float64(time.Second))), "s") {
			n++
		}
		return n
	}
	// An update that changes nothing must not extend the delay.
	b.Set(epoch.Add(2*time.Second), 0, 50)
	for _, c := range []struct {
		at   float64
		want int
	}{{0, 0}, {5, 0}, {10, 0}, {11.9, 0}, {12, 50}, {13, 0}} {
		if got := withdraw(c.at); got != c.want {
			t.Errorf("after %v s: got %d, want %d", c.at, got, c.want)
		}
	}
	// One of two instances has left the list; it may be partitioned from it and keep sending for a while.
	b.Set(epoch.Add(30*time.Second), 0, 100)
	for _, c := range []struct {
		at   float64
		want int
	}{{30, 50}, {45, 50}, {53.9, 0}, {54, 50}} {
		if got := withdraw(c.at); got != c.want {
			t.Errorf("after the loss of an instance at 30 s, at %v s: got %d, want %d", c.at, got, c.want)
		}
	}
	b.Set(epoch.Add(60*time.Second), 0, 20)
	if got := withdraw(70); got != 20 {
		t.Errorf("a window after a smaller slack: got %d, want 20", got)
	}
}

// Guards against one service using the extra requests of another.
func TestWindowBudgetIsPerService(t *testing.T) {
	b := NewWindowBudget(0)
	b.Set(epoch, 1, 0)
	b.Requested(epoch, "asked", "other")
	if !b.TryWithdraw(epoch, "asked") || b.TryWithdraw(epoch, "asked") ||
		!b.TryWithdraw(epoch, "other") || b.TryWithdraw(epoch, "unknown") {
		t.Error("got another number than one extra request for each request")
	}
	if short := NewWindowBudget(time.Nanosecond); short.TryWithdraw(epoch, "s") {
		t.Error("window that can't be divided: got an extra request, want none")
	}
	if (&WindowBudget{}).TryWithdraw(epoch, "s") {
		t.Error("zero value: got an extra request, want none")
	}
}

// Guards against more extra requests than the bound in any window, whenever it begins.
func TestWindowBudgetHoldsInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		window := 10 * time.Second
		b := NewWindowBudget(window)
		ratio, slack := rapid.Float64Range(0, 1).Draw(t, "ratio"), rapid.Float64Range(0, 30).Draw(t, "slack")
		b.Set(epoch, ratio, slack)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		var requests, extra []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			if rng.IntN(50) == 0 {
				now += time.Duration(rng.Int64N(int64(2 * window)))
			}
			now += time.Duration(rng.Int64N(int64(200 * time.Millisecond)))
			if rng.IntN(2) == 0 {
				b.Requested(epoch.Add(now), "s")
				requests = append(requests, now)
			} else if b.TryWithdraw(epoch.Add(now), "s") {
				extra = append(extra, now)
			}
		}
		in := func(times []time.Duration, end time.Duration) (n int) {
			for _, at := range times {
				if at > end-window && at <= end {
					n++
				}
			}
			return n
		}
		for _, end := range extra {
			if got, most := in(extra, end), ratio*float64(in(requests, end))+slack; float64(got) > most {
				t.Fatalf("in the window to %v: got %d extra requests, want at most %v", end, got, most)
			}
		}
	})
}

// Guards against a second slack within one window for a service that left the routing and returned, and against counts that are kept
// for services which are gone.
func TestRetainKeepsTheWindow(t *testing.T) {
	const window = 10 * time.Second
	b := NewWindowBudget(window)
	b.Set(epoch, 0, 5)
	at := func(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }
	none := func(string) bool { return false }
	withdraw := func(s float64) (n int) {
		for b.TryWithdraw(at(s), "s") {
			n++
		}
		return n
	}
	if got := withdraw(20); got != 5 {
		t.Fatalf("first: got %d, want 5", got)
	}
	b.Retain(at(29), none)
	if got := withdraw(29); got != 0 {
		t.Errorf("in the same window: got %d, want 0", got)
	}
	b.Retain(at(60), none)
	if got := b.services.Len(); got != 0 {
		t.Errorf("services long after: got %d, want 0", got)
	}
	if got := withdraw(60); got != 5 {
		t.Errorf("in a later window: got %d, want 5", got)
	}
}
