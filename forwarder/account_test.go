package forwarder

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"carobbend.example/carobbend"
)

// seenHeaders records the headers that an upstream got.
type seenHeaders struct {
	mu   sync.Mutex
	last http.Header
}

func (s *seenHeaders) handle(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	s.last = r.Header
	s.mu.Unlock()
	w.Header().Set("X-Proof", "p")
}

func (s *seenHeaders) take() http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.last
	s.last = nil
	return h
}

// accountTier returns a tier with an upstream, the route /o/, the public route /p/ and the given accounts.
func accountTier(t *testing.T, accounts ...carobbend.Account) (*tier, *seenHeaders) {
	t.Helper()
	tr := newTier(t)
	seen := &seenHeaders{}
	tr.upstream(t, "a", "a1", "", seen.handle)
	tr.routing.Accounts = accounts
	public := order(true)
	public.Name, public.Prefix, public.Public = "public", "/p/", true
	tr.route(order(true))
	tr.route(public)
	return tr, seen
}

// callWith sends a request with more headers, and the body that is written to the returned writer.
func (tr *tier) callWith(t *testing.T, path string, body io.Reader, headers ...string) int {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, tr.URL+path, body)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("X-Id", "req-1")
	r.Header.Set("X-Left", "3000")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Add(headers[i], headers[i+1])
	}
	resp, err := tr.Client().Do(r)
	if err != nil {
		t.Error(err)
		return 0
	}
	defer closeBody(t, resp)
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode == http.StatusTooManyRequests && resp.Header.Get("Retry-After") != "0.250" {
		t.Errorf("got 429 with Retry-After %q, want 0.250", resp.Header.Get("Retry-After"))
	}
	if resp.StatusCode == http.StatusUnauthorized && resp.Header.Get("WWW-Authenticate") == "" {
		t.Error("got 401 without a challenge")
	}
	return resp.StatusCode
}

// TestAccountIsPassedToUpstreams guards against keys that reach an upstream, against an account's name that a caller chose, and
// against a change for deployments without accounts.
func TestAccountIsPassedToUpstreams(t *testing.T) {
	shop := carobbend.Account{Name: "shop", Keys: []string{"k1"}, Priority: carobbend.RoutePriority}
	tr, seen := accountTier(t, shop)
	without, seenWithout := accountTier(t)
	for _, c := range []struct {
		name, path string
		headers    []string
		status     int
		account    string
	}{
		{"key", "/o/", []string{"Authorization", "Bearer k1"}, 200, "shop"},
		{"other name", "/o/", []string{"Authorization", "Bearer k1", "X-Tenant", "bank", "x-tenant", "shop"}, 200, "shop"},
		{"name named as hop-by-hop", "/o/", []string{"Authorization", "bearer k1", "Connection", "x-tenant"}, 200, "shop"},
		{"no key", "/o/", []string{"X-Tenant", "shop"}, 401, ""},
		{"unknown key", "/o/", []string{"Authorization", "Bearer k2"}, 401, ""},
		{"repeated key", "/o/", []string{"Authorization", "Bearer k1", "Authorization", "Bearer k1"}, 401, ""},
		{"public, key", "/p/", []string{"Authorization", "Bearer k1"}, 200, "shop"},
		{"public, no key", "/p/", []string{"X-Tenant", "shop"}, 200, ""},
		{"public, unknown key", "/p/", []string{"X-Tenant", "shop", "Authorization", "Bearer k2"}, 200, ""},
		{"no route", "/none/", nil, 404, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := tr.callWith(t, c.path, nil, c.headers...); got != c.status {
				t.Errorf("status: got %d, want %d", got, c.status)
			}
			h := seen.take()
			if got := strings.Join(h.Values("X-Tenant"), ","); got != c.account {
				t.Errorf("account: upstream got %q, want %q", got, c.account)
			}
			if got := h.Values("Authorization"); len(got) != 0 {
				t.Errorf("upstream got %d Authorization headers, want none", len(got))
			}
			if c.status == 404 {
				return
			}
			if got := without.callWith(t, c.path, nil, c.headers...); got != 200 {
				t.Errorf("without accounts: got %d, want 200", got)
			}
			h = seenWithout.take()
			for i := 0; i < len(c.headers); i += 2 {
				if got := strings.Join(h.Values(c.headers[i]), ","); c.headers[i] == "Authorization" && !strings.Contains(got, c.headers[i+1]) {
					t.Errorf("without accounts, upstream got %s %q, want the caller's %q", c.headers[i], got, c.headers[i+1])
				}
			}
		})
	}
}

