package forwarder

import (
	"net/http"
	"slices"
	"sync"
	"testing"

	"carobbend.example/carobbend"
)

// withdrawal is a change of the records by which the upstream a1 takes no further requests.
type withdrawal struct {
	name string
	// change returns the records without a1 or with its last one.
	change func([]carobbend.UpstreamRecord) []carobbend.UpstreamRecord
}

var withdrawals = []withdrawal{
	{"leaving", func(all []carobbend.UpstreamRecord) []carobbend.UpstreamRecord {
		all[0].Leaving = true
		return all
	}},
	{"removed", func(all []carobbend.UpstreamRecord) []carobbend.UpstreamRecord { return all[1:] }},
	{"replaced at another address", func(all []carobbend.UpstreamRecord) []carobbend.UpstreamRecord {
		all[0].Address, all[0].StartedMs, all[0].Service = "127.0.0.1:9", 2, "other"
		return all
	}},
}

// waitForConnection occupies the only connection to a1, which is in z1, until the returned function is called, and starts a call that waits for it.
func (tr *tier) waitForConnection(t *testing.T) (waiting func() answer, release func()) {
	t.Helper()
	// The number of instances is read for each attempt, after its upstream was chosen.
	chosen := make(chan struct{}, 10)
	tr.instances = func() int {
		chosen <- struct{}{}
		return 1
	}
	running, freed := make(chan struct{}, 10), make(chan struct{})
	tr.upstream(t, "a", "a1", "", func(w http.ResponseWriter, r *http.Request) {
		running <- struct{}{}
		<-freed
		proof(w, r)
	})
	tr.place("a1", "z1")
	tr.routing.Services = []carobbend.Service{{Name: "a", MaxConns: 1}}
	tr.route(order(false))
	var calls sync.WaitGroup
	calls.Go(func() { tr.call(t, "POST", "/o/1", "x") })
	<-chosen
	<-running
	var got answer
	done := make(chan struct{})
	go func() {
		defer close(done)
		got, _ = tr.call(t, "POST", "/o/1", "x")
	}()
	<-chosen
	release = sync.OnceFunc(func() {
		close(freed)
		calls.Wait()
	})
	t.Cleanup(release)
	return func() answer {
		<-done
		return got
	}, release
}

// TestWithdrawnUpstreamReleasesWaitingRequest guards against a request that waits for a connection to an upstream which is leaving,
// has left or was replaced, and that is sent there or refused only once a connection is free or its deadline passes.
func TestWithdrawnUpstreamReleasesWaitingRequest(t *testing.T) {
	for _, c := range withdrawals {
		t.Run(c.name, func(t *testing.T) {
			tr := newTier(t)
			waiting, _ := tr.waitForConnection(t)
			tr.upstream(t, "a", "a2", "", proof)
			tr.UpdateUpstreams(c.change(slices.Clone(tr.records)))
			// The connection to a1 is still in use.
			if got := waiting(); got.status != http.StatusOK || tr.runsOf("a2") != 1 || tr.runsOf("a1") != 1 {
				t.Errorf("got %d with %d and %d runs, want 200 from the other upstream", got.status, tr.runsOf("a1"), tr.runsOf("a2"))
			}
		})
		t.Run(c.name+", no other upstream", func(t *testing.T) {
			tr := newTier(t)
			waiting, _ := tr.waitForConnection(t)
			tr.UpdateUpstreams(c.change(slices.Clone(tr.records)))
			if got := waiting(); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || tr.runsOf("a1") != 1 {
				t.Errorf("got %d with %d runs, want 503 with Retry-After and the one that was in flight", got.status, tr.runsOf("a1"))
			}
		})
	}
}

// TestWithdrawnUpstreamIsCheckedBeforeSending guards against a request that was chosen for an upstream before its record changed, and
// that is written after that.
func TestWithdrawnUpstreamIsCheckedBeforeSending(t *testing.T) {
	for _, c := range withdrawals {
		t.Run(c.name, func(t *testing.T) {
			tr := newTier(t)
			waiting, release := tr.waitForConnection(t)
			tr.upstream(t, "a", "a2", "", proof)
			tr.upstreams.Update(c.change(slices.Clone(tr.records)))
			release()
			if got := waiting(); got.status != http.StatusOK || tr.runsOf("a2") != 1 || tr.runsOf("a1") != 1 {
				t.Errorf("got %d with %d and %d runs, want 200 from the other upstream", got.status, tr.runsOf("a1"), tr.runsOf("a2"))
			}
		})
	}
}

// TestEvacuationReleasesWaitingRequest guards against a request that waits for a connection to an evacuated data centre until one is
// free, although it can't be sent there any more.
func TestEvacuationReleasesWaitingRequest(t *testing.T) {
	tr := newTier(t)
	waiting, _ := tr.waitForConnection(t)
	tr.upstream(t, "a", "a2", "", proof)
	tr.place("a2", "z2")
	tr.SetEvacuated([]carobbend.DataCentre{"z1"})
	if got := waiting(); got.status != http.StatusOK || tr.runsOf("a2") != 1 {
		t.Errorf("got %d with %d runs elsewhere, want 200 and 1", got.status, tr.runsOf("a2"))
	}
}
