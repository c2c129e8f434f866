package steerer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"carobbend.example/carobbend"
)

func instance(name, dc string, capacity float64) carobbend.Instance {
	return carobbend.Instance{Name: name, DataCentre: carobbend.DataCentre(dc), CallerAddress: name + ":1", Capacity: capacity}
}

func listOf(xs ...carobbend.Instance) map[string]carobbend.Instance {
	m := map[string]carobbend.Instance{}
	for _, x := range xs {
		m[x.Name] = x
	}
	return m
}

// TestAddresses guards against answers that name leaving instances, omit this one while it serves, or name a single
// instance while others serve in other data centres.
func TestAddresses(t *testing.T) {
	a1, a2, b1 := instance("a1", "a", 1), instance("a2", "a", 1), instance("b1", "b", 1)
	leaving := instance("a3", "a", 1)
	leaving.Leaving = true
	for _, c := range []struct {
		name  string
		ready bool
		list  map[string]carobbend.Instance
		dc    carobbend.DataCentre
		want  []string
	}{
		{"two in the data centre", true, listOf(a1, a2, b1, leaving), "a", []string{"a1:1", "a2:1"}},
		{"one in the data centre", true, listOf(a1, a2, b1), "b", []string{"a1:1", "a2:1", "b1:1"}},
		{"own entry expired", true, listOf(b1), "c", []string{"a1:1", "b1:1"}},
		{"leaving itself", false, listOf(a1, a2, b1), "c", []string{"a2:1", "b1:1"}},
		{"none is known", false, nil, "a", nil},
	} {
		var s Selector
		s.SetSelf(a1, c.ready)
		s.Update(c.list)
		got, ok := s.Addresses(c.dc)
		if !slices.Equal(got.Addresses, c.want) || ok != (c.want != nil) {
			t.Errorf("%s: got %v, %v, want %v", c.name, got.Addresses, ok, c.want)
		}
	}
}

// TestAddressBound guards against answers that grow with the number of instances.
func TestAddressBound(t *testing.T) {
	var s Selector
	m := map[string]carobbend.Instance{}
	for i := range 200 {
		x := instance(fmt.Sprintf("x%03d", i), "b", 1)
		m[x.Name] = x
	}
	s.Update(m)
	if got, _ := s.Addresses("a"); len(got.Addresses) != maxAddresses {
		t.Errorf("got %d addresses, want %d", len(got.Addresses), maxAddresses)
	}
}

// TestAnswersDiffer guards against a fleet of which only the first 64 instances by name get callers, and against small instances
// that get as many callers as large ones. An instance of unknown capacity counts with the smallest known one.
func TestAnswersDiffer(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	s := Selector{random: rng.Float64}
	m := map[string]carobbend.Instance{}
	for i := range 400 {
		x := instance(fmt.Sprintf("x%03d", i), "b", []float64{1.6, 0.4, 0, 1.6, 1.6}[i%5])
		// Most of the largest are busy, so that they don't suffice.
		x.Busy = i%5 >= 3
		m[x.Name] = x
	}
	s.Update(m)
	const answers = 400
	listed := map[string]int{}
	for range answers {
		a, _ := s.Addresses("a")
		if got := len(slices.Compact(slices.Sorted(slices.Values(a.Addresses)))); got != maxAddresses {
			t.Fatalf("got %d distinct addresses, want %d", got, maxAddresses)
		}
		for _, x := range a.Addresses {
			listed[x]++
		}
	}
	var kinds [5]float64
	for i := range 400 {
		n := listed[fmt.Sprintf("x%03d:1", i)]
		if n == 0 {
			t.Errorf("instance %d: got no caller in %d answers, want some", i, answers)
		}
		kinds[i%5] += float64(n)
	}
	for i, name := range []string{1: "small", 2: "unknown capacity", 3: "large and busy"} {
		if i == 0 {
			continue
		}
		if got := kinds[0] / kinds[i]; got < 3 || got > 4.2 {
			t.Errorf("large instance compared with one that is %s: got %.1f times as many callers, want 3 to 4.2", name, got)
		}
	}
}

