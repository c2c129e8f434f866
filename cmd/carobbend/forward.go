package main

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	oklogrun "github.com/oklog/run"
	"github.com/oklog/ulid/v2"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/balancer"
	"carobbend.example/carobbend/enroller"
	"carobbend.example/carobbend/exchanger"
	"carobbend.example/carobbend/follower"
	"carobbend.example/carobbend/forwarder"
	"carobbend.example/carobbend/hedger"
	"carobbend.example/carobbend/logger"
	"carobbend.example/carobbend/platform"
	"carobbend.example/carobbend/router"
	"carobbend.example/carobbend/settings"
	"carobbend.example/carobbend/steerer"
)

const (
	// extraLoadPart is the part of the shared bound on extra load that instances use; the rest covers requests that
	// callers count but that never reach an instance.
	extraLoadPart = 0.85
	// farFactor scales the score of upstreams in other data centres; bytes between data centres are paid for.
	farFactor = 1.6
	// forgetTime is the time constant with which a raised latency of an unused upstream returns to its baseline.
	forgetTime = time.Second
	// memoryPart is the part of the memory that the runtime may use before it collects garbage more often.
	memoryPart = 0.6
	// idleTimeout is longer than callers reuse idle connections, so that they never cross a close.
	idleTimeout = time.Minute
	// headerTimeout bounds the time for reading the headers of a request.
	headerTimeout = 10 * time.Second
	// acceptPart is the part of the time to the kill in which a draining instance accepts work, exitPart that after
	// which it exits although requests are in flight.
	acceptPart = 0.65
	exitPart   = 0.92
	// drainLook is the time between two looks at the requests in flight.
	drainLook = 20 * time.Millisecond
)

type forwardCmd struct {
	Settings string `help:"Settings file (YAML)." env:"CAROBBEND_CONFIG" required:"" type:"path"`
}

// Help documents the output and the signals.
func (c *forwardCmd) Help() string {
	return `Serves callers by the routing that a platform's store holds. Events go to standard output.

SIGTERM and SIGINT start a graceful shutdown: the instance is not ready and leaves the list of instances at once, serves
callers that still hold its address, then refuses new work as not run, finishes what is in flight and exits with 0.
SIGHUP reads the settings again.`
}

// Run serves until SIGTERM or SIGINT, drains, and returns nil.
func (c *forwardCmd) Run() error {
	logger.SetOutput(os.Stdout)
	cfg, err := settings.LoadForward(c.Settings)
	if err != nil {
		return err
	}
	x := newForwardInstance(c.Settings, cfg)
	return x.run()
}

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
	budget    *hedger.Budget
	exchanger *exchanger.Exchanger
	forwarder *forwarder.Forwarder
	store     *platform.Store
	follower  *follower.Follower
	enroller  *enroller.Enroller
	draining  chan struct{}
	// active says that this instance isn't in reserve.
	active atomic.Bool

	mu sync.Mutex
	// enrolled is the last list of instances that was seen in reserve, considering that the look at it is pending.
	enrolled    map[string]carobbend.Instance
	considering bool
}

func newForwardInstance(file string, cfg *settings.Forward) *forwardInstance {
	x := &forwardInstance{file: file, cfg: cfg, log: logger.New("instance"), draining: make(chan struct{})}
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(cfg.MemoryMB) * (1 << 20)))
	}
	x.self = carobbend.Instance{
		Name: cfg.Instance, Incarnation: ulid.Make().String(), DataCentre: cfg.DataCentre,
		CallerAddress: cfg.Listen.Callers, Ready: true, Capacity: cfg.Cores,
	}
	headers := platform.Headers()
	x.balancer = balancer.New(balancer.WithOverdue(), balancer.WithForgetting(forgetTime), balancer.WithAllCandidates(),
		balancer.WithDistance(x.distance), balancer.WithSeed(uint64(time.Now().UnixNano())))
	x.budget = hedger.NewBudget(hedger.WithBurst(1))
	x.exchanger = exchanger.New(headers.Headers)
	x.forwarder = forwarder.New(forwarder.Config{
		Headers: headers, Router: &x.router, Fleet: &x.fleet, Balancer: x.balancer, Exchanger: x.exchanger,
		Budget: x.budget, Hedger: hedger.New(), Instances: x.steerer.Live, ExtraLoad: 100 * extraLoadPart * cfg.ExtraLoad.Ratio,
	})
	x.store = platform.NewStore(cfg.Store)
	x.enroller = enroller.New(platform.NewEnrolment(x.store), x.self, cfg.Lease)
	x.follower = follower.New(platform.NewFeed(x.store), follower.Handlers{
		Routing: x.applyRouting, Upstreams: x.updateUpstreams, Instances: x.updateInstances,
	})
	x.steerer.SetSelf(x.self, false)
	if steerer.NeedOf(x.self, nil) == steerer.NeedNow && steerer.Delay(x.self, steerer.NeedNow, 0) == 0 {
		x.active.Store(true)
	} else {
		x.follower.Follow(carobbend.ScopeInstances)
	}
	return x
}

// distance prefers upstreams of this data centre.
func (x *forwardInstance) distance(id carobbend.UpstreamID) float64 {
	if r, ok := x.fleet.Record(id); ok && r.DataCentre == x.self.DataCentre {
		return 1
	}
	return farFactor
}

func (x *forwardInstance) applyRouting(r *carobbend.Routing) bool {
	ok := x.router.Apply(r)
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
	before := x.steerer.Live()
	x.steerer.Update(instances)
	n := x.steerer.Live()
	x.budget.SetBurst(int(extraLoadPart * float64(x.cfg.ExtraLoad.Slack) / float64(n)))
	if n != before {
		x.log.Info("instances changed", "live", n, "before", before)
	}
}

// considerServing takes this instance out of reserve where it is needed and still is after the larger ones had time.
func (x *forwardInstance) considerServing(instances map[string]carobbend.Instance) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.enrolled = instances
	need := steerer.NeedOf(x.self, instances)
	if need == steerer.NeedNone || x.considering {
		return
	}
	x.considering = true
	time.AfterFunc(steerer.Delay(x.self, need, rand.Float64()), func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.considering = false
		if steerer.NeedOf(x.self, x.enrolled) == steerer.NeedNone || x.isDraining() {
			return
		}
		x.log.Info("out of reserve", "enrolled", len(x.enrolled))
		x.active.Store(true)
		x.follower.Follow(carobbend.ScopeAll)
	})
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

// run serves until a signal, drains and returns nil.
func (x *forwardInstance) run() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g oklogrun.Group
	callers := &http.Server{
		Handler: x.forwarder, ConnContext: forwarder.ConnContext, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ErrorLog: serverLog(),
	}
	if err := x.serve(&g, x.cfg.Listen.Callers, callers); err != nil {
		return err
	}
	for _, s := range []struct {
		address string
		handler http.Handler
	}{
		{x.cfg.Listen.Readiness, platform.ReadinessHandler(x.ready)},
		{x.cfg.Listen.Addresses, platform.AddressHandler(&x.steerer)},
	} {
		srv := &http.Server{Handler: s.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: serverLog()}
		if err := x.serve(&g, s.address, srv); err != nil {
			return err
		}
	}
	g.Add(func() error { return x.follower.Run(ctx) }, func(error) { cancel() })
	g.Add(func() error { return x.enroller.Run(ctx) }, func(error) { cancel() })
	g.Add(func() error { return x.handleSignals(ctx) }, func(error) { cancel() })
	x.log.Info("started", "instance", x.self.Name, "incarnation", x.self.Incarnation, "callers", x.cfg.Listen.Callers)
	err := g.Run()
	x.log.Info("stopped", "in-flight", x.forwarder.InFlight(), "store-calls", x.store.Calls())
	if errors.Is(err, errDrained) {
		return nil
	}
	return err
}

// serve opens a listener and adds its server to the group.
func (x *forwardInstance) serve(g *oklogrun.Group, address string, srv *http.Server) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	g.Add(func() error { return srv.Serve(l) }, func(error) {
		// The process ends; nothing is left to be done about an error.
		_ = srv.Close()
	})
	return nil
}

var errDrained = errors.New("drained")

// handleSignals waits for the end of the process and reloads on SIGHUP.
func (x *forwardInstance) handleSignals(ctx context.Context) error {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case s := <-signals:
			if s == syscall.SIGHUP {
				x.reload()
				continue
			}
			x.drain(ctx)
			return errDrained
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// reload checks the settings file again. All of them are read at the start alone; a restart applies changes.
func (x *forwardInstance) reload() {
	cfg, err := settings.LoadForward(x.file)
	if err != nil {
		x.log.Error(err, "settings refused, the former ones stay")
		return
	}
	x.log.Info("settings read again", "changed", *cfg != *x.cfg)
}

// drain withdraws and serves on until callers have dropped this instance's address.
func (x *forwardInstance) drain(ctx context.Context) {
	start := time.Now()
	grace := x.cfg.StopGrace
	close(x.draining)
	x.steerer.SetSelf(x.self, false)
	x.forwarder.Drain()
	x.log.Info("draining", "in-flight", x.forwarder.InFlight(), "grace", grace)
	go func() {
		if err := x.enroller.Withdraw(ctx); err != nil {
			x.log.Error(err, "withdrawal failed, the lease will end")
		}
	}()
	time.Sleep(time.Duration(acceptPart * float64(grace)))
	x.forwarder.Refuse()
	for time.Since(start) < time.Duration(exitPart*float64(grace)) && x.forwarder.InFlight() > 0 {
		time.Sleep(drainLook)
	}
}

// serverLog drops what the server says about single connections; requests are logged by the forwarder.
func serverLog() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }
