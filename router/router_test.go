package router

import (
	"fmt"
	"math"
	"testing"

	"carobbend.example/carobbend"
)

func single(host, prefix, service string) carobbend.Route {
	return carobbend.Route{
		Name: service, Host: host, Prefix: prefix,
		Split: []carobbend.WeightedService{{Service: service, Weight: 1}},
	}
}

func TestFind(t *testing.T) {
	var r Router
	r.Apply(&carobbend.Routing{Version: 1, Routes: []carobbend.Route{
		single("a.example", "/", "root"),
		single("a.example", "/x/", "x"),
		single("a.example", "/x/y/", "xy"),
		single("B.example", "/x/", "bx"),
	}})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/", "root"},
		{"a.example", "/x", "root"},
		{"a.example", "/x/", "x"},
		{"a.example", "/x/1", "x"},
		{"a.example", "/x/y", "x"},
		{"a.example", "/x/y/", "xy"},
		{"a.example", "/x/y/z/1", "xy"},
		{"A.example:80", "/x/y/z", "xy"},
		{"a.example.", "/xy/z", "root"},
		{"b.example", "/x/1", "bx"},
		{"b.example", "/y/1", ""},
		{"c.example", "/", ""},
		// Encoded slashes are part of a segment; decoding them would change the route.
		{"a.example", "/x%2fy/", "root"},
		{"a.example", "*", ""},
	} {
		got := ""
		if route, ok := r.Table().Find(c.host, c.path); ok {
			got = route.Name
		}
		if got != c.want {
			t.Errorf("Find(%q, %q): got %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// TestVersionsOnlyRise guards against a stale read of the store that restores an old routing.
func TestVersionsOnlyRise(t *testing.T) {
	var r Router
	for _, c := range []struct {
		version uint64
		want    bool
	}{{5, true}, {5, false}, {3, false}, {9, true}, {8, false}} {
		if got := r.Apply(&carobbend.Routing{Version: c.version}); got != c.want {
			t.Errorf("Apply(version %d): got %v, want %v", c.version, got, c.want)
		}
	}
	if got := r.Table().Version(); got != 9 {
		t.Errorf("current version: got %d, want 9", got)
	}
}

// TestSplit guards against a split that deviates from the weights, also if unrelated changes replace the table.
func TestSplit(t *testing.T) {
	split := []carobbend.WeightedService{{Service: "a", Weight: 7}, {Service: "b", Weight: 2}, {Service: "c", Weight: 1}}
	var r Router
	got := map[string]int{}
	const n = 1000
	for i := range n {
		if i%3 == 0 {
			r.Apply(&carobbend.Routing{Version: uint64(i + 1), Routes: []carobbend.Route{{Host: "h", Prefix: "/", Split: split}}})
		}
		route, _ := r.Table().Find("h", "/p")
		got[route.Choose()]++
	}
	for _, s := range split {
		if share := float64(got[s.Service]) / n; math.Abs(share-s.Weight/10) > 0.005 {
			t.Errorf("share of %s: got %.3f, want %.3f", s.Service, share, s.Weight/10)
		}
	}
}

// TestSplitWithoutWeight guards against a service that gets requests although the operator took all of them from it.
func TestSplitWithoutWeight(t *testing.T) {
	for _, split := range [][]carobbend.WeightedService{nil, {{Service: "a"}}, {{Service: "a"}, {Service: "b"}}} {
		r := &Route{Route: carobbend.Route{Split: split}}
		if got := r.Choose(); got != "" {
			t.Errorf("%v: got service %q, want none", split, got)
		}
	}
}

func BenchmarkFind(b *testing.B) {
	for _, n := range []int{10, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			routes := make([]carobbend.Route, 0, n)
			for i := range n {
				routes = append(routes, single("a.example", fmt.Sprintf("/p%d/q/", i), "s"))
			}
			var r Router
			r.Apply(&carobbend.Routing{Version: 1, Routes: routes})
			t := r.Table()
			for b.Loop() {
				t.Find("a.example", "/p7/q/1")
			}
		})
	}
}

// TestSuspend guards against a router that goes back to an older version after it was suspended, and against one that doesn't
// accept the version that it dropped.
func TestSuspend(t *testing.T) {
	var r Router
	r.Suspend()
	r.Apply(&carobbend.Routing{Version: 5})
	r.Suspend()
	r.Suspend()
	if r.Table() != nil {
		t.Error("after Suspend: got a table, want none")
	}
	if r.Apply(&carobbend.Routing{Version: 4}) {
		t.Error("got version 4 accepted after version 5")
	}
	if !r.Apply(&carobbend.Routing{Version: 5}) || r.Table().Version() != 5 {
		t.Error("got version 5 refused after it was dropped, want it accepted")
	}
	if r.Apply(&carobbend.Routing{Version: 5}) {
		t.Error("got version 5 accepted twice")
	}
}
