package main

import (
	"fmt"
	"net/http"
	"os"
	"testing"
)

// startServeCrowdStand starts one instance that serves queries and operations, with the emulated platform.
func startServeCrowdStand(t *testing.T) *crowdStand {
	t.Helper()
	const query = `{"index":"desk","text":"t"}`
	s := newCrowdStand(t, []ordinaryRequest{
		{"admin", http.MethodGet, "/readyz", "", "ready"},
		{"admin", http.MethodGet, "/metrics", "", "carobbend_ready"},
		{"callers", http.MethodPost, "/v1/query", query, "query-id"},
	})
	f := startTierWithout(t)
	file := f.settings("leon-1")
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, fmt.Appendf(b, "memory-mb: %d\n", crowdMemoryMB), 0o600); err != nil {
		t.Fatal(err)
	}
	s.instance = startWithFDs(t, "leon-1", crowdMaxFDs, "serve", "--settings", file)
	var ready serveReady
	s.instance.readyLine(&ready)
	s.addresses = map[string]string{"callers": ready.Callers, "admin": ready.Admin, "peers": ready.Peers}
	t.Cleanup(s.check)
	s.mustServe("at the start")
	return s
}

// TestServeCrowds guards against the same callers as TestCrowds for an instance that serves queries and operations.
func TestServeCrowds(t *testing.T) {
	if testing.Short() {
		t.Skip("starts many processes")
	}
	const token = "Authorization: Bearer tester-secret\r\nContent-Type: application/json\r\n"
	const operation = `{"operation":"book","key":"01ARZ3NDEKTSV4RRFFQ69G5FAV","body":"`
	runCrowds(t, []crowdPlace{
		{"operation", "callers", "/v1/operations", "/v1/operations", "/v1/addresses", token, operation},
		{"no route", "callers", "/none", "/none", "/none", "", ""},
		{"readiness", "admin", "/readyz", "/readyz", "/metrics", "", ""},
		{"peers", "peers", "/", "/", "/", "", ""},
	}, startServeCrowdStand)
}
