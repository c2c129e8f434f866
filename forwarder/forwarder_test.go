package forwarder

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/exchanger"
	"carobbend.example/carobbend/hedger"
	"carobbend.example/carobbend/router"
	"carobbend.example/carobbend/scatterer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var names = Headers{
	Headers: exchanger.Headers{
		RequestID: "X-Id", Deadline: "X-Left", Upstream: "X-Upstream", NotRun: "X-Not-Run", Load: "X-Load", Leaving: "X-Leaving",
	},
	Proof: "X-Proof", Proofs: "X-Proofs", Missing: "X-Missing", Account: "X-Tenant",
}

// tier is a forwarder with test upstreams.
type tier struct {
	*Forwarder
	*httptest.Server
	routing carobbend.Routing
	records []carobbend.UpstreamRecord
	router  *router.Router
	runs    sync.Map
}

func newTier(t *testing.T) *tier {
	t.Helper()
	x := exchanger.New(names.Headers)
	retryBudget := hedger.NewWindowBudget(time.Millisecond)
	retryBudget.Set(time.Now(), 1, 100)
	r := &router.Router{}
	upstreams := &UpstreamSet{}
	f := New(Config{
		Headers: names, Router: r, Upstreams: upstreams, Exchanger: x, RetryBudget: retryBudget, Hedger: hedger.New(),
		Balancer: scatterer.NewBalancer(),
	})
	s := httptest.NewUnstartedServer(f)
	s.Config.ConnContext = ConnContext
	s.Start()
	tr := &tier{Forwarder: f, Server: s, router: r}
	t.Cleanup(func() {
		s.Close()
		for _, u := range tr.records {
			x.Remove(u.ID)
		}
		// Canceled attempts end on their own goroutines.
		for x.Open() > 0 {
			time.Sleep(time.Millisecond)
		}
	})
	return tr
}

// upstream adds a test upstream; if handle is nil, it replies with the records and a proof.
func (tr *tier) upstream(t *testing.T, service, id, records string, handle http.HandlerFunc) {
	t.Helper()
	runs := &atomic.Int64{}
	tr.runs.Store(id, runs)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		if handle != nil {
			handle(w, r)
			return
		}
		w.Header().Set("X-Proof", "proof-"+id)
		_, _ = io.WriteString(w, records)
	}))
	t.Cleanup(s.Close)
	tr.records = append(tr.records, carobbend.UpstreamRecord{
		ID: carobbend.UpstreamID(id), Service: service, Address: s.Listener.Addr().String(),
	})
	tr.upstreams.Update(tr.records)
}

func (tr *tier) runsOf(id string) int64 {
	v, _ := tr.runs.Load(id)
	n, _ := v.(*atomic.Int64)
	return n.Load()
}

func (tr *tier) route(r carobbend.Route) {
	tr.routing.Version++
	tr.routing.Routes = append(tr.routing.Routes, r)
	copied := tr.routing
	tr.router.Apply(&copied)
}

// answer is the response that a caller got.
type answer struct {
	status int
	header http.Header
	close  bool
}

// call sends a request to host "h" and returns the answer and its body.
func (tr *tier) call(t *testing.T, method, path, body string) (answer, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, tr.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("X-Id", "req-1")
	r.Header.Set("X-Left", "3000")
	resp, err := tr.Client().Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer closeBody(t, resp)
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return answer{resp.StatusCode, resp.Header, resp.Close}, string(b)
}

func closeBody(t *testing.T, resp *http.Response) {
	t.Helper()
	if err := resp.Body.Close(); err != nil {
		t.Log(err)
	}
}

func record(s string) string { return fmt.Sprintf("%-16s", s) }

func search(shards ...string) carobbend.Route {
	return carobbend.Route{
		Name: "search", Host: "h", Prefix: "/s/", Repeatable: true, Attempts: 2, Shards: shards, Records: 3,
		MinCoverage: 0.6, Target: 300 * time.Millisecond, Timeout: 2 * time.Second,
	}
}

func order(repeatable bool) carobbend.Route {
	return carobbend.Route{
		Name: "order", Host: "h", Prefix: "/o/", Repeatable: repeatable, Attempts: 2, Timeout: 2 * time.Second,
		Target: 200 * time.Millisecond, Split: []carobbend.WeightedService{{Service: "a", Weight: 1}},
	}
}

