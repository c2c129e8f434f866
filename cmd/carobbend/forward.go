package main

import (
	"os"

	"carobbend.example/carobbend/logger"
	"carobbend.example/carobbend/settings"
)

type forwardCmd struct {
	Settings string `help:"Settings file (YAML)." env:"CAROBBEND_CONFIG" required:"" type:"path"`
}

// Help documents the output and the signals.
func (c *forwardCmd) Help() string {
	return `Serves callers by the routing configuration in a platform's store. Events are logged to standard output.

SIGTERM and SIGINT start a graceful shutdown: the instance stops being ready and leaves the instance list at once, serves
callers that still hold its address, then refuses new work as not run, finishes what is in flight and exits with 0.
SIGHUP checks the settings file again; a restart applies changes.`
}

// Run serves until SIGTERM or SIGINT, drains, and returns nil.
func (c *forwardCmd) Run() error {
	cfg, err := settings.LoadForward(c.Settings)
	if err != nil {
		return err
	}
	lines := logger.NewAsync(os.Stdout)
	logger.SetOutput(lines)
	// Events that are logged after the asynchronous writer is closed go to standard error.
	defer lines.Close()
	defer logger.SetOutput(os.Stderr)
	x := newForwardInstance(c.Settings, cfg)
	if err := x.attachMetrics(lines); err != nil {
		return err
	}
	return x.run()
}
