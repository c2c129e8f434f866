package exchanger

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"carobbend.example/carobbend"
)

// earlyReply is an attempt whose body the upstream doesn't read. The upstream replies at once without a length, and ends
// the connection once proceed is closed.
type earlyReply struct {
	*Attempt
	address string
	proceed chan struct{}
}

func newEarlyReply(t *testing.T, size int, end func(*net.TCPConn) error) *earlyReply {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	proceed := make(chan struct{})
	served := make(chan struct{})
	go func() {
		defer close(served)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer closeAll(t, c)
		if _, err := http.ReadRequest(bufio.NewReaderSize(c, 16)); err != nil {
			t.Error(err)
			return
		}
		send(c, "HTTP/1.1 200 OK\r\nX-Id: r\r\nConnection: close\r\n\r\n%s", strings.Repeat("x", size))
		<-proceed
		if err := end(c.(*net.TCPConn)); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		closeAll(t, l)
		<-served
	})
	return &earlyReply{newExchanger(t).Attempt(context.Background()), l.Addr().String(), proceed}
}

func (e *earlyReply) do() (*Reply, error) {
	r := request("r")
	// The body is longer than the socket buffers, so that its write is pending when the connection ends.
	r.Method, r.Body, r.HasBody = "POST", make([]byte, 32<<20), true
	return e.Do(Target{ID: "up-1", Address: e.address, MaxConns: 2}, r)
}

// reset closes a connection with a reset.
func reset(c *net.TCPConn) error {
	if err := c.SetLinger(0); err != nil {
		return err
	}
	return c.Close()
}

// endThenReset ends the stream in order, and resets the connection afterwards.
func endThenReset(c *net.TCPConn) error {
	if err := c.CloseWrite(); err != nil {
		return err
	}
	return reset(c)
}

// TestResetReportedToWriter guards against a reply without a length that is passed on as complete although its connection
// was reset: a socket reports the reset once, and if the goroutine that writes the body gets the report, the reader sees
// the end of the stream.
func TestResetReportedToWriter(t *testing.T) {
	for _, tt := range []struct {
		name  string
		end   func(*net.TCPConn) error
		whole bool
	}{
		{"reset", reset, false},
		{"end of the stream", (*net.TCPConn).CloseWrite, true},
		{"end of the stream, then a reset", endThenReset, true},
	} {
		t.Run("remainder, "+tt.name, func(t *testing.T) {
			const size = 2 * maxBufferedBody
			e := newEarlyReply(t, size, tt.end)
			got, err := e.do()
			if err != nil || got.Remainder == nil {
				t.Fatalf("got %+v, %v, want a beginning and a remainder", got, err)
			}
			w := e.conn.bodyWrite
			close(e.proceed)
			if tt.name != "end of the stream" {
				// The write takes the report before anything more is read.
				<-w.done
			}
			remainder, err := io.ReadAll(got.Remainder)
			if whole := err == nil; whole != tt.whole {
				t.Errorf("got %d bytes and error %v, want a complete body: %v", len(got.Body)+len(remainder), err, tt.whole)
			}
			if n := len(got.Body) + len(remainder); tt.whole && n != size {
				t.Errorf("got %d bytes, want %d", n, size)
			}
			<-w.done
		})
		t.Run("short body, "+tt.name, func(t *testing.T) {
			const size = maxBufferedBody / 2
			for range 20 {
				// Whether the reader or the writer gets the report depends on which goroutine runs first.
				e := newEarlyReply(t, size, tt.end)
				time.AfterFunc(time.Millisecond, func() { close(e.proceed) })
				got, err := e.do()
				switch {
				case tt.whole && (err != nil || len(got.Body) != size):
					t.Errorf("got %+v, %v, want a body of %d bytes", got, err, size)
				case !tt.whole && FailureKindOf(err) != carobbend.FailureBroken:
					t.Errorf("got error %v, want one of kind %s", err, carobbend.FailureBroken)
				}
			}
		})
	}
}
