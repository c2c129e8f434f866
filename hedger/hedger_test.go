package hedger

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func observe(h *Hedger, n int, base time.Duration) {
	for i := range n {
		h.Observe("i", base+time.Duration(i%100)*base/100)
	}
}

// Guards against a fixed delay: it follows the quantile of the index's latency, up and down.
func TestDelayFollowsQuantile(t *testing.T) {
	h := New()
	if got, want := h.Delay("i"), defaultDelay; got != want {
		t.Errorf("delay before observations: got %v, want %v", got, want)
	}
	for _, base := range []time.Duration{4 * time.Millisecond, 40 * time.Millisecond, 4 * time.Millisecond} {
		observe(h, (windows+1)*perWindow, base)
		want := base + base*95/100
		if got := h.Delay("i"); got < want*97/100 || got > want*103/100 {
			t.Errorf("delay at %v: got %v, want about %v", base, got, want)
		}
	}
	if got, want := h.Delay("other"), defaultDelay; got != want {
		t.Errorf("delay of another index: got %v, want %v", got, want)
	}
}

// Guards against doubling the load of an index that is uniformly slow: after it became 10 times slower, hedges stop within the
// burst of the budget and a few windows.
func TestHedgesStopForUniformlySlowIndex(t *testing.T) {
	b := NewBudget()
	h := New(WithBudget(b))
	observe(h, windows*perWindow, 4*time.Millisecond)
	b.Deposit("i", 100_000, 5)
	const n = 4000
	hedges, lateHedges := 0, 0
	for i := range n {
		b.Deposit("i", 1, 5)
		d := 40*time.Millisecond + time.Duration(i%100)*100*time.Microsecond
		if d > h.Delay("i") && b.TryWithdraw("i") {
			hedges++
			if i > n/2 {
				lateHedges++
			}
		}
		h.Observe("i", d)
	}
	if most := defaultBurst + n*5/100; hedges > most {
		t.Errorf("hedges: got %d of %d, want at most %d", hedges, n, most)
	}
	if most := n / 2 * 5 / 100; lateHedges > most {
		t.Errorf("hedges in the second half: got %d of %d, want at most %d", lateHedges, n/2, most)
	}
}

// Guards against using the last tokens on requests that are only a little slow.
func TestDelayRisesAsBudgetRunsLow(t *testing.T) {
	b := NewBudget()
	h := New(WithBudget(b))
	observe(h, windows*perWindow, 4*time.Millisecond)
	empty := h.Delay("i")
	b.Deposit("i", 100_000, 5)
	if full := h.Delay("i"); full >= empty {
		t.Errorf("delay: got %v with a full and %v with an empty budget, want less with a full one", full, empty)
	}
}

// Guards against extra load beyond the rule: for any order of events and changes of the rule, the hedges and retries stay
// within the percentage of the primaries, and those in a row within the burst.
func TestBudgetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		burst := rapid.IntRange(1, 50).Draw(t, "burst")
		b := NewBudget(WithBurst(burst))
		deposited, withdrawn, sinceDeposit := 0.0, 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "deposit") {
				n, percent := rapid.IntRange(0, 600).Draw(t, "n"), rapid.Float64Range(0, 100).Draw(t, "percent")
				b.Deposit("i", n, percent)
				deposited += float64(n) * percent / 100
				sinceDeposit = 0
				continue
			}
			if b.TryWithdraw("i") {
				withdrawn++
				sinceDeposit++
			}
			if float64(withdrawn) > deposited+1e-6 || sinceDeposit > burst {
				t.Fatalf("withdrawn: got %d, %d of them in a row, want at most %.3f and %d", withdrawn, sinceDeposit, deposited, burst)
			}
		}
	})
}

// Guards against a budget that denies deposited tokens, and one that stays full after its rule was removed.
func TestBudgetDepositsAndEmpties(t *testing.T) {
	b := NewBudget()
	b.Deposit("i", 40, 5)
	got := 0
	for b.TryWithdraw("i") {
		got++
	}
	if want := 2; got != want {
		t.Errorf("withdrawn of 40 primaries at 5%%: got %d, want %d", got, want)
	}
	b.Deposit("i", 1000, 5)
	b.Deposit("i", 1, 0)
	if b.TryWithdraw("i") {
		t.Error("withdrawal after a rule of 0%: got true, want false")
	}
}

// Guards against histograms for each index that was ever observed, and against a delay that is lost for those beyond the bound.
func TestHistogramsAreBounded(t *testing.T) {
	h := New()
	for i := range 2 * maxHistograms {
		for range minObservations {
			h.Observe(strconv.Itoa(i), 30*time.Millisecond)
		}
	}
	h.Observe("once", 30*time.Millisecond)
	if got := h.recent.Len(); got != maxHistograms {
		t.Errorf("histograms: got %d, want %d", got, maxHistograms)
	}
	if got, want := h.Delay("once"), defaultDelay; got != want {
		t.Errorf("delay of an index observed once: got %v, want %v", got, want)
	}
	for _, index := range []string{"0", strconv.Itoa(2*maxHistograms - 1)} {
		if got := h.Delay(index); got < 29*time.Millisecond || got > 31*time.Millisecond {
			t.Errorf("delay of %s: got %v, want 30ms", index, got)
		}
	}
	h.Retain(func(index string) bool { return index == "0" })
	if got := h.recent.Len() + h.first.Len(); got != 2 {
		t.Errorf("entries of one index: got %d, want 2", got)
	}
}
