package main

import (
	"context"
	"math/rand/v2"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/balancer"
	"carobbend.example/carobbend/enroller"
	"carobbend.example/carobbend/exchanger"
	"carobbend.example/carobbend/follower"
	"carobbend.example/carobbend/forwarder"
	"carobbend.example/carobbend/hedger"
	"carobbend.example/carobbend/limiter"
	"carobbend.example/carobbend/linker"
	"carobbend.example/carobbend/logger"
	"carobbend.example/carobbend/meter"
	"carobbend.example/carobbend/platform"
	"carobbend.example/carobbend/relayer"
	"carobbend.example/carobbend/router"
	"carobbend.example/carobbend/settings"
	"carobbend.example/carobbend/steerer"
	"carobbend.example/carobbend/timekeeper"
)

const (
	// extraRatioPart and extraSlackPart are the parts of the shared bound on extra load that instances use. The rest
	// covers windows that begin at other times than those of the observer, and instances that don't know of each other yet.
	extraRatioPart = 0.95
	extraSlackPart = 0.85
	// farFactor scales the score of upstreams in other data centres; bytes between data centres are paid for.
	farFactor = 2.5
	// forgetTime is the time constant with which a raised latency of an unused upstream returns to its baseline.
	forgetTime = time.Second
	// memoryPart is the part of the memory that the runtime may use before it collects garbage more often.
	memoryPart = 0.6
	// awaitTime bounds the time that a request waits for the first routing, awaitWindow the time after the start in which
	// requests wait. Reading it takes some 30 ms.
	awaitTime   = 100 * time.Millisecond
	awaitWindow = 500 * time.Millisecond
	// requestMemoryPart is the part of the memory that the requests in flight may hold.
	requestMemoryPart = 0.3
)

// forwardInstance is one forwarding instance with all its parts.
type forwardInstance struct {
	file string
	cfg  *settings.Forward
	self carobbend.Instance
	log  logger.Logger

	router    router.Router
	fleet     forwarder.Fleet
	steerer   steerer.Steerer
	balancer  *balancer.Balancer
	allowance *hedger.Allowance
	exchanger *exchanger.Exchanger
	forwarder *forwarder.Forwarder
	store     *platform.Store
	follower  *follower.Follower
	enroller  *enroller.Enroller
	// links connect with other instances, which relay passes the list of instances on to; nil where peers aren't set.
	links    *linker.Linker
	relay    *relayer.Relay
	meter    *meter.Forward
	draining chan struct{}
	// suspension notices that the machine was suspended while no request came.
	suspension timekeeper.Watch
	// active says that this instance isn't in reserve.
	active atomic.Bool
	// routed is closed once a routing is in force.
	routed     chan struct{}
	routedOnce sync.Once

	mu sync.Mutex
	// enrolled is the last list of instances that was seen in reserve, considering that a second look at it is pending.
	enrolled    map[string]carobbend.Instance
	considering bool
	// confirming says that the next list decides.
	confirming bool
	// activeSince is the time since which this instance isn't in reserve.
	activeSince time.Time
}

