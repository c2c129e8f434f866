// Package exchanger sends single HTTP/1.1 requests to upstreams over its own connections.
//
// http.Transport doesn't fit requests that may run once: it resends by itself, and doesn't tell whether a byte was
// written. Here each attempt is written at most once, and its error says whether the upstream may have run it. A reply
// belongs to the attempt whose request id it repeats; replies with another id are skipped, and a connection on which
// anything unexpected was read isn't used again. The head, the interim replies and the body of a reply are bounded, so that
// an upstream which sends without end costs little memory; long bodies are read piece by piece.
//
// # Usage
//
//	x := exchanger.New(names, exchanger.WithConnectTimeout(200*time.Millisecond))
//	a := x.Attempt(ctx)
//	reply, err := a.Do(target, &request)
//	if exchanger.KindOf(err) == carobbend.FailureNotSent {
//		// another upstream may be asked without a second run
//	}
//	a.Cancel() // from another goroutine: closes the connection, which stops the upstream's work
package exchanger

import (
	"sync"
	"sync/atomic"
	"time"

	"carobbend.example/carobbend"
)

// Headers are the names of headers that are exchanged with upstreams, in canonical form.
type Headers struct {
	// RequestID is repeated by the reply.
	RequestID string
	// Deadline holds the time that is left in whole milliseconds.
	Deadline string
	// Upstream names the upstream that is meant; any other one refuses with StatusMisdirected.
	Upstream string
	// NotRun is present in a reply to a request that the upstream didn't run.
	NotRun string
	// Load holds the requests running and waiting and the slots of the upstream, separated by commas.
	Load string
}

// Target is an upstream to send to.
type Target struct {
	ID      carobbend.UpstreamID
	Address string
	// MaxConns is the number of connections that this instance may hold to the upstream.
	MaxConns int
}

const (
	defaultConnectTimeout = 250 * time.Millisecond
	// defaultIdle is the time after which an idle connection isn't used again where the upstream states none.
	defaultIdle = 4 * time.Second
	// idleMargin is taken off the idle time that an upstream states, so that a request doesn't cross its close.
	idleMargin = 500 * time.Millisecond
)

// Option configures an Exchanger.
type Option func(*Exchanger)

// WithConnectTimeout bounds the time for opening a connection.
func WithConnectTimeout(d time.Duration) Option { return func(x *Exchanger) { x.connectTimeout = d } }

// WithMaxReply bounds the body of a reply in bytes, with all framing. An attempt fails at the bound.
func WithMaxReply(n int64) Option { return func(x *Exchanger) { x.maxReply = n } }

// Exchanger holds a pool of connections to each upstream. It is safe for concurrent use.
type Exchanger struct {
	headers        Headers
	connectTimeout time.Duration
	maxReply       int64

	opened atomic.Int64
	open   atomic.Int64

	mu    sync.Mutex
	pools map[carobbend.UpstreamID]*pool
}

// New returns an exchanger without connections.
func New(h Headers, opts ...Option) *Exchanger {
	x := &Exchanger{
		headers: h, connectTimeout: defaultConnectTimeout, maxReply: defaultMaxReply, pools: map[carobbend.UpstreamID]*pool{},
	}
	for _, o := range opts {
		o(x)
	}
	return x
}

// Opened returns the number of connections opened so far, Open those open now.
func (x *Exchanger) Opened() int64 { return x.opened.Load() }

// Open returns the number of open connections.
func (x *Exchanger) Open() int64 { return x.open.Load() }

// Forget closes the idle connections to upstreams that are gone; requests in flight finish.
func (x *Exchanger) Forget(ids ...carobbend.UpstreamID) {
	x.mu.Lock()
	var gone []*pool
	for _, id := range ids {
		if p := x.pools[id]; p != nil {
			gone = append(gone, p)
			delete(x.pools, id)
		}
	}
	x.mu.Unlock()
	for _, p := range gone {
		p.retire()
	}
}

// pool returns the pool of a target. An upstream that is back under its id at another address gets a new pool.
func (x *Exchanger) pool(t Target) *pool {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.pools[t.ID]
	if p == nil || p.address != t.Address {
		if p != nil {
			go p.retire()
		}
		p = newPool(x, t.Address)
		x.pools[t.ID] = p
	}
	return p
}
