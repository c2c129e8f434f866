package bencher

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"carobbend.example/carobbend/sleeper"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/emulator"
)

// progressBound is the time without a byte after which a connection counts as silent.
const progressBound = 200 * time.Millisecond

var errSilent = errors.New("no byte within the progress bound")

// wire is the stand-in of an instance's connections: one request at a time on each, a bounded share of them to each
// upstream, and a canceled request costs its connection.
type wire struct {
	pools map[carobbend.UpstreamID]*pool
	sends *atomic.Int64
	// gone is told of replies that an upstream no longer holds a snapshot.
	gone func(time.Time, carobbend.UpstreamID, carobbend.ShardRef)
}

var _ carobbend.Upstreams = (*wire)(nil)

// pool holds the connections of one instance to one upstream.
type pool struct {
	up      *emulator.Upstream
	oneWay  time.Duration
	connect time.Duration
	// places holds one value for each connection in use.
	places chan struct{}

	mu   sync.Mutex
	idle []*conn
	open map[*conn]struct{}
}

type conn struct {
	silent atomic.Bool
}

// Send implements carobbend.Upstreams.
func (w *wire) Send(ctx context.Context, id carobbend.UpstreamID, req carobbend.ShardRequest) (carobbend.ShardReply, error) {
	p := w.pools[id]
	c, err := p.get(ctx)
	if err != nil {
		return carobbend.ShardReply{}, err
	}
	w.sends.Add(1)
	reply, err := p.roundTrip(ctx, c, req)
	kind := carobbend.KindOf(err)
	p.put(c, kind != carobbend.FailureCanceled && kind != carobbend.FailureSilent)
	if kind == carobbend.FailureSnapshotGone {
		w.gone(time.Now(), id, req.Ref)
	}
	return reply, err
}

func (p *pool) get(ctx context.Context) (*conn, error) {
	select {
	case p.places <- struct{}{}:
	case <-ctx.Done():
		return nil, p.fail(carobbend.FailureCanceled, ctx.Err())
	}
	p.mu.Lock()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		return c, nil
	}
	c := &conn{}
	p.open[c] = struct{}{}
	p.mu.Unlock()
	if !sleeper.Sleep(ctx, p.connect+2*p.oneWay) {
		p.put(c, false)
		return nil, p.fail(carobbend.FailureCanceled, ctx.Err())
	}
	return c, nil
}

func (p *pool) put(c *conn, keep bool) {
	p.mu.Lock()
	if keep {
		p.idle = append(p.idle, c)
	} else {
		delete(p.open, c)
	}
	p.mu.Unlock()
	<-p.places
}

func (p *pool) roundTrip(ctx context.Context, c *conn, req carobbend.ShardRequest) (carobbend.ShardReply, error) {
	start := time.Now()
	if !sleeper.Sleep(ctx, p.oneWay) {
		return carobbend.ShardReply{}, p.fail(carobbend.FailureCanceled, ctx.Err())
	}
	var reply carobbend.ShardReply
	var err error
	if !c.silent.Load() {
		reply, err = p.up.Search(ctx, req)
	}
	if c.silent.Load() {
		if !sleeper.Sleep(ctx, progressBound-time.Since(start)) {
			return carobbend.ShardReply{}, p.fail(carobbend.FailureCanceled, ctx.Err())
		}
		return carobbend.ShardReply{}, p.fail(carobbend.FailureSilent, errSilent)
	}
	if carobbend.KindOf(err) != carobbend.FailureCanceled && !sleeper.Sleep(ctx, p.oneWay) {
		return carobbend.ShardReply{}, p.fail(carobbend.FailureCanceled, ctx.Err())
	}
	return reply, err
}

// silence makes all open connections go dead.
func (p *pool) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		c.silent.Store(true)
	}
}

func (p *pool) fail(kind carobbend.FailureKind, err error) error {
	return &carobbend.SendError{Upstream: p.up.ID(), Kind: kind, Err: err}
}
