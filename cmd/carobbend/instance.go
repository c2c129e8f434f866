package main

import (
	"context"
	"errors"
	"math"
	"net"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	oklogrun "github.com/oklog/run"
	"github.com/oklog/ulid/v2"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/acceptor"
	"carobbend.example/carobbend/balancer"
	"carobbend.example/carobbend/claimer"
	"carobbend.example/carobbend/dispatcher"
	"carobbend.example/carobbend/distributor"
	"carobbend.example/carobbend/limiter"
	"carobbend.example/carobbend/linker"
	"carobbend.example/carobbend/logger"
	"carobbend.example/carobbend/meter"
	"carobbend.example/carobbend/sender"
	"carobbend.example/carobbend/server"
	"carobbend.example/carobbend/settings"
	"carobbend.example/carobbend/storeclient"
)

const (
	// announceTimeout bounds the time for notifying peers and the instance list that this instance is leaving.
	announceTimeout = 2 * time.Second
	// minIdleBeforeClose is how long a connection of a caller must have been idle before it is closed without a reply.
	minIdleBeforeClose = 2 * time.Second
	// recordTimeout bounds the time after the last reply for recording results and withdrawing from the list.
	recordTimeout = 5 * time.Second
	// warmupTimeout is how long an instance waits at its start for the layouts of all indexes before it counts as ready.
	warmupTimeout = 3 * time.Second
	// linkerInterval is the time between two reads of the instance list by the linker.
	linkerInterval = time.Second
	// rulesRateFraction is the fraction of the limit on store calls that is reserved for the rules, and maxRulesRate its
	// upper bound in calls per second; a watcher needs about one.
	rulesRateFraction = 0.2
	maxRulesRate      = 5
)

// serveReady is the JSON line that an instance prints when its listeners are open.
type serveReady struct {
	Instance string `json:"instance"`
	Callers  string `json:"callers"`
	Admin    string `json:"admin"`
	Peers    string `json:"peers"`
}

// instance is one entry instance with its components.
type instance struct {
	cfg     *settings.Settings
	callers net.Listener
	admin   net.Listener
	peers   net.Listener
	// account divides the memory and the descriptors; guard applies it to the listeners by the decisions of conns.
	account     limiter.Account
	conns       *limiter.ConnTable
	guard       *acceptor.Guard
	incarnation string
	started     time.Time
	warm        atomic.Bool
	listRead    atomic.Bool
	liveCount   instanceCount

	store            *storeclient.Client
	rulesStore       *storeclient.Client
	list             *storeclient.List
	leavingUpstreams *leavingUpstreamPoller
	links            *linker.Linker
	registration     *registration
	rules            *distributor.Distributor
	data             *dataPlane
	sender           *sender.Sender
	dispatcher       *dispatcher.Dispatcher
	claims           *claimer.Claimer
	server           *server.Server
	meter            *meter.Meter
	log              logger.Logger
}

// newInstance opens the listeners and creates the components; run starts them.
func newInstance(ctx context.Context, cfg *settings.Settings) (*instance, error) {
	x := &instance{cfg: cfg, incarnation: ulid.Make().String(), started: time.Now(), log: logger.New("instance")}
	x.account, x.conns = newConnTable(cfg.MemoryMB, cfg.MaxFDs, cfg.CallerLimits)
	x.conns.SetLimits(server.Limits())
	x.guard = acceptor.NewGuard(x.conns)
	if err := x.listen(ctx); err != nil {
		return nil, errors.Join(err, x.closeListeners())
	}
	if err := x.assemble(); err != nil {
		return nil, errors.Join(err, x.closeListeners())
	}
	return x, nil
}

