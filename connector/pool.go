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
	// minSuspicion is the least age of a request without progress that raises suspicion; it lies above the usual
	// service times, so that a slow reply doesn't cost connections.
	minSuspicion = 20 * time.Millisecond
	// suspicionFactor scales the smoothed latency of the upstream to the age that raises suspicion.
	suspicionFactor = 4
	// suspicionPause bounds how often the idle connections of a pool are closed.
	suspicionPause = time.Second
	// maxFalseAlarms bounds the doublings of the suspicion age after suspicions that proved wrong. Without them an
	// overloaded upstream would lose its idle connections each second.
	maxFalseAlarms = 4
	// latencyWeight is the weight of a new sample in the smoothed latency.
	latencyWeight = 0.1
)

var errShareUsed = errors.New("all connections of this instance's share are in use")

// pool holds the connections to one upstream.
type pool struct {
	up        Upstream
	c         *Connector
	transport *http.Transport

	open      atomic.Int64
	freed     chan struct{}
	requests  atomic.Int64
	lastByte  atomic.Int64
	suspected atomic.Int64
	latency   atomic.Int64
	// falseAlarms counts the suspicions in a row after which the reply arrived all the same.
	falseAlarms atomic.Int64
	leaving     leavingState
}

func newPool(c *Connector, up Upstream) *pool {
	p := &pool{up: up, c: c, freed: make(chan struct{}, 1)}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(c.protocol != ProtocolHTTP2)
	protocols.SetUnencryptedHTTP2(c.protocol == ProtocolHTTP2)
	p.transport = &http.Transport{
		DialContext:            p.dial,
		MaxResponseHeaderBytes: carobbend.MaxHeadBytes,
		Protocols:              protocols,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    up.Connections,
		IdleConnTimeout:        idleTimeout,
		HTTP2:                  &http.HTTP2Config{SendPingTimeout: c.progress, PingTimeout: c.progress},
	}
	return p
}

// share returns the number of connections that this instance may hold to the upstream now.
func (p *pool) share() int64 { return int64(p.c.conns.Share(p.up.Connections)) }

// acquire takes the right to one request in flight; over HTTP/1.1 each needs a connection of its own.
func (p *pool) acquire() bool {
	if p.requests.Add(1) <= p.share() || p.c.protocol == ProtocolHTTP2 {
		return true
	}
	p.requests.Add(-1)
	return false
}

func (p *pool) release() { p.requests.Add(-1) }

// dial opens a connection within the share. The number of dials at a time is bounded over all pools, so that the end
// of a network interruption doesn't open all connections at once.
func (p *pool) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if err := p.reserve(ctx); err != nil {
		return nil, err
	}
	select {
	case p.c.dials <- struct{}{}:
	case <-ctx.Done():
		p.free()
		return nil, ctx.Err()
	}
	defer func() { <-p.c.dials }()
	d := net.Dialer{Timeout: p.c.connectTimeout, KeepAliveConfig: keepAlive}
	nc, err := d.DialContext(ctx, network, address)
	if err != nil {
		p.free()
		return nil, err
	}
	p.c.opened.Add(1)
	asserter.Check(p.open.Load() <= int64(p.up.Connections), asserter.Connections,
		"upstream", p.up.ID, "open", p.open.Load(), "limit", p.up.Connections)
	return &conn{Conn: nc, p: p}, nil
}

// reserve counts one connection against the share. At the share it waits until another connection closes; meanwhile
// the request that asked for it may get one that became idle.
func (p *pool) reserve(ctx context.Context) error {
	t := time.NewTimer(p.c.connectTimeout)
	defer t.Stop()
	for p.open.Add(1) > p.share() {
		p.open.Add(-1)
		select {
		case <-p.freed:
		case <-t.C:
			return errShareUsed
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// free returns a connection to the share.
func (p *pool) free() {
	p.open.Add(-1)
	select {
	case p.freed <- struct{}{}:
	default:
	}
}

// progressed records the latency of a request whose reply began.
func (p *pool) progressed(latency time.Duration) {
	old := p.latency.Load()
	if old == 0 {
		p.latency.Store(int64(latency))
		return
	}
	p.latency.Store(old + int64(latencyWeight*float64(int64(latency)-old)))
}

// suspicionAge is the age at which a request without progress raises suspicion.
func (p *pool) suspicionAge() time.Duration {
	age := max(minSuspicion, suspicionFactor*time.Duration(p.latency.Load()))
	return min(age<<min(p.falseAlarms.Load(), maxFalseAlarms), p.c.progress)
}

// check is called when a request on a used connection reached the suspicion age without a reply. The pool is suspected
// if none of its connections received a byte since the request began. It reports whether suspicion was raised.
func (p *pool) check(begin, now time.Time) bool {
	if p.lastByte.Load() >= begin.UnixNano() {
		return false
	}
	last := p.suspected.Load()
	if now.UnixNano()-last < int64(suspicionPause) || !p.suspected.CompareAndSwap(last, now.UnixNano()) {
		return false
	}
	p.transport.CloseIdleConnections()
	p.c.poolSuspected(now)
	return true
}

// confirmed records whether a suspicion was right.
func (p *pool) confirmed(right bool) {
	if right {
		p.falseAlarms.Store(0)
		return
	}
	p.falseAlarms.Add(1)
}

// refresh closes idle connections if none received a byte since a given time.
func (p *pool) refresh(since time.Time) {
	if p.lastByte.Load() < since.UnixNano() {
		p.transport.CloseIdleConnections()
	}
}

// conn counts itself against the share and records progress.
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
	c.once.Do(c.p.free)
	return c.Conn.Close()
}

var _ carobbend.Catalog = (*Connector)(nil)
