package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/acceptor"
	"carobbend.example/carobbend/allotter"
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
	"carobbend.example/carobbend/reporter"
	"carobbend.example/carobbend/restrictor"
	"carobbend.example/carobbend/router"
	"carobbend.example/carobbend/scatterer"
	"carobbend.example/carobbend/settings"
	"carobbend.example/carobbend/steerer"
	"carobbend.example/carobbend/timekeeper"
)

const (
	// extraRatioFactor and extraSlackFactor are the fractions of the shared bound on extra load that instances use. The rest
	// is a margin for an observer whose windows begin at other times, and for instances that don't know of each other yet.
	extraRatioFactor = 0.95
	extraSlackFactor = 0.85
	// otherDataCentreFactor multiplies the score of upstreams in other data centres, since traffic between data
	// centres costs money.
	otherDataCentreFactor = 2.5
	// routingWaitTimeout bounds the time that a request waits for the first routing configuration; reading it takes some
	// 30 ms. routingWaitWindow is the time after activation during which requests wait.
	routingWaitTimeout = 100 * time.Millisecond
	routingWaitWindow  = 500 * time.Millisecond
)

// forwardInstance is one forwarding instance with its components.
type forwardInstance struct {
	file string
	cfg  *settings.Forward
	self carobbend.Instance
	log  logger.Logger

	router      router.Router
	upstreams   forwarder.UpstreamSet
	selector    steerer.Selector
	balancer    *balancer.Balancer
	retryBudget *hedger.WindowBudget
	exchanger   *exchanger.Exchanger
	forwarder   *forwarder.Forwarder
	store       *platform.Store
	follower    *follower.Follower
	enroller    *enroller.Enroller
	// links connect to other instances, whose requests for the list of instances relay answers; nil unless a peer address
	// is set.
	links *linker.Linker
	relay *relayer.Relay
	// allotments bounds the requests of accounts with a limit.
	allotments *allotter.Runner
	// reporter shares observations of upstreams; nil unless the settings ask for it.
	reporter *reporter.Reporter
	meter    *meter.Forward
	// account divides the memory and the descriptors; guard applies it to the listeners by the decisions of conns.
	account  limiter.Account
	conns    *limiter.ConnTable
	guard    *acceptor.Guard
	draining chan struct{}
	// suspensionDetector detects that the machine was suspended while no request arrived.
	suspensionDetector timekeeper.SuspensionDetector
	// active is set while this instance serves rather than being in reserve, retiring while it still serves and is about to
	// return to the reserve.
	active, retiring atomic.Bool
	// storeLost is set while the store can't be read.
	storeLost atomic.Bool

	mu sync.Mutex
	// routingReady is closed once a routing configuration is in force; routingKnown says that it is.
	routingReady chan struct{}
	routingKnown bool
	// retirement decides when this instance returns to the reserve; retired is set once it has, and where
	// it begins there although it is large.
	retirement steerer.Retirement
	retired    bool
	// requestsBefore is the number of requests that callers had sent when this instance last returned to the reserve.
	requestsBefore int64
	// lastInstances is the last instance list that was read in reserve. activationPending is set while a delayed second
	// check of it is scheduled.
	lastInstances     map[string]carobbend.Instance
	activationPending bool
	// confirmActivation is set when the next list decides whether the instance is activated.
	confirmActivation bool
	// activeSince is when this instance became active.
	activeSince time.Time
}

