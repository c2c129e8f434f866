package connector

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/cataloger"
	"carobbend.example/carobbend/logger"
)

// Protocols of upstream connections.
const (
	ProtocolHTTP1 = "http1"
	ProtocolHTTP2 = "h2c"
)

const (
	defaultConnectTimeout = 250 * time.Millisecond
	defaultProgress       = 300 * time.Millisecond
	// defaultStatusPoll finds an upstream that is leaving within the bound of 3 s, jitter and time-outs included.
	defaultStatusPoll = 1500 * time.Millisecond
	idleTimeout       = 90 * time.Second
	// maxDials bounds the connections that are being opened at a time.
	maxDials = 64
	// suspectWindow, suspectPools and suspectShare say when suspicion spreads to all pools: at least suspectPools and
	// one in suspectShare of them must be suspected within the window.
	suspectWindow = 250 * time.Millisecond
	suspectPools  = 2
	suspectShare  = 8
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3}

// Upstream is one upstream as the settings name it.
type Upstream struct {
	ID      carobbend.UpstreamID
	Address string
	// Connections is the number of connections that the upstream accepts from all instances.
	Connections int
}

// Connector sends shard requests over HTTP. Create it with New.
type Connector struct {
	catalog cataloger.Cataloger

	protocol       string
	connectTimeout time.Duration
	progress       time.Duration
	statusPoll     time.Duration
	conns          carobbend.Conns
	leaving        func(now time.Time, id carobbend.UpstreamID, leaving bool)
	pools          map[carobbend.UpstreamID]*pool
	dials          chan struct{}
	opened         atomic.Int64
	mismatched     atomic.Int64
	log            logger.Logger

	suspectMu  sync.Mutex
	suspicions []time.Time
}

// Option configures a Connector.
type Option func(*Connector)

// WithProtocol selects ProtocolHTTP1, the default, or ProtocolHTTP2.
func WithProtocol(p string) Option { return func(c *Connector) { c.protocol = p } }

// WithConns sets the source of this instance's share of connections; the default is the whole limit.
func WithConns(s carobbend.Conns) Option { return func(c *Connector) { c.conns = s } }

// WithConnectTimeout bounds the opening of a connection; the default is 250 ms.
func WithConnectTimeout(d time.Duration) Option { return func(c *Connector) { c.connectTimeout = d } }

// WithProgressTimeout bounds the time without a byte on a request; the default is 300 ms.
func WithProgressTimeout(d time.Duration) Option { return func(c *Connector) { c.progress = d } }

// WithStatusPoll sets the time between two status reads of an upstream; the default is 1.5 s.
func WithStatusPoll(d time.Duration) Option { return func(c *Connector) { c.statusPoll = d } }

// WithLeaving sets the function that is told whether an upstream is leaving.
func WithLeaving(f func(now time.Time, id carobbend.UpstreamID, leaving bool)) Option {
	return func(c *Connector) { c.leaving = f }
}

type wholeLimit struct{}

// Share implements carobbend.Conns.
func (wholeLimit) Share(limit int) int { return limit }

// New returns a connector to the given upstreams; it opens no connection yet.
func New(upstreams []Upstream, opts ...Option) *Connector {
	c := &Connector{
		protocol: ProtocolHTTP1, connectTimeout: defaultConnectTimeout, progress: defaultProgress,
		statusPoll: defaultStatusPoll, conns: wholeLimit{},
		leaving: func(time.Time, carobbend.UpstreamID, bool) {},
		pools:   make(map[carobbend.UpstreamID]*pool, len(upstreams)),
		dials:   make(chan struct{}, maxDials), log: logger.New("connector"),
	}
	for _, o := range opts {
		o(c)
	}
	for _, up := range upstreams {
		c.pools[up.ID] = newPool(c, up)
	}
	return c
}

// Counts are totals since the start.
type Counts struct {
	// Opened counts connections opened.
	Opened int64
	// Mismatched counts replies that belonged to another request.
	Mismatched int64
	// Open is the number of connections open now.
	Open int64
}

// Counts returns the totals since the start.
func (c *Connector) Counts() Counts {
	n := Counts{Opened: c.opened.Load(), Mismatched: c.mismatched.Load()}
	for _, p := range c.pools {
		n.Open += p.open.Load()
	}
	return n
}

// Close closes all idle connections.
func (c *Connector) Close() {
	for _, p := range c.pools {
		p.transport.CloseIdleConnections()
	}
}

// poolSuspected spreads suspicion to all pools when several are suspected at a time.
func (c *Connector) poolSuspected(now time.Time) {
	c.suspectMu.Lock()
	recent := c.suspicions[:0]
	for _, at := range c.suspicions {
		if now.Sub(at) < suspectWindow {
			recent = append(recent, at)
		}
	}
	c.suspicions = append(recent, now)
	needed := max(suspectPools, len(c.pools)/suspectShare)
	spread := len(c.suspicions) == needed
	c.suspectMu.Unlock()
	if !spread {
		return
	}
	c.log.Info("connections suspected silent", "pools", needed, "window", suspectWindow)
	for _, p := range c.pools {
		p.refresh(now.Add(-minSuspicion))
	}
}

// Layouts implements carobbend.Catalog.
func (c *Connector) Layouts(index string) []carobbend.Layout { return c.catalog.Layouts(index) }

// Run polls the status of all upstreams until ctx is done.
func (c *Connector) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for _, p := range c.pools {
		wg.Go(func() { c.poll(ctx, p) })
	}
	wg.Wait()
	return ctx.Err()
}