// TestLastKeyIsWithdrawn guards against routes that are open to everyone, and keys that reach an upstream, after a routing
// withdrew the last account.
func TestLastKeyIsWithdrawn(t *testing.T) {
	tr, seen := accountTier(t, carobbend.Account{Name: "shop", Keys: []string{"k1"}})
	if got := tr.callWith(t, "/o/", nil, "Authorization", "Bearer k1"); got != 200 {
		t.Errorf("before: got %d, want 200", got)
	}
	seen.take()
	tr.routing.KeysRequired, tr.routing.Accounts = true, nil
	other := order(true)
	other.Name, other.Prefix = "other", "/other/"
	tr.route(other)
	for _, c := range []struct {
		path    string
		headers []string
		want    int
	}{
		{"/o/", []string{"Authorization", "Bearer k1"}, 401},
		{"/o/", []string{"Authorization", "Bearer k2"}, 401},
		{"/o/", []string{"X-Tenant", "shop"}, 401},
		{"/p/", []string{"Authorization", "Bearer k1", "X-Tenant", "shop"}, 200},
	} {
		if got := tr.callWith(t, c.path, nil, c.headers...); got != c.want {
			t.Errorf("%s with %q: got %d, want %d", c.path, c.headers, got, c.want)
		}
		h := seen.take()
		if c.want != 200 && h != nil {
			t.Errorf("%s with %q: an upstream ran the request", c.path, c.headers)
		}
		if h.Get("Authorization") != "" || h.Get("X-Tenant") != "" {
			t.Errorf("%s with %q: the upstream got the key or the name of an account", c.path, c.headers)
		}
	}
}

// TestKeyIsCheckedAgainAfterTheBody guards against requests that run under a key which was withdrawn, or for the account that
// held it before, after the request waited for its body.
func TestKeyIsCheckedAgainAfterTheBody(t *testing.T) {
	for _, c := range []struct {
		name    string
		after   []carobbend.Account
		status  int
		account string
	}{
		{"kept", []carobbend.Account{{Name: "shop", Keys: []string{"k1"}}}, 200, "shop"},
		{"moved", []carobbend.Account{{Name: "shop"}, {Name: "bank", Keys: []string{"k1"}}}, 200, "bank"},
		{"withdrawn", []carobbend.Account{{Name: "shop", Keys: []string{"k2"}}}, 401, ""},
		{"no accounts", nil, 200, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			tr, seen := accountTier(t, carobbend.Account{Name: "shop", Keys: []string{"k1"}})
			body, w := io.Pipe()
			status := make(chan int, 1)
			go func() { status <- tr.callWith(t, "/o/", body, "Authorization", "Bearer k1") }()
			// The request is in flight while it waits for the rest of its body.
			if _, err := w.Write([]byte("first")); err != nil {
				t.Fatal(err)
			}
			for tr.Forwarder.InFlight() == 0 {
				time.Sleep(time.Millisecond)
			}
			tr.routing.Accounts = c.after
			tr.routing.Version++
			copied := tr.routing
			tr.router.Apply(&copied)
			if err := w.Close(); err != nil {
				t.Fatal(err)
			}
			if got := <-status; got != c.status {
				t.Errorf("status: got %d, want %d", got, c.status)
			}
			if got := strings.Join(seen.take().Values("X-Tenant"), ","); got != c.account {
				t.Errorf("account: upstream got %q, want %q", got, c.account)
			}
		})
	}
}

// TestKeysChangeOnOpenConnections guards against keys that are decided once for a connection.
func TestKeysChangeOnOpenConnections(t *testing.T) {
	tr, _ := accountTier(t, carobbend.Account{Name: "shop", Keys: []string{"k1"}})
	for i, want := range []int{200, 401, 200} {
		tr.routing.Accounts = []carobbend.Account{{Name: "shop", Keys: []string{[]string{"k1", "k2", "k1"}[i]}}}
		tr.routing.Version++
		copied := tr.routing
		tr.router.Apply(&copied)
		if got := tr.callWith(t, "/o/", nil, "Authorization", "Bearer k1"); got != want {
			t.Errorf("version %d: got %d, want %d", i, got, want)
		}
	}
}

