package forwarder

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/restrictor"
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

func (a *attempts) AccountAnswered(string, Outcome) {}

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
	running, release := make(chan struct{}), make(chan struct{})
	tr.upstream(t, "a", "a1", "", func(w http.ResponseWriter, r *http.Request) {
		running <- struct{}{}
		<-release
		proof(w, r)
	})
	tr.place("a1", "z1")
	tr.routing.Services = []carobbend.Service{{Name: "a", MaxConns: 1}}
	tr.route(order(false))
	var calls sync.WaitGroup
	call := func() {
		if resp, _ := tr.call(t, "POST", "/o/1", "x"); resp.status != http.StatusOK {
			t.Errorf("got %d, want 200", resp.status)
		}
	}
	calls.Go(call)
	<-chosen
	<-running
	calls.Go(call)
	<-chosen
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

// suspend lets time pass for the restrictions as if the machine had been suspended.
func (tr *tier) suspend() func(time.Duration) {
	var passed atomic.Int64
	tr.Suspended = func() time.Duration { return time.Duration(passed.Load()) }
	return func(d time.Duration) { passed.Add(int64(d)) }
}

// until calls the route until an upstream was asked.
func (tr *tier) until(t *testing.T, path, id string) {
	t.Helper()
	for before := tr.runsOf(id); tr.runsOf(id) == before; {
		tr.call(t, "GET", path, "")
	}
}

// TestLeavingUpstreamGetsNothingNew guards against requests to an upstream after it announced in any reply, also a failure, that
// it is leaving; and against taking that from a reply that another upstream gives under its old address.
func TestLeavingUpstreamGetsNothingNew(t *testing.T) {
	for _, c := range []struct {
		status int
		proof  string
		avoid  bool
	}{
		{http.StatusOK, "p", true},
		{http.StatusInternalServerError, "p", true},
		{http.StatusServiceUnavailable, "", true},
		{http.StatusMisdirectedRequest, "", false},
	} {
		t.Run(strconv.Itoa(c.status), func(t *testing.T) {
			tr := newTier(t)
			pass := tr.suspend()
			tr.upstream(t, "a", "a1", "", func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("X-Leaving", "1")
				w.Header().Set("X-Proof", c.proof)
				w.WriteHeader(c.status)
			})
			tr.upstream(t, "a", "a2", "", proof)
			tr.route(order(true))
			tr.until(t, "/o/1", "a1")
			if got := tr.Restrictor.Active(); got != c.avoid {
				t.Fatalf("leaving: got %v, want %v", got, c.avoid)
			}
			if !c.avoid {
				return
			}
			before := tr.runsOf("a1")
			for range 30 {
				tr.call(t, "GET", "/o/1", "")
			}
			if got := tr.runsOf("a1") - before; got != 0 {
				t.Errorf("requests after the announcement: got %d, want 0", got)
			}
			// The only upstream left is used until the drain time has passed.
			tr.upstreams.Update(tr.records[:1])
			tr.call(t, "GET", "/o/1", "")
			if got := tr.runsOf("a1") - before; got == 0 {
				t.Error("the only upstream left: got no request, want one")
			}
			pass(time.Minute)
			before = tr.runsOf("a1")
			resp, _ := tr.call(t, "GET", "/o/1", "")
			if got := tr.runsOf("a1") - before; got != 0 || resp.status != http.StatusServiceUnavailable || resp.header.Get("Retry-After") == "" {
				t.Errorf("after the drain time: got %d requests, status %d, want 0 and 503 with a time", got, resp.status)
			}
		})
	}
}

// TestPausedUpstreamGetsNothing guards against requests to an upstream that asked for a pause, against a caller that is told
// another time, and against a pause that is taken from an invalid value or never ends.
func TestPausedUpstreamGetsNothing(t *testing.T) {
	for _, c := range []struct {
		retryAfter string
		// pause is how long nothing is sent.
		pause time.Duration
	}{
		{"7.5", 7500 * time.Millisecond},
		{"1e300", restrictor.MaxPause},
		{"0", 0},
		{"soon", 0},
	} {
		t.Run(c.retryAfter, func(t *testing.T) {
			tr := newTier(t)
			pass := tr.suspend()
			refuse := func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("X-Not-Run", "1")
				w.Header().Set("Retry-After", c.retryAfter)
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			tr.upstream(t, "a", "a1", "", refuse)
			tr.upstream(t, "a", "a2", "", refuse)
			tr.route(order(true))
			for tr.runsOf("a1") == 0 || tr.runsOf("a2") == 0 {
				tr.call(t, "POST", "/o/1", "x")
			}
			before := tr.runsOf("a1") + tr.runsOf("a2")
			for range 5 {
				resp, _ := tr.call(t, "POST", "/o/1", "x")
				s, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64)
				if err != nil || resp.status != http.StatusServiceUnavailable || s <= 0 || s > max(c.pause, retryAfter).Seconds() {
					t.Errorf("got %d, Retry-After %v, %v, want 503 and at most %v", resp.status, s, err, c.pause)
				}
			}
			if got := tr.runsOf("a1") + tr.runsOf("a2") - before; (got == 0) != (c.pause > 0) {
				t.Errorf("requests during a pause of %v: got %d", c.pause, got)
			}
			pass(c.pause)
			before = tr.runsOf("a1") + tr.runsOf("a2")
			tr.call(t, "POST", "/o/1", "x")
			if got := tr.runsOf("a1") + tr.runsOf("a2") - before; got == 0 {
				t.Error("after the pause: got no request, want some")
			}
		})
	}
}

// TestColdUpstreamIsBounded guards against more requests to a cold upstream than the bound, also as retries and hedges, against
// callers that wait for it, and against a bound on the upstreams of a service without one.
func TestColdUpstreamIsBounded(t *testing.T) {
	tr := newTier(t)
	pass := tr.suspend()
	tr.Restrictor.Warmup.Overage = 1
	self := carobbend.Instance{Name: "edge-1", Incarnation: "i"}
	tr.UpdateInstances(self, map[string]carobbend.Instance{"edge-1": self})
	tr.ConfirmInstances(0)
	for range 6 {
		pass(3 * time.Second)
		tr.ConfirmInstances(3 * time.Second)
	}
	const rate, calls = 4, 12
	tr.upstream(t, "a", "a1", "", proof)
	tr.routing.Services = []carobbend.Service{{Name: "a", WarmupRate: rate, WarmupTime: time.Hour}}
	tr.UpdateServices(tr.routing.Services)
	tr.route(order(true))
	tr.records[0].WarmupLeft = time.Minute
	tr.updateRestrictions(tr.records)
	served := func() (n int) {
		for range calls {
			resp, _ := tr.call(t, "GET", "/o/1", "")
			s, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64)
			switch {
			case resp.status == http.StatusOK:
				n++
			case resp.status != http.StatusServiceUnavailable || err != nil || s <= 0 || s > 1.5:
				t.Errorf("got %d, Retry-After %v, %v, want 503 and a time of at most 1.5 s", resp.status, s, err)
			}
		}
		return n
	}
	began := time.Now()
	got := served()
	if most := rate * (1 + int(time.Since(began)/time.Second)); got < rate || got > most || tr.runsOf("a1") != int64(got) {
		t.Errorf("cold: got %d served, %d sent, want %d to %d", got, tr.runsOf("a1"), rate, most)
	}
	tr.UpdateServices(nil)
	if got := served(); got != calls {
		t.Errorf("without a bound: got %d served, want all %d", got, calls)
	}
}
