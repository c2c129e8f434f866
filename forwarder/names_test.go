package forwarder

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/gatherer"
	"carobbend.example/carobbend/scatterer"
)

// TestNamesAreForgotten guards against memory that grows with the names of routes and services that came and went.
func TestNamesAreForgotten(t *testing.T) {
	const (
		routings, routes = 100, 1000
		// bound is far below the 22 KB for each name that were kept before, 2.2 GB.
		bound = 8 << 20
	)
	tr := newTier(t)
	tr.upstream(t, "a", "a1", "", proof)
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	var before uint64
	began := time.Now()
	for v := range routings {
		now := began.Add(time.Duration(v) * time.Second)
		r := &carobbend.Routing{Version: uint64(v)}
		for i := range routes {
			x := order(true)
			x.Name = fmt.Sprintf("r-%d-%d", v, i)
			x.Split = []carobbend.WeightedService{{Service: fmt.Sprintf("s-%d-%d", v, i), Weight: 1}}
			r.Routes = append(r.Routes, x)
		}
		tr.router.Apply(r)
		tr.RetainNames(r)
		for i := range r.Routes {
			route, _ := tr.router.Table().Find("h", "/o/1")
			route.Route = r.Routes[i]
			tr.RetryBudget.Requested(now, r.Routes[i].Split[0].Service)
			q := tr.scatterer.NewQuery(route, []string{"a"}, scatterer.Timing{Began: now, Deadline: now.Add(time.Second)})
			a, ok := q.Attempt(now, gatherer.AttemptSpec{First: true})
			if !ok {
				t.Fatal("no upstream")
			}
			a.Finished(now.Add(time.Millisecond), carobbend.FailureNone, -1)
		}
		if v == routings/10 {
			before = heap()
		}
	}
	if after := heap(); after > before+bound {
		t.Errorf("heap after %d names: got %d MB more than after a tenth of them, want at most %d", routings*routes, (after-before)>>20, bound>>20)
	}
}
