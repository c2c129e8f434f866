package exchanger

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// readBuffer is the size of a connection's read buffer in bytes; most replies of shards fit.
const readBuffer = 2048

// keepAlive detects, within about two seconds, connections that went silent without a reset.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}

// pool holds the connections to one upstream.
type pool struct {
	x       *Exchanger
	address string

	mu    sync.Mutex
	idle  []*conn
	inUse int
	// waiters are those of acquire in order. Each gets true with a permit, or false to end its wait.
	waiters []chan bool
	retired bool
}

// conn is one connection; it serves one request at a time.
type conn struct {
	net.Conn
	bounded boundedReader
	r       *bufio.Reader
	pool    *pool
	// bodyWrite is that of the latest request.
	bodyWrite *bodyWrite
	// served is the number of replies that were read completely.
	served int
	// idleUntil is the time until which the connection may be reused.
	idleUntil time.Time
	closed    sync.Once
}

func newPool(x *Exchanger, address string) *pool { return &pool{x: x, address: address} }

// acquire takes a permit for one connection. It waits while all permits are in use, until ctx ends or the wait is ended, and
// reports whether it waited. A retired pool gives no permits, and there is no wait unless usable returns true or is nil.
func (p *pool) acquire(ctx context.Context, limit int, usable func() bool) (waited bool, err error) {
	p.mu.Lock()
	switch {
	case p.retired:
		p.mu.Unlock()
		return false, errNotPermitted
	case p.inUse < max(limit, 1):
		p.inUse++
		p.mu.Unlock()
		return false, nil
	case usable != nil && !usable():
		p.mu.Unlock()
		return false, errNotPermitted
	}
	w := make(chan bool, 1)
	p.waiters = append(p.waiters, w)
	p.mu.Unlock()
	select {
	case granted := <-w:
		if !granted {
			return true, errNotPermitted
		}
		return true, nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, o := range p.waiters {
		if o == w {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			return true, ctx.Err()
		}
	}
	if <-w {
		// The permit was granted at the same moment, so it passes to the next waiter.
		p.releasePermit()
	}
	return true, ctx.Err()
}

// release returns the permit and, if the connection is reusable, keeps it as idle.
func (p *pool) release(c *conn, reusable bool) {
	p.mu.Lock()
	keep := reusable && !p.retired
	if keep {
		p.idle = append(p.idle, c)
	}
	p.releasePermit()
	p.mu.Unlock()
	if c != nil && !keep {
		c.close()
	}
}

// releasePermit passes a permit to the first waiter, or frees it if there is none.
func (p *pool) releasePermit() {
	if len(p.waiters) == 0 {
		p.inUse--
		return
	}
	p.waiters[0] <- true
	p.waiters = p.waiters[1:]
}

// takeIdle returns the most recently used idle connection that is still usable, or nil.
func (p *pool) takeIdle(now time.Time) *conn {
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.mu.Unlock()
			return nil
		}
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		if now.Before(c.idleUntil) && c.noPendingData() {
			return c
		}
		c.close()
	}
}

// dial opens a connection.
func (p *pool) dial(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.x.connectTimeout)
	defer cancel()
	d := net.Dialer{KeepAliveConfig: keepAlive, Control: p.x.buffers.Control}
	nc, err := d.DialContext(ctx, "tcp4", p.address)
	if err != nil {
		return nil, err
	}
	p.x.opened.Add(1)
	p.x.open.Add(1)
	c := &conn{Conn: nc, pool: p}
	c.bounded.r = c
	c.r = bufio.NewReaderSize(&c.bounded, readBuffer)
	return c, nil
}

// retire closes the idle connections and ends the waits for a permit; connections in use are closed when they are released.
func (p *pool) retire() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.retired = nil, true
	p.releaseWaiting()
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// releaseWaiting ends the waits for a permit; p.mu must be held.
func (p *pool) releaseWaiting() {
	for _, w := range p.waiters {
		w <- false
	}
	p.waiters = nil
}

// close may be called more than once.
func (c *conn) close() {
	c.closed.Do(func() {
		// An error doesn't matter, since the connection isn't used again.
		_ = c.Conn.Close()
		c.pool.x.open.Add(-1)
	})
}

// noPendingData reports whether an idle connection is open and has nothing to read, neither bytes nor EOF.
func (c *conn) noPendingData() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	tc, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tc.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = err == unix.EAGAIN
		return true
	})
	return err == nil && noData
}
