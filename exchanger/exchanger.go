// Package exchanger sends single HTTP/1.1 requests to upstreams over its own connections.
//
// http.Transport isn't suited to requests that may run at most once: it retries by itself and doesn't report whether a
// byte was written. Here each attempt is written at most once, and its error says whether the upstream may have run it. A
// reply belongs to the attempt whose request id it repeats; replies with another id are skipped, and a connection on which
// anything unexpected was read isn't reused. The head, the interim replies and the body of a reply are bounded, so that
// an upstream which sends without end costs little memory; long bodies are streamed.
//
// # Usage
//
//	x := exchanger.New(names, exchanger.WithConnectTimeout(200*time.Millisecond))
//	a := x.Attempt(ctx)
//	reply, err := a.Do(target, &request)
//	if exchanger.FailureKindOf(err) == carobbend.FailureNotSent {
//		// a retry on another upstream can't run the request twice
//	}
//	a.Cancel() // from another goroutine: closes the connection, which stops the upstream's work
package exchanger

import (
	"sync"
	"sync/atomic"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/tuner"
)

// Headers are the names of headers that are exchanged with upstreams, in canonical form.
type Headers struct {
	// RequestID is repeated by the reply.
	RequestID string
	// Deadline holds the time left until the deadline in whole milliseconds.
	Deadline string
	// Upstream names the target upstream; any other one refuses with StatusMisdirected.
	Upstream string
	// NotRun is present in a reply to a request that the upstream didn't run. No status states that by itself, except for
	// StatusMisdirected from an upstream that names itself as another one.
	NotRun string
	// Identity names the upstream that replies.
	Identity string
	// Load holds the upstream's running requests, waiting requests and slots, separated by commas.
	Load string
	// Leaving is present in the replies of an upstream that will stop soon.
	Leaving string
	// Warmup holds the number of milliseconds for which the upstream is still cold.
	Warmup string
}

// Target is an upstream to send to.
type Target struct {
	ID      carobbend.UpstreamID
	Address string
	// MaxConns is the number of connections that this instance may hold to the upstream.
	MaxConns int
	// Usable is called before the attempt waits for a connection, and must not block. If it returns false, the attempt fails as
	// restricted. What it reads must change before ReleaseWaiting is called, so that no attempt waits on. It may be nil.
	Usable func() bool
	// Permit is called right before the request is written. If it returns false, nothing is written and the attempt fails as
	// restricted. It may be nil.
	Permit func() bool
	// Observe is called with what the head of the reply says about the upstream, also if the reply is a failure or its body
	// breaks off, but not for StatusMisdirected. It may be nil.
	Observe func(Notice)
}

const (
	defaultConnectTimeout = 250 * time.Millisecond
	// defaultIdleTimeout applies to idle connections if the upstream's reply has no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the upstream's Keep-Alive timeout, so that a request isn't sent while the upstream closes
	// the connection.
	idleMargin = 500 * time.Millisecond
	// receiveBuffer is the receive buffer of a connection in bytes. It bounds what the kernel keeps of a long reply while its caller
	// doesn't read; replies of shards are far shorter.
	receiveBuffer = 64 << 10
)

// Option configures an Exchanger.
type Option func(*Exchanger)

// WithConnectTimeout bounds the time to open a connection.
func WithConnectTimeout(d time.Duration) Option { return func(x *Exchanger) { x.connectTimeout = d } }

// WithMaxReply bounds the body of a reply in bytes, including chunked framing. An attempt fails at the bound.
func WithMaxReply(n int64) Option { return func(x *Exchanger) { x.maxReply = n } }

// Exchanger holds a pool of connections to each upstream. It is safe for concurrent use.
type Exchanger struct {
	headers        Headers
	connectTimeout time.Duration
	maxReply       int64

	buffers *tuner.Buffers

	opened atomic.Int64
	open   atomic.Int64

	mu    sync.Mutex
	pools map[carobbend.UpstreamID]*pool
}

// New returns an exchanger without connections.
func New(h Headers, opts ...Option) *Exchanger {
	x := &Exchanger{
		headers: h, connectTimeout: defaultConnectTimeout, maxReply: defaultMaxReply, buffers: tuner.New(receiveBuffer),
		pools: map[carobbend.UpstreamID]*pool{},
	}
	for _, o := range opts {
		o(x)
	}
	return x
}

// Opened returns the number of connections opened so far.
func (x *Exchanger) Opened() int64 { return x.opened.Load() }

// Open returns the number of connections open now.
func (x *Exchanger) Open() int64 { return x.open.Load() }

// Remove removes the pools of upstreams and closes their idle connections. Attempts that wait for a connection fail as restricted,
// requests in flight finish. A later attempt to such an upstream opens new connections.
func (x *Exchanger) Remove(ids ...carobbend.UpstreamID) {
	x.mu.Lock()
	var removed []*pool
	for _, id := range ids {
		if p := x.pools[id]; p != nil {
			removed = append(removed, p)
			delete(x.pools, id)
		}
	}
	x.mu.Unlock()
	for _, p := range removed {
		p.retire()
	}
}

// ReleaseWaiting has all attempts that wait for a connection fail as restricted.
func (x *Exchanger) ReleaseWaiting() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, p := range x.pools {
		p.mu.Lock()
		p.releaseWaiting()
		p.mu.Unlock()
	}
}

// pool returns the pool of a target. An upstream whose address has changed gets a new pool.
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