// TestPriorityOfAccount guards against an account without a priority that gets the highest one.
func TestPriorityOfAccount(t *testing.T) {
	tr, _ := accountTier(t, carobbend.Account{Name: "a", Keys: []string{"a"}, Priority: 0},
		carobbend.Account{Name: "b", Keys: []string{"b"}, Priority: carobbend.RoutePriority})
	route := order(true)
	route.Priority = 4
	tr.routing.Routes = nil
	tr.route(route)
	for key, want := range map[string]int{"a": 0, "b": 4} {
		q := &query{f: tr.Forwarder, table: tr.router.Table()}
		if refused := q.decide(http.Header{"Authorization": {"Bearer " + key}}, "h", "/o/"); refused != nil {
			t.Fatal(refused.reason)
		}
		if q.priority != want {
			t.Errorf("account %s: got priority %d, want %d", key, q.priority, want)
		}
	}
}

// fakeAllotments has a number of tokens.
type fakeAllotments struct {
	mu            sync.Mutex
	tokens, taken int
}

func (a *fakeAllotments) Check(*carobbend.Account) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return 250 * time.Millisecond, a.tokens > 0
}

func (a *fakeAllotments) Take(context.Context, *carobbend.Account) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.tokens == 0 {
		return 250 * time.Millisecond, false
	}
	a.tokens--
	a.taken++
	return 0, true
}

func (a *fakeAllotments) Return(*carobbend.Account) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tokens++
}

// TestRequestsBeyondTheLimit guards against requests beyond the limit of an account that reach an upstream, against several tokens
// for a request to many shards, against tokens that are lost with requests that no upstream ran, and against limits for accounts
// without one.
func TestRequestsBeyondTheLimit(t *testing.T) {
	limited := carobbend.Account{Name: "shop", Keys: []string{"k1"}, Rate: 1, Burst: 1}
	tr, _ := accountTier(t, limited, carobbend.Account{Name: "free", Keys: []string{"k2"}})
	shed := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	tr.upstream(t, "shedding", "s1", "", shed)
	tr.upstream(t, "b", "b1", record("x"), nil)
	tr.upstream(t, "c", "c1", record("y"), nil)
	refused := order(false)
	refused.Prefix, refused.Split = "/r/", []carobbend.WeightedService{{Service: "shedding", Weight: 1}}
	tr.route(refused)
	tr.route(search("b", "c"))
	allotments := &fakeAllotments{tokens: 3}
	tr.Allotments = allotments
	for _, c := range []struct {
		path, key, body string
		status, tokens  int
	}{
		{"/s/", "k1", "", 200, 2},
		{"/r/", "k1", "", 503, 2},
		{"/none/", "k1", "", 404, 2},
		{"/o/", "k3", "", 401, 2},
		{"/o/", "k2", "", 200, 2},
		{"/o/", "k1", "body", 200, 1},
		{"/p/", "k1", "", 200, 0},
		{"/o/", "k1", "", 429, 0},
		{"/o/", "k1", "body", 429, 0},
		{"/p/", "k1", "", 429, 0},
		{"/p/", "k3", "", 200, 0},
		{"/o/", "k2", "", 200, 0},
	} {
		runs := tr.runsOf("a1")
		got := tr.callWith(t, c.path, strings.NewReader(c.body), "Authorization", "Bearer "+c.key)
		if got != c.status || allotments.tokens != c.tokens {
			t.Errorf("%s with %s: got %d and %d tokens left, want %d and %d", c.path, c.key, got, allotments.tokens, c.status, c.tokens)
		}
		if ran := tr.runsOf("a1") - runs; got == 429 && ran > 0 {
			t.Errorf("%s with %s: got %d runs of a refused request", c.path, c.key, ran)
		}
	}
}

// TestOldTokenIsRenewed guards against a request that runs long after its token was taken, since upstreams refused it for a while:
// it would count in another window.
func TestOldTokenIsRenewed(t *testing.T) {
	tr, _ := accountTier(t, carobbend.Account{Name: "shop", Keys: []string{"k1"}, Rate: 1, Burst: 1})
	for _, id := range []string{"s1", "s2"} {
		tr.upstream(t, "shedding", id, "", func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			time.Sleep(tokenValidity + 50*time.Millisecond)
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
	}
	route := order(false)
	route.Prefix, route.Split = "/r/", []carobbend.WeightedService{{Service: "shedding", Weight: 1}}
	tr.route(route)
	allotments := &fakeAllotments{tokens: 1}
	tr.Allotments = allotments
	got := tr.callWith(t, "/r/", nil, "Authorization", "Bearer k1")
	if asked := tr.runsOf("s1") + tr.runsOf("s2"); got != 429 || asked != 1 || allotments.tokens != 0 {
		t.Errorf("got %d after %d attempts, %d tokens left, want 429 after 1 and 0", got, asked, allotments.tokens)
	}
}
