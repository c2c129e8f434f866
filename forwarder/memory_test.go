package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"carobbend.example/carobbend/limiter"
)

// TestLongReplies guards against refusing long replies, against keeping them in memory, and against long shard replies that
// don't count as covered.
func TestLongReplies(t *testing.T) {
	long := strings.Repeat(record("m"), 1<<17)
	tr := newTier(t)
	tr.upstream(t, "a", "a1", long, nil)
	tr.upstream(t, "b", "b1", long+record("z"), nil)
	tr.route(order(true))
	tr.route(search("a", "b"))
	if resp, body := tr.call(t, "GET", "/o/1", ""); resp.status != http.StatusOK || body != long {
		t.Errorf("got %d and %d bytes, want 200 and %d", resp.status, len(body), len(long))
	}
	resp, body := tr.call(t, "GET", "/s/1", "")
	if want := record("z") + record("m") + record("m"); resp.status != http.StatusOK || body != want {
		t.Errorf("got %d %q, want 200 %q", resp.status, body, want)
	}
}

// TestTruncatedReplyAbortsAnswer guards against an answer that looks complete although the upstream aborted its reply.
func TestTruncatedReplyAbortsAnswer(t *testing.T) {
	for _, length := range []string{"", "4194304"} {
		tr := newTier(t)
		tr.upstream(t, "a", "a1", "", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Proof", "p")
			if length != "" {
				w.Header().Set("Content-Length", length)
			}
			_, _ = io.WriteString(w, strings.Repeat("x", 1<<20))
			panic(http.ErrAbortHandler)
		})
		tr.route(order(false))
		r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, tr.URL+"/o/1", nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Host = "h"
		r.Header.Set("X-Id", "req-1")
		resp, err := tr.Client().Do(r)
		if err != nil {
			t.Fatal(err)
		}
		if n, err := io.Copy(io.Discard, resp.Body); err == nil {
			t.Errorf("length %q: got %d bytes and a regular end, want an error", length, n)
		}
		closeBody(t, resp)
		if got := tr.runsOf("a1"); got != 1 {
			t.Errorf("length %q: got %d runs, want 1", length, got)
		}
	}
}

// TestMemoryBound guards against a process that exceeds its memory when many callers at once send bodies at the size limit to
// upstreams that don't reply. Requests that don't fit are refused as not run, and the rest is served.
func TestMemoryBound(t *testing.T) {
	const (
		bodyBytes = 1 << 20
		callers   = 120
		bound     = 24 << 20
		// heapBound leaves room for the test's own callers, servers and buffers, and for garbage.
		heapBound = 3 * bound
	)
	release := make(chan struct{})
	tr := newTier(t)
	tr.Memory = limiter.NewBytes(bound)
	tr.upstream(t, "a", "a1", "", func(w http.ResponseWriter, r *http.Request) {
		<-release
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Proof", "p")
	})
	tr.routing.Limits.BodyBytes = bodyBytes
	tr.route(order(false))
	var served, refused, other atomic.Int64
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			body := io.LimitReader(zeros{}, bodyBytes)
			r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, tr.URL+"/o/1", body)
			if err != nil {
				t.Error(err)
				return
			}
			if i%2 == 0 {
				r.ContentLength = bodyBytes
			}
			r.Host = "h"
			r.Header.Set("X-Id", "req-1")
			resp, err := tr.Client().Do(r)
			if err != nil {
				// A refusal before the body was read may end the connection.
				other.Add(1)
				return
			}
			defer closeBody(t, resp)
			switch resp.StatusCode {
			case http.StatusOK:
				served.Add(1)
			case http.StatusServiceUnavailable:
				refused.Add(1)
			default:
				other.Add(1)
			}
		})
	}
	for deadline := time.Now().Add(5 * time.Second); refused.Load()+other.Load() < callers/2 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	close(release)
	wg.Wait()
	if m.HeapAlloc > heapBound {
		t.Errorf("heap: got %d MB, want at most %d", m.HeapAlloc>>20, heapBound>>20)
	}
	if served.Load() == 0 || refused.Load() == 0 || tr.runsOf("a1") > served.Load()+other.Load() {
		t.Errorf("served %d, refused %d, other %d, runs %d; want some served, the others refused without a run",
			served.Load(), refused.Load(), other.Load(), tr.runsOf("a1"))
	}
	// The server ends a request after its answer was sent.
	for deadline := time.Now().Add(5 * time.Second); tr.Memory.Used() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("reserved after the end: got %d bytes, want 0", tr.Memory.Used())
		}
	}
}

// zeros is an endless reader of zeros.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, errors.New("read into an empty buffer")
	}
	clear(p)
	return len(p), nil
}

// TestArrivingBodies guards against bodies that take the memory of complete requests while they arrive, and against memory that
// isn't returned once they have arrived.
func TestArrivingBodies(t *testing.T) {
	tr := newTier(t)
	tr.Arriving = limiter.NewBytes(requestBytes + 1000)
	held := make(chan int64, 1)
	tr.upstream(t, "a", "a1", "", func(w http.ResponseWriter, _ *http.Request) {
		held <- tr.Arriving.Used()
		w.Header().Set("X-Proof", "p")
	})
	tr.route(order(false))
	if resp, _ := tr.call(t, "POST", "/o/1", strings.Repeat("b", 1001)); resp.status != http.StatusServiceUnavailable || resp.header.Get("Retry-After") == "" {
		t.Errorf("body over the bound: got %d, Retry-After %q, want 503 with a time", resp.status, resp.header.Get("Retry-After"))
	}
	if got := tr.runsOf("a1"); got != 0 {
		t.Errorf("runs of the refused request: got %d, want 0", got)
	}
	if resp, _ := tr.call(t, "POST", "/o/1", strings.Repeat("b", 1000)); resp.status != http.StatusOK {
		t.Errorf("body within the bound: got %d, want 200", resp.status)
	}
	if got := <-held; got != 0 {
		t.Errorf("held while the request runs: got %d bytes, want 0", got)
	}
	// Short bodies hold the memory of their requests, too.
	other, _ := tr.Arriving.Reserve(1001)
	defer other.Release()
	if resp, _ := tr.call(t, "POST", "/o/1", "b"); resp.status != http.StatusServiceUnavailable {
		t.Errorf("short body beside others: got %d, want 503", resp.status)
	}
}