func newForwardInstance(file string, cfg *settings.Forward) *forwardInstance {
	x := &forwardInstance{file: file, cfg: cfg, log: logger.New("instance"), draining: make(chan struct{}), routed: make(chan struct{})}
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(cfg.MemoryMB) * (1 << 20)))
	}
	x.self = carobbend.Instance{
		Name: cfg.Instance, Incarnation: ulid.Make().String(), DataCentre: cfg.DataCentre,
		CallerAddress: cfg.Listen.Callers, PeerAddress: cfg.Listen.Peers, Ready: true, Capacity: cfg.Cores,
	}
	headers := platform.Headers()
	x.balancer = balancer.New(balancer.WithOverdue(), balancer.WithForgetting(forgetTime), balancer.WithAllCandidates(),
		balancer.WithDistance(x.distance), balancer.WithSlots(x.slots), balancer.WithSeed(uint64(time.Now().UnixNano())))
	x.allowance = hedger.NewAllowance(cfg.ExtraLoad.Window)
	// The slack is shared; how many share it is known once the list of instances was read.
	x.allowance.Set(time.Now(), extraRatioPart*cfg.ExtraLoad.Ratio, 0)
	x.exchanger = exchanger.New(headers.Headers)
	x.forwarder = forwarder.New(forwarder.Config{
		Headers: headers, Router: &x.router, Fleet: &x.fleet, Balancer: x.balancer, Exchanger: x.exchanger,
		Allowance: x.allowance, Hedger: hedger.New(), Instances: x.steerer.Live,
		Woken: x.woken, AwaitRouting: x.awaitRouting,
		Memory: limiter.NewBytes(int64(requestMemoryPart * float64(cfg.MemoryMB) * (1 << 20))),
	})
	x.store = platform.NewStore(cfg.Store)
	x.enroller = enroller.New(platform.NewEnrolment(x.store), x.self, cfg.Lease)
	x.steerer.SetSelf(x.self, false)
	if steerer.NeedOf(x.self, nil) == steerer.NeedNow && steerer.Delay(x.self, steerer.NeedNow, 0) == 0 {
		x.active.Store(true)
		x.activeSince = time.Now()
	}
	x.relay = relayer.NewRelay(x.self)
	if cfg.Listen.Peers == "" {
		x.follow(platform.NewFeed(x.store))
		return x
	}
	x.links = linker.New(x.self, linker.WithoutNotices())
	x.links.AddHandlers(x.relay)
	x.follow(relayer.NewFeed(platform.NewFeed(x.store), x.self, x.links))
	return x
}

// follow sets where the state comes from.
func (x *forwardInstance) follow(feed carobbend.Feed) {
	x.follower = follower.New(feed, follower.Handlers{
		Routing: x.applyRouting, Upstreams: x.updateUpstreams, Instances: x.updateInstances, Store: x.relay.Reached,
	})
	x.enroller.OnFailure(x.follower.Check)
	if !x.active.Load() {
		x.follower.Follow(carobbend.ScopeInstances)
	}
}

// measure attaches the metrics.
func (x *forwardInstance) measure(lines *logger.Async) error {
	m, err := meter.NewForward(meter.ForwardSources{
		StoreCalls: x.store.Calls, Connections: x.exchanger.Open, Opened: x.exchanger.Opened,
		InFlight: x.forwarder.InFlight, DroppedLines: lines.Dropped, Ready: x.ready,
		Upstreams: func() int64 { return int64(x.fleet.Size()) },
		Members:   func() int64 { return int64(x.steerer.Live()) },
		RoutingVersion: func() int64 {
			if t := x.router.Table(); t != nil {
				return int64(t.Version())
			}
			return 0
		},
	})
	if err != nil {
		return err
	}
	x.meter = m
	x.forwarder.Recorder = m
	return nil
}

// distance prefers upstreams of this data centre.
func (x *forwardInstance) distance(id carobbend.UpstreamID) float64 {
	if r, ok := x.fleet.Record(id); ok && r.DataCentre == x.self.DataCentre {
		return 1
	}
	return farFactor
}

// slots returns the part of an upstream's slots that falls to this instance.
func (x *forwardInstance) slots(id carobbend.UpstreamID) float64 {
	r, ok := x.fleet.Record(id)
	if !ok {
		return 0
	}
	return float64(r.Slots) / float64(x.steerer.Live())
}

func (x *forwardInstance) applyRouting(r *carobbend.Routing) bool {
	ok := x.router.Apply(r)
	if ok {
		x.routedOnce.Do(func() { close(x.routed) })
	}
	if ok && !x.isDraining() {
		x.steerer.SetSelf(x.self, true)
		x.enroller.Enable()
	}
	return ok
}

