package acceptor

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/limiter"
)

func newTestTable(n int) (*limiter.ConnTable, *limiter.Group) {
	table := limiter.NewConnTable(limiter.NewAccount(184<<20, 4100), limiter.Times{Write: time.Minute, Body: time.Minute})
	table.SetLimits(carobbend.CallerLimits{HeaderBytes: 16 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute})
	return table, table.Group("callers", n)
}

func listen(tb testing.TB) net.Listener {
	tb.Helper()
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	return l
}

// serveGuarded serves the length of each body until the end of the test; n is the greatest number of connections.
func serveGuarded(tb testing.TB, n int) (string, *limiter.ConnTable) {
	tb.Helper()
	return serveGuardedBy(tb, n, serveLength)
}

func serveGuardedBy(tb testing.TB, n int, handler http.HandlerFunc) (string, *limiter.ConnTable) {
	tb.Helper()
	table, group := newTestTable(n)
	g := NewGuard(table)
	l := listen(tb)
	srv := g.Server(&http.Server{Handler: handler})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	go func() { ended <- g.Run(ctx) }()
	go func() { ended <- srv.Serve(g.Listener(l, group, limiter.PhaseIdle)) }()
	tb.Cleanup(func() {
		cancel()
		if err := srv.Close(); err != nil {
			tb.Error(err)
		}
		for range 2 {
			if err := <-ended; err == nil {
				tb.Error("got an end without an error, want the reason")
			}
		}
	})
	return l.Addr().String(), table
}

func serveLength(w http.ResponseWriter, r *http.Request) {
	n, err := io.Copy(w, r.Body)
	if err != nil || n != r.ContentLength {
		w.WriteHeader(http.StatusBadRequest)
	}
}

// unreliableListener fails as a process without free descriptors does, some times.
type unreliableListener struct {
	net.Listener
	failures int
}

func (l *unreliableListener) Accept() (net.Conn, error) {
	if l.failures--; l.failures >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestAcceptAfterErrors guards against a listener that ends, and its process with it, when descriptors run out for a while.
func TestAcceptAfterErrors(t *testing.T) {
	table, group := newTestTable(2)
	inner := listen(t)
	l := NewGuard(table).Listener(&unreliableListener{inner, 3}, group, limiter.PhaseLink)
	c, err := net.Dial("tcp4", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatalf("got %v, want a connection", err)
	}
	if err := l.Close(); err != nil {
		t.Error(err)
	}
	if _, err := l.Accept(); err == nil {
		t.Error("got a connection from a closed listener")
	}
	for _, x := range []net.Conn{accepted, c} {
		if err := x.Close(); err != nil {
			t.Error(err)
		}
	}
	if got := table.Sizes()["callers"]; got != 0 {
		t.Errorf("connections after the end: got %d, want 0", got)
	}
}

// TestPlaceIsPassedOn guards against a listener whose places are all taken by silent connections: the next caller is served.
func TestPlaceIsPassedOn(t *testing.T) {
	address, table := serveGuarded(t, 2)
	for range 4 {
		c, err := net.Dial("tcp4", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
	}
	resp, err := http.Post("http://"+address, "text/plain", strings.NewReader("abc"))
	if err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil || string(b) != "abc" || resp.Body.Close() != nil {
		t.Errorf("got %q, %v, want the body", b, err)
	}
	if table.Count(limiter.CloseConnections) == 0 {
		t.Error("got no closed connection, want at least one")
	}
}

// TestLongHeadIsRefused guards against heads over the routing's limit that are parsed, and against an end without an answer.
func TestLongHeadIsRefused(t *testing.T) {
	address, _ := serveGuarded(t, 2)
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	// Exactly what makes the head too long is sent, so that no unread byte resets the connection.
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nA: "+strings.Repeat("a", 24<<10-26)); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := resp.StatusCode, http.StatusRequestHeaderFieldsTooLarge; got != want || resp.Body.Close() != nil {
		t.Errorf("got %d, want %d", got, want)
	}
}

// BenchmarkRequest measures a request with a body on a kept connection, with and without the guard.
func BenchmarkRequest(b *testing.B) {
	const request = "POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nContent-Length: 64\r\n\r\n"
	message := []byte(request + strings.Repeat("b", 64))
	run := func(b *testing.B, address string) {
		c, err := net.Dial("tcp4", address)
		if err != nil {
			b.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		r := bufio.NewReader(c)
		b.ReportAllocs()
		for b.Loop() {
			if _, err := c.Write(message); err != nil {
				b.Fatal(err)
			}
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				b.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Body.Close() != nil {
				b.Fatal(err)
			}
		}
	}
	b.Run("plain", func(b *testing.B) {
		l := listen(b)
		srv := &http.Server{Handler: http.HandlerFunc(serveLength), ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute}
		ended := make(chan error, 1)
		go func() { ended <- srv.Serve(l) }()
		run(b, l.Addr().String())
		if err := srv.Close(); err != nil {
			b.Error(err)
		}
		if err := <-ended; err == nil {
			b.Error("got an end without an error, want the reason")
		}
	})
	b.Run("guarded", func(b *testing.B) {
		address, _ := serveGuarded(b, 2)
		run(b, address)
	})
}

// TestFailedBodyKeepsNoPlace guards against a connection that the server reads on after its handler failed to read the body: it has no
// time limit of its own then, and must neither stay open nor keep its place from other callers.
func TestFailedBodyKeepsNoPlace(t *testing.T) {
	for _, c := range []struct {
		name          string
		headerTimeout time.Duration
		others        bool
	}{
		{"closed after a while", 50 * time.Millisecond, false},
		{"gives its place to another", time.Minute, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			address, table := serveGuardedBy(t, 1, func(w http.ResponseWriter, r *http.Request) {
				conn := http.NewResponseController(w)
				_ = conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
				_, err := io.ReadAll(r.Body)
				_ = conn.SetReadDeadline(time.Time{})
				if err != nil {
					w.WriteHeader(http.StatusRequestTimeout)
				}
			})
			table.SetLimits(carobbend.CallerLimits{HeaderBytes: 16 << 10, HeaderTimeout: c.headerTimeout, IdleTimeout: time.Minute})
			nc, err := net.Dial("tcp4", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = nc.Close() }()
			if _, err := io.WriteString(nc, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n123456789"); err != nil {
				t.Fatal(err)
			}
			if c.others {
				client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
				resp, err := client.Get("http://" + address)
				if err != nil {
					t.Fatalf("other caller: got %v, want an answer", err)
				}
				_ = resp.Body.Close()
			}
			if err := nc.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, nc); errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error("the connection is still open, want its end")
			}
		})
	}
}
