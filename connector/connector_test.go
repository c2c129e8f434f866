package connector_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/connector"
	"carobbend.example/carobbend/emulator"
)

var fast = emulator.ServiceTime{Median: 100 * time.Microsecond}

// testUpstream is an emulated upstream that listens on a free port.
type testUpstream struct {
	*emulator.Upstream
	l *emulator.Listener
}

func startUpstream(tb testing.TB, h http.Handler) (*testUpstream, connector.Upstream) {
	tb.Helper()
	u := emulator.NewUpstream(emulator.UpstreamConfig{ID: "u", Slots: 8, ServiceTime: fast})
	u.Hold(emulator.Holding{Index: "i", Snapshot: 3, Shards: 2, Held: []int{0, 1}})
	if h == nil {
		h = u
	}
	nl, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	l := &emulator.Listener{Listener: nl}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	srv := &http.Server{Handler: h, Protocols: protocols, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(l) }()
	tb.Cleanup(func() { _ = srv.Close() })
	return &testUpstream{Upstream: u, l: l}, connector.Upstream{ID: "u", Address: nl.Addr().String(), Connections: 4}
}

func request(id string) carobbend.ShardRequest {
	return carobbend.ShardRequest{
		ID: id, Ref: carobbend.ShardRef{Index: "i", Snapshot: 3, Shard: 1, Shards: 2}, Text: "stool", Limit: 3,
		Deadline: time.Now().Add(10 * time.Second),
	}
}

// Guards against replies that are assigned to the wrong shard or snapshot, over both protocols.
func TestSendReturnsTheShardsReply(t *testing.T) {
	for _, protocol := range []string{connector.ProtocolHTTP1, connector.ProtocolHTTP2} {
		t.Run(protocol, func(t *testing.T) {
			_, up := startUpstream(t, nil)
			c := connector.New([]connector.Upstream{up}, connector.WithProtocol(protocol))
			defer c.Close()
			req := request("q-1")
			got, err := c.Send(t.Context(), "u", req)
			if err != nil {
				t.Fatal(err)
			}
			want := emulator.ShardItems(req.Ref, req.Text, req.Limit)
			if got.ID != req.ID || got.Ref != req.Ref || len(got.Items) != len(want) || got.Items[0].Key != want[0].Key {
				t.Errorf("reply: got %+v, want items %+v of %+v", got, want, req.Ref)
			}
		})
	}
}

// Guards against accepting replies that are mismatched, truncated or oversized, and against the wrong failure kind.
func TestSendRefusesBadReplies(t *testing.T) {
	good := func(w http.ResponseWriter, r *http.Request) {
		for _, h := range []string{connector.HeaderRequestID, connector.HeaderSnapshot, connector.HeaderShards} {
			w.Header().Set(h, r.Header.Get(h))
		}
		w.Header().Set(connector.HeaderShard, "1")
	}
	tests := []struct {
		name    string
		handler http.HandlerFunc
		want    carobbend.FailureKind
	}{
		{"other request", func(w http.ResponseWriter, r *http.Request) {
			good(w, r)
			w.Header().Set(connector.HeaderRequestID, "q-0")
			_, _ = w.Write([]byte(`{"items":[]}`))
		}, carobbend.FailureIdentity},
		{"truncated", func(w http.ResponseWriter, r *http.Request) {
			good(w, r)
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte(`{"items":[]}`))
		}, carobbend.FailureBroken},
		{"oversized", func(w http.ResponseWriter, r *http.Request) {
			good(w, r)
			w.Header().Set("Content-Length", strconv.Itoa(connector.MaxBodyBytes+1))
			_, _ = w.Write(make([]byte, connector.MaxBodyBytes+1))
		}, carobbend.FailureBroken},
		{"no JSON", func(w http.ResponseWriter, r *http.Request) {
			good(w, r)
			_, _ = w.Write([]byte(`{"items":`))
		}, carobbend.FailureBroken},
		{"shed", func(w http.ResponseWriter, r *http.Request) {
			good(w, r)
			w.WriteHeader(http.StatusServiceUnavailable)
		}, carobbend.FailureShed},
		{"gone", func(w http.ResponseWriter, r *http.Request) {
			good(w, r)
			w.WriteHeader(http.StatusGone)
		}, carobbend.FailureSnapshotGone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, up := startUpstream(t, tt.handler)
			c := connector.New([]connector.Upstream{up})
			defer c.Close()
			_, err := c.Send(t.Context(), "u", request("q-1"))
			if got := carobbend.FailureKindOf(err); got != tt.want {
				t.Errorf("failure: got %q (%v), want %q", got, err, tt.want)
			}
		})
	}
}

// Guards against queries that keep failing on silent connections while new connections work.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	u, up := startUpstream(t, nil)
	c := connector.New([]connector.Upstream{up}, connector.WithProgressTimeout(100*time.Millisecond))
	defer c.Close()
	if _, err := c.Send(t.Context(), "u", request("q-1")); err != nil {
		t.Fatal(err)
	}
	u.l.Silence()
	_, err := c.Send(t.Context(), "u", request("q-2"))
	if got, want := carobbend.FailureKindOf(err), carobbend.FailureSilent; got != want {
		t.Errorf("failure on the silent connection: got %q (%v), want %q", got, err, want)
	}
	if _, err := c.Send(t.Context(), "u", request("q-3")); err != nil {
		t.Errorf("request after the failure: got %v, want a reply on a new connection", err)
	}
}

