package exchanger

import (
	"errors"
	"fmt"
	"io"
	"net"

	"golang.org/x/sys/unix"
)

// errBrokenStream says that the connection broke where a read reported the end of the stream.
var errBrokenStream = errors.New("the connection broke before the end of the reply")

// stateCloseWait is the state of a TCP connection of which the peer has ended its direction in order (TCP_CLOSE_WAIT).
const stateCloseWait = unix.BPF_TCP_CLOSE_WAIT

// bodyWrite is the write of a long body on a goroutine of its own.
type bodyWrite struct {
	done chan struct{}
	// err is valid once done is closed.
	err error
}

// Read implements io.Reader. It returns io.EOF only if the peer ended the stream in order.
//
// A socket reports a broken connection once. If the goroutine that writes the body gets that report, a read returns EOF,
// which would complete a reply without a length. Unless the state of the connection shows the peer's end of the stream, the
// connection is gone and the pending write ends at once, at the latest at the connection's deadline; its error decides.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) || c.bodyWrite == nil || c.endedInOrder() {
		return n, err
	}
	<-c.bodyWrite.done
	// After the peer's end of the stream a reset is reported as EPIPE. Any other error, such as ECONNRESET or ETIMEDOUT,
	// came instead of that end.
	if werr := c.bodyWrite.err; werr != nil && !errors.Is(werr, unix.EPIPE) {
		return n, fmt.Errorf("%w: %w", errBrokenStream, werr)
	}
	return n, err
}

// endedInOrder reports whether the connection is still in the state that follows the peer's end of the stream. It returns
// false if the connection was reset, also after that end.
func (c *conn) endedInOrder() bool {
	tc, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tc.SyscallConn()
	if err != nil {
		return false
	}
	ended := false
	err = raw.Control(func(fd uintptr) {
		info, ierr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		ended = ierr == nil && info.State == stateCloseWait
	})
	return err == nil && ended
}
