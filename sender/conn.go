package sender

import (
	"errors"
	"net"
	"sync"
	"time"
)

var (
	errStopped = errors.New("the request was given up before its first byte")
	errLate    = errors.New("the deadline passed before the first byte")
)

// guard records whether a byte of one request may have been written, and can prevent the first.
type guard struct {
	deadline time.Time

	mu      sync.Mutex
	started bool
	stopped bool
}

// start permits the first byte, unless the request was given up or is late. The process may have been paused
// after the last check above the transport, so the deadline is checked here again.
func (g *guard) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.stopped:
		return errStopped
	case !g.deadline.IsZero() && !time.Now().Before(g.deadline):
		return errLate
	}
	g.started = true
	return nil
}

// stop prevents the first byte and reports whether it may have been written already.
func (g *guard) stop() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	return g.started
}

// undo records that a write took no byte at all.
func (g *guard) undo() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.started = false
}

// conn is a connection that asks the guard of the current request before its first byte.
type conn struct {
	net.Conn

	mu      sync.Mutex
	guard   *guard
	written bool
}

// begin makes g the guard of the next bytes.
func (c *conn) begin(g *guard) {
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
		g.undo()
		return n, err
	}
	c.mu.Lock()
	c.written = true
	c.mu.Unlock()
	return n, err
}