func newForwardInstance(file string, cfg *settings.Forward) *forwardInstance {
	x := &forwardInstance{file: file, cfg: cfg, log: logger.New("instance"), draining: make(chan struct{}), routingReady: make(chan struct{})}
	setMemoryLimit(cfg.MemoryMB)
	x.account, x.conns = newConnTable(cfg.MemoryMB, cfg.MaxFDs, cfg.CallerLimits)
	x.guard = acceptor.NewGuard(x.conns)
	x.self = carobbend.Instance{
		Name: cfg.Instance, Incarnation: ulid.Make().String(), DataCentre: cfg.DataCentre,
		CallerAddress: cfg.Listen.Callers, PeerAddress: cfg.Listen.Peers, Ready: true, Capacity: cfg.Cores,
	}
	headers := platform.Headers()
	opts := []balancer.Option{
		balancer.WithDistance(x.distance), balancer.WithSlots(x.slotShare), balancer.WithSeed(uint64(time.Now().UnixNano())),
	}
	if cfg.UpstreamPace == settings.PaceAdaptive {
		opts = append(opts, balancer.WithPace(x.selector.InstanceCount))
	}
	x.balancer = scatterer.NewBalancer(opts...)
	x.retryBudget = hedger.NewWindowBudget(cfg.ExtraLoad.Window)
	// The slack is divided among the instances, whose number is known only once the instance list is read.
	x.retryBudget.Set(time.Now(), extraRatioFactor*cfg.ExtraLoad.Ratio, 0)
	x.exchanger = exchanger.New(headers.Headers)
	x.forwarder = forwarder.New(forwarder.Config{
		Headers: headers, Router: &x.router, Upstreams: &x.upstreams, Balancer: x.balancer, Exchanger: x.exchanger,
		RetryBudget: x.retryBudget, Hedger: hedger.New(), Instances: x.selector.InstanceCount,
		Restrictor: &restrictor.Restrictor{
			DrainTime: cfg.DrainTime, Warmup: restrictor.Warmup{Overage: cfg.Warmup.Overage, Slack: cfg.Warmup.Slack},
		},
		OnResume: x.onResume, AwaitRouting: x.awaitRouting,
		Memory: x.account.Requests, Arriving: x.account.Arriving,
	})
	x.store = platform.NewStore(cfg.Store)
	if cfg.Listen.Peers != "" {
		x.links = linker.New(x.self, linker.WithoutNotices())
	}
	x.allotments = x.newAllotments()
	x.forwarder.Allotments = x.allotments
	x.enroller = enroller.New(platform.NewEnrolment(x.store), x.self, cfg.Lease)
	x.selector.SetSelf(x.self, false)
	if steerer.StartsInReserve(x.self, cfg.FirstStart) {
		x.retired = true
	} else if steerer.NeedOf(x.self, nil) == steerer.NeedNow && steerer.Delay(x.self, steerer.NeedNow, 0) == 0 {
		x.active.Store(true)
		x.activeSince = time.Now()
	}
	x.relay = relayer.NewRelay(x.self)
	if cfg.Listen.Peers == "" {
		x.setFeed(platform.NewFeed(x.store))
		return x
	}
	x.links.AddHandlers(x.relay, x.allotments)
	if cfg.ShareObservations {
		x.reporter = reporter.New(x.self.Name, x.balancer, x.links)
		x.links.AddHandlers(x.reporter)
	}
	x.setFeed(relayer.NewFeed(platform.NewFeed(x.store), x.self, x.links))
	return x
}

func (x *forwardInstance) newAllotments() *allotter.Runner {
	bound := x.cfg.Allotments
	cfg := allotter.Config{
		Self: x.self.Name, Incarnation: x.self.Incarnation, Window: bound.Window, Overage: bound.Overage, Slack: bound.Slack,
	}
	if x.links == nil {
		return allotter.NewRunner(cfg, nil, platform.NewAllotmentStore(x.store))
	}
	return allotter.NewRunner(cfg, x.links, platform.NewAllotmentStore(x.store))
}

// setFeed creates the follower, which reads routing, upstreams and instances from feed.
func (x *forwardInstance) setFeed(feed carobbend.Feed) {
	x.follower = follower.New(x.allotments.Feed(feed), follower.Handlers{
		Routing: x.applyRouting, Upstreams: x.updateUpstreams, Instances: x.updateInstances, Evacuated: x.forwarder.SetEvacuated,
		Confirmed:  x.forwarder.ConfirmInstances,
		StoreState: x.setStoreState,
	})
	x.enroller.OnFailure(x.follower.Probe)
	if !x.active.Load() {
		x.follower.SetScope(carobbend.ScopeInstances)
	}
}

