package registrar

import (
	"maps"
	"slices"
	"testing"
	"time"
)

const grace = 2 * time.Second

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func keys(r *Registry[int]) []string { return slices.Sorted(maps.Keys(r.All())) }

func want(t *testing.T, r *Registry[int], when string, names ...string) {
	t.Helper()
	if got := keys(r); !slices.Equal(got, names) {
		t.Errorf("%s: got %v, want %v", when, got, names)
	}
}

func TestRemovalIsImmediateWhileTheStoreIsThere(t *testing.T) {
	r := New[int](grace)
	r.Put("a", 1)
	r.Put("b", 2)
	r.Remove(at(10), "a")
	want(t, r, "after removal", "b")
}

// TestLapsedEntriesComeBack guards against dropping live upstreams whose entries lapsed during an outage.
func TestLapsedEntriesComeBack(t *testing.T) {
	r := New[int](grace)
	r.Put("a", 1)
	r.Put("b", 2)
	r.Lost(at(0))
	r.Regained(at(5000))
	r.Replace(at(5010), map[string]int{})
	want(t, r, "right after the return", "a", "b")
	r.Put("a", 1)
	r.Expire(at(6900))
	want(t, r, "within the grace period", "a", "b")
	if got := r.Expire(at(7000)); !slices.Equal(got, []string{"b"}) {
		t.Errorf("expired: got %v, want [b]", got)
	}
	want(t, r, "after the grace period", "a")
	r.Remove(at(7001), "a")
	want(t, r, "a later removal", []string{}...)
}

// TestSecondOutage guards against a grace period that runs out while the store is away again.
func TestSecondOutage(t *testing.T) {
	r := New[int](grace)
	r.Put("a", 1)
	r.Lost(at(0))
	r.Remove(at(100), "a")
	r.Regained(at(1000))
	r.Lost(at(1500))
	r.Expire(at(4000))
	want(t, r, "during the second outage", "a")
	r.Regained(at(5000))
	r.Expire(at(6999))
	want(t, r, "within the grace period of the second outage", "a")
	r.Expire(at(7000))
	want(t, r, "after the second outage", []string{}...)
}
