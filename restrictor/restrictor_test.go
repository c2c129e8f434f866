package restrictor

import (
	"slices"
	"testing"
	"time"

	"carobbend.example/carobbend"
)

var epoch = time.Unix(1000, 0)

func up(id, dc string) carobbend.UpstreamRecord {
	return carobbend.UpstreamRecord{ID: carobbend.UpstreamID(id), Service: "s", DataCentre: carobbend.DataCentre(dc), StartedMs: 1}
}

// recordsOf returns the lookup and the ids of a list of upstreams.
func recordsOf(us ...carobbend.UpstreamRecord) (Records, []carobbend.UpstreamID) {
	m, ids := map[carobbend.UpstreamID]carobbend.UpstreamRecord{}, make([]carobbend.UpstreamID, 0, len(us))
	for _, u := range us {
		m[u.ID] = u
		ids = append(ids, u.ID)
	}
	return func(id carobbend.UpstreamID) (carobbend.UpstreamRecord, bool) {
		u, ok := m[id]
		return u, ok
	}, ids
}

// TestEvacuation guards against requests to an evacuated data centre, against an evacuation that outlasts its end, and against
// a report that it is in effect while requests are in flight there.
func TestEvacuation(t *testing.T) {
	r := &Restrictor{}
	a, b := up("a", "z1"), up("b", "z2")
	records, ids := recordsOf(a, b)
	if got := r.Filter(epoch, ids, records); !slices.Equal(got, ids) || r.Active() {
		t.Errorf("without a restriction: got %v, active %v, want all", got, r.Active())
	}
	for range 2 {
		if got := r.Permit(epoch, a); got != None {
			t.Errorf("before the evacuation: got %q, want none", got)
		}
	}
	begun, ended := r.SetEvacuated([]carobbend.DataCentre{"z1", "z3"})
	if want := []Evacuation{{"z1", 2}, {"z3", 0}}; !slices.Equal(begun, want) || ended != nil {
		t.Errorf("got %v begun, %v ended, want %v", begun, ended, want)
	}
	if got := r.Filter(epoch, ids, records); !slices.Equal(got, []carobbend.UpstreamID{"b"}) {
		t.Errorf("candidates: got %v, want b", got)
	}
	if ra, rb := r.Permit(epoch, a), r.Allowed(epoch, b); ra != Evacuated || rb != None {
		t.Errorf("got %q and %q, want evacuated and none", ra, rb)
	}
	if got := r.RetryAfter(epoch, ids[:1], records); got != unknownRetryAfter {
		t.Errorf("retry after: got %v, want %v", got, unknownRetryAfter)
	}
	if got := r.RetryAfter(epoch, ids, records); got != 0 {
		t.Errorf("retry after beside another upstream: got %v, want 0", got)
	}
	if first, second := r.Finished(a), r.Finished(a); first || !second {
		t.Errorf("in effect: got %v, %v, want it with the last request", first, second)
	}
	begun, ended = r.SetEvacuated([]carobbend.DataCentre{"z1"})
	if want := []Evacuation{{"z3", 0}}; begun != nil || !slices.Equal(ended, want) {
		t.Errorf("got %v begun, %v ended, want %v ended", begun, ended, want)
	}
	r.SetEvacuated(nil)
	if got := r.Allowed(epoch, a); got != None || r.Active() {
		t.Errorf("after the end: got %q, active %v, want none", got, r.Active())
	}
}

// at returns a time after the epoch.
func at(d time.Duration) time.Time { return epoch.Add(d) }

// TestLeaving guards against requests to an upstream that announced that it is leaving: while there is another one, and after
// the drain time even if there is none.
func TestLeaving(t *testing.T) {
	r := &Restrictor{DrainTime: 5 * time.Second}
	a, b := up("a", "z1"), up("b", "z1")
	records, ids := recordsOf(a, b)
	if !r.ObserveLeaving(epoch, a) || r.ObserveLeaving(at(time.Second), a) {
		t.Error("first announcement: got another one than the first")
	}
	for _, c := range []struct {
		name   string
		at     time.Duration
		ids    []carobbend.UpstreamID
		want   []carobbend.UpstreamID
		permit Reason
		after  time.Duration
	}{
		{"beside another one", 0, ids, ids[1:], None, 0},
		{"alone", 3900 * time.Millisecond, ids[:1], ids[:1], None, 0},
		{"alone, later", 4 * time.Second, ids[:1], nil, Leaving, unknownRetryAfter},
		{"much later", 10 * time.Minute, ids, ids[1:], Leaving, 0},
	} {
		got, permit := r.Filter(at(c.at), c.ids, records), r.Permit(at(c.at), a)
		if permit == None {
			r.Finished(a)
		}
		if after := r.RetryAfter(at(c.at), c.ids, records); !slices.Equal(got, c.want) || permit != c.permit || after != c.after {
			t.Errorf("%s: got %v, %q, %v, want %v, %q, %v", c.name, got, permit, after, c.want, c.permit, c.after)
		}
	}
}