func (x *instance) listen(ctx context.Context) error {
	var lc net.ListenConfig
	for _, l := range []struct {
		ln      *net.Listener
		address string
		group   *limiter.Group
		phase   limiter.Phase
	}{
		{&x.callers, x.cfg.Listen.Callers, x.conns.Group("callers", x.account.Connections), limiter.PhaseIdle},
		{&x.admin, x.cfg.Listen.Admin, x.conns.Group("admin", x.account.OtherConnections), limiter.PhaseIdle},
		{&x.peers, x.cfg.Listen.Peers, x.conns.Group("peers", x.account.OtherConnections), limiter.PhaseLink},
	} {
		ln, err := lc.Listen(ctx, "tcp", l.address)
		if err != nil {
			return err
		}
		*l.ln = x.guard.Listener(ln, l.group, l.phase)
	}
	return nil
}

func (x *instance) closeListeners() error {
	var errs []error
	for _, ln := range []net.Listener{x.callers, x.admin, x.peers} {
		if ln != nil {
			errs = append(errs, ln.Close())
		}
	}
	return errors.Join(errs...)
}

func (x *instance) assemble() error {
	cfg := x.cfg
	// Part of the limit is reserved for the rules; otherwise many operations could keep a new rule file from arriving.
	rulesRate := min(cfg.Store.CallsPerSecond*rulesRateFraction, maxRulesRate)
	x.store = storeclient.New(cfg.Store.URL, storeclient.WithTimeout(cfg.Store.Timeout), storeclient.WithRate(cfg.Store.CallsPerSecond-rulesRate))
	x.rulesStore = storeclient.New(cfg.Store.URL, storeclient.WithTimeout(cfg.Store.Timeout), storeclient.WithRate(rulesRate))
	x.list = storeclient.NewList(cfg.InstanceList.URL, cfg.InstanceList.Service, storeclient.WithTimeout(cfg.Store.Timeout))
	self := carobbend.Instance{
		Name: cfg.Instance, Incarnation: x.incarnation, DataCentre: cfg.DataCentre,
		CallerAddress: x.callers.Addr().String(), PeerAddress: x.peers.Addr().String(),
	}
	x.links = linker.New(self, linker.WithList(x.readList), linker.WithSelfUpdate(x.updateSelf), linker.WithOnRound(x.updateLiveCount))
	x.registration = &registration{list: x.list, interval: cfg.InstanceList.Poll, log: x.log, reg: storeclient.Registration{
		Instance: self, AdminAddress: x.admin.Addr().String(),
	}}
	x.rules = distributor.New(x.rulesStore, x.links)
	// Latencies of operations are unrelated to those of searches, so operations have their own balancer.
	operations := balancer.New(balancer.WithSeed(x.seed()))
	x.data = newDataPlane(cfg, &x.liveCount, x.rules, operations, x.seed())
	x.leavingUpstreams = &leavingUpstreamPoller{
		list:     storeclient.NewList(cfg.InstanceList.URL, cfg.InstanceList.UpstreamService, storeclient.WithTimeout(cfg.Store.Timeout)),
		interval: cfg.InstanceList.Poll, connector: x.data.connector, log: x.log,
	}
	x.claims = claimer.New(x.store, x.links, claimer.WithStoreTimeout(cfg.Store.Timeout))
	x.links.AddHandlers(x.rules, x.claims)
	var upstreams map[string][]carobbend.UpstreamID
	x.sender, upstreams = newSender(cfg)
	x.dispatcher = dispatcher.New(dispatcher.Config{
		Claims: x.claims, Sender: x.sender, Balancer: operations, Rules: x.rules, Upstreams: upstreams,
	})
	var err error
	if x.meter, err = meter.New(x.meterSources()); err != nil {
		return err
	}
	x.server, err = server.New(x.serverConfig())
	return err
}

// seed gives instances that start together different random choices.
func (x *instance) seed() uint64 { return xxhash.Sum64String(x.incarnation) }

func (x *instance) serverConfig() server.Config {
	cfg := x.cfg
	c := server.Config{
		RequestTimeout: x.cfg.Listen.RequestTimeout, Guard: x.guard, Memory: x.account.Requests, Arriving: x.account.Arriving,
		AdminToken: cfg.Admin.Token, Queries: x.data.executor, Operations: x.dispatcher, Rules: x.rules, Members: x.links,
		Gate: x.data.gate, Recorder: x.meter, Shards: x.data.shardCount, Metrics: x.meter.Handler(),
		InForce: x.rules.Ready, Ready: x.eligible, Announce: x.announce, Status: x.status, Traces: x.data.traces,
		Drain: server.DrainTimes{
			Announce: announceTimeout, AddressValidity: cfg.Drain.AddressValidity, MinIdle: minIdleBeforeClose, Limit: cfg.Drain.Limit,
			// Others poll the list, so they see a change up to one interval after the lag of the list.
			ListLag: cfg.InstanceList.Lag + max(cfg.InstanceList.Poll, linkerInterval),
		},
	}
	for _, id := range cfg.Callers {
		c.Callers = append(c.Callers, server.Identity{Name: id.Name, House: id.House, Token: id.Token})
	}
	for _, i := range cfg.Indexes {
		c.Indexes = append(c.Indexes, i.Name)
	}
	for _, o := range cfg.Operations {
		c.OperationNames = append(c.OperationNames, o.Name)
	}
	return c
}

func (x *instance) meterSources() meter.Sources {
	return meter.Sources{
		ExtraLoad: func() meter.ExtraLoad {
			c := x.data.executor.Counters()
			return meter.ExtraLoad{Primaries: c.Primaries, Hedges: c.Hedges, Retries: c.Retries}
		},
		StoreCalls:   func() int64 { return totalCalls(x.store.Calls()) + totalCalls(x.rulesStore.Calls()) },
		QueueLength:  func() int64 { n, _, _ := x.data.gate.Waiting(); return int64(n) },
		Running:      func() int64 { _, n, _ := x.data.gate.Waiting(); return int64(n) },
		RulesVersion: func() int64 { return int64(x.rules.Rules().Version()) },
		InFlight:     func() int64 { return int64(x.server.InFlight()) },
		Connections:  func() int64 { return x.data.connector.Counters().Open },
		Members:      func() int64 { return int64(len(x.links.Live())) },
		Ready:        func() bool { return x.server.Ready() },
		Limits:       meter.LimitSources{Connections: x.conns.Sizes, Closed: x.conns.Counts, Reserved: x.account.Used},
	}
}

func totalCalls(c storeclient.Calls) int64 { return c.Gets + c.Swaps + c.Watches }

// status returns the counters of the components for the admin API.
func (x *instance) status() map[string]any {
	waiting, running, limit := x.data.gate.Waiting()
	return map[string]any{
		"queue":        map[string]int{"waiting": waiting, "running": running, "limit": limit},
		"executor":     x.data.executor.Counters(),
		"connections":  x.data.connector.Counters(),
		"operations":   x.dispatcher.Counters(),
		"claims":       x.claims.Counters(),
		"store-calls":  map[string]storeclient.Calls{"claims": x.store.Calls(), "rules": x.rulesStore.Calls()},
		"list-calls":   x.list.Calls(),
		"hedge-delays": x.hedgeDelays(),
	}
}

func (x *instance) hedgeDelays() map[string]string {
	out := map[string]string{}
	for _, i := range x.cfg.Indexes {
		out[i.Name] = x.data.hedger.Delay(i.Name).String()
	}
	return out
}

// readList reads the instance list for the linker.
func (x *instance) readList(ctx context.Context) ([]carobbend.Instance, error) {
	regs, err := x.list.Instances(ctx)
	if err != nil {
		return nil, err
	}
	out := make([]carobbend.Instance, 0, len(regs))
	for _, r := range regs {
		out = append(out, r.Instance)
	}
	x.listRead.Store(true)
	return out, nil
}

// updateLiveCount is called with the live instances after each round of the linker. Until the instance list is read, the
// linker knows too few instances, which would give this one too large a share of the connections.
func (x *instance) updateLiveCount(live []carobbend.Instance) {
	if x.listRead.Load() {
		x.liveCount.set(len(live))
	}
}

// updateSelf updates the state that this instance sends to its peers. The linker calls it with its membership lock held, so it
// must not call the linker's methods.
func (x *instance) updateSelf(self *carobbend.Instance) {
	waiting, running, limit := x.data.gate.Waiting()
	// Rounded to a tenth, since each change is sent on to all peers.
	load := min(float64(waiting+running)/float64(max(limit, 1)), 1)
	self.Load = math.Round(load*10) / 10
	self.RulesVersion, self.Ready = x.rules.Rules().Version(), x.server.Ready()
}

// eligible reports whether callers may be sent to this instance: the rules are confirmed, and the layouts of the indexes are
// known or the time to wait for them is over.
func (x *instance) eligible() bool { return x.rules.Confirmed(time.Now()) && x.isWarm() }

func (x *instance) isWarm() bool {
	if x.warm.Load() {
		return true
	}
	if time.Since(x.started) < warmupTimeout {
		for _, i := range x.cfg.Indexes {
			layouts := x.data.connector.Layouts(i.Name)
			if len(layouts) == 0 || layouts[0].Available() < layouts[0].Shards() {
				return false
			}
		}
	}
	x.warm.Store(true)
	return true
}

func (x *instance) announce(ctx context.Context) error {
	notified := make(chan struct{})
	go func() {
		defer close(notified)
		x.links.SetLeaving(ctx, true)
	}()
	err := x.registration.markLeaving(ctx)
	<-notified
	return err
}

func (x *instance) addresses() serveReady {
	return serveReady{x.cfg.Instance, x.callers.Addr().String(), x.admin.Addr().String(), x.peers.Addr().String()}
}

// seesReady reports whether this instance is ready and knows of at least n ready instances.
func (x *instance) seesReady(n int) bool {
	for _, i := range x.links.Live() {
		if i.Ready && !i.Leaving {
			n--
		}
	}
	return x.server.Ready() && n <= 0
}

// drain starts the graceful shutdown.
func (x *instance) drain() { x.server.Drain() }

// run serves until the graceful shutdown is over, and returns nil then. If one component stops, all are stopped.
func (x *instance) run() error {
	var g oklogrun.Group
	g.Add(x.serve, func(error) { _ = x.server.Close() })
	for _, runComponent := range []func(context.Context) error{
		x.guard.Run, x.links.Run, x.registration.run, x.rules.Run, x.data.connector.Run, x.leavingUpstreams.run,
	} {
		ctx, cancel := context.WithCancel(context.Background())
		g.Add(func() error { return runComponent(ctx) }, func(error) { cancel() })
	}
	g.Add(func() error { return x.links.Serve(x.peers) }, func(error) { _ = x.peers.Close() })
	err := g.Run()
	x.close()
	return err
}

// serve returns after the graceful shutdown, when results are recorded and the instance has left the list.
func (x *instance) serve() error {
	err := x.server.Serve(x.callers, x.admin)
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if derr := x.dispatcher.Drain(ctx); derr != nil {
		x.log.Error(derr, "not all results of operations were recorded")
	}
	// Peers may have asked this instance to commit claims, which wait for the next compare-and-swap of their partition.
	if derr := x.claims.Drain(ctx); derr != nil {
		x.log.Error(derr, "not all claims of peers were committed")
	}
	if werr := x.registration.withdraw(ctx); werr != nil {
		x.log.Error(werr, "withdrawal from the instance list failed")
	}
	return err
}

func (x *instance) close() {
	x.data.connector.Close()
	x.sender.Close()
	x.store.Close()
	x.rulesStore.Close()
	x.list.Close()
	x.leavingUpstreams.list.Close()
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if err := x.meter.Close(ctx); err != nil {
		x.log.Error(err, "close failed", "part", "meter")
	}
}
