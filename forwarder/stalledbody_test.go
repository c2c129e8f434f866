package forwarder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestStalledBodyIsAnswered guards against a connection that is never answered or closed: the server reads on after a body that
// didn't arrive in time, before it writes the refusal.
func TestStalledBodyIsAnswered(t *testing.T) {
	for name, request := range map[string]string{
		"one byte short": "Content-Length: 10\r\n\r\n123456789",
		"in chunks":      "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n",
		"expecting 100":  "Content-Length: 10\r\nExpect: 100-continue\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			tr := newTier(t)
			tr.upstream(t, "a", "a1", "", proof)
			tr.route(order(false))
			nc, err := net.Dial("tcp4", tr.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = nc.Close() }()
			if _, err := io.WriteString(nc, "POST /o/1 HTTP/1.1\r\nHost: h\r\nX-Id: r\r\nX-Left: 100\r\n"+request); err != nil {
				t.Fatal(err)
			}
			// Far beyond the time left, so that only a request without an end reaches it.
			if err := nc.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
				t.Fatal(err)
			}
			br := bufio.NewReader(nc)
			status := http.StatusContinue
			for status == http.StatusContinue {
				resp, err := http.ReadResponse(br, nil)
				if err != nil {
					t.Fatalf("got %v, want an answer", err)
				}
				closeBody(t, resp)
				status = resp.StatusCode
			}
			if status != http.StatusRequestTimeout {
				t.Errorf("got %d, want 408", status)
			}
			if _, err := io.Copy(io.Discard, br); err != nil {
				t.Errorf("after the answer: got %v, want the end of the connection", err)
			}
			if got := tr.runsOf("a1"); got != 0 {
				t.Errorf("runs: got %d, want 0", got)
			}
		})
	}
}
