package exchanger

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"carobbend.example/carobbend"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var testHeaders = Headers{
	RequestID: "X-Id", Deadline: "X-Left", Upstream: "X-Upstream", NotRun: "X-Not-Run", Identity: "X-Self", Load: "X-Load",
}

// upstream is a server whose replies are written by the test.
type upstream struct {
	net.Listener
	conns atomic.Int64
	last  atomic.Pointer[http.Request]
}

// serve calls handle for each request with its index on the connection; false closes the connection.
func serve(t *testing.T, handle func(w io.Writer, r *http.Request, n int) bool) *upstream {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &upstream{Listener: l}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.conns.Add(1)
			go func() {
				defer closeAll(t, c)
				br := bufio.NewReader(c)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, r.Body); err != nil {
						return
					}
					u.last.Store(r)
					if !handle(c, r, n) {
						return
					}
				}
			}()
		}
	}()
	t.Cleanup(func() {
		closeAll(t, l)
		<-done
	})
	return u
}

// closeAll closes cs and logs errors; closing twice is no error.
func closeAll(t testing.TB, cs ...io.Closer) {
	t.Helper()
	for _, c := range cs {
		if err := c.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			t.Log(err)
		}
	}
}

// send writes a reply. It ignores errors, since the test sees a broken connection at the client.
func send(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }

func (u *upstream) target() Target {
	return Target{ID: "up-1", Address: u.Addr().String(), MaxConns: 2}
}

func newExchanger(t *testing.T) *Exchanger {
	t.Helper()
	x := New(testHeaders)
	t.Cleanup(func() { x.Remove("up-1") })
	return x
}

func request(id string) *Request {
	return &Request{Method: "GET", URI: "/a%2fb?q=1", Host: "h.example", ID: id, Deadline: time.Now().Add(5 * time.Second)}
}

func do(x *Exchanger, u *upstream, r *Request) (*Reply, error) {
	return x.Attempt(context.Background()).Do(u.target(), r)
}

