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
	if got := r.RetryAfter(epoch, ids[:1], records); got != evacuationRetryAfter {
		t.Errorf("retry after: got %v, want %v", got, evacuationRetryAfter)
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
