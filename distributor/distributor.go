// Package distributor keeps the rules in force on an instance and distributes committed versions to its peers.
//
// Only a few instances watch the store: the first two of each data centre in rendezvous order over the live members. A
// watcher that learns of a version notifies the peers of its data centre and the watchers of the others; in addition
// each instance pulls the rules from a random peer each second. The version in force only rises.
//
// Each reply between peers states how long ago its sender's version was confirmed against the store. The receiver
// subtracts this age from the time at which it sent its request, and takes the result as its own time of confirmation,
// so that instances that can't reach the store don't keep confirming each other. After DefaultConfirmationTimeout
// without a confirmation, or after a pause of the process, Confirmed is false and the instance should not be named to
// callers.
//
// The state machine in core.go does no I/O; Run connects it with the store, the peers and the clock.
//
// # Usage
//
//	d := distributor.New(store, peers)
//	g.Go(func() error { return d.Run(ctx) })
//	rules := d.Rules()
//	named := d.Ready() && d.Confirmed(time.Now())
package distributor

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"carobbend.example/carobbend/sleeper"

	"golang.org/x/sync/errgroup"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/encoder"
	"carobbend.example/carobbend/logger"
	"carobbend.example/carobbend/parser"
	"carobbend.example/carobbend/publisher"
)

const (
	// DefaultConfirmationTimeout is how long an instance may go without a confirmation against the store.
	DefaultConfirmationTimeout = 10 * time.Second

	tickInterval        = 200 * time.Millisecond
	ticksPerViewRefresh = 5
	peerTimeout         = time.Second
	// watchWait bounds a watch, so that an unresponsive connection delays a version by less than 5 s.
	watchWait = 2 * time.Second
	idleWait  = 50 * time.Millisecond
	// maxOpenRequests bounds the requests to peers in flight. Further ones are dropped; the next pull makes up for them.
	maxOpenRequests = 512
)

var log = logger.New("distributor")

// Distributor implements carobbend.RulesSource and carobbend.PeerHandler. It is safe for concurrent use.
type Distributor struct {
	store carobbend.Store
	peers carobbend.Peers
	rules atomic.Pointer[parser.Ruleset]

	mu   sync.Mutex
	core *core
	// ctx is the context of Run; it is valid while running is set.
	ctx          context.Context
	running      bool
	requests     sync.WaitGroup
	openRequests int
}

// Option configures a Distributor.
type Option func(*Distributor)

// WithConfirmationTimeout sets how long an instance may go without a confirmation against the store.
func WithConfirmationTimeout(d time.Duration) Option {
	return func(x *Distributor) { x.core.confirmationTimeout = d }
}

// WithSeed fixes the random choices; it is for tests.
func WithSeed(seed uint64) Option {
	return func(x *Distributor) { x.core.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns a distributor with the default rules; peers is nil for an instance without peers.
func New(store carobbend.Store, peers carobbend.Peers, opts ...Option) *Distributor {
	d := &Distributor{store: store, peers: peers}
	d.core = newCore(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), d.rules.Store)
	for _, o := range opts {
		o(d)
	}
	return d
}

// Rules implements carobbend.RulesSource.
func (d *Distributor) Rules() carobbend.Rules { return d.rules.Load() }

// Ready reports whether the instance has rules in force: a committed version, or the defaults after the store
// confirmed that it holds none.
func (d *Distributor) Ready() bool {
	return d.Status(time.Now()).Ready
}

// Confirmed reports whether the store was reached, directly or through peers, recently enough for this instance to
// be named to callers. It is false after a pause of the process until the next confirmation.
func (d *Distributor) Confirmed(now time.Time) bool {
	return d.Status(now).Confirmed
}

// Status describes a distributor for metrics and for the admin API.
type Status struct {
	Version   uint64
	Ready     bool
	Confirmed bool
	// Watching says that this instance watches the store.
	Watching bool
	// Age is the time since the last confirmation against the store; without one, it is the longest time allowed.
	Age time.Duration
}

// Status returns the state at a time.
func (d *Distributor) Status(now time.Time) Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.core
	return Status{Version: c.version(), Ready: c.ready, Confirmed: c.confirmed(now), Watching: c.view.watching, Age: c.age(now)}
}

// HandlePeer implements carobbend.PeerHandler; it answers RulesRequest.
func (d *Distributor) HandlePeer(_ context.Context, from string, req *encoder.Frame) *encoder.Frame {
	q := req.GetRulesRequest()
	if q == nil {
		return nil
	}
	var reply *encoder.RulesReply
	d.handleEvent(func(now time.Time) effects {
		var e effects
		reply, e = d.core.handlePeerRequest(now, from, q.GetHave())
		return e
	})
	return &encoder.Frame{Body: &encoder.Frame_RulesReply{RulesReply: reply}}
}

// Run keeps the rules up to date until ctx is done, and returns nil then.
func (d *Distributor) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	d.setRunning(ctx, true)
	g.Go(func() error { d.tickLoop(ctx); return nil })
	g.Go(func() error { d.storeLoop(ctx); return nil })
	err := g.Wait()
	d.setRunning(ctx, false)
	d.requests.Wait()
	return err
}

func (d *Distributor) setRunning(ctx context.Context, running bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ctx, d.running = ctx, running
}

func (d *Distributor) tickLoop(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	var v view
	for n := 0; ; n++ {
		if n%ticksPerViewRefresh == 0 {
			// Called without the lock, since the members may query this distributor for the state of this instance.
			v = d.membershipView()
		}
		d.handleEvent(func(now time.Time) effects { return d.core.tick(now, v) })
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

func (d *Distributor) membershipView() view {
	if d.peers == nil {
		return newView(nil)
	}
	return newView(d.peers)
}

// storeLoop makes the store calls that are due, one at a time.
func (d *Distributor) storeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		d.mu.Lock()
		call, revision := d.core.dueStoreCall(time.Now())
		d.mu.Unlock()
		sent := time.Now()
		var e carobbend.Entry
		var err error
		switch call {
		case callNone:
			sleeper.Sleep(ctx, idleWait)
			continue
		case callGet:
			e, err = d.store.Get(ctx, publisher.Key)
		case callWatch:
			e, err = d.store.Watch(ctx, publisher.Key, revision, watchWait)
		}
		if ctx.Err() != nil {
			return
		}
		d.handleEvent(func(now time.Time) effects {
			if err != nil {
				return d.core.handleStoreFailure(now, err)
			}
			return d.core.handleStoreValue(now, sent, e)
		})
	}
}

// handleEvent passes one event to the core and carries out its effects.
func (d *Distributor) handleEvent(event func(now time.Time) effects) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := event(time.Now())
	for _, l := range e.log {
		if l.err != nil {
			log.Error(l.err, l.event, l.fields...)
		} else {
			log.Info(l.event, l.fields...)
		}
	}
	for _, a := range e.requests {
		d.sendLocked(a)
	}
}

func (d *Distributor) sendLocked(a peerRequest) {
	if !d.running || d.peers == nil || d.openRequests >= maxOpenRequests {
		return
	}
	d.openRequests++
	ctx, sent := d.ctx, time.Now()
	req := &encoder.Frame{Body: &encoder.Frame_RulesRequest{RulesRequest: &encoder.RulesRequest{Have: d.core.version()}}}
	d.requests.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		rep, err := d.peers.Ask(ctx, a.peer, req)
		d.handleEvent(func(now time.Time) effects {
			d.openRequests--
			if err != nil || rep.GetRulesReply() == nil {
				return d.core.handlePeerFailure(now, a)
			}
			return d.core.handlePeerReply(now, sent, a, rep.GetRulesReply())
		})
	})
}
