package connector

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/asserter"
)

const (
	// minSuspicionAge is the minimum age of a request without progress that raises suspicion. It is above the usual service
	// times, so that a slow reply doesn't cost connections.
	minSuspicionAge = 20 * time.Millisecond
	// suspicionFactor scales the smoothed latency of the upstream to the age that raises suspicion.
	suspicionFactor = 4
	// minSuspicionInterval is the minimum time between two suspicions of a pool, which close its idle connections.
	minSuspicionInterval = time.Second
	// maxSuspicionDoublings bounds how often the suspicion age doubles after false suspicions. Without the doubling, an
	// overloaded upstream would lose its idle connections each second.
	maxSuspicionDoublings = 4
	// latencyWeight is the weight of a new sample in the smoothed latency.
	latencyWeight = 0.1
)

var errShareExhausted = errors.New("this instance's share of the connection limit is in use")

// pool holds the connections to one upstream.
type pool struct {
	up        Upstream
	c         *Connector
	transport *http.Transport

	open         atomic.Int64
	connReleased chan struct{}
	requests     atomic.Int64
	lastByte     atomic.Int64
	suspected    atomic.Int64
	latency      atomic.Int64
	// falseSuspicions counts the consecutive suspicions after which the reply arrived.
	falseSuspicions atomic.Int64
	leaving         leavingState
}

func newPool(c *Connector, up Upstream) *pool {
	p := &pool{up: up, c: c, connReleased: make(chan struct{}, 1)}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(c.protocol != ProtocolHTTP2)
	protocols.SetUnencryptedHTTP2(c.protocol == ProtocolHTTP2)
	p.transport = &http.Transport{
		DialContext:            p.dial,
		MaxResponseHeaderBytes: carobbend.MaxHeaderBytes,
		Protocols:              protocols,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    up.Connections,
		IdleConnTimeout:        idleTimeout,
		HTTP2:                  &http.HTTP2Config{SendPingTimeout: c.progressTimeout, PingTimeout: c.progressTimeout},
	}
	return p
}

// share returns the number of connections that this instance may hold to the upstream now.
func (p *pool) share() int64 { return int64(p.c.connShare.Share(p.up.Connections)) }

// acquireRequest counts one request in flight. Over HTTP/1.1 each needs its own connection, so it returns false at the share.
func (p *pool) acquireRequest() bool {
	if p.requests.Add(1) <= p.share() || p.c.protocol == ProtocolHTTP2 {
		return true
	}
	p.requests.Add(-1)
	return false
}

func (p *pool) releaseRequest() { p.requests.Add(-1) }

// dial opens a connection within the share. The number of concurrent dials is bounded over all pools, so that not all
// connections are opened at once when a network interruption ends.
func (p *pool) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if err := p.reserveConn(ctx); err != nil {
		return nil, err
	}
	select {
	case p.c.dials <- struct{}{}:
	case <-ctx.Done():
		p.releaseConn()
		return nil, ctx.Err()
	}
	defer func() { <-p.c.dials }()
	d := net.Dialer{Timeout: p.c.connectTimeout, KeepAliveConfig: keepAlive}
	nc, err := d.DialContext(ctx, network, address)
	if err != nil {
		p.releaseConn()
		return nil, err
	}
	p.c.opened.Add(1)
	asserter.Check(p.open.Load() <= int64(p.up.Connections), asserter.Connections,
		"upstream", p.up.ID, "open", p.open.Load(), "limit", p.up.Connections)
	return &conn{Conn: nc, p: p}, nil
}

// reserveConn counts one connection against the share. At the share it waits until another connection closes; in the
// meantime, the transport may give the waiting request a connection that became idle.
func (p *pool) reserveConn(ctx context.Context) error {
	t := time.NewTimer(p.c.connectTimeout)
	defer t.Stop()
	for p.open.Add(1) > p.share() {
		p.open.Add(-1)
		select {
		case <-p.connReleased:
		case <-t.C:
			return errShareExhausted
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// releaseConn returns one connection to the share and wakes a waiting dial.
func (p *pool) releaseConn() {
	p.open.Add(-1)
	select {
	case p.connReleased <- struct{}{}:
	default:
	}
}

// observeLatency adds the time to a reply's first byte to the smoothed latency.
func (p *pool) observeLatency(latency time.Duration) {
	old := p.latency.Load()
	if old == 0 {
		p.latency.Store(int64(latency))
		return
	}
	p.latency.Store(old + int64(latencyWeight*float64(int64(latency)-old)))
}

// suspicionAge is the age at which a request without progress raises suspicion.
func (p *pool) suspicionAge() time.Duration {
	age := max(minSuspicionAge, suspicionFactor*time.Duration(p.latency.Load()))
	return min(age<<min(p.falseSuspicions.Load(), maxSuspicionDoublings), p.c.progressTimeout)
}

// suspect is called when a request on a reused connection reaches the suspicion age without a reply. If no connection of
// the pool received a byte since the request began, it closes the idle connections. It reports whether it did.
func (p *pool) suspect(start, now time.Time) bool {
	if p.lastByte.Load() >= start.UnixNano() {
		return false
	}
	last := p.suspected.Load()
	if now.UnixNano()-last < int64(minSuspicionInterval) || !p.suspected.CompareAndSwap(last, now.UnixNano()) {
		return false
	}
	p.transport.CloseIdleConnections()
	p.c.propagateSuspicion(now)
	return true
}

// recordSuspicion records whether a suspicion was correct, which resets or raises the suspicion age.
func (p *pool) recordSuspicion(correct bool) {
	if correct {
		p.falseSuspicions.Store(0)
		return
	}
	p.falseSuspicions.Add(1)
}

// closeIdleSince closes the idle connections if no connection of the pool received a byte since the given time.
func (p *pool) closeIdleSince(since time.Time) {
	if p.lastByte.Load() < since.UnixNano() {
		p.transport.CloseIdleConnections()
	}
}

// conn is a connection that records received data and returns itself to the share on Close.
type conn struct {
	net.Conn
	p    *pool
	once sync.Once
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.p.lastByte.Store(time.Now().UnixNano())
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(c.p.releaseConn)
	return c.Conn.Close()
}

var _ carobbend.Catalog = (*Connector)(nil)
