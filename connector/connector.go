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
	defaultConnectTimeout  = 250 * time.Millisecond
	defaultProgressTimeout = 300 * time.Millisecond
	// defaultStatusPoll detects a leaving upstream within the bound of 3 s, jitter and time-outs included.
	defaultStatusPoll = 1500 * time.Millisecond
	idleTimeout       = 90 * time.Second
	// maxDials bounds the number of concurrent dials.
	maxDials = 64
	// All pools are suspected if, within suspectWindow, at least minSuspectPools pools and at least one in suspectPoolRatio
	// are suspected.
	suspectWindow    = 250 * time.Millisecond
	minSuspectPools  = 2
	suspectPoolRatio = 8
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3}

// Upstream is one upstream from the settings.
type Upstream struct {
	ID      carobbend.UpstreamID
	Address string
	// Connections is the number of connections that the upstream accepts from all instances.
	Connections int
}

// Connector sends shard requests over HTTP. Create it with New.
type Connector struct {
	catalog cataloger.Cataloger

	protocol        string
	connectTimeout  time.Duration
	progressTimeout time.Duration
	statusInterval  time.Duration
	connShare       carobbend.ConnShare
	leaving         func(now time.Time, id carobbend.UpstreamID, leaving bool)
	pools           map[carobbend.UpstreamID]*pool
	dials           chan struct{}
	opened          atomic.Int64
	mismatched      atomic.Int64
	log             logger.Logger

	suspectMu  sync.Mutex
	suspicions []time.Time
}

// Option configures a Connector.
type Option func(*Connector)

// WithProtocol selects ProtocolHTTP1, the default, or ProtocolHTTP2.
func WithProtocol(p string) Option { return func(c *Connector) { c.protocol = p } }

// WithConnShare sets the source of this instance's share of connections; by default it is the full limit.
func WithConnShare(s carobbend.ConnShare) Option { return func(c *Connector) { c.connShare = s } }

// WithConnectTimeout bounds the time to open a connection; the default is 250 ms.
func WithConnectTimeout(d time.Duration) Option { return func(c *Connector) { c.connectTimeout = d } }

// WithProgressTimeout bounds the time until the first byte of a reply; the default is 300 ms.
func WithProgressTimeout(d time.Duration) Option { return func(c *Connector) { c.progressTimeout = d } }

// WithStatusPoll sets the time between two status reads of an upstream; the default is 1.5 s.
func WithStatusPoll(d time.Duration) Option { return func(c *Connector) { c.statusInterval = d } }

// WithLeaving sets a function that is called when an upstream's leaving state changes.
func WithLeaving(f func(now time.Time, id carobbend.UpstreamID, leaving bool)) Option {
	return func(c *Connector) { c.leaving = f }
}

type fullShare struct{}

// Share implements carobbend.ConnShare.
func (fullShare) Share(limit int) int { return limit }

// New returns a connector to the given upstreams. It doesn't open connections.
func New(upstreams []Upstream, opts ...Option) *Connector {
	c := &Connector{
		protocol: ProtocolHTTP1, connectTimeout: defaultConnectTimeout, progressTimeout: defaultProgressTimeout,
		statusInterval: defaultStatusPoll, connShare: fullShare{},
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

// Counters holds totals since the start and the number of open connections.
type Counters struct {
	// Opened counts connections opened.
	Opened int64
	// Mismatched counts replies with the id of another request.
	Mismatched int64
	// Open is the number of connections open now.
	Open int64
}

// Counters returns the totals since the start and the number of open connections.
func (c *Connector) Counters() Counters {
	n := Counters{Opened: c.opened.Load(), Mismatched: c.mismatched.Load()}
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

// propagateSuspicion records that a pool is suspected. If enough pools are suspected within suspectWindow, it closes the
// idle connections of all pools that received no byte for minSuspicionAge.
func (c *Connector) propagateSuspicion(now time.Time) {
	c.suspectMu.Lock()
	recent := c.suspicions[:0]
	for _, at := range c.suspicions {
		if now.Sub(at) < suspectWindow {
			recent = append(recent, at)
		}
	}
	c.suspicions = append(recent, now)
	needed := max(minSuspectPools, len(c.pools)/suspectPoolRatio)
	spread := len(c.suspicions) == needed
	c.suspectMu.Unlock()
	if !spread {
		return
	}
	c.log.Info("silent connections suspected in several pools; closing idle connections", "pools", needed, "window", suspectWindow)
	for _, p := range c.pools {
		p.closeIdleSince(now.Add(-minSuspicionAge))
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
