package forwarder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"carobbend.example/carobbend"
)

// TestHalfClosedCallerGetsNoSuccess guards against a default answer with status 200 and without a proof, for a caller that ends its
// sending direction while upstreams are at work; and against a refusal that says that nothing ran.
func TestHalfClosedCallerGetsNoSuccess(t *testing.T) {
	for _, c := range []struct {
		path  string
		route carobbend.Route
	}{
		{"/o/1", order(false)},
		{"/s/1", search("a", "b")},
	} {
		tr := newTier(t)
		running := make(chan struct{}, 10)
		for _, s := range []string{"a", "b"} {
			tr.upstream(t, s, s+"1", "", func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				running <- struct{}{}
				<-r.Context().Done()
			})
		}
		tr.route(c.route)
		nc, err := net.Dial("tcp4", tr.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(nc, "GET "+c.path+" HTTP/1.1\r\nHost: h\r\nX-Id: r\r\nX-Left: 1500\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		<-running
		if err := nc.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
		if err := nc.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err != nil {
			t.Fatalf("%s: got %v, want an answer", c.path, err)
		}
		closeBody(t, resp)
		if resp.StatusCode != http.StatusBadGateway || !resp.Close {
			t.Errorf("%s: got %d, connection ended %v, want 502 at the end of the connection", c.path, resp.StatusCode, resp.Close)
		}
		if err := nc.Close(); err != nil {
			t.Error(err)
		}
	}
}