func reply(w io.Writer, r *http.Request, status int, body string, headers ...string) {
	send(w, "HTTP/1.1 %d X\r\nX-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, r.Header.Get("X-Id"), strings.Join(headers, ""), len(body), body)
}

func TestExchange(t *testing.T) {
	u := serve(t, func(w io.Writer, r *http.Request, _ int) bool {
		reply(w, r, 200, "body", "X-Load: 3,1,8\r\n")
		return true
	})
	x := newExchanger(t)
	for range 3 {
		got, err := do(x, u, request("r1"))
		if err != nil {
			t.Fatal(err)
		}
		if string(got.Body) != "body" || got.Status != 200 || !got.HasLoad || got.Load.Utilization() != 0.5 {
			t.Errorf("got %+v, want status 200, the body and a load of 0.5", got)
		}
	}
	if got := u.conns.Load(); got != 1 {
		t.Errorf("connections: got %d, want 1", got)
	}
	r := u.last.Load()
	if r.RequestURI != "/a%2fb?q=1" || r.Host != "h.example" || r.Header.Get("X-Upstream") != "up-1" {
		t.Errorf("got target %q, host %q, upstream %q, want them unchanged", r.RequestURI, r.Host, r.Header.Get("X-Upstream"))
	}
	if got := r.Header.Get("X-Left"); got == "" || len(got) > 4 {
		t.Errorf("time left: got %q ms, want up to 5000", got)
	}
}

// TestMismatchedReply guards against accepting a late reply to an earlier request.
func TestMismatchedReply(t *testing.T) {
	u := serve(t, func(w io.Writer, r *http.Request, _ int) bool {
		send(w, "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nwrong")
		reply(w, r, 200, "right")
		return true
	})
	x := newExchanger(t)
	for range 2 {
		got, err := do(x, u, request("mine"))
		if err != nil || string(got.Body) != "right" {
			t.Fatalf("got %v, %v, want the reply with the id of the request", got, err)
		}
	}
	if got := u.conns.Load(); got != 2 {
		t.Errorf("connections: got %d, want 2, since a connection with a mismatched reply isn't reused", got)
	}
}

// TestUnexpectedBytesAfterReply guards against reusing a connection on which bytes follow the reply.
func TestUnexpectedBytesAfterReply(t *testing.T) {
	u := serve(t, func(w io.Writer, r *http.Request, _ int) bool {
		reply(w, r, 200, "a")
		reply(w, r, 200, "b")
		return true
	})
	x := newExchanger(t)
	for range 3 {
		if got, err := do(x, u, request("r")); err != nil || string(got.Body) != "a" {
			t.Fatalf("got %v, %v, want a", got, err)
		}
		time.Sleep(time.Millisecond)
	}
	if got := u.conns.Load(); got != 3 {
		t.Errorf("connections: got %d, want 3", got)
	}
}

// TestNeverSentTwice guards against running a request twice: after any failure, a written request isn't resent.
func TestNeverSentTwice(t *testing.T) {
	for _, c := range []struct {
		name  string
		reply string
		kind  carobbend.FailureKind
	}{
		{"closed without a reply", "", carobbend.FailureBroken},
		{"short body", "HTTP/1.1 200 OK\r\nX-Id: r\r\nContent-Length: 9\r\n\r\nshort", carobbend.FailureBroken},
		{"short chunks", "HTTP/1.1 200 OK\r\nX-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", carobbend.FailureBroken},
		{"reply that is not HTTP", "garbage\r\n\r\n", carobbend.FailureBroken},
	} {
		t.Run(c.name, func(t *testing.T) {
			var runs atomic.Int64
			u := serve(t, func(w io.Writer, r *http.Request, n int) bool {
				if r.Header.Get("X-Id") == "warm" {
					reply(w, r, 200, "")
					return true
				}
				runs.Add(1)
				send(w, "%s", c.reply)
				return false
			})
			x := newExchanger(t)
			// On a reused connection, http.Transport would resend the request.
			if _, err := do(x, u, request("warm")); err != nil {
				t.Fatal(err)
			}
			_, err := do(x, u, request("r"))
			if got := FailureKindOf(err); got != c.kind {
				t.Errorf("kind: got %q (%v), want %q", got, err, c.kind)
			}
			if got := runs.Load(); got != 1 {
				t.Errorf("runs: got %d, want 1", got)
			}
		})
	}
}

// TestClosedWhileIdle guards against writing a request to a connection that the upstream has closed.
func TestClosedWhileIdle(t *testing.T) {
	u := serve(t, func(w io.Writer, r *http.Request, _ int) bool {
		reply(w, r, 200, "ok")
		return false
	})
	x := newExchanger(t)
	for range 3 {
		if _, err := do(x, u, request("r")); err != nil {
			t.Fatal(err)
		}
		// The upstream's FIN arrives over loopback within this time.
		time.Sleep(5 * time.Millisecond)
	}
}

// TestRefusals guards against a reply that counts as not run although its upstream doesn't state so.
func TestRefusals(t *testing.T) {
	u := serve(t, func(w io.Writer, r *http.Request, _ int) bool {
		switch id := r.Header.Get("X-Id"); id {
		case "moved":
			reply(w, r, StatusMisdirected, "", "X-Not-Run: 1\r\n")
		case "full":
			reply(w, r, 503, "", "X-Not-Run: 1\r\n")
		case "moved to another":
			reply(w, r, StatusMisdirected, "", "X-Self: up-9\r\n")
		case "moved, unmarked":
			reply(w, r, StatusMisdirected, "")
		case "moved, named itself":
			reply(w, r, StatusMisdirected, "", "X-Self: "+r.Header.Get("X-Upstream")+"\r\n")
		case "full, unmarked":
			reply(w, r, 503, "")
		}
		return true
	})
	x := newExchanger(t)
	for id, want := range map[string]bool{
		"moved": true, "full": true, "moved to another": true, "moved, unmarked": false, "moved, named itself": false, "full, unmarked": false,
	} {
		got, err := do(x, u, request(id))
		if err != nil || got.NotRun != want {
			t.Errorf("%s: got %+v, %v, want a reply with NotRun %v", id, got, err, want)
		}
	}
}

func TestNoListener(t *testing.T) {
	u := serve(t, func(io.Writer, *http.Request, int) bool { return false })
	closeAll(t, u)
	_, err := do(newExchanger(t), u, request("r"))
	if got := FailureKindOf(err); got != carobbend.FailureNotSent {
		t.Errorf("got %q (%v), want not-sent", got, err)
	}
}

// TestCancel guards against upstreams that keep working on a canceled request.
func TestCancel(t *testing.T) {
	arrived, closed := make(chan struct{}), make(chan struct{})
	u := serve(t, func(w io.Writer, _ *http.Request, _ int) bool {
		close(arrived)
		c, ok := w.(net.Conn)
		if !ok {
			t.Error("not a connection")
			return false
		}
		_, _ = c.Read(make([]byte, 1))
		close(closed)
		return false
	})
	x := newExchanger(t)
	a := x.Attempt(context.Background())
	result := make(chan error, 1)
	go func() {
		_, err := a.Do(u.target(), request("r"))
		result <- err
	}()
	<-arrived
	a.Cancel()
	if got := FailureKindOf(<-result); got != carobbend.FailureCanceled {
		t.Errorf("got %q, want canceled", got)
	}
	<-closed
}

// TestCancelBeforeSent guards against counting cancels before anything was sent as failures of the upstream: if a query
// ends early because a shard is lost, its other attempts are still opening connections, and all upstreams would be ejected.
func TestCancelBeforeSent(t *testing.T) {
	begun := make(chan struct{}, 1)
	release := make(chan struct{})
	u := serve(t, func(w io.Writer, r *http.Request, _ int) bool {
		begun <- struct{}{}
		<-release
		reply(w, r, 200, "body")
		return true
	})
	x := newExchanger(t)
	target := u.target()
	target.MaxConns = 1
	first := make(chan error, 1)
	go func() {
		_, err := x.Attempt(context.Background()).Do(target, request("1"))
		first <- err
	}()
	<-begun
	for _, canceled := range []string{"while it waits", "before it begins"} {
		a := x.Attempt(context.Background())
		if canceled == "before it begins" {
			a.Cancel()
		} else {
			time.AfterFunc(10*time.Millisecond, a.Cancel)
		}
		_, err := a.Do(target, request("2"))
		if got, want := FailureKindOf(err), carobbend.FailureCanceled; got != want {
			t.Errorf("canceled %s: got %v, want %v", canceled, got, want)
		}
	}
	close(release)
	if err := <-first; err != nil {
		t.Error(err)
	}
}

// TestEarlyReply guards against reusing a connection on which a long request body isn't completely written.
func TestEarlyReply(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer closeAll(t, l)
	var conns atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			// The head is read and the body isn't.
			if _, err := c.Read(make([]byte, 100)); err == nil {
				send(c, "HTTP/1.1 413 X\r\nX-Id: r\r\nContent-Length: 0\r\n\r\n")
			}
			defer closeAll(t, c)
		}
	}()
	x := newExchanger(t)
	r := request("r")
	r.Method, r.HasBody, r.Body = "POST", true, make([]byte, 8<<20)
	for i := range 2 {
		got, err := x.Attempt(context.Background()).Do(Target{ID: "up-1", Address: l.Addr().String(), MaxConns: 1}, r)
		if err != nil || got.Status != 413 {
			t.Fatalf("got %v, %v, want 413", got, err)
		}
		if got := conns.Load(); got != int64(i+1) {
			t.Errorf("connections: got %d, want %d", got, i+1)
		}
	}
}

