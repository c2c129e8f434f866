package emulator

import (
	"net"
	"sync"
	"time"
)

// Listener limits and delays connections and can make the open ones stop answering.
type Listener struct {
	net.Listener
	// Limit is the number of connections open at a time; 0 means no limit. Further ones are closed immediately.
	Limit int
	// ConnectTime is the delay before the first byte is read from a new connection.
	ConnectTime time.Duration

	mu       sync.Mutex
	conns    map[*listenerConn]struct{}
	peakOpen int
	accepted int
}

// Accept returns the next connection within the limit.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if lc := l.add(c); lc != nil {
			return lc, nil
		}
		if err := c.Close(); err != nil {
			continue
		}
	}
}

// Silence makes all currently open connections discard what is read and written from now on, without closing them; new
// connections work.
func (l *Listener) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silenceOnce.Do(func() { close(c.silent) })
	}
}

// Open returns the number of open connections and its maximum so far.
func (l *Listener) Open() (now, most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns), l.peakOpen
}

// Accepted returns the number of connections accepted so far.
func (l *Listener) Accepted() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accepted
}

func (l *Listener) add(c net.Conn) *listenerConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.Limit > 0 && len(l.conns) >= l.Limit {
		return nil
	}
	if l.conns == nil {
		l.conns = map[*listenerConn]struct{}{}
	}
	lc := &listenerConn{Conn: c, l: l, silent: make(chan struct{}), delay: l.ConnectTime}
	l.conns[lc] = struct{}{}
	l.accepted++
	l.peakOpen = max(l.peakOpen, len(l.conns))
	return lc
}

func (l *Listener) remove(c *listenerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

type listenerConn struct {
	net.Conn
	l           *Listener
	delay       time.Duration
	silent      chan struct{}
	silenceOnce sync.Once
	closeOnce   sync.Once
}

// Read implements net.Conn.
func (c *listenerConn) Read(p []byte) (int, error) {
	if c.delay > 0 {
		time.Sleep(c.delay)
		c.delay = 0
	}
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.isSilent() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *listenerConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *listenerConn) Close() error {
	c.closeOnce.Do(func() { c.l.remove(c) })
	return c.Conn.Close()
}

func (c *listenerConn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}
