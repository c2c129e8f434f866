package main

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	oklogrun "github.com/oklog/run"

	"carobbend.example/carobbend/acceptor"
	"carobbend.example/carobbend/forwarder"
	"carobbend.example/carobbend/limiter"
	"carobbend.example/carobbend/platform"
	"carobbend.example/carobbend/settings"
	"carobbend.example/carobbend/tuner"
)

const (
	// maxHeaderBytes bounds the headers of a request in bytes whatever the routing says; the guard applies the routing's
	// limit.
	maxHeaderBytes = 1 << 20
	// acceptFraction is the fraction of the grace period before the process is killed during which a draining instance
	// accepts work; the rest is for finishing it. Callers that use its address for longer are refused as not run, or can't
	// connect, and try another instance.
	acceptFraction = 0.5
	// answerFraction is the fraction of the grace period after which requests in flight are answered as failed, exitFraction
	// the one after which the process exits even with requests in flight.
	answerFraction = 0.88
	exitFraction   = 0.94
	// callerReceiveBuffer is the receive buffer of a caller's connection in bytes. It bounds what the kernel keeps of requests that are
	// sent ahead; the longest head fits.
	callerReceiveBuffer = 16 << 10
	// closeTimeout bounds the wait for connections whose request was accepted just before the server closes.
	closeTimeout = 200 * time.Millisecond
	// drainPollInterval is the interval at which a draining instance checks for requests in flight.
	drainPollInterval = 20 * time.Millisecond
)

// endpoint is a handler and the address that it is served on.
type endpoint struct {
	name        string
	address     string
	handler     http.Handler
	connContext func(context.Context, net.Conn) context.Context
}

// endpoints returns the endpoints of this instance, that of callers first.
func (x *forwardInstance) endpoints() []endpoint {
	all := []endpoint{
		{"callers", x.cfg.Listen.Callers, x.forwarder, forwarder.ConnContext},
		{"readiness", x.cfg.Listen.Readiness, platform.ReadinessHandler(x.ready), nil},
		{"addresses", x.cfg.Listen.Addresses, platform.AddressHandler(&x.selector), nil},
	}
	if a := x.cfg.Listen.Metrics; a != "" {
		mux := http.NewServeMux()
		mux.Handle("GET /metrics", x.meter.Handler())
		all = append(all, endpoint{"metrics", a, mux, nil})
	}
	return all
}

// run serves until a signal, drains and returns nil.
func (x *forwardInstance) run() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g oklogrun.Group
	buffers := tuner.New(callerReceiveBuffer)
	for _, s := range x.endpoints() {
		srv := x.guard.Server(&http.Server{
			Handler: s.handler, ConnContext: s.connContext, MaxHeaderBytes: maxHeaderBytes, ErrorLog: discardServerLog(),
		})
		l, err := (&net.ListenConfig{Control: buffers.Control}).Listen(ctx, "tcp4", s.address)
		if err != nil {
			return err
		}
		n := x.account.OtherConnections
		if s.name == "callers" {
			n = x.account.Connections
		}
		a := acceptor.New(x.guard.Listener(l, x.conns.Group(s.name, n), limiter.PhaseIdle), srv)
		g.Add(a.Serve, func(error) { a.Close(closeTimeout) })
	}
	if x.links != nil {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp4", x.cfg.Listen.Peers)
		if err != nil {
			return err
		}
		l = x.guard.Listener(l, x.conns.Group("peers", x.account.OtherConnections), limiter.PhaseLink)
		g.Add(func() error { return x.links.Serve(l) }, func(error) {
			if err := l.Close(); err != nil {
				x.log.Error(err, "closing the peer listener failed")
			}
		})
	}
	if x.reporter != nil {
		g.Add(func() error { return x.reporter.Run(ctx) }, func(error) { cancel() })
	}
	g.Add(func() error { return x.guard.Run(ctx) }, func(error) { cancel() })
	g.Add(func() error { return x.follower.Run(ctx) }, func(error) { cancel() })
	g.Add(func() error { return x.enroller.Run(ctx) }, func(error) { cancel() })
	g.Add(func() error { return x.allotments.Run(ctx) }, func(error) { cancel() })
	g.Add(func() error { return x.monitorLoad(ctx) }, func(error) { cancel() })
	g.Add(func() error { return x.handleSignals(ctx) }, func(error) { cancel() })
	x.log.Info("started", "instance", x.self.Name, "incarnation", x.self.Incarnation, "callers", x.cfg.Listen.Callers)
	err := g.Run()
	x.log.Info("stopped", "in-flight", x.forwarder.InFlight(), "store-calls", x.store.Calls())
	if errors.Is(err, errDrained) {
		return nil
	}
	return err
}

var errDrained = errors.New("drained")

// handleSignals drains on SIGTERM or SIGINT and checks the settings file on SIGHUP.
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

// reload checks the settings file and logs whether it changed. Settings are read only at the start, so changes need a
// restart.
func (x *forwardInstance) reload() {
	cfg, err := settings.LoadForward(x.file)
	if err != nil {
		x.log.Error(err, "settings rejected, keeping the previous ones")
		return
	}
	x.log.Info("settings checked, changes apply after a restart", "changed", *cfg != *x.cfg)
}

// drain withdraws the instance from the list, accepts work until callers should have dropped its address, then refuses new
// work and waits for requests in flight.
func (x *forwardInstance) drain(ctx context.Context) {
	start := time.Now()
	grace := x.cfg.StopGrace
	close(x.draining)
	x.selector.SetSelf(x.self, false)
	x.forwarder.Drain()
	x.log.Info("draining", "in-flight", x.forwarder.InFlight(), "grace", grace)
	go func() {
		if err := x.enroller.Withdraw(ctx); err != nil {
			x.log.Error(err, "withdrawal failed, the entry stays until its lease expires")
		}
	}()
	if !x.active.Load() {
		// An instance in reserve was not announced to callers.
		return
	}
	time.Sleep(time.Duration(acceptFraction * float64(grace)))
	x.forwarder.Refuse()
	if !x.awaitIdle(start.Add(time.Duration(answerFraction * float64(grace)))) {
		x.log.Info("answering requests in flight as failed", "in-flight", x.forwarder.InFlight())
		x.forwarder.Stop()
		x.awaitIdle(start.Add(time.Duration(exitFraction * float64(grace))))
	}
}

// awaitIdle waits until no request is in flight and returns true, or returns false at the given time.
func (x *forwardInstance) awaitIdle(until time.Time) bool {
	for x.forwarder.InFlight() > 0 {
		if !time.Now().Before(until) {
			return false
		}
		time.Sleep(drainPollInterval)
	}
	return true
}

// discardServerLog returns a logger that discards the server's messages about single connections; the forwarder logs
// requests.
func discardServerLog() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }
