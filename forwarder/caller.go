package forwarder

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// rttRefresh is the number of requests on a connection after which its round-trip time is read again.
	rttRefresh = 16
	// maxRTT bounds the round-trip time that is subtracted from the time for an answer, also on a degraded connection.
	maxRTT = 30 * time.Millisecond
)

type callerKey struct{}

// callerConn holds the round-trip time of a caller's connection.
type callerConn struct {
	conn     net.Conn
	requests atomic.Int64
	rtt      atomic.Int64
}

// ConnContext is for http.Server.ConnContext; it lets a Forwarder measure the round-trip times of callers.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, &callerConn{conn: c})
}

// measureNetworkTime returns the network time that the caller counts in addition to the time on this instance: a round trip,
// and another one for the handshake on the first request of a connection. It is 0 if the connection isn't known.
func measureNetworkTime(ctx context.Context) time.Duration {
	c, ok := ctx.Value(callerKey{}).(*callerConn)
	if !ok {
		return 0
	}
	n := c.requests.Add(1)
	if n%rttRefresh == 1 {
		c.rtt.Store(int64(min(roundTrip(c.conn), maxRTT)))
	}
	rtt := time.Duration(c.rtt.Load())
	if n == 1 {
		return 2 * rtt
	}
	return rtt
}

// resetOnClose has the caller's connection closed with a reset. The end of the stream would complete an answer without a
// length and without chunks, as HTTP/1.0 has it.
func resetOnClose(ctx context.Context) error {
	c, ok := ctx.Value(callerKey{}).(*callerConn)
	if !ok {
		return nil
	}
	tc, ok := tcpConn(c.conn)
	if !ok {
		return nil
	}
	return tc.SetLinger(0)
}

// tcpConn returns the TCP connection that c is or wraps.
func tcpConn(c net.Conn) (*net.TCPConn, bool) {
	if w, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = w.NetConn()
	}
	tc, ok := c.(*net.TCPConn)
	return tc, ok
}

// roundTrip returns the kernel's estimate of the round-trip time of a TCP connection, or 0.
func roundTrip(c net.Conn) time.Duration {
	tc, ok := tcpConn(c)
	if !ok {
		return 0
	}
	raw, err := tc.SyscallConn()
	if err != nil {
		return 0
	}
	var rtt time.Duration
	err = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			rtt = time.Duration(info.Rtt) * time.Microsecond
		}
	})
	if err != nil {
		return 0
	}
	return rtt
}