func (x *forwardInstance) updateUpstreams(records map[string]carobbend.UpstreamRecord) {
	all := make([]carobbend.UpstreamRecord, 0, len(records))
	for _, r := range records {
		all = append(all, r)
	}
	c := x.fleet.Update(all)
	now := time.Now()
	for _, r := range c.Joined {
		x.balancer.Forget(r.ID)
		x.log.Info("upstream joined", "upstream", r.ID, "service", r.Service, "address", r.Address)
	}
	for _, r := range c.Leaving {
		x.balancer.Leaving(now, r.ID, true)
		x.log.Info("upstream leaving", "upstream", r.ID, "service", r.Service)
	}
	for _, r := range c.Left {
		x.balancer.Forget(r.ID)
		x.exchanger.Forget(r.ID)
		x.log.Info("upstream left", "upstream", r.ID, "service", r.Service)
	}
}

func (x *forwardInstance) updateInstances(instances map[string]carobbend.Instance) {
	if !x.active.Load() {
		x.considerServing(instances)
	} else if own, ok := instances[x.self.Name]; (!ok || own.Incarnation != x.self.Incarnation) && !x.isDraining() {
		x.enroller.Missing()
	}
	x.relay.Update(instances)
	before := x.steerer.Live()
	x.steerer.Update(instances)
	n := x.steerer.Live()
	x.boundExtraLoad(n)
	if n != before {
		x.log.Info("instances changed", "live", n, "before", before)
	}
}

// boundExtraLoad sets this instance's part of the extra load that n instances share.
func (x *forwardInstance) boundExtraLoad(n int) {
	bound := x.cfg.ExtraLoad
	x.allowance.Set(time.Now(), extraRatioPart*bound.Ratio, extraSlackPart*float64(bound.Slack)/float64(n))
}

// considerServing takes this instance out of reserve where it is needed, still is after the larger ones had time, and still is
// by a list that was read then. The entries of all instances lapse in an outage of the store, and the list may be as old as
// its last answer: without the second look, the whole reserve served after an outage.
func (x *forwardInstance) considerServing(instances map[string]carobbend.Instance) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.enrolled = instances
	need := steerer.NeedOf(x.self, instances)
	confirming := x.confirming
	x.confirming = false
	switch {
	case need == steerer.NeedNone || x.considering:
		return
	case confirming:
		x.activate("needed")
		return
	}
	x.considering = true
	time.AfterFunc(steerer.Delay(x.self, need, rand.Float64()), func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.considering = false
		if steerer.NeedOf(x.self, x.enrolled) == steerer.NeedNone || x.active.Load() || x.isDraining() {
			return
		}
		x.confirming = true
		x.follower.Refresh()
	})
}

// activate takes this instance out of reserve; x.mu is held.
func (x *forwardInstance) activate(reason string) {
	if x.active.Load() || x.isDraining() {
		return
	}
	x.log.Info("out of reserve", "reason", reason, "enrolled", len(x.enrolled))
	x.activeSince = time.Now()
	x.active.Store(true)
	x.follower.Follow(carobbend.ScopeAll)
}

// awaitRouting waits for the first routing. A request that reaches an instance in reserve shows that callers were told to use
// it: after a restart, the entry of the former process stays in the list for the rest of its lease.
func (x *forwardInstance) awaitRouting(ctx context.Context) {
	x.mu.Lock()
	x.activate("asked by a caller")
	since := x.activeSince
	x.mu.Unlock()
	if time.Since(since) > awaitWindow {
		// The store doesn't answer; waiting would only make the refusal late.
		return
	}
	t := time.NewTimer(awaitTime)
	defer t.Stop()
	select {
	case <-x.routed:
	case <-t.C:
	case <-ctx.Done():
	}
}

func (x *forwardInstance) isDraining() bool {
	select {
	case <-x.draining:
		return true
	default:
		return false
	}
}

// ready reports whether callers may be sent here.
func (x *forwardInstance) ready() bool { return x.router.Table() != nil && !x.isDraining() }
