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

// progressTimeout is the time without a received byte after which a request fails as silent.
const progressTimeout = 200 * time.Millisecond

var errSilent = errors.New("no byte within the progress timeout")

// transport emulates the connections of an instance. A connection carries one request at a time, the number of
// connections to each upstream is limited, and a canceled request closes its connection.
type transport struct {
	pools map[carobbend.UpstreamID]*connPool
	sends *atomic.Int64
	// snapshotGone is called for each reply that the upstream no longer holds the snapshot.
	snapshotGone func(time.Time, carobbend.UpstreamID, carobbend.ShardRef)
}

var _ carobbend.Upstreams = (*transport)(nil)

// connPool holds the connections of one instance to one upstream.
type connPool struct {
	up      *emulator.Upstream
	oneWay  time.Duration
	connect time.Duration
	// sem limits the connections in use; it holds one element for each.
	sem chan struct{}

	mu   sync.Mutex
	idle []*conn
	open map[*conn]struct{}
}

// conn is an emulated connection.
type conn struct {
	// silent means that no more replies arrive on the connection.
	silent atomic.Bool
}

// Send implements carobbend.Upstreams.
func (t *transport) Send(ctx context.Context, id carobbend.UpstreamID, req carobbend.ShardRequest) (carobbend.ShardReply, error) {
	p := t.pools[id]
	c, err := p.acquire(ctx)
	if err != nil {
		return carobbend.ShardReply{}, err
	}
	t.sends.Add(1)
	reply, err := p.roundTrip(ctx, c, req)
	kind := carobbend.FailureKindOf(err)
	p.release(c, kind != carobbend.FailureCanceled && kind != carobbend.FailureSilent)
	if kind == carobbend.FailureSnapshotGone {
		t.snapshotGone(time.Now(), id, req.Ref)
	}
	return reply, err
}

// acquire returns an idle connection or opens one. It waits while the pool is at its limit.
func (p *connPool) acquire(ctx context.Context) (*conn, error) {
	select {
	case p.sem <- struct{}{}:
	case <-ctx.Done():
		return nil, p.sendError(carobbend.FailureCanceled, ctx.Err())
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
		p.release(c, false)
		return nil, p.sendError(carobbend.FailureCanceled, ctx.Err())
	}
	return c, nil
}

// release returns a connection to the pool, or closes it unless keep is set.
func (p *connPool) release(c *conn, keep bool) {
	p.mu.Lock()
	if keep {
		p.idle = append(p.idle, c)
	} else {
		delete(p.open, c)
	}
	p.mu.Unlock()
	<-p.sem
}

func (p *connPool) roundTrip(ctx context.Context, c *conn, req carobbend.ShardRequest) (carobbend.ShardReply, error) {
	start := time.Now()
	if !sleeper.Sleep(ctx, p.oneWay) {
		return carobbend.ShardReply{}, p.sendError(carobbend.FailureCanceled, ctx.Err())
	}
	var reply carobbend.ShardReply
	var err error
	if !c.silent.Load() {
		reply, err = p.up.Search(ctx, req)
	}
	if c.silent.Load() {
		if !sleeper.Sleep(ctx, progressTimeout-time.Since(start)) {
			return carobbend.ShardReply{}, p.sendError(carobbend.FailureCanceled, ctx.Err())
		}
		return carobbend.ShardReply{}, p.sendError(carobbend.FailureSilent, errSilent)
	}
	if carobbend.FailureKindOf(err) != carobbend.FailureCanceled && !sleeper.Sleep(ctx, p.oneWay) {
		return carobbend.ShardReply{}, p.sendError(carobbend.FailureCanceled, ctx.Err())
	}
	return reply, err
}

// silence makes all open connections stop answering without closing.
func (p *connPool) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		c.silent.Store(true)
	}
}

func (p *connPool) sendError(kind carobbend.FailureKind, err error) error {
	return &carobbend.SendError{Upstream: p.up.ID(), Kind: kind, Err: err}
}
