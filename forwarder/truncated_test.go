package forwarder

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
)

// TestTruncatedReplyWithoutLength guards against a reply that breaks off and looks complete to a caller of HTTP/1.0, for which
// the end of the connection is the end of the answer.
func TestTruncatedReplyWithoutLength(t *testing.T) {
	tr := newTier(t)
	tr.upstream(t, "a", "a1", "", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Proof", "p")
		_, _ = io.WriteString(w, strings.Repeat("x", 64<<10))
		panic(http.ErrAbortHandler)
	})
	tr.route(order(false))
	c, err := net.Dial("tcp4", tr.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprint(c, "GET /o/1 HTTP/1.0\r\nHost: h\r\nX-Id: i\r\nX-Left: 5000\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(c); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got %d bytes and error %v, want a reset", len(got), err)
	}
	if err := c.Close(); err != nil {
		t.Error(err)
	}
}