// attachMetrics creates the meter and makes it the forwarder's recorder.
func (x *forwardInstance) attachMetrics(lines *logger.Async) error {
	m, err := meter.NewForward(meter.ForwardSources{
		StoreCalls: x.store.Calls, Connections: x.exchanger.Open, Opened: x.exchanger.Opened,
		DataCentres: x.forwarder.Restrictor.DataCentres, Restricted: x.forwarder.Restricted, InFlight: x.forwarder.InFlight, DroppedLines: lines.Dropped, Ready: x.ready,
		Upstreams:  func() int64 { return int64(x.upstreams.Size()) },
		Members:    func() int64 { return int64(x.selector.InstanceCount()) },
		Allotments: x.allotments.Accounts,
		Reports:    x.reportCounts,
		Limits:     meter.LimitSources{Connections: x.conns.Sizes, Closed: x.conns.Counts, Reserved: x.account.Used},
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

// reportCounts returns the totals of the reporter, which are 0 without one.
func (x *forwardInstance) reportCounts() reporter.Counts {
	if x.reporter == nil {
		return reporter.Counts{}
	}
	return x.reporter.Counts()
}

// distance returns the factor on an upstream's score, which prefers upstreams in this data centre.
func (x *forwardInstance) distance(id carobbend.UpstreamID) float64 {
	if r, ok := x.upstreams.Record(id); ok && r.DataCentre == x.self.DataCentre {
		return 1
	}
	return otherDataCentreFactor
}

// slotShare returns this instance's share of an upstream's slots.
func (x *forwardInstance) slotShare(id carobbend.UpstreamID) float64 {
	r, ok := x.upstreams.Record(id)
	if !ok {
		return 0
	}
	return float64(r.Slots) / float64(x.selector.InstanceCount())
}

func (x *forwardInstance) applyRouting(r *carobbend.Routing) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.retired {
		// Read just before this instance returned to the reserve, where nothing would replace it.
		return false
	}
	if t := x.router.Table(); t == nil || r.Version > t.Version() {
		x.forwarder.UpdateServices(r.Services)
	}
	ok := x.router.Apply(r)
	if ok && !r.HasCommonRegion() {
		x.log.Info("routes limit their requests to different regions, which is not enforced", "version", r.Version)
	}
	if ok {
		x.forwarder.RetainNames(r)
		x.conns.SetLimits(r.Limits)
		x.allotments.SetAccounts(r.Accounts)
	}
	if ok && !x.routingKnown {
		x.routingKnown = true
		close(x.routingReady)
	}
	if ok && !x.isDraining() {
		x.selector.SetSelf(x.self, true)
		x.enroller.Enable()
	}
	return ok
}

func (x *forwardInstance) updateUpstreams(records map[string]carobbend.UpstreamRecord) {
	all := make([]carobbend.UpstreamRecord, 0, len(records))
	for _, r := range records {
		all = append(all, r)
	}
	// Those of the first list were started before this instance, as far as it knows.
	first := x.upstreams.Size() == 0
	c := x.forwarder.UpdateUpstreams(all)
	if x.reporter != nil {
		x.reporter.SetUpstreams(records)
	}
	now := time.Now()
	for _, r := range c.Joined {
		x.balancer.Remove(r.ID)
		if !first {
			x.balancer.Started(now, r.ID)
		}
		x.log.Info("upstream joined", "upstream", r.ID, "service", r.Service, "address", r.Address)
	}
	for _, r := range c.Leaving {
		x.balancer.SetLeaving(now, r.ID, true)
		x.log.Info("upstream leaving", "upstream", r.ID, "service", r.Service)
	}
	for _, r := range c.Left {
		x.balancer.Remove(r.ID)
		x.log.Info("upstream left", "upstream", r.ID, "service", r.Service)
	}
}

func (x *forwardInstance) updateInstances(instances map[string]carobbend.Instance) {
	if !x.active.Load() {
		x.activateIfNeeded(instances)
	} else if own, ok := instances[x.self.Name]; (!ok || own.Incarnation != x.self.Incarnation) && !x.isDraining() {
		x.enroller.Reannounce()
	}
	x.forwarder.UpdateInstances(x.self, instances)
	x.relay.Update(instances)
	if x.active.Load() {
		x.allotments.Update(instances)
	}
	x.updateReporter(instances)
	before := x.selector.InstanceCount()
	x.selector.Update(instances)
	n := x.selector.InstanceCount()
	x.updateRetryBudget(n)
	if n != before {
		x.log.Info("instances changed", "live", n, "before", before)
	}
}

// updateReporter names the serving instances to the reporter. One in reserve isn't among them.
func (x *forwardInstance) updateReporter(instances map[string]carobbend.Instance) {
	if x.reporter == nil || !x.active.Load() {
		return
	}
	list := make([]carobbend.Instance, 0, len(instances))
	for _, i := range instances {
		list = append(list, i)
	}
	x.links.ApplyList(list)
	x.reporter.SetInstances(instances)
}

// updateRetryBudget sets this instance's share of the extra load that n instances may cause together.
func (x *forwardInstance) updateRetryBudget(n int) {
	bound := x.cfg.ExtraLoad
	x.retryBudget.Set(time.Now(), extraRatioFactor*bound.Ratio, extraSlackFactor*float64(bound.Slack)/float64(n))
}

// activateIfNeeded activates an instance in reserve once three checks find that it is needed: on this list, again after a
// delay in which larger instances can enrol, and on a list that is read then. In an outage of the store the entries of all
// instances expire, and the list may be as old as the store's last answer: without the last check, the whole reserve
// would be activated after an outage.
func (x *forwardInstance) activateIfNeeded(instances map[string]carobbend.Instance) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lastInstances = instances
	need := x.need(instances)
	confirming := x.confirmActivation
	x.confirmActivation = false
	switch {
	case need == steerer.NeedNone || x.activationPending:
		return
	case confirming:
		x.activate("needed")
		return
	}
	x.activationPending = true
	delay := steerer.Delay(x.self, need, rand.Float64())
	if x.retired {
		delay = steerer.ReactivationDelay(need, rand.Float64())
	}
	time.AfterFunc(delay, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.activationPending = false
		if x.need(x.lastInstances) == steerer.NeedNone || x.active.Load() || x.isDraining() {
			return
		}
		x.confirmActivation = true
		x.follower.Refresh()
	})
}

// activate makes this instance serve if it is in reserve and not draining; x.mu must be held.
func (x *forwardInstance) activate(reason string) {
	if x.active.Load() || x.isDraining() {
		return
	}
	x.log.Info("activated from reserve", "reason", reason, "enrolled", len(x.lastInstances))
	x.activeSince = time.Now()
	x.retired = false
	x.allotments.Resume()
	x.active.Store(true)
	x.follower.SetScope(carobbend.ScopeAll)
}

// awaitRouting activates this instance and waits for the first routing configuration. A request that reaches an instance
// in reserve shows that callers still use its address: after a restart, the entry of the former process stays in the list
// until its lease expires.
func (x *forwardInstance) awaitRouting(ctx context.Context) {
	x.mu.Lock()
	x.activate("asked by a caller")
	since, routingReady := x.activeSince, x.routingReady
	x.mu.Unlock()
	if time.Since(since) > routingWaitWindow {
		// The store doesn't answer; waiting would only delay the refusal.
		return
	}
	t := time.NewTimer(routingWaitTimeout)
	defer t.Stop()
	select {
	case <-routingReady:
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
func (x *forwardInstance) ready() bool {
	return x.router.Table() != nil && !x.isDraining() && !x.retiring.Load()
}
