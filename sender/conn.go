package sender

import (
	"errors"
	"net"
	"sync"
	"time"
)

var (
	errStopped        = errors.New("the request was given up before its first byte")
	errDeadlinePassed = errors.New("the deadline passed before the first byte")
)

// writeGuard records whether a byte of a request may have been written, and can block the first write.
type writeGuard struct {
	deadline time.Time

	mu      sync.Mutex
	started bool
	stopped bool
}

// start permits the first write, unless stop was called or the deadline has passed. The process may have been paused
// after the checks above the transport, so the deadline is checked again here.
func (g *writeGuard) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.stopped:
		return errStopped
	case !g.deadline.IsZero() && !time.Now().Before(g.deadline):
		return errDeadlinePassed
	}
	g.started = true
	return nil
}

// stop blocks the first write and reports whether a byte may have been written already.
func (g *writeGuard) stop() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	return g.started
}

// clear records that the first write failed without writing a byte.
func (g *writeGuard) clear() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.started = false
}

// conn is a connection that asks the guard of the current request before the request's first write.
type conn struct {
	net.Conn

	mu      sync.Mutex
	guard   *writeGuard
	written bool
}

// setGuard sets the guard of the next request on the connection.
func (c *conn) setGuard(g *writeGuard) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guard, c.written = g, false
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	g, first := c.guard, !c.written
	c.mu.Unlock()
	if g == nil || !first {
		return c.Conn.Write(b)
	}
	if err := g.start(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	if n == 0 && err != nil {
		g.clear()
		return n, err
	}
	c.mu.Lock()
	c.written = true
	c.mu.Unlock()
	return n, err
}
