package registrar

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"carobbend.example/carobbend"
)

// TestUpstreamsInvariants guards against an order of entries, removals and outages in which an id changes its service or returns to
// an earlier process without a later start time, or in which a process is used again that announced its departure.
func TestUpstreamsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u := newTestUpstreams(100)
		now := at(0)
		announced := map[carobbend.UpstreamID]int64{}
		before := u.All()
		entry := func(t *rapid.T) carobbend.UpstreamRecord {
			return up(rapid.SampledFrom([]string{"u0", "u1", "u2"}).Draw(t, "id"), rapid.SampledFrom([]string{"s", "t", "z"}).Draw(t, "service"),
				rapid.SampledFrom([]int64{0, 99, 100, 101, 102}).Draw(t, "start"), rapid.Int64Range(0, 30).Draw(t, "sequence"),
				rapid.Bool().Draw(t, "leaving"))
		}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				e := entry(t)
				if reason := u.Put(now, e); reason == "" && e.Leaving {
					announced[e.ID] = max(announced[e.ID], e.StartedMs)
				}
			},
			"unusable": func(*rapid.T) { u.Unusable("u0") },
			"remove":   func(t *rapid.T) { u.Remove(now, string(entry(t).ID)) },
			"list": func(t *rapid.T) {
				list := u.All()
				e := entry(t)
				list[string(e.ID)] = e
				delete(list, string(entry(t).ID))
				u.Replace(now, list, nil)
				if r, ok := u.registry.Get(string(e.ID)); ok && r.Leaving {
					announced[e.ID] = max(announced[e.ID], r.StartedMs)
				}
			},
			"lost":     func(*rapid.T) { u.StoreLost(now) },
			"regained": func(*rapid.T) { u.StoreRegained(now) },
			"expire":   func(*rapid.T) { u.Expire(now) },
			"route": func(t *rapid.T) {
				r := &carobbend.Routing{Version: uint64(rapid.IntRange(1, 9).Draw(t, "version"))}
				for _, s := range []string{"s", "t", "z"} {
					if rapid.Bool().Draw(t, s) {
						r.Services = append(r.Services, carobbend.Service{Name: s})
					}
				}
				u.SetRouting(now, r)
				// A process whose service was named by none may have waited for this.
				for id, x := range u.All() {
					if x.Leaving {
						announced[carobbend.UpstreamID(id)] = max(announced[carobbend.UpstreamID(id)], x.StartedMs)
					}
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 12_000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				after := u.All()
				for id, x := range after {
					if !x.Leaving && x.StartedMs <= announced[x.ID] {
						t.Fatalf("%s: got %+v in use, but it announced its departure with start time %d", id, x, announced[x.ID])
					}
					o, known := before[id]
					switch {
					case !known:
					case x.StartedMs < o.StartedMs:
						t.Fatalf("%s: got %+v after %+v, want no earlier process", id, x, o)
					case x.StartedMs == o.StartedMs && x.Service != o.Service && u.services[o.Service]:
						t.Fatalf("%s: got %+v after %+v, want the same service", id, x, o)
					}
				}
				before = after
			},
		})
	})
}
