package acceptor

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// failingListener returns its errors in order, and then a connection each time.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		c, _ := net.Pipe()
		return c, nil
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, err
}

func (l *failingListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *failingListener) Close() error { return nil }

func acceptError(errno syscall.Errno) error {
	return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
}

// TestRetry guards against a process that ends, or spins, because of a lack of descriptors that passes.
func TestRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		errs := []error{
			acceptError(syscall.EMFILE), acceptError(syscall.ENFILE), acceptError(syscall.ENOBUFS), acceptError(syscall.ENOMEM),
			acceptError(syscall.ECONNABORTED), acceptError(syscall.EPROTO), acceptError(syscall.EPERM), acceptError(syscall.EMFILE),
			acceptError(syscall.EMFILE), acceptError(syscall.EMFILE),
		}
		began := time.Now()
		c, err := Retry(&failingListener{errs: errs}).Accept()
		if err != nil {
			t.Fatalf("got %v, want a connection", err)
		}
		closeConn(t, c)
		if got := time.Since(began); got < time.Second || got > 10*time.Second {
			t.Errorf("got %v for ten failures, want growing pauses", got)
		}
	})
	for _, want := range []error{net.ErrClosed, acceptError(syscall.EBADF), errors.New("unknown")} {
		if _, err := Retry(&failingListener{errs: []error{want}}).Accept(); !errors.Is(err, want) {
			t.Errorf("got %v, want %v", err, want)
		}
	}
}

// TestCloseWhileRetrying guards against a stop that waits for the pause after a failure.
func TestCloseWhileRetrying(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		errs := make([]error, 1000)
		for i := range errs {
			errs[i] = acceptError(syscall.EMFILE)
		}
		l := Retry(&failingListener{errs: errs})
		time.AfterFunc(10*time.Second+time.Millisecond, func() {
			if err := l.Close(); err != nil {
				t.Error(err)
			}
		})
		began := time.Now()
		if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
			t.Errorf("got %v, want %v", err, net.ErrClosed)
		}
		if got, want := time.Since(began), 10*time.Second+time.Millisecond; got != want {
			t.Errorf("closed after %v, want %v", got, want)
		}
	})
}

func closeConn(t *testing.T, c net.Conn) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Error(err)
	}
}