func TestParseLoad(t *testing.T) {
	for _, c := range []struct {
		in   string
		want Load
		ok   bool
	}{
		{"3,1,8", Load{3, 1, 8, 1}, true},
		{"3, 1, 8, 250", Load{3, 1, 8, 2.5}, true},
		{"", Load{}, false},
		{"3,1", Load{}, false},
		{"a,b,c", Load{}, false},
		{"-1,0,8", Load{}, false},
	} {
		if got, ok := parseLoad(c.in); got != c.want || ok != c.ok {
			t.Errorf("parseLoad(%q): got %v, %v, want %v, %v", c.in, got, ok, c.want, c.ok)
		}
	}
}

// BenchmarkExchange measures one exchange over loopback, client and server together.
func BenchmarkExchange(b *testing.B) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer closeAll(b, l)
	body := strings.Repeat("x", 200)
	answer := []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Load: 1,0,3\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer closeAll(b, c)
				buf := make([]byte, 4096)
				for {
					if _, err := c.Read(buf); err != nil {
						return
					}
					if _, err := c.Write(answer); err != nil {
						return
					}
				}
			}()
		}
	}()
	x := New(testHeaders)
	defer x.Remove("up-1")
	t := Target{ID: "up-1", Address: l.Addr().String(), MaxConns: 1}
	r := request("r")
	r.Deadline = time.Now().Add(time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := x.Attempt(context.Background()).Do(t, r); err != nil {
			b.Fatal(err)
		}
	}
}
