package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

// TestOddEntryOfAnotherWriter guards against an instance that ends, doesn't serve, or sends requests with headers of another writer,
// because of an entry among those of the upstreams.
func TestOddEntryOfAnotherWriter(t *testing.T) {
	var injected atomic.Int64
	odd := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Injected") != "" {
			injected.Add(1)
		}
	}))
	defer odd.Close()
	// Each differs from a usable entry in what the name of its id says.
	whole := `{"upstream":"works","address":"` + odd.Listener.Addr().String() +
		`","zone":"leon","version":"1","capacity":100,"state":"ready","warmup_left_ms":0,"sequence":1,"born":17}`
	with := func(before, after string) string { return strings.Replace(whole, before, after, 1) }
	s := newCrowdStand(t, []ordinaryRequest{
		{"readiness", http.MethodGet, "/ready", "", ""},
		{"callers", http.MethodPost, "/o/1", strings.Repeat("b", 64), "64"},
	})
	s.startForward(serveCrowdUpstream, map[string]string{
		"servers/works-2\r\nX-Injected: 1": whole,
		"servers/deep":                     with(`"born":17`, `"born":`+strings.Repeat(`{"a":`, 200_000)+"1"+strings.Repeat("}", 200_000)),
		"servers/number":                   with(`"capacity":100`, `"capacity":1e999`),
		"servers/integer":                  with(`"sequence":1`, `"sequence":99999999999999999999`),
		"servers/port":                     with(odd.Listener.Addr().String(), "127.0.0.1:99999"),
		"servers/no-port":                  with(odd.Listener.Addr().String(), "127.0.0.1:0"),
	}, "")
	t.Cleanup(s.check)
	s.mustServe("with odd entries")
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			for range 5 {
				r, err := http.NewRequest(http.MethodPost, "http://"+s.addresses["callers"]+"/n/1", strings.NewReader("b"))
				if err != nil {
					t.Error(err)
					return
				}
				r.Host = "h"
				r.Header.Set("X-Request-Id", "odd")
				resp, err := s.client.Do(r)
				if err != nil {
					t.Errorf("got %v, want an answer", err)
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					t.Errorf("got %d, want 200 from the upstream with a usable entry", resp.StatusCode)
				}
			}
		})
	}
	callers.Wait()
	if got := injected.Load(); got != 0 {
		t.Errorf("requests with a header of another writer: got %d, want 0", got)
	}
}
