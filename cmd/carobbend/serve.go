package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"carobbend.example/carobbend/settings"
)

type serveCmd struct {
	Settings string `help:"Settings file (YAML)." required:"" type:"path"`
}

// Help documents the output and the signals.
func (c *serveCmd) Help() string {
	return `Prints one JSON line with the instance's name and listening addresses when they are open.

SIGTERM and SIGINT start a graceful shutdown: the instance withdraws from address answers, accepts work until these
have expired, refuses new work as not-run, finishes what is in flight and exits with 0. Events are logged to standard error.`
}

// Run serves until SIGTERM or SIGINT, drains, and returns nil.
func (c *serveCmd) Run() error {
	cfg, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	setMemoryLimit(cfg.MemoryMB)
	// Further signals during the shutdown are ignored, so that they don't cut off requests.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	x, err := newInstance(ctx, cfg)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, x.drain)
	line, err := json.Marshal(x.addresses())
	if err != nil {
		return err
	}
	fmt.Println(string(line))
	return x.run()
}
