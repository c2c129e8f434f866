package steerer

import (
	"fmt"
	"testing"
	"time"

	"carobbend.example/carobbend"
)

// mixedFleet returns instances of three capacities: two of 0.8 cores and two of 0.5 in each of three data centres, and one of 0.2.
func mixedFleet() []carobbend.Instance {
	var list []carobbend.Instance
	for _, dc := range []string{"a", "b", "c"} {
		for i := range 2 {
			list = append(list, instance(fmt.Sprint(dc, "l", i), dc, 0.8), instance(fmt.Sprint(dc, "m", i), dc, 0.5))
		}
	}
	return append(list, instance("s", "a", 0.2))
}

// TestFewestLargestServe guards against callers that are spread over more instances than their load needs: each of them then
// learns of slow and shedding upstreams from few requests.
func TestFewestLargestServe(t *testing.T) {
	all := mixedFleet()
	without := func(name string) []carobbend.Instance {
		var list []carobbend.Instance
		for _, x := range all {
			if x.Name != name {
				list = append(list, x)
			}
		}
		return list
	}
	busy := mixedFleet()
	for i := range busy {
		busy[i].Busy = busy[i].Capacity > 0.6
	}
	for _, c := range []struct {
		name string
		list []carobbend.Instance
		want int
	}{
		{"the largest suffice", all, 6},
		{"the largest are busy", busy, 13},
		{"one of the largest is lost, its data centre has others", without("al0"), 11},
		{"the small one is lost", without("s"), 6},
		{"too few of any", all[:3], 3},
	} {
		if got := len(largestSufficient(c.list)); got != c.want {
			t.Errorf("%s: got %d instances, want %d", c.name, got, c.want)
		}
	}
	var s Selector
	s.SetSelf(all[1], true)
	s.Update(listOf(all...))
	if !s.LeftOut() {
		t.Error("a smaller instance: got not left out, want left out")
	}
	s.SetSelf(all[0], true)
	if s.LeftOut() {
		t.Error("one of the largest: got left out, want not")
	}
}

// TestStartInReserve guards against a fleet of instances of which all serve after the first start, and against one that
// restarts in the reserve while callers wait.
func TestStartInReserve(t *testing.T) {
	for _, c := range []struct {
		capacity    float64
		first, want bool
	}{{0.8, true, false}, {0.5, true, true}, {0.5, false, false}, {0, true, false}, {0.2, true, false}} {
		if got := StartsInReserve(instance("x", "a", c.capacity), c.first); got != c.want {
			t.Errorf("%v cores, first start %v: got %v, want %v", c.capacity, c.first, got, c.want)
		}
	}
}

// TestRetirement guards against an instance that returns to the reserve while callers still have its address, while it still
// counts as ready, or while the store can't be read, so that it couldn't serve again.
func TestRetirement(t *testing.T) {
	type event struct {
		at             time.Duration
		leftOut, store bool
		unused         bool
		want           Stage
	}
	for name, events := range map[string][]event{
		"left out": {
			{0, true, true, false, Serving},
			{3 * addressValidity, true, true, false, Serving},
			{leftOutTime, true, true, false, Retiring},
			{leftOutTime + notReadyTime, true, true, false, Retired},
		},
		"left out and unused": {
			{0, true, true, true, Serving},
			{unusedLeftOutTime, true, true, true, Retiring},
			{unusedLeftOutTime + time.Second, true, true, false, Serving},
			{leftOutTime, true, true, false, Retiring},
		},
		"named again": {
			{0, true, true, false, Serving},
			{leftOutTime, true, true, false, Retiring},
			{leftOutTime + time.Second, false, true, false, Serving},
			{leftOutTime + 2*time.Second, true, true, false, Serving},
			{2 * leftOutTime, true, true, false, Serving},
		},
		"store lost": {
			{0, true, true, false, Serving},
			{leftOutTime, true, false, false, Serving},
			{leftOutTime + notReadyTime, true, false, false, Serving},
			{2*leftOutTime - time.Second, true, true, false, Serving},
		},
	} {
		var r Retirement
		begin := time.Unix(1000, 0)
		for i, e := range events {
			if got := r.Next(begin.Add(e.at), e.leftOut, e.store, !e.unused); got != e.want {
				t.Errorf("%s, event %d: got stage %d, want %d", name, i, got, e.want)
			}
		}
	}
}

// TestRetiredReturns guards against a retired instance that serves again at once because it is large, and against one that stays
// in the reserve after the others were lost.
func TestRetiredReturns(t *testing.T) {
	all := mixedFleet()
	var largest []carobbend.Instance
	for _, x := range all {
		if x.Capacity == 0.8 {
			largest = append(largest, x)
		}
	}
	if got := NeedOfRetired(listOf(largest...)); got != NeedNone {
		t.Errorf("the largest suffice: got need %d, want none", got)
	}
	if got := NeedOfRetired(listOf(largest[:3]...)); got != NeedNow {
		t.Errorf("three are left: got need %d, want now", got)
	}
	if got := ReactivationDelay(NeedNow, 0.999); got > reactivationSpread {
		t.Errorf("delay: got %v, want %v at most", got, reactivationSpread)
	}
}