// TestUnknownCapacity guards against a fleet that always counts as short of capacity because its instances state none, so that
// the whole reserve serves.
func TestUnknownCapacity(t *testing.T) {
	const count = 6
	list := make([]carobbend.Instance, 0, count)
	for i := range count {
		list = append(list, instance(fmt.Sprint("u", i), "a", 0))
	}
	small := instance("small", "a", 0.2)
	for _, c := range []struct {
		name string
		list []carobbend.Instance
		want Need
	}{
		{"none is known", list, NeedNone},
		{"as small as the smallest known one", append(slices.Clone(list), instance("s", "a", 0.2)), NeedNow},
		{"as large as the only known one", append(slices.Clone(list[:3]), instance("l", "a", 0.8)), NeedNone},
	} {
		if got := NeedOf(small, listOf(c.list...)); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// TestReserve guards against many small instances that all serve: each follows the full state of the store and learns
// little about upstreams.
func TestReserve(t *testing.T) {
	small := instance("small", "a", 0.2)
	const count = 6
	large, mixed := make([]carobbend.Instance, 0, count), make([]carobbend.Instance, 0, count)
	for i := range count {
		large = append(large, instance(fmt.Sprint("l", i), "a", 0.8))
		mixed = append(mixed, instance(fmt.Sprint("m", i), "a", 0.2))
	}
	busy := slices.Clone(large)
	for i := range 4 {
		busy[i].Busy = true
	}
	for _, c := range []struct {
		name string
		self carobbend.Instance
		list map[string]carobbend.Instance
		want Need
	}{
		{"a large one always serves", large[0], listOf(large[1:]...), NeedNow},
		{"large ones suffice", small, listOf(large...), NeedNone},
		{"too few instances", small, listOf(large[:3]...), NeedNow},
		{"too little capacity", small, listOf(mixed...), NeedNow},
		{"nobody serves", small, nil, NeedNow},
		{"most are busy", small, listOf(busy...), NeedGradual},
		{"enrolled already", small, listOf(append(slices.Clone(large), small)...), NeedNow},
		{"capacity unknown", instance("u", "a", 0), listOf(large...), NeedNow},
	} {
		if got := NeedOf(c.self, c.list); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
	if got := Delay(large[0], NeedNow, 0.5); got != 0 {
		t.Errorf("delay of a large instance: got %v, want 0", got)
	}
	if got := Delay(small, NeedNow, 0.5); got < time.Second || got > 4*time.Second {
		t.Errorf("delay of a small instance: got %v, want 1 s to 4 s, so that large ones enrol first", got)
	}
}

// TestCallersLeaveSmallInstances guards against callers that stay on small, slow instances after the large ones are
// back.
func TestCallersLeaveSmallInstances(t *testing.T) {
	const pairs = 6
	list := make([]carobbend.Instance, 0, 2*pairs)
	for i := range pairs {
		list = append(list, instance(fmt.Sprint("l", i), "a", 0.8), instance(fmt.Sprint("s", i), "a", 0.2))
	}
	busy := slices.Clone(list)
	for i := range busy {
		busy[i].Busy = busy[i].Capacity > 0.5
	}
	for _, c := range []struct {
		name string
		self carobbend.Instance
		list []carobbend.Instance
		want int
	}{
		{"large ones suffice", list[0], list, 6},
		{"the same, asked of a small one", list[1], list, 6},
		{"too few large ones", list[0], list[:5], 5},
		{"large ones are busy", list[0], busy, 12},
	} {
		var s Selector
		s.SetSelf(c.self, true)
		s.Update(listOf(c.list...))
		if got, _ := s.Addresses("a"); len(got.Addresses) != c.want {
			t.Errorf("%s: got %v, want %d addresses", c.name, got.Addresses, c.want)
		}
	}
}

// TestAnswersOutlastSparseRequests guards against callers that ask for addresses before nearly every request, because
// an answer expires before the next request is sent. The extra round trips take longer than a short latency target
// leaves.
func TestAnswersOutlastSparseRequests(t *testing.T) {
	var s Selector
	s.SetSelf(instance("a1", "a", 1), true)
	const requests = 60
	asked := 0
	for i, until := 0, time.Duration(0); i < requests; i++ {
		if now := time.Duration(i) * time.Second; now >= until {
			a, _ := s.Addresses("a")
			asked++
			until = now + a.ValidFor
		}
	}
	if asked > requests/3 {
		t.Errorf("at one request a second: got a question before %d of %d requests, want at most a third", asked, requests)
	}
}
