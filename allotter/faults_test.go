package allotter

import (
	"testing"
	"time"

	"carobbend.example/carobbend"
)

// load sends Poisson arrivals of an account through the first instances of a fleet that are running.
type load struct {
	f       *fleet
	account carobbend.Account
	runs    []time.Duration
	offered int
	refused int
}

func (l *load) arrive(now time.Duration, rate float64, using ...string) {
	for range l.f.poisson(rate * 0.01) {
		l.offered++
		if l.f.take(using[l.f.rng.IntN(len(using))], &l.account) {
			l.runs = append(l.runs, now)
		} else {
			l.refused++
		}
	}
}

// phase runs the fleet with a load and returns the share of the requests that were served, and how many a second.
func (l *load) phase(d time.Duration, confirmed bool, rate float64, using ...string) (share, perSecond float64) {
	offered, served := l.offered, len(l.runs)
	l.f.run(l.f.now+d, confirmed, func(now time.Duration) { l.arrive(now, rate, using...) })
	served, offered = len(l.runs)-served, l.offered-offered
	return float64(served) / float64(max(offered, 1)), float64(served) / d.Seconds()
}

func (l *load) check(t *testing.T) {
	t.Helper()
	if got, most := greatestWindow(l.runs, testWindow), bound(l.account); float64(got) > most {
		t.Errorf("got %d requests in a window, want at most %v", got, most)
	}
}

func newLoad(seed uint64, rate float64) *load {
	a := carobbend.Account{Name: "a", Rate: rate, Burst: rate}
	return &load{f: newFleet(seed, a), account: a}
}

// TestSurge guards against an account that gets much less than its allotment while it sends 7.5 times its usual rate for 6.5 s
// through two of eight instances, against one that gets more, and against refusals after the surge.
func TestSurge(t *testing.T) {
	for _, rate := range []float64{46, 10, 2.4} {
		l := newLoad(3, rate)
		using := []string{"i0", "i1"}
		l.phase(20*time.Second, true, 0.6*rate, using...)
		_, got := l.phase(6500*time.Millisecond, true, 7.5*0.6*rate, using...)
		if got < 0.95*rate {
			t.Errorf("limit of %v a second: got %.1f served a second in the surge, want at least 0.95 of the limit", rate, got)
		}
		t.Logf("limit of %v a second: %.1f served a second in the surge", rate, got)
		l.phase(2*time.Second, true, 0.6*rate, using...)
		if got, _ := l.phase(30*time.Second, true, 0.6*rate, using...); got < 0.98 {
			t.Errorf("limit of %v a second: got %.3f served after the surge, want at least 0.98", rate, got)
		}
		l.check(t)
	}
}

// TestStoreOutage guards against refusals within the allotment while the store doesn't answer for 14 s.
func TestStoreOutage(t *testing.T) {
	l := newLoad(4, 46)
	l.phase(20*time.Second, true, 27, "i0", "i1")
	if got, _ := l.phase(14*time.Second, false, 27, "i0", "i1"); got < 0.99 {
		t.Errorf("got %.3f served, want at least 0.99", got)
	}
	l.phase(20*time.Second, false, 27, "i0", "i1")
	if got, _ := l.phase(5*time.Second, false, 27, "i0", "i1"); got > 0.01 {
		t.Errorf("long after the last confirmation: got %.3f served, want none", got)
	}
	l.phase(3*time.Second, true, 27, "i0", "i1")
	if got, _ := l.phase(10*time.Second, true, 27, "i0", "i1"); got < 0.99 {
		t.Errorf("after the store is back: got %.3f served, want at least 0.99", got)
	}
	l.check(t)
}

// TestLostInstances guards against an allotment that is lost with some of its owners, and against one that doesn't come back
// after all instances were lost at once.
func TestLostInstances(t *testing.T) {
	l := newLoad(5, 46)
	l.phase(20*time.Second, true, 27, "i0", "i1")
	l.f.cut["i5"], l.f.cut["i6"] = true, true
	if got, _ := l.phase(20*time.Second, true, 27, "i0", "i1"); got < 0.98 {
		t.Errorf("two of eight lost: got %.3f served, want at least 0.98", got)
	}
	l.f.cut["i0"] = true
	// What other instances granted ends meanwhile.
	l.phase(grantValidity, true, 27, "i0")
	rate, _ := testConfig("", 0).bucket(&l.account)
	want := (rate + overdraftFraction*testSlack/testWindow.Seconds()) / maxOwnersOfAccount
	if _, own := l.phase(10*time.Second, true, 27, "i0"); own < want-1 || own > want+1 {
		t.Errorf("cut off: got %.1f served a second, want about its own part, %.1f", own, want)
	}
	clear(l.f.cut)
	for i, name := range l.f.names {
		a := New(testConfig(name, 2), l.f.now)
		a.SetAccounts(l.f.now, []carobbend.Account{l.account})
		l.f.instances[l.f.names[i]] = a
	}
	got, _ := l.phase(4*time.Second, true, 27, "i0", "i1")
	t.Logf("all lost: %.3f served in the first 4 s", got)
	if got, _ := l.phase(20*time.Second, true, 27, "i0", "i1"); got < 0.99 {
		t.Errorf("4 s after all were lost: got %.3f served, want at least 0.99", got)
	}
	l.check(t)
}

// TestReturn guards against requests that cost a token although they were refused later, and against tokens beyond the burst.
func TestReturn(t *testing.T) {
	l := newLoad(6, 46)
	l.f.run(10*time.Second, true, func(time.Duration) {})
	a := l.f.instances["i0"]
	for range 1000 {
		if _, ok := a.Take(l.f.now, &l.account); !ok {
			t.Fatal("got a refusal although each token was returned")
		}
		a.Return(l.f.now, &l.account)
	}
	for range 1000 {
		a.Return(l.f.now, &l.account)
	}
	served := 0
	for range 1000 {
		if _, ok := a.Take(l.f.now, &l.account); ok {
			served++
		}
	}
	if most := int(bound(l.account)); served > most/4 {
		t.Errorf("after many returns: got %d served at once, want the part of one instance", served)
	}
}

// TestRetryAfter guards against refusals whose time to come back is no time or minutes.
func TestRetryAfter(t *testing.T) {
	l := newLoad(7, 10)
	a := l.f.instances["i0"]
	check := func(when string) {
		for range 200 {
			if after, ok := a.Take(l.f.now, &l.account); !ok && (after < minRetryAfter || after > maxRetryAfter) {
				t.Fatalf("%s: got %v, want %v to %v", when, after, minRetryAfter, maxRetryAfter)
			}
		}
	}
	check("without owners")
	l.f.run(10*time.Second, true, func(time.Duration) {})
	check("with a part")
}

// TestCallersMove guards against parts and tokens that stay where callers were, and against refusals of an account that uses four of
// eight instances, for which each holds a quarter of the burst.
func TestCallersMove(t *testing.T) {
	for _, c := range []struct {
		rate       float64
		soon, then float64
	}{{46, 0.8, 0.995}, {10, 0.7, 0.98}, {2.4, 0.6, 0.95}} {
		soon, then := 0.0, 0.0
		const seeds = 6
		for seed := range uint64(seeds) {
			l := newLoad(seed, c.rate)
			l.phase(40*time.Second, true, 0.6*c.rate, "i0", "i1")
			first, _ := l.phase(3*time.Second, true, 0.6*c.rate, "i4", "i5")
			l.phase(7*time.Second, true, 0.6*c.rate, "i2", "i3", "i4", "i5")
			rest, _ := l.phase(60*time.Second, true, 0.6*c.rate, "i2", "i3", "i4", "i5")
			soon, then = soon+first/seeds, then+rest/seeds
			l.check(t)
		}
		if soon < c.soon || then < c.then {
			t.Errorf("limit of %v a second: got %.3f served in the first 3 s and %.3f later, want at least %v and %v", c.rate, soon, then, c.soon, c.then)
		}
		t.Logf("limit of %v a second: %.3f served in the first 3 s after callers moved, %.3f later", c.rate, soon, then)
	}
}

// TestResignedOwnerLendsNothing guards against tokens that an instance in reserve lends by limits which may have changed since it stopped
// following the routing; also if a call to the store from before that is answered late.
func TestResignedOwnerLendsNothing(t *testing.T) {
	l := newLoad(8, 46)
	l.f.run(10*time.Second, true, func(time.Duration) {})
	a := l.f.instances["i0"]
	var hash uint32
	for _, x := range a.accounts {
		hash = x.hash
	}
	if _, ok := a.Lend(l.f.now, hash); !ok {
		t.Fatal("an owner with tokens lent none")
	}
	a.Resign(l.f.now)
	lends := func(when string, want bool) {
		t.Helper()
		if _, ok := a.Lend(l.f.now, hash); ok != want {
			t.Errorf("%s: got lent %v, want %v", when, ok, want)
		}
	}
	lends("resigned", false)
	late := l.f.now
	a.Confirm(l.f.now+time.Second, late)
	l.f.now += 2 * time.Second
	lends("after a late answer of the store", false)
	a.Resume(l.f.now)
	a.Confirm(l.f.now, late)
	l.f.now += 2 * time.Second
	lends("resumed, after an answer from before", false)
	a.Confirm(l.f.now, l.f.now)
	l.f.now += 2 * time.Second
	lends("resumed and confirmed", true)
}
