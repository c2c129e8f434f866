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
	"carobbend.example/carobbend/platform"
	"carobbend.example/carobbend/settings"
)

const (
	// idleTimeout is longer than callers reuse idle connections, so that they never cross a close.
	idleTimeout = time.Minute
	// maxHeaderBytes bounds the headers of a request in bytes. The server's default of 1 MB for each connection is more
	// than the memory of an instance.
	maxHeaderBytes = 256 << 10
	// headerTimeout bounds the time for reading the headers of a request.
	headerTimeout = 10 * time.Second
	// acceptPart is the part of the time to the kill in which a draining instance accepts work; what was accepted needs the
	// rest. Callers may hold its address for longer: they are refused as not run, or can't connect, and try another one.
	acceptPart = 0.5
	// answerPart is the part of the time to the kill after which requests in flight are answered as failed, exitPart that
	// after which the process exits whatever is in flight.
	answerPart = 0.88
	exitPart   = 0.94
	// closeTime bounds the time in which connections end whose request was accepted in the last moment.
	closeTime = 200 * time.Millisecond
	// drainLook is the time between two looks at the requests in flight.
	drainLook = 20 * time.Millisecond
)

// service is what is served on one address.
type service struct {
	address     string
	handler     http.Handler
	connContext func(context.Context, net.Conn) context.Context
}

// services returns what this instance serves, callers first.
func (x *forwardInstance) services() []service {
	all := []service{
		{x.cfg.Listen.Callers, x.forwarder, forwarder.ConnContext},
		{x.cfg.Listen.Readiness, platform.ReadinessHandler(x.ready), nil},
		{x.cfg.Listen.Addresses, platform.AddressHandler(&x.steerer), nil},
	}
	if a := x.cfg.Listen.Metrics; a != "" {
		mux := http.NewServeMux()
		mux.Handle("GET /metrics", x.meter.Handler())
		all = append(all, service{a, mux, nil})
	}
	return all
}

// run serves until a signal, drains and returns nil.
func (x *forwardInstance) run() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g oklogrun.Group
	for _, s := range x.services() {
		srv := &http.Server{
			Handler: s.handler, ConnContext: s.connContext, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
			MaxHeaderBytes: maxHeaderBytes, ErrorLog: serverLog(),
		}
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp4", s.address)
		if err != nil {
			return err
		}
		a := acceptor.New(l, srv)
		g.Add(a.Serve, func(error) { a.Close(closeTime) })
	}
	if x.links != nil {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp4", x.cfg.Listen.Peers)
		if err != nil {
			return err
		}
		g.Add(func() error { return x.links.Serve(l) }, func(error) {
			if err := l.Close(); err != nil {
				x.log.Error(err, "listener of peers not closed")
			}
		})
	}
	g.Add(func() error { return x.follower.Run(ctx) }, func(error) { cancel() })
	g.Add(func() error { return x.enroller.Run(ctx) }, func(error) { cancel() })
	g.Add(func() error { return x.watchLoad(ctx) }, func(error) { cancel() })
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
	if !x.active.Load() {
		// No caller was told this address.
		return
	}
	time.Sleep(time.Duration(acceptPart * float64(grace)))
	x.forwarder.Refuse()
	if !x.idle(start.Add(time.Duration(answerPart * float64(grace)))) {
		x.log.Info("answering what is in flight", "in-flight", x.forwarder.InFlight())
		x.forwarder.Stop()
		x.idle(start.Add(time.Duration(exitPart * float64(grace))))
	}
}

// idle waits until nothing is in flight or the time is over, and reports which.
func (x *forwardInstance) idle(until time.Time) bool {
	for x.forwarder.InFlight() > 0 {
		if !time.Now().Before(until) {
			return false
		}
		time.Sleep(drainLook)
	}
	return true
}

// serverLog drops what the server says about single connections; requests are logged by the forwarder.
func serverLog() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }
