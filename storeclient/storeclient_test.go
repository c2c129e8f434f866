package storeclient

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/emulator"
)

var _ carobbend.Store = (*Client)(nil)

// longTimeout is a time-out that no call of these tests reaches.
const longTimeout = time.Minute

func newStore(t *testing.T, opts ...Option) (*emulator.Store, *Client) {
	t.Helper()
	s := emulator.NewStore()
	srv := httptest.NewServer(s)
	c := New(srv.URL, append([]Option{WithTimeout(longTimeout), WithRate(1000), WithBackOff(0, 0)}, opts...)...)
	t.Cleanup(func() { c.Close(); srv.Close() })
	return s, c
}

// Guards against values, revisions and conflicts that HTTP requests or replies carry wrongly.
func TestStoreOverHTTP(t *testing.T) {
	ctx := t.Context()
	_, c := newStore(t)
	value := []byte("a\x00\xff")
	for _, step := range []struct {
		revision uint64
		want     bool
	}{{7, false}, {0, true}, {0, false}} {
		if got, err := c.CompareAndSwap(ctx, "carobbend/x y", value, step.revision); err != nil || got != step.want {
			t.Fatalf("swap from %d: got %v, %v, want %v", step.revision, got, err, step.want)
		}
	}
	e, err := c.Get(ctx, "carobbend/x y")
	if err != nil || !reflect.DeepEqual(e.Value, value) || e.Revision == 0 {
		t.Fatalf("get: got %v, %v", e, err)
	}
	if e, err := c.Get(ctx, "missing"); err != nil || e.Revision != 0 {
		t.Fatalf("missing key: got %v, %v", e, err)
	}
	done := make(chan carobbend.Entry, 1)
	go func() {
		w, err := c.Watch(ctx, "carobbend/x y", e.Revision, longTimeout)
		if err != nil {
			t.Error(err)
		}
		done <- w
	}()
	if ok, err := c.CompareAndSwap(ctx, "carobbend/x y", nil, e.Revision); !ok || err != nil {
		t.Fatalf("swap: got %v, %v", ok, err)
	}
	if w := <-done; w.Revision <= e.Revision || len(w.Value) != 0 {
		t.Errorf("watch: got %v", w)
	}
	want := Calls{Gets: 2, Swaps: 4, Watches: 1}
	if got := c.Calls(); got != want {
		t.Errorf("calls: got %+v, want %+v", got, want)
	}
}

// Guards against a failed write that is reported as not written although it took effect, and the reverse.
func TestFailureKinds(t *testing.T) {
	status := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
	defer srv.Close()
	for _, tt := range []struct {
		status     int
		read, swap carobbend.StoreFailure
	}{
		{429, carobbend.StoreLimited, carobbend.StoreLimited},
		{403, carobbend.StoreUnavailable, carobbend.StoreUnavailable},
		{503, carobbend.StoreUnavailable, carobbend.StoreUnavailable},
		{500, carobbend.StoreUnavailable, carobbend.StoreUnknown},
		{301, carobbend.StoreUnavailable, carobbend.StoreUnknown},
		{200, carobbend.StoreUnavailable, carobbend.StoreUnknown},
	} {
		status = tt.status
		c := New(srv.URL, WithTimeout(longTimeout), WithBackOff(0, 0))
		_, rerr := c.Get(t.Context(), "k")
		_, werr := c.CompareAndSwap(t.Context(), "k", []byte("v"), 0)
		if r, w := carobbend.StoreFailureOf(rerr), carobbend.StoreFailureOf(werr); r != tt.read || w != tt.swap {
			t.Errorf("status %d: got %q and %q, want %q and %q", tt.status, r, w, tt.read, tt.swap)
		}
		c.Close()
	}
	s, c := newStore(t)
	s.LoseReplies(1)
	_, err := c.CompareAndSwap(t.Context(), "k", []byte("v"), 0)
	if got := carobbend.StoreFailureOf(err); got != carobbend.StoreUnknown {
		t.Errorf("lost reply: got %v", err)
	}
	if e, err := c.Get(t.Context(), "k"); err != nil || string(e.Value) != "v" {
		t.Errorf("read back: got %v, %v", e, err)
	}
}

// Guards against watches of a missing key that all return at once, since Consul doesn't wait for index 0.
func TestWatchOfMissingKey(t *testing.T) {
	var queries []string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		queries = append(queries, r.URL.Query().Get("index"))
		w.Header().Set("X-Consul-Index", "17")
		w.WriteHeader(http.StatusNotFound)
	}))
	defer srv.Close()
	c := New(srv.URL, WithTimeout(longTimeout))
	defer c.Close()
	for range 2 {
		if e, err := c.Watch(t.Context(), "k", 0, time.Second); err != nil || e.Revision != 0 {
			t.Fatalf("got %v, %v, want a missing key", e, err)
		}
	}
	if got, want := queries, []string{"0", "17"}; !reflect.DeepEqual(got, want) {
		t.Errorf("index: got %v, want %v", got, want)
	}
}

// Guards against a write that net/http sends again on another connection after a reused connection broke.
func TestWriteIsNotResent(t *testing.T) {
	var puts atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil || puts.Add(1) == 2 {
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, "true"); err != nil {
			t.Error(err)
		}
	}))
	defer srv.Close()
	c := New(srv.URL, WithTimeout(longTimeout), WithBackOff(0, 0))
	defer c.Close()
	if _, err := c.CompareAndSwap(t.Context(), "k", []byte("v"), 0); err != nil {
		t.Fatal(err)
	}
	_, err := c.CompareAndSwap(t.Context(), "k", []byte("w"), 1)
	if got := carobbend.StoreFailureOf(err); got != carobbend.StoreUnknown || puts.Load() != 2 {
		t.Errorf("got %v after %d writes, want unknown after 2", err, puts.Load())
	}
}

// deadConn is a connection whose writes fail, as if its peer had closed it.
type deadConn struct {
	net.Conn
	hold chan struct{}
}

func (c *deadConn) Write([]byte) (int, error) { return 0, net.ErrClosed }

func (c *deadConn) Read([]byte) (int, error) { <-c.hold; return 0, net.ErrClosed }

func (c *deadConn) Close() error { return nil }

// Guards against reporting a call as unknown although nothing was sent, and against reporting a call as not sent after an
// attempt to write it.
func TestNotWrittenIsUnavailable(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	for _, tt := range []struct {
		name    string
		timeout time.Duration
		dial    func(ctx context.Context, network, address string) (net.Conn, error)
		want    carobbend.StoreFailure
	}{
		{"refused", longTimeout, func(context.Context, string, string) (net.Conn, error) { return nil, net.ErrClosed }, carobbend.StoreUnavailable},
		{"no connection in time", 20 * time.Millisecond, func(ctx context.Context, _, _ string) (net.Conn, error) { <-ctx.Done(); return nil, ctx.Err() }, carobbend.StoreUnavailable},
		{"failed write", longTimeout, func(context.Context, string, string) (net.Conn, error) { return &deadConn{hold: hold}, nil }, carobbend.StoreUnknown},
	} {
		c := New("http://127.0.0.1:1", WithTimeout(tt.timeout), WithDial(tt.dial))
		_, err := c.CompareAndSwap(t.Context(), "k", []byte("v"), 0)
		if got := carobbend.StoreFailureOf(err); got != tt.want {
			t.Errorf("%s: got %v, want %s", tt.name, err, tt.want)
		}
	}
	c := &trackedConn{}
	before := c.writes()
	if after := c.blockWrites(); after != before {
		t.Errorf("connection with blocked writes: got %d writes, want %d", after, before)
	}
	if _, err := c.Write([]byte("x")); err == nil {
		t.Error("write after the request was reported as not written: got no error")
	}
}

// Guards against a burst of calls when an outage ends, and against a back-off that never ends.
func TestBreaker(t *testing.T) {
	b := newBreaker(100*time.Millisecond, 2*time.Second, 500*time.Millisecond)
	now := time.Unix(0, 0)
	var longest time.Duration
	var probe ticket
	for range 200 {
		b.recordFailure(now, probe)
		until := b.blockedUntil
		longest = max(longest, until.Sub(now))
		if until.After(now) {
			b.recordFailure(now, 0)
			if _, ok := b.allow(until.Add(-1)); ok || !b.blockedUntil.Equal(until) {
				t.Fatal("a call passed during the back-off, or one in flight moved it")
			}
		}
		now = until
		var first, second bool
		probe, first = b.allow(now)
		if _, second = b.allow(now); !first || second {
			t.Fatalf("after the back-off: got %v, %v, want one call to pass", first, second)
		}
	}
	if longest > 2*time.Second || longest < time.Second {
		t.Errorf("longest wait: got %v, want close to 2s", longest)
	}
	b.cancelProbe(probe)
	if _, ok := b.allow(now); !ok {
		t.Error("after a cancelled probe: got no call passed, want one")
	}
	b.recordSuccess()
	for range 2 {
		if _, ok := b.allow(now); !ok {
			t.Error("after a success: got a refused call")
		}
	}
}

// Guards against a second probe, because a call from before the outage was canceled; against a longer back-off, because such a
// call failed; and against a probe that counts although another one has replaced it.
func TestOlderCallsDontEndProbe(t *testing.T) {
	b := newBreaker(time.Second, time.Second, 500*time.Millisecond)
	now := time.Unix(0, 0)
	older, _ := b.allow(now)
	b.recordFailure(now, older)
	now = now.Add(2 * time.Second)
	probe, _ := b.allow(now)
	b.cancelProbe(older)
	if _, ok := b.allow(now); ok {
		t.Error("after an older call was canceled: got a second probe")
	}
	until := b.blockedUntil
	b.recordFailure(now, older)
	if !b.blockedUntil.Equal(until) || b.failures != 1 {
		t.Errorf("after an older call failed: got %d failures, want 1", b.failures)
	}
	now = now.Add(time.Second)
	later, ok := b.allow(now)
	if !ok || later == probe {
		t.Fatal("after the time-out of the probe: got no other probe")
	}
	if b.cancelProbe(probe); b.probe != later {
		t.Error("after a replaced probe was canceled: got no probe, want the later one")
	}
	if b.recordFailure(now, later); b.failures != 2 {
		t.Errorf("after the failure of the probe: got %d failures, want 2", b.failures)
	}
}

// Guards against an error text that contains "%!w(<nil>)".
func TestUnexpectedEntries(t *testing.T) {
	for _, body := range []string{"[]", "x"} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
		c := New(s.URL, WithTimeout(longTimeout))
		if _, err := c.Get(t.Context(), "k"); err == nil || strings.Contains(err.Error(), "%!") {
			t.Errorf("reply %q: got error %v, want one with a whole text", body, err)
		}
		c.Close()
		s.Close()
	}
}

// Guards against an instance that exceeds its share of the store's rate limits or waits long for it, and against a call
// to a store that is down for each request of the instance.
func TestCallsAreBounded(t *testing.T) {
	for _, tt := range []struct {
		opt  Option
		down bool
		kind carobbend.StoreFailure
		want Calls
	}{
		{WithRate(0.001), false, carobbend.StoreLimited, Calls{Gets: 1, Limited: 49}},
		{WithBackOff(time.Hour, time.Hour), true, carobbend.StoreUnavailable, Calls{Gets: 1, BackedOff: 49, Failed: 1}},
	} {
		s, c := newStore(t, tt.opt)
		s.SetOutage(tt.down)
		for i := range 50 {
			if _, err := c.Get(t.Context(), "k"); (i > 0 || tt.down) && carobbend.StoreFailureOf(err) != tt.kind {
				t.Fatalf("call %d: got %v, want %s", i, err, tt.kind)
			}
		}
		if got := c.Calls(); got != tt.want {
			t.Errorf("calls: got %+v, want %+v", got, tt.want)
		}
	}
}

// Guards against an instance that stays registered, isn't reported as leaving, or loses its addresses.
func TestList(t *testing.T) {
	srv := httptest.NewServer(emulator.NewList())
	defer srv.Close()
	l := NewList(srv.URL, "carobbend", WithTimeout(longTimeout))
	defer l.Close()
	ctx := t.Context()
	r := Registration{AdminAddress: "127.0.0.1:3", Instance: carobbend.Instance{
		Name: "a", Incarnation: "i", DataCentre: "leon", CallerAddress: "127.0.0.1:1", PeerAddress: "127.0.0.1:2",
	}}
	leaving := r
	leaving.Instance.Leaving = true
	for _, step := range []struct {
		name string
		do   func() error
		want []Registration
	}{
		{"register", func() error { return l.Register(ctx, r) }, []Registration{r}},
		{"pass", func() error { return l.PassCheck(ctx, "a") }, []Registration{r}},
		{"leaving", func() error { return l.SetLeaving(ctx, "a", true) }, []Registration{leaving}},
		{"back", func() error { return l.SetLeaving(ctx, "a", false) }, []Registration{r}},
		{"deregister", func() error { return l.Deregister(ctx, "a") }, []Registration{}},
	} {
		if err := step.do(); err != nil {
			t.Fatalf("%s: %v", step.name, err)
		}
		got, err := l.Instances(ctx)
		if err != nil || !reflect.DeepEqual(got, step.want) {
			t.Errorf("%s: got %v, %v, want %v", step.name, got, err, step.want)
		}
	}
}

// Guards against one entry of another writer that makes the whole list unreadable, or that names an address which callers or
// instances can't connect to.
func TestOddListEntries(t *testing.T) {
	const usable = `{"Service":{"ID":"a","Address":"127.0.0.1","Port":1},"Checks":[{"CheckID":"_service_maintenance:a","Status":"critical"}]}`
	deep := strings.Repeat(`{"a":`, 9000) + "1" + strings.Repeat("}", 9000)
	for _, c := range []struct {
		entry string
		// listed says that the entry is in the list, without an address.
		listed bool
	}{
		{`{"Service":{"ID":"b","Address":"127.0.0.1","Port":1e30}}`, false},
		{`{"Service":{"ID":"b","Address":"127.0.0.1","Port":99999999999999999999}}`, false},
		{`{"Service":{"ID":"b","Address":"127.0.0.1","Port":"1"}}`, false},
		{`{"Service":{"ID":"b","Address":"127.0.0.1","Port":1,"Meta":` + deep + `}}`, false},
		{`{"Service":{"ID":"b","Address":"127.0.0.1","Port":1},"Checks":"passing"}`, false},
		{`[]`, false},
		{`7`, false},
		{`{"Service":{"ID":"b","Address":"127.0.0.1","Port":70000}}`, true},
		{`{"Service":{"ID":"b","Address":"127.0.0.1","Port":-1}}`, true},
		{`{"Service":{"ID":"b","Address":"127.0.0.1","Port":0}}`, true},
		{`{"Service":{"ID":"b","Address":"nowhere","Port":1}}`, true},
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "["+c.entry+","+usable+"]")
		}))
		l := NewList(s.URL, "carobbend", WithTimeout(longTimeout))
		want := []Registration{{Instance: carobbend.Instance{Name: "a", CallerAddress: "127.0.0.1:1", Leaving: true}}}
		if c.listed {
			want = append([]Registration{{Instance: carobbend.Instance{Name: "b"}}}, want...)
		}
		if got, err := l.Instances(t.Context()); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%.80s: got %v, %v, want %v", c.entry, got, err, want)
		}
		l.Close()
		s.Close()
	}
}