// TestCombinedAnswer guards against a combined answer that isn't the merged records of all shards, or lacks the headers that
// state its proofs and missing shards.
func TestCombinedAnswer(t *testing.T) {
	tr := newTier(t)
	tr.upstream(t, "a", "a1", record("b")+record("e")+"rest", nil)
	tr.upstream(t, "b", "b1", record("a")+record("d"), nil)
	tr.upstream(t, "c", "c1", record("c"), nil)
	tr.route(search("a", "b", "c"))
	resp, body := tr.call(t, "GET", "/s/1", "")
	if want := record("e") + record("d") + record("c"); resp.status != http.StatusOK || body != want {
		t.Errorf("got %d %q, want 200 %q", resp.status, body, want)
	}
	if got := resp.header.Get("X-Missing"); got != "0" {
		t.Errorf("missing: got %q, want 0", got)
	}
	if got := resp.header.Get("X-Proofs"); got != "proof-a1, proof-b1, proof-c1" {
		t.Errorf("proofs: got %q, want those of all shards", got)
	}
}

// TestInvalidRepliesAreNotCovered guards against counting shards whose reply is a failure, has no proof, is encoded or belongs
// to another request.
func TestInvalidRepliesAreNotCovered(t *testing.T) {
	for name, handle := range map[string]http.HandlerFunc{
		"failure with a proof": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Proof", "p")
			w.WriteHeader(http.StatusInternalServerError)
		},
		"success without a proof": func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, record("z")) },
		"encoded": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Proof", "p")
			w.Header().Set("Content-Encoding", "gzip")
			_, _ = io.WriteString(w, record("z"))
		},
		"another request's": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Id", "other")
			w.Header().Set("X-Proof", "p")
			_, _ = io.WriteString(w, record("z"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			tr := newTier(t)
			tr.upstream(t, "a", "a1", record("b"), nil)
			tr.upstream(t, "b", "b1", record("a"), nil)
			tr.upstream(t, "c", "c1", "", handle)
			tr.route(search("a", "b", "c"))
			resp, body := tr.call(t, "GET", "/s/1", "")
			if want := record("b") + record("a"); resp.status != http.StatusOK || body != want || resp.header.Get("X-Missing") != "1" {
				t.Errorf("got %d %q missing %q, want 200 %q missing 1", resp.status, body, resp.header.Get("X-Missing"), want)
			}
		})
	}
}

// TestFailedShards guards against an answer below the minimum coverage, and against a caller that waits until the time-out once
// the coverage can't be reached.
func TestFailedShards(t *testing.T) {
	tr := newTier(t)
	fail := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	tr.upstream(t, "a", "a1", record("b"), nil)
	tr.upstream(t, "b", "b1", "", fail)
	tr.upstream(t, "c", "c1", "", fail)
	tr.route(search("a", "b", "c"))
	resp, _ := tr.call(t, "GET", "/s/1", "")
	// Waiting until the route's time-out would give 504.
	if resp.status != http.StatusBadGateway {
		t.Errorf("status: got %d, want 502, since attempts ran", resp.status)
	}
}

// TestRefusedBeforeAnyRun guards against a refusal without the status that promises that nothing ran, and against one after an
// upstream was asked.
func TestRefusedBeforeAnyRun(t *testing.T) {
	tr := newTier(t)
	tr.upstream(t, "a", "a1", record("b"), nil)
	tr.route(search("a", "b", "c"))
	resp, _ := tr.call(t, "GET", "/s/1", "")
	if resp.status != http.StatusServiceUnavailable || resp.header.Get("Retry-After") == "" {
		t.Errorf("got %d, Retry-After %q, want 503 with a time", resp.status, resp.header.Get("Retry-After"))
	}
	if got := tr.runsOf("a1"); got != 0 {
		t.Errorf("runs: got %d, want 0 where coverage can't be reached", got)
	}
}

// TestRunsOnce guards against a second run of a request that isn't repeatable.
func TestRunsOnce(t *testing.T) {
	hang := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(400 * time.Millisecond)
		w.Header().Set("X-Proof", "p")
	}
	drop := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	notRun := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	fail := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Proof", "p")
		w.WriteHeader(http.StatusInternalServerError)
	}
	for _, c := range []struct {
		name       string
		handle     http.HandlerFunc
		repeatable bool
		status     int
		runs       int64
	}{
		{"slow, once", hang, false, http.StatusOK, 1},
		{"slow, repeatable", hang, true, http.StatusOK, 2},
		{"connection lost, once", drop, false, http.StatusBadGateway, 1},
		{"connection lost, repeatable", drop, true, http.StatusBadGateway, 2},
		{"failure, once", fail, false, http.StatusInternalServerError, 1},
		{"failure, repeatable", fail, true, http.StatusInternalServerError, 2},
		{"not run, once", notRun, false, http.StatusServiceUnavailable, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			tr := newTier(t)
			tr.upstream(t, "a", "a1", "", c.handle)
			tr.upstream(t, "a", "a2", "", c.handle)
			tr.route(order(c.repeatable))
			resp, _ := tr.call(t, "POST", "/o/1", "body")
			if resp.status != c.status {
				t.Errorf("status: got %d, want %d", resp.status, c.status)
			}
			if got := tr.runsOf("a1") + tr.runsOf("a2"); got != c.runs {
				t.Errorf("upstreams asked: got %d, want %d", got, c.runs)
			}
		})
	}
}

// TestRequestAndReplyAreRelayedUnchanged guards against changes to the target, host, body, end-to-end headers or status between
// caller and upstream.
func TestRequestAndReplyAreRelayedUnchanged(t *testing.T) {
	tr := newTier(t)
	var seen struct {
		uri, host, id, body, own, hop string
	}
	tr.upstream(t, "a", "a1", "", func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		seen.uri, seen.host, seen.id, seen.body = r.RequestURI, r.Host, r.Header.Get("X-Id"), string(b)
		seen.own, seen.hop = r.Header.Get("X-Own"), r.Header.Get("X-Hop")
		w.Header().Set("X-Proof", "p1")
		w.Header().Set("X-Answer", "yes")
		w.WriteHeader(http.StatusCreated)
		_, _ = w.Write([]byte{0, 1, 2, 255})
	})
	tr.route(order(false))
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPut, tr.URL+"/o/a%2Fb//../c?x=%20&y", struct{ io.Reader }{strings.NewReader("some body")})
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "H:80"
	for k, v := range map[string]string{"X-Id": "i1", "X-Left": "900", "X-Own": "1", "X-Hop": "2", "Connection": "x-hop"} {
		r.Header.Set(k, v)
	}
	resp, err := tr.Client().Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer closeBody(t, resp)
	body, _ := io.ReadAll(resp.Body)
	if seen.uri != "/o/a%2Fb//../c?x=%20&y" || seen.host != "H:80" || seen.id != "i1" || seen.body != "some body" {
		t.Errorf("upstream got %+v, want target, host, id and body unchanged", seen)
	}
	if seen.own != "1" || seen.hop != "" {
		t.Errorf("headers: got own %q, hop-by-hop %q, want the first alone", seen.own, seen.hop)
	}
	if resp.StatusCode != http.StatusCreated || !bytes.Equal(body, []byte{0, 1, 2, 255}) || resp.Header.Get("X-Proof") != "p1" || resp.Header.Get("X-Answer") != "yes" {
		t.Errorf("caller got %d %v %v, want the upstream's answer", resp.StatusCode, body, resp.Header)
	}
}

// TestOwnStatuses guards against wrong statuses of the answers that this instance gives itself.
func TestOwnStatuses(t *testing.T) {
	tr := newTier(t)
	resp, _ := tr.call(t, "GET", "/o/1", "")
	if resp.status != http.StatusServiceUnavailable {
		t.Errorf("without a routing: got %d, want 503, since 404 would deny what is allowed", resp.status)
	}
	tr.upstream(t, "a", "a1", "", func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	tr.routing.Limits.BodyBytes = 10
	tr.route(order(false))
	if resp, _ := tr.call(t, "GET", "/none", ""); resp.status != http.StatusNotFound {
		t.Errorf("without a route: got %d, want 404", resp.status)
	}
	if resp, _ := tr.call(t, "POST", "/o/1", "longer than that"); resp.status != http.StatusRequestEntityTooLarge {
		t.Errorf("with a long body: got %d, want 413", resp.status)
	}
	if got := tr.runsOf("a1"); got != 0 {
		t.Errorf("runs: got %d, want 0", got)
	}
	tr.Refuse()
	tr.Drain()
	if resp, _ := tr.call(t, "GET", "/o/1", ""); resp.status != http.StatusServiceUnavailable || !resp.close {
		t.Errorf("while stopping: got %d, close %v, want 503 and a closing connection", resp.status, resp.close)
	}
}

// TestCallerLeaves guards against upstreams that keep working for a caller that has disconnected.
func TestCallerLeaves(t *testing.T) {
	tr := newTier(t)
	arrived, left := make(chan struct{}), make(chan struct{})
	tr.upstream(t, "a", "a1", "", func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
		close(left)
	})
	tr.route(order(false))
	c, err := net.Dial("tcp4", tr.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, err = fmt.Fprint(c, "GET /o/1 HTTP/1.1\r\nHost: h\r\nX-Id: i\r\nX-Left: 5000\r\n\r\n")
	if err != nil {
		t.Fatal(err)
	}
	<-arrived
	if err := c.Close(); err != nil {
		t.Error(err)
	}
	<-left
}

// TestTimeout guards against callers that wait longer than the route's time-out.
func TestTimeout(t *testing.T) {
	tr := newTier(t)
	left := make(chan struct{})
	tr.upstream(t, "a", "a1", "", func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(left)
	})
	r := order(false)
	r.Timeout = 100 * time.Millisecond
	tr.route(r)
	resp, _ := tr.call(t, "GET", "/o/1", "")
	if resp.status != http.StatusGatewayTimeout {
		t.Errorf("status: got %d, want 504", resp.status)
	}
	<-left
}

