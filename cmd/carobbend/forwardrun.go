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
	// acceptPart is the part of the time to the kill in which a draining instance accepts work, exitPart that after
	// which it exits although requests are in flight.
	acceptPart = 0.65
	exitPart   = 0.92
	// drainLook is the time between two looks at the requests in flight.
	drainLook = 20 * time.Millisecond
)

// run serves until a signal, drains and returns nil.
func (x *forwardInstance) run() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g oklogrun.Group
	callers := &http.Server{
		Handler: x.forwarder, ConnContext: forwarder.ConnContext, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: serverLog(),
	}
	if err := x.serve(&g, x.cfg.Listen.Callers, callers); err != nil {
		return err
	}
	type listener struct {
		address string
		handler http.Handler
	}
	others := []listener{
		{x.cfg.Listen.Readiness, platform.ReadinessHandler(x.ready)},
		{x.cfg.Listen.Addresses, platform.AddressHandler(&x.steerer)},
	}
	if a := x.cfg.Listen.Metrics; a != "" {
		mux := http.NewServeMux()
		mux.Handle("GET /metrics", x.meter.Handler())
		others = append(others, listener{a, mux})
	}
	for _, s := range others {
		srv := &http.Server{Handler: s.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: serverLog()}
		if err := x.serve(&g, s.address, srv); err != nil {
			return err
		}
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

// serve opens a listener and adds its server to the group.
func (x *forwardInstance) serve(g *oklogrun.Group, address string, srv *http.Server) error {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp4", address)
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
	if !x.active.Load() {
		// No caller was told this address.
		return
	}
	time.Sleep(time.Duration(acceptPart * float64(grace)))
	x.forwarder.Refuse()
	for time.Since(start) < time.Duration(exitPart*float64(grace)) && x.forwarder.InFlight() > 0 {
		time.Sleep(drainLook)
	}
}

// serverLog drops what the server says about single connections; requests are logged by the forwarder.
func serverLog() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }
