package exchanger

import (
	"io"
	"net/http"
	"testing"
	"time"

	"carobbend.example/carobbend"
)

// TestInvalidStatus guards against a reply whose status is no final one being passed on, or being skipped like an interim reply, so
// that the attempt waits until its deadline or takes a later reply for its own.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "042", "099", "101", "600", "999", "+20", "-00"} {
		for _, after := range []string{"", "HTTP/1.1 200 OK\r\nX-Id: r\r\nContent-Length: 0\r\n\r\n"} {
			u := serve(t, func(w io.Writer, _ *http.Request, _ int) bool {
				send(w, "HTTP/1.1 %s X\r\nX-Id: r\r\nContent-Length: 0\r\n\r\n%s", status, after)
				return true
			})
			x := newExchanger(t)
			r := request("r")
			r.Deadline = time.Now().Add(time.Second)
			got, err := do(x, u, r)
			if FailureKindOf(err) != carobbend.FailureBroken {
				t.Errorf("status %s, then %q: got %+v, %v, want a broken reply", status, after, got, err)
			}
			if open := x.Open(); open != 0 {
				t.Errorf("status %s, then %q: got %d open connections, want 0", status, after, open)
			}
		}
	}
}