// TestLeavingEndsWithProcess guards against a process that is used again although it announced that it is leaving, whatever the
// store says meanwhile, and against its successor being left out.
func TestLeavingEndsWithProcess(t *testing.T) {
	of := func(started int64, address string) *carobbend.UpstreamRecord {
		u := up("a", "z1")
		u.StartedMs, u.Address = started, address
		return &u
	}
	for _, c := range []struct {
		name string
		// seen are the records after the announcement; nil is none.
		seen []*carobbend.UpstreamRecord
		want Reason
	}{
		{"unchanged", []*carobbend.UpstreamRecord{of(5, "x")}, Leaving},
		{"gone and back", []*carobbend.UpstreamRecord{nil, of(5, "x")}, Leaving},
		{"start time unknown meanwhile", []*carobbend.UpstreamRecord{of(0, "x")}, Leaving},
		{"an earlier process", []*carobbend.UpstreamRecord{of(4, "y")}, Leaving},
		{"a later process", []*carobbend.UpstreamRecord{of(6, "x")}, None},
	} {
		r := &Restrictor{}
		r.ObserveLeaving(epoch, *of(5, "x"))
		var last carobbend.UpstreamRecord
		for _, u := range c.seen {
			var records []carobbend.UpstreamRecord
			if u != nil {
				records, last = append(records, *u), *u
			}
			r.Update(at(time.Minute), records)
		}
		if got := r.Allowed(at(time.Minute), last); got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
	unknown := &Restrictor{}
	unknown.ObserveLeaving(epoch, *of(0, "x"))
	unknown.Update(epoch, []carobbend.UpstreamRecord{*of(0, "x")})
	if same, moved := unknown.Allowed(epoch, *of(0, "x")), unknown.Allowed(epoch, *of(0, "y")); same != Leaving || moved != None {
		t.Errorf("without start times: got %q, and %q at another address, want leaving and none", same, moved)
	}
	unknown.Update(epoch, nil)
	if got := unknown.Allowed(epoch, *of(0, "x")); got != None || unknown.Active() {
		t.Errorf("without start times, after the entry was removed: got %q, want none", got)
	}
	r := &Restrictor{}
	r.ObserveLeaving(epoch, *of(5, "x"))
	r.Update(epoch, nil)
	r.Update(at(leavingRetention), nil)
	if r.Active() {
		t.Error("long after the upstream left: got a state, want none")
	}
}

// TestPause guards against requests during a pause that an upstream asked for, and against a pause without end.
func TestPause(t *testing.T) {
	r := &Restrictor{}
	a, b := up("a", "z1"), up("b", "z1")
	records, ids := recordsOf(a, b)
	if got := r.ObserveRetryAfter(epoch, a, 1500*time.Millisecond); got != 1500*time.Millisecond {
		t.Errorf("pause: got %v, want 1.5 s", got)
	}
	if got := r.ObserveRetryAfter(at(time.Second), a, 200*time.Millisecond); got != 0 {
		t.Errorf("shorter pause: got %v, want 0, since the longer one is in force", got)
	}
	r.ObserveRetryAfter(epoch, b, time.Hour)
	if got := r.Filter(at(time.Second), ids, records); len(got) != 0 {
		t.Errorf("candidates: got %v, want none", got)
	}
	if got := r.RetryAfter(at(time.Second), ids, records); got != 500*time.Millisecond {
		t.Errorf("retry after: got %v, want 0.5 s, the end of the first pause", got)
	}
	if got := r.Counts(at(time.Second))[Paused]; got != 2 {
		t.Errorf("paused: got %d, want 2", got)
	}
	if ra, rb := r.Allowed(at(1500*time.Millisecond), a), r.Allowed(at(MaxPause-1), b); ra != None || rb != Paused {
		t.Errorf("got %q and %q, want none and paused", ra, rb)
	}
	successor := b
	successor.StartedMs = 2
	if got := r.Allowed(at(time.Second), successor); got != None {
		t.Errorf("new process: got %q, want none", got)
	}
	if got := r.Filter(at(MaxPause), ids, records); len(got) != 2 || r.Active() {
		t.Errorf("after the greatest pause: got %v, active %v, want both", got, r.Active())
	}
	r.ObserveRetryAfter(epoch, successor, time.Second)
	if got := r.ObserveRetryAfter(epoch, b, MaxPause); got != 0 {
		t.Errorf("late reply of the former process: got a pause of %v, want none", got)
	}
}

// TestManyEvacuations guards against memory that grows with the names that are written to the store and removed again.
func TestManyEvacuations(t *testing.T) {
	r := &Restrictor{}
	for i := range 10_000 {
		r.SetEvacuated([]carobbend.DataCentre{carobbend.DataCentre(time.Duration(i).String())})
	}
	r.SetEvacuated(nil)
	if got := len(r.DataCentres()); got > maxDataCentres {
		t.Errorf("got %d data centres, want at most %d", got, maxDataCentres)
	}
}
