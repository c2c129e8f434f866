package acceptor

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/time/rate"

	"carobbend.example/carobbend/logger"
)

const (
	// minRetryDelay and maxRetryDelay bound the pause after a failed Accept; it doubles with each failure. While no descriptor is
	// free, connections wait in the listener's queue.
	minRetryDelay = 5 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// retryLogInterval is the time between two log lines about failures of one listener.
	retryLogInterval = 10 * time.Second
)

// retryListener is a listener whose Accept is repeated after temporary errors.
type retryListener struct {
	net.Listener
	log       rate.Sometimes
	closeOnce sync.Once
	closed    chan struct{}
}

// Retry returns a listener whose Accept waits and tries again after a temporary error, such as a lack of descriptors or memory.
// Errors that come from the listener itself are returned; net.ErrClosed says that it is closed.
func Retry(l net.Listener) net.Listener {
	return &retryListener{Listener: l, log: rate.Sometimes{Interval: retryLogInterval}, closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *retryListener) Accept() (net.Conn, error) {
	for d := minRetryDelay; ; d = min(2*d, maxRetryDelay) {
		c, err := l.Listener.Accept()
		if err == nil || !isTemporary(err) {
			return c, err
		}
		l.log.Do(func() {
			logger.New("acceptor").Error(err, "connection not accepted, trying again", "address", l.Addr())
		})
		t := time.NewTimer(d)
		select {
		case <-t.C:
		case <-l.closed:
			t.Stop()
			return nil, net.ErrClosed
		}
	}
}

// Close implements net.Listener.
func (l *retryListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// isTemporary reports whether an error of Accept may pass. Errors of a pending connection are reported by Accept, too, so
// that only those of the listener itself are permanent.
func isTemporary(err error) bool {
	var errno syscall.Errno
	if errors.Is(err, net.ErrClosed) || !errors.As(err, &errno) {
		return false
	}
	switch errno {
	case syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT, syscall.EOPNOTSUPP:
		return false
	default:
		return true
	}
}
