package forwarder

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"carobbend.example/carobbend"
)

// wantNotRun checks that a request was refused as not run.
func wantNotRun(t *testing.T, got answer) {
	t.Helper()
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("got %d with Retry-After %q, want 503 with a time", got.status, got.header.Get("Retry-After"))
	}
}

// TestRefusingReleasesWaitingRequest guards against a request that waits for a connection when the instance begins to refuse, and that
// is sent so late before the end of the process that its answer is cut off.
func TestRefusingReleasesWaitingRequest(t *testing.T) {
	tr := newTier(t)
	waiting, release := tr.waitForConnection(t)
	tr.Refuse()
	// The connection is still in use.
	wantNotRun(t, waiting())
	release()
	if got := tr.runsOf("a1"); got != 1 {
		t.Errorf("runs: got %d, want the one in flight", got)
	}
}

// TestRefusingChecksAgainAfterTheBody guards against a request that is sent although the instance began to refuse while its body
// arrived.
func TestRefusingChecksAgainAfterTheBody(t *testing.T) {
	for _, accounts := range [][]carobbend.Account{nil, {{Name: "shop", Keys: []string{"k1"}}}} {
		tr, seen := accountTier(t, accounts...)
		r, w := io.Pipe()
		status := make(chan int)
		go func() { status <- tr.callWith(t, "/o/", r, "Authorization", "Bearer k1") }()
		// The pipe takes the bytes once the request is sent.
		if _, err := io.WriteString(w, "x"); err != nil {
			t.Fatal(err)
		}
		for tr.Arriving.Used() == 0 {
			time.Sleep(time.Millisecond)
		}
		tr.Refuse()
		if err := w.Close(); err != nil {
			t.Fatal(err)
		}
		if got := <-status; got != http.StatusServiceUnavailable || seen.take() != nil {
			t.Errorf("with %d accounts: got %d, want 503 and no request at the upstream", len(accounts), got)
		}
	}
}

// TestRefusingSendsNoMoreOrders guards against a request that was shed, and is sent to another upstream after the instance began to
// refuse; it didn't run, so another instance can take it.
func TestRefusingSendsNoMoreOrders(t *testing.T) {
	tr := newTier(t)
	var runs atomic.Int64
	shed := func(w http.ResponseWriter, _ *http.Request) {
		if runs.Add(1) == 1 {
			tr.Refuse()
		}
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	tr.upstream(t, "a", "a1", "", shed)
	tr.upstream(t, "a", "a2", "", shed)
	tr.route(order(false))
	got, _ := tr.call(t, "POST", "/o/1", "x")
	wantNotRun(t, got)
	if got := runs.Load(); got != 1 {
		t.Errorf("requests sent: got %d, want 1", got)
	}
}

// TestRefusingCompletesRequestsInFlight guards against a query whose shards are no longer retried, or a request whose answer is lost,
// because the instance began to refuse.
func TestRefusingCompletesRequestsInFlight(t *testing.T) {
	tr := newTier(t)
	running, release := make(chan struct{}, 10), make(chan struct{})
	var failed sync.Once
	tr.upstream(t, "a", "a1", "", func(w http.ResponseWriter, r *http.Request) {
		running <- struct{}{}
		<-release
		status := 0
		failed.Do(func() { status = http.StatusInternalServerError })
		if status != 0 {
			w.WriteHeader(status)
			return
		}
		proof(w, r)
	})
	tr.upstream(t, "b", "b1", "", func(w http.ResponseWriter, r *http.Request) {
		running <- struct{}{}
		<-release
		proof(w, r)
	})
	tr.upstream(t, "a", "a2", "", proof)
	tr.Restrictor.SetEvacuated([]carobbend.DataCentre{"z1"})
	tr.place("a2", "z1")
	query := search("a", "b")
	query.MinCoverage = 1
	tr.route(query)
	var calls sync.WaitGroup
	calls.Go(func() {
		if got, _ := tr.call(t, "GET", "/s/1", ""); got.status != http.StatusOK || got.header.Get("X-Missing") != "0" {
			t.Errorf("got %d, missing %q, want 200 with all shards", got.status, got.header.Get("X-Missing"))
		}
	})
	<-running
	<-running
	tr.Refuse()
	tr.Restrictor.SetEvacuated(nil)
	close(release)
	calls.Wait()
}
