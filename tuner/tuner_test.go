package tuner

import (
	"net"
	"testing"

	"golang.org/x/sys/unix"
)

// receiveBuffer returns the receive buffer of a connection.
func receiveBuffer(t *testing.T, c net.Conn) int {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	if cerr := raw.Control(func(fd uintptr) { n, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF) }); cerr != nil || err != nil {
		t.Fatal(cerr, err)
	}
	return n
}

// TestReceiveBuffers guards against dialed or accepted connections whose kernel buffers hold more than was asked for.
func TestReceiveBuffers(t *testing.T) {
	const n = 16 << 10
	for _, b := range []*Buffers{New(n), {}} {
		l, err := (&net.ListenConfig{Control: b.Control}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		dialed, err := (&net.Dialer{Control: b.Control}).Dial("tcp4", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		accepted, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		for name, c := range map[string]net.Conn{"dialed": dialed, "accepted": accepted} {
			// The kernel doubles what is asked for.
			if got := receiveBuffer(t, c); (got <= 2*n) != (b.receive == n) {
				t.Errorf("%s, asked for %d bytes: got %d", name, b.receive, got)
			}
			if err := c.Close(); err != nil {
				t.Error(err)
			}
		}
		if err := l.Close(); err != nil {
			t.Error(err)
		}
	}
}
