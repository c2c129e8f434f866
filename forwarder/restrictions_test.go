package forwarder

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/scatterer"
)

// place sets the data centre of an upstream.
func (tr *tier) place(id string, dc carobbend.DataCentre) {
	for i := range tr.records {
		if string(tr.records[i].ID) == id {
			tr.records[i].DataCentre = dc
		}
	}
	tr.upstreams.Update(tr.records)
}

// attempts is a Recorder of attempts.
type attempts struct {
	mu   sync.Mutex
	ends map[scatterer.AttemptKind]map[carobbend.FailureKind]int
}

func (a *attempts) Answered(string, Outcome, time.Duration) {}

func (a *attempts) Attempted(kind scatterer.AttemptKind, failure carobbend.FailureKind) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ends == nil {
		a.ends = map[scatterer.AttemptKind]map[carobbend.FailureKind]int{}
	}
	if a.ends[kind] == nil {
		a.ends[kind] = map[carobbend.FailureKind]int{}
	}
	a.ends[kind][failure]++
}

func (a *attempts) count(kind scatterer.AttemptKind, failure carobbend.FailureKind) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ends[kind][failure]
}

func proof(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Proof", "p") }

// TestEvacuationStopsWaitingRequest guards against a request that is sent to an evacuated data centre, because its upstream was
// chosen before the evacuation and it waited for a connection; and against one that is lost or counts as extra load by that.
func TestEvacuationStopsWaitingRequest(t *testing.T) {
	tr := newTier(t)
	recorded := &attempts{}
	tr.Recorder = recorded
	// The number of instances is read for each attempt, after its upstream was chosen.
	chosen := make(chan struct{}, 10)
	tr.instances = func() int {
		chosen <- struct{}{}
		return 1
	}
	arrived, release := make(chan struct{}, 2), make(chan struct{})
	tr.upstream(t, "a", "a1", "", func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-release
		proof(w, r)
	})
	tr.place("a1", "z1")
	tr.routing.Services = []carobbend.Service{{Name: "a", MaxConns: 1}}
	tr.route(order(false))
	var calls sync.WaitGroup
	for range 2 {
		calls.Go(func() {
			if resp, _ := tr.call(t, "POST", "/o/1", "x"); resp.status != http.StatusOK {
				t.Errorf("got %d, want 200", resp.status)
			}
		})
		<-chosen
	}
	// The evacuation begins with one request in flight; the other one waits for its connection.
	<-arrived
	tr.upstream(t, "a", "a2", "", proof)
	tr.place("a2", "z2")
	tr.SetEvacuated([]carobbend.DataCentre{"z1"})
	close(release)
	calls.Wait()
	if a1, a2 := tr.runsOf("a1"), tr.runsOf("a2"); a1 != 1 || a2 != 1 {
		t.Errorf("runs: got %d and %d, want the one in flight and the other elsewhere", a1, a2)
	}
	if got := recorded.count(scatterer.AttemptPrimary, carobbend.FailureRestricted); got != 1 {
		t.Errorf("held back: got %d, want 1", got)
	}
	if got := recorded.count(scatterer.AttemptPrimary, carobbend.FailureNone); got != 2 {
		t.Errorf("first attempts served: got %d, want 2, since the one held back isn't extra load", got)
	}
}

// TestEvacuatedUpstreamsGetNothing guards against first attempts, retries and hedges to evacuated upstreams while others of the
// service are slow or fail.
func TestEvacuatedUpstreamsGetNothing(t *testing.T) {
	slow := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(200 * time.Millisecond)
		proof(w, r)
	}
	fail := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	for name, handle := range map[string]http.HandlerFunc{"slow": slow, "failing": fail, "serving": proof} {
		t.Run(name, func(t *testing.T) {
			tr := newTier(t)
			tr.upstream(t, "a", "a1", "", handle)
			tr.upstream(t, "a", "a2", "", proof)
			tr.place("a2", "z1")
			tr.route(order(true))
			tr.SetEvacuated([]carobbend.DataCentre{"z1"})
			for range 4 {
				tr.call(t, "GET", "/o/1", "")
			}
			if got := tr.runsOf("a2"); got != 0 {
				t.Errorf("runs at the evacuated upstream: got %d, want 0", got)
			}
			tr.SetEvacuated(nil)
			for tr.runsOf("a2") == 0 {
				tr.call(t, "GET", "/o/1", "")
			}
		})
	}
}

// TestEvacuatedService guards against a query that waits or fails if all upstreams of a shard are evacuated although the minimum
// coverage is reached without it, and against one that is sent to the other shards, or refused without a time, if it isn't.
func TestEvacuatedService(t *testing.T) {
	tr := newTier(t)
	var ran atomic.Int64
	for _, s := range []string{"a", "b", "c"} {
		tr.upstream(t, s, s+"1", "", func(w http.ResponseWriter, r *http.Request) {
			ran.Add(1)
			proof(w, r)
		})
		tr.place(s+"1", carobbend.DataCentre("z"+s))
	}
	tr.route(search("a", "b", "c"))
	tr.route(order(false))
	tr.SetEvacuated([]carobbend.DataCentre{"za"})
	if resp, _ := tr.call(t, "GET", "/s/1", ""); resp.status != http.StatusOK || resp.header.Get("X-Missing") != "1" {
		t.Errorf("one shard evacuated: got %d, missing %q, want 200 without one", resp.status, resp.header.Get("X-Missing"))
	}
	tr.SetEvacuated([]carobbend.DataCentre{"za", "zb"})
	ran.Store(0)
	for _, path := range []string{"/s/1", "/o/1"} {
		resp, _ := tr.call(t, "GET", path, "")
		if got := resp.header.Get("Retry-After"); resp.status != http.StatusServiceUnavailable || got != "1.000" {
			t.Errorf("%s with too much evacuated: got %d, Retry-After %q, want 503 and 1.000", path, resp.status, got)
		}
	}
	if got := ran.Load(); got != 0 {
		t.Errorf("requests sent for refused ones: got %d, want 0", got)
	}
}
