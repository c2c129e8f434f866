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
	return `Serves callers by the routing that a platform's store holds. Events go to standard output.

SIGTERM and SIGINT start a graceful shutdown: the instance is not ready and leaves the list of instances at once, serves
callers that still hold its address, then refuses new work as not run, finishes what is in flight and exits with 0.
SIGHUP reads the settings again.`
}

// Run serves until SIGTERM or SIGINT, drains, and returns nil.
func (c *forwardCmd) Run() error {
	cfg, err := settings.LoadForward(c.Settings)
	if err != nil {
		return err
	}
	lines := logger.NewAsync(os.Stdout)
	logger.SetOutput(lines)
	// Events after the end of the writer go where they went before.
	defer lines.Close()
	defer logger.SetOutput(os.Stderr)
	x := newForwardInstance(c.Settings, cfg)
	if err := x.measure(lines); err != nil {
		return err
	}
	return x.run()
}
