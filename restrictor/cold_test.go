package restrictor

import (
	"testing"
	"time"

	"carobbend.example/carobbend"
)

// TestColdTime guards against an upstream that counts as warm while it is cold: by what its record says, after a start that was
// seen, or when it becomes cold again; and against one that counts as cold without end, or without a bound for its service.
func TestColdTime(t *testing.T) {
	const warmup = 8 * time.Second
	bounded := []carobbend.Service{{Name: "s", WarmupRate: 5, WarmupTime: warmup}}
	record := func(started, sequence int64, left time.Duration) carobbend.UpstreamRecord {
		u := up("a", "z")
		u.StartedMs, u.Sequence, u.WarmupLeft = started, sequence, left
		return u
	}
	for _, c := range []struct {
		name     string
		services []carobbend.Service
		// seen are the records, one a minute.
		seen []carobbend.UpstreamRecord
		// cold is the time after the last one for which it is cold.
		cold time.Duration
	}{
		{"first list", bounded, []carobbend.UpstreamRecord{record(1, 1, 0)}, 0},
		{"first list, still cold", bounded, []carobbend.UpstreamRecord{record(1, 1, 3*time.Second)}, 3 * time.Second},
		{"unchanged record", bounded, []carobbend.UpstreamRecord{record(1, 1, 3*time.Second), record(1, 1, 3*time.Second)}, 0},
		{"cold again", bounded, []carobbend.UpstreamRecord{record(1, 1, 3*time.Second), record(1, 2, 3*time.Second)}, 3 * time.Second},
		{"new process", bounded, []carobbend.UpstreamRecord{record(1, 1, 0), record(2, 1, 0)}, warmup},
		{"new process, longer", bounded, []carobbend.UpstreamRecord{record(1, 1, 0), record(2, 1, 20*time.Second)}, 20 * time.Second},
		{"wrong report", bounded, []carobbend.UpstreamRecord{record(1, 1, 100*time.Hour)}, maxWarmup},
		{"no bound", []carobbend.Service{{Name: "s", WarmupTime: warmup}}, []carobbend.UpstreamRecord{record(1, 1, 0), record(2, 1, warmup)}, 0},
		{"no service", nil, []carobbend.UpstreamRecord{record(1, 1, warmup)}, 0},
	} {
		r := &Restrictor{Warmup: Warmup{Overage: 1}}
		r.SetServices(epoch, c.services)
		now := epoch
		for _, u := range c.seen {
			now = now.Add(time.Minute)
			r.Update(now, []carobbend.UpstreamRecord{u})
		}
		last := c.seen[len(c.seen)-1]
		// An instance that isn't in the list has no part, so each request to a cold upstream is denied.
		if c.cold > 0 && r.Permit(now.Add(c.cold-1), last) != Cold {
			t.Errorf("%s: got a request before %v, want none", c.name, c.cold)
		}
		if got := r.Permit(now.Add(c.cold), last); got != None {
			t.Errorf("%s: got %q after %v, want none", c.name, got, c.cold)
		}
	}
}

// TestColdServiceIsNamedLater guards against an upstream of a repartition that counts as warm, since it was first seen before the
// routing that states its service's warm-up time.
func TestColdServiceIsNamedLater(t *testing.T) {
	r := &Restrictor{Warmup: Warmup{Overage: 1}}
	r.Update(epoch, nil)
	u := up("a", "z")
	r.Update(epoch, []carobbend.UpstreamRecord{u})
	r.SetServices(at(5*time.Second), []carobbend.Service{{Name: "s", WarmupRate: 5, WarmupTime: 8 * time.Second}})
	if before, after := r.Permit(at(7*time.Second), u), r.Permit(at(8*time.Second), u); before != Cold || after != None {
		t.Errorf("got %q and %q, want cold until 8 s after it was seen", before, after)
	}
	r.SetServices(at(9*time.Second), []carobbend.Service{{Name: "s"}})
	if r.Active() {
		t.Error("warm upstream: got a state, want none")
	}
}
