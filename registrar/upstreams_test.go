package registrar

import (
	"fmt"
	"testing"

	"carobbend.example/carobbend"
)

// up returns a record of an upstream with a start time and a sequence.
func up(id, service string, startedMs, sequence int64, leaving bool) carobbend.UpstreamRecord {
	return carobbend.UpstreamRecord{
		ID: carobbend.UpstreamID(id), Service: service, Address: "10.0.0.1:80", StartedMs: startedMs, Sequence: sequence, Leaving: leaving,
	}
}

// newTestUpstreams returns a registry of nine upstreams of service s under a routing that names s and t.
func newTestUpstreams(startedMs int64) *Upstreams {
	u := NewUpstreams(grace)
	u.SetRouting(at(0), &carobbend.Routing{Version: 1, Services: []carobbend.Service{{Name: "s"}, {Name: "t"}}})
	records := map[string]carobbend.UpstreamRecord{}
	for i := range 9 {
		e := up(fmt.Sprint("u", i), "s", startedMs, 10, false)
		records[string(e.ID)] = e
	}
	u.Replace(at(0), records, nil)
	return u
}

func (u *Upstreams) serves(id string) bool {
	r, ok := u.registry.Get(id)
	return ok && !r.Leaving
}

// TestUpstreamIdentity guards against an entry that moves a known upstream to another service, whose requests it would run, or
// that returns an id to an earlier process.
func TestUpstreamIdentity(t *testing.T) {
	for _, tt := range []struct {
		name    string
		entry   carobbend.UpstreamRecord
		want    Reason
		service string
	}{
		{"same process", up("u0", "s", 100, 11, false), "", "s"},
		{"another service", up("u0", "t", 100, 11, false), ReasonService, "s"},
		{"an unnamed service", up("u0", "z", 100, 11, false), ReasonService, "s"},
		{"no start time", up("u0", "s", 0, 11, false), ReasonNoStart, "s"},
		{"another service without a start time", up("u0", "t", 0, 1, false), ReasonNoStart, "s"},
		{"an earlier process", up("u0", "s", 99, 11, false), ReasonOlder, "s"},
		{"a later process of another service", up("u0", "t", 101, 1, false), "", "t"},
		{"a later process of an unnamed service", up("u0", "z", 101, 1, false), ReasonUnnamed, "s"},
		{"a new upstream", up("v", "t", 100, 1, false), "", ""},
		{"a new upstream of an unnamed service", up("v", "z", 100, 1, false), "", ""},
		{"a new upstream without a start time", up("v", "s", 0, 1, false), ReasonNoStart, ""},
	} {
		u := newTestUpstreams(100)
		if got := u.Put(at(1), tt.entry); got != tt.want {
			t.Errorf("%s: got %q, want %q", tt.name, got, tt.want)
		}
		if r, _ := u.registry.Get("u0"); tt.service != "" && r.Service != tt.service {
			t.Errorf("%s: got service %q, want %q", tt.name, r.Service, tt.service)
		}
	}
}

// TestUnnamedService guards against an upstream that is left out after a repartition, because it registered before the routing
// that names its service, and against an entry of another writer that fixes the service of an id.
func TestUnnamedService(t *testing.T) {
	u := newTestUpstreams(100)
	u.Put(at(1), up("u0", "z", 101, 1, false))
	u.Put(at(1), up("u1", "z", 101, 1, false))
	u.Put(at(2), up("u1", "s", 100, 11, false))
	if !u.SetRouting(at(3), &carobbend.Routing{Version: 2, Routes: []carobbend.Route{{Shards: []string{"z", "s"}}}}) {
		t.Error("got no change, want that of u0")
	}
	for id, want := range map[string]string{"u0": "z", "u1": "s"} {
		if r, _ := u.registry.Get(id); r.Service != want {
			t.Errorf("%s: got service %q, want %q", id, r.Service, want)
		}
	}
	if u.Put(at(4), up("v", "y", 100, 1, false)); u.Put(at(5), up("v", "s", 100, 2, false)) != "" {
		t.Error("an unnamed service can't be replaced by a named one")
	}
}

// TestLeftUpstream guards against requests to an upstream that left or announced that it is leaving, because of a late entry or
// one of another writer; and against an upstream that stays out although it is alive or was restarted.
func TestLeftUpstream(t *testing.T) {
	for _, tt := range []struct {
		name      string
		startedMs int64
		do        func(u *Upstreams)
		want      bool
	}{
		{"announced", 100, func(u *Upstreams) {
			u.Put(at(0), up("u0", "s", 100, 11, true))
			u.Put(at(1), up("u0", "s", 100, 12, false))
		}, false},
		{"announced, removed", 100, func(u *Upstreams) {
			u.Put(at(0), up("u0", "s", 100, 11, true))
			u.Remove(at(1), "u0")
			u.Put(at(2), up("u0", "s", 100, 12, false))
			u.Expire(at(60_000))
		}, false},
		{"announced, removed in an outage", 100, func(u *Upstreams) {
			u.Put(at(0), up("u0", "s", 100, 11, true))
			u.StoreLost(at(1))
			u.Remove(at(2), "u0")
			u.StoreRegained(at(3))
			u.Expire(at(5000))
			u.Put(at(6000), up("u0", "s", 100, 12, false))
		}, false},
		{"announced, restarted", 100, func(u *Upstreams) {
			u.Put(at(0), up("u0", "s", 100, 11, true))
			u.Put(at(1), up("u0", "s", 101, 1, false))
		}, true},
		{"removed", 100, func(u *Upstreams) {
			u.Remove(at(0), "u0")
			u.Put(at(1), up("u0", "s", 100, 11, false))
		}, false},
		{"removed, another service", 100, func(u *Upstreams) {
			u.Remove(at(0), "u0")
			u.Put(at(1), up("u0", "t", 100, 11, false))
			u.Expire(at(60_000))
		}, false},
		{"removed, listed again", 100, func(u *Upstreams) {
			u.Remove(at(0), "u0")
			list := u.All()
			list["u0"] = up("u0", "s", 100, 11, false)
			u.Replace(at(1), list, nil)
		}, false},
		{"removed, restarted", 100, func(u *Upstreams) {
			u.Remove(at(0), "u0")
			u.Put(at(1), up("u0", "t", 101, 1, false))
		}, true},
		{"removed, alive for long", 100, func(u *Upstreams) {
			u.Remove(at(0), "u0")
			u.Put(at(1), up("u0", "s", 100, 11, false))
			u.Expire(at(30_001))
		}, true},
		{"removed, renewed", 100, func(u *Upstreams) {
			u.Remove(at(0), "u0")
			for i := range 10 {
				u.Put(at(4000+1200*i), up("u0", "s", 100, int64(11+i), false))
			}
			u.Expire(at(4000 + 1200*9))
		}, true},
		{"removed, renewed for a short time", 100, func(u *Upstreams) {
			u.Remove(at(0), "u0")
			for i := range 8 {
				u.Put(at(1200*i), up("u0", "s", 100, int64(11+i), false))
			}
			u.Expire(at(1200 * 8))
		}, false},
		{"removed, late entry expired", 100, func(u *Upstreams) {
			u.Remove(at(0), "u0")
			u.Put(at(1), up("u0", "s", 100, 11, false))
			u.Remove(at(3600), "u0")
			u.Expire(at(60_000))
		}, false},
		{"expired in an outage, back in its grace time", 100, func(u *Upstreams) {
			u.StoreLost(at(0))
			u.StoreRegained(at(5000))
			u.Remove(at(5001), "u0")
			u.Put(at(6500), up("u0", "s", 100, 11, false))
			u.Expire(at(9000))
		}, true},
		{"expired in an outage, back after its grace time", 100, func(u *Upstreams) {
			u.StoreLost(at(0))
			u.Remove(at(1), "u0")
			u.StoreRegained(at(5000))
			u.Expire(at(7000))
			u.Put(at(7500), up("u0", "s", 100, 11, false))
		}, true},
		{"expired in an outage, then another service", 100, func(u *Upstreams) {
			u.StoreLost(at(0))
			u.Remove(at(1), "u0")
			u.StoreRegained(at(5000))
			u.Expire(at(7000))
			u.Put(at(7500), up("u0", "t", 100, 11, false))
		}, false},
		{"expired in an outage, then an earlier process", 100, func(u *Upstreams) {
			u.StoreLost(at(0))
			u.Remove(at(1), "u0")
			u.StoreRegained(at(5000))
			u.Expire(at(7000))
			u.Put(at(7500), up("u0", "s", 99, 11, false))
		}, false},
		{"expired shortly before the outage was noticed", 100, func(u *Upstreams) {
			u.Remove(at(0), "u0")
			u.StoreLost(at(4000))
			u.StoreRegained(at(4500))
			u.Put(at(5000), up("u0", "s", 100, 11, false))
		}, true},
		{"many expired in an outage that wasn't noticed", 100, func(u *Upstreams) {
			for i := range 4 {
				u.Remove(at(100*i), fmt.Sprint("u", i))
			}
			u.Put(at(1000), up("u0", "s", 100, 11, false))
		}, true},
		{"overwritten, then the other entry expired", 100, func(u *Upstreams) {
			u.Unusable("u0")
			u.Remove(at(0), "u0")
			u.Put(at(1200), up("u0", "s", 100, 11, false))
			u.Expire(at(3000))
		}, true},
		{"overwritten, then removed", 100, func(u *Upstreams) {
			u.Unusable("u0")
			u.Remove(at(0), "u0")
			u.Expire(at(1500))
		}, false},
		{"overwritten in a listing", 100, func(u *Upstreams) { u.Replace(at(1), nil, []string{"u0"}) }, true},
		{"without start times, a late entry", 0, func(u *Upstreams) {
			u.Remove(at(0), "u0")
			u.Put(at(1), up("u0", "s", 0, 11, false))
		}, false},
		{"without start times, restarted", 0, func(u *Upstreams) {
			u.Remove(at(0), "u0")
			u.Put(at(1), up("u0", "t", 0, 1, false))
		}, true},
		{"without start times, announced", 0, func(u *Upstreams) {
			u.Put(at(0), up("u0", "s", 0, 11, true))
			u.Put(at(1), up("u0", "s", 0, 12, false))
		}, false},
		{"without start times, announced, alive for long", 0, func(u *Upstreams) {
			u.Put(at(0), up("u0", "s", 0, 11, true))
			u.Put(at(1), up("u0", "s", 0, 12, false))
			u.Expire(at(30_001))
		}, true},
	} {
		u := newTestUpstreams(tt.startedMs)
		tt.do(u)
		if got := u.serves("u0"); got != tt.want {
			t.Errorf("%s: got an upstream to send to: %v, want %v", tt.name, got, tt.want)
		}
	}
}

// TestDeparturesAreBounded guards against memory that grows with the ids of upstreams that left.
func TestDeparturesAreBounded(t *testing.T) {
	u := newTestUpstreams(100)
	for i := range maxDepartures + 100 {
		id := fmt.Sprint("v", i)
		u.Put(at(i*1000), up(id, "s", 100, 1, true))
		u.Remove(at(i*1000), id)
	}
	if n := len(u.left); n > maxDepartures {
		t.Errorf("departures: got %d, want at most %d", n, maxDepartures)
	}
	u.Expire(at(1000*maxDepartures + 8_000_000))
	if n := len(u.left); n != 0 {
		t.Errorf("departures after the retention: got %d, want 0", n)
	}
}