// TestSplitKeepsShareOfServiceWithoutUpstreams guards against sending the requests of a service without upstreams to another
// service of the split.
func TestSplitKeepsShareOfServiceWithoutUpstreams(t *testing.T) {
	tr := newTier(t)
	tr.upstream(t, "a", "a1", "", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Proof", "p") })
	r := order(true)
	r.Split = append(r.Split, carobbend.WeightedService{Service: "b", Weight: 1})
	tr.route(r)
	got := map[int]int{}
	for range 10 {
		resp, _ := tr.call(t, "GET", "/o/1", "")
		got[resp.status]++
	}
	if got[http.StatusOK] != 5 || got[http.StatusServiceUnavailable] != 5 {
		t.Errorf("statuses: got %v, want 5 times 200 and 5 times 503", got)
	}
}

// TestUpstreamSetUpdate guards against missed changes of the set, such as a new process under a known id, and against leaving
// upstreams as candidates.
func TestUpstreamSetUpdate(t *testing.T) {
	var s UpstreamSet
	up := func(id string, startedMs int64, leaving bool) carobbend.UpstreamRecord {
		return carobbend.UpstreamRecord{ID: carobbend.UpstreamID(id), Service: "s", Address: "127.0.0.1:1", StartedMs: startedMs, Leaving: leaving}
	}
	s.Update([]carobbend.UpstreamRecord{up("a", 1, false), up("b", 1, false), up("c", 1, false)})
	c := s.Update([]carobbend.UpstreamRecord{up("a", 2, false), up("b", 1, true), up("d", 1, false)})
	if len(c.Joined) != 2 || c.Joined[0].ID != "a" || c.Joined[1].ID != "d" {
		t.Errorf("joined: got %v, want a, which is a new process, and d", c.Joined)
	}
	if len(c.Leaving) != 1 || c.Leaving[0].ID != "b" || len(c.Left) != 1 || c.Left[0].ID != "c" {
		t.Errorf("got leaving %v, left %v, want b and c", c.Leaving, c.Left)
	}
	if got := s.Candidates("s"); len(got) != 2 {
		t.Errorf("candidates: got %v, want a and d", got)
	}
}

// TestStop guards against a planned stop that cuts off a request whose upstream doesn't reply in time: the caller gets a status
// that leaves open whether the request ran.
func TestStop(t *testing.T) {
	tr := newTier(t)
	running, release := make(chan struct{}), make(chan struct{})
	tr.upstream(t, "a", "a1", "", func(http.ResponseWriter, *http.Request) {
		close(running)
		<-release
	})
	defer close(release)
	tr.route(order(false))
	go func() {
		<-running
		tr.Drain()
		tr.Refuse()
		tr.Stop()
	}()
	if resp, _ := tr.call(t, "POST", "/o/1", "x"); resp.status != http.StatusBadGateway || !resp.close {
		t.Errorf("got %d, close %v, want 502 and the end of the connection", resp.status, resp.close)
	}
}

// TestRunningAttemptSurvivesMissingRecord guards against canceling a running attempt, or repeating it elsewhere, when an upstream
// is only slow to report: its record disappears while the attempt runs.
func TestRunningAttemptSurvivesMissingRecord(t *testing.T) {
	tr := newTier(t)
	running, release := make(chan struct{}), make(chan struct{})
	tr.upstream(t, "a", "a1", "", func(w http.ResponseWriter, _ *http.Request) {
		close(running)
		<-release
		w.Header().Set("X-Proof", "p")
	})
	tr.route(order(false))
	go func() {
		<-running
		for _, left := range tr.upstreams.Update(nil).Left {
			tr.Balancer.Remove(left.ID)
			tr.Exchanger.Remove(left.ID)
		}
		tr.upstream(t, "a", "a2", "", nil)
		close(release)
	}()
	if resp, _ := tr.call(t, "POST", "/o/1", "x"); resp.status != http.StatusOK {
		t.Errorf("got %d, want 200 from the upstream that was asked", resp.status)
	}
	if got := tr.runsOf("a1") + tr.runsOf("a2"); got != 1 {
		t.Errorf("runs: got %d, want 1", got)
	}
}