// Guards against keeping idle connections of a pool that is suspected of having silent connections.
func TestSuspicionClosesIdleConnections(t *testing.T) {
	u, up := startUpstream(t, nil)
	c := connector.New([]connector.Upstream{up})
	defer c.Close()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 3)
	for _, id := range []string{"a", "b", "c"} {
		go func() { _, err := c.Send(ctx, "u", request(id)); done <- err }()
	}
	for range 3 {
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	send := func() { _, err := c.Send(ctx, "u", request("silent")); done <- err }
	u.l.Silence()
	go send()
	// The request hangs until it is canceled; until then only the suspicion closes the idle connections.
	for {
		if now, _ := u.l.Open(); now <= 1 {
			break
		}
		select {
		case err := <-done:
			// The connections of the first requests weren't idle yet, so that it got a new one, which isn't silent.
			if err != nil {
				t.Fatal(err)
			}
			u.l.Silence()
			go send()
		case <-time.After(time.Millisecond):
		}
	}
	cancel()
	if got, want := carobbend.FailureKindOf(<-done), carobbend.FailureCanceled; got != want {
		t.Errorf("failure: got %q, want %q", got, want)
	}
}

type share int

// Share implements carobbend.ConnShare.
func (s share) Share(int) int { return int(s) }

// Guards against opening more connections than this instance's share.
func TestSendStaysWithinShareOfConnections(t *testing.T) {
	u, up := startUpstream(t, nil)
	u.SetSlow(200)
	c := connector.New([]connector.Upstream{up}, connector.WithConnShare(share(2)))
	defer c.Close()
	kinds := make(chan carobbend.FailureKind, 6)
	for i := range 6 {
		go func() {
			_, err := c.Send(t.Context(), "u", request(strconv.Itoa(i)))
			kinds <- carobbend.FailureKindOf(err)
		}()
	}
	for range 6 {
		if got := <-kinds; got != carobbend.FailureNone && got != carobbend.FailureNotSent {
			t.Errorf("failure: got %q, want none or %q", got, carobbend.FailureNotSent)
		}
	}
	if _, most := u.l.Open(); most > 2 {
		t.Errorf("connections: got %d, want at most 2", most)
	}
}

// Guards against a catalog in which an upstream's status overrides its later reply that it doesn't hold a shard.
func TestReplyOverridesStatus(t *testing.T) {
	u, up := startUpstream(t, nil)
	c := connector.New([]connector.Upstream{up}, connector.WithStatusPoll(time.Millisecond))
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	go func() { stopped <- c.Run(ctx) }()
	defer func() {
		cancel()
		if err := <-stopped; !errors.Is(err, context.Canceled) {
			t.Errorf("run: got %v, want %v", err, context.Canceled)
		}
		c.Close()
	}()
	for len(c.Layouts("i")) == 0 {
		time.Sleep(time.Millisecond)
	}
	// The last status listed shard 1 of 2, but the upstream refuses a request for it as gone.
	u.Hold(emulator.Holding{Index: "i", Snapshot: 3, Shards: 4, Held: []int{1}})
	if _, err := c.Send(ctx, "u", request("q-1")); carobbend.FailureKindOf(err) != carobbend.FailureSnapshotGone {
		t.Fatalf("failure: got %v, want snapshot-gone", err)
	}
	for _, l := range c.Layouts("i") {
		if l.Shards() == 2 && len(l.Replicas[1]) > 0 {
			t.Errorf("replicas of the denied shard: got %v, want none", l.Replicas[1])
		}
	}
}

// Guards against failing requests at start-up: over HTTP/2 each starts a dial, although the first connection within the
// share can carry them all.
func TestDialsBeyondShareWait(t *testing.T) {
	_, up := startUpstream(t, nil)
	c := connector.New([]connector.Upstream{up}, connector.WithProtocol(connector.ProtocolHTTP2),
		connector.WithConnShare(share(1)), connector.WithConnectTimeout(10*time.Second), connector.WithProgressTimeout(10*time.Second))
	defer c.Close()
	errs := make(chan error, 6)
	for i := range 6 {
		go func() { _, err := c.Send(t.Context(), "u", request(strconv.Itoa(i))); errs <- err }()
	}
	for range 6 {
		if err := <-errs; err != nil {
			t.Errorf("request: got %v, want a reply", err)
		}
	}
}

// Guards against new work for an upstream that the instance list marks as leaving, because its own status lags behind.
func TestLeavingFromListOrStatus(t *testing.T) {
	u, up := startUpstream(t, nil)
	var got []bool
	c := connector.New([]connector.Upstream{up}, connector.WithLeaving(func(_ time.Time, _ carobbend.UpstreamID, leaving bool) {
		got = append(got, leaving)
	}))
	defer c.Close()
	send := func() {
		if _, err := c.Send(t.Context(), "u", request("q-1")); err != nil {
			t.Fatal(err)
		}
	}
	send()
	c.SetListedLeaving(time.Now(), map[carobbend.UpstreamID]bool{"u": true})
	send()
	u.SetLeaving(true)
	send()
	c.SetListedLeaving(time.Now(), nil)
	u.SetLeaving(false)
	send()
	if want := []bool{true, false}; !slices.Equal(got, want) {
		t.Errorf("leaving states reported: got %v, want %v", got, want)
	}
}
