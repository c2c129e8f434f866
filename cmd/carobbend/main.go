// Command carobbend runs the query tier and its tools.
//
// # Usage
//
//	carobbend serve --settings examples/bajio.yaml
//	carobbend --help
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"carobbend.example/carobbend/logger"
	"carobbend.example/carobbend/settings"
)

// Exit codes of all subcommands.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
	exitNotRun  = 3
	exitUnknown = 4
	exitPartial = 5
)

type cli struct {
	Serve     serveCmd     `cmd:"" help:"Run one entry instance until SIGTERM, then drain and exit."`
	Forward   forwardCmd   `cmd:"" help:"Run one instance that serves callers by the routing in a platform's store."`
	Query     queryCmd     `cmd:"" help:"Send one query through an instance and print the answer."`
	Operate   operateCmd   `cmd:"" help:"Send one operation through an instance and print its outcome."`
	Addresses addressesCmd `cmd:"" help:"Print the instances that a caller should use now."`
	Rules     rulesCmd     `cmd:"" help:"Check, apply and inspect the rule file."`
	Settings  settingsCmd  `cmd:"" help:"Check a settings file."`
	Demo      demoCmd      `cmd:"" help:"Run two instances with emulated upstreams in one process and show some answers."`
	Bench     benchCmd     `cmd:"" help:"Measure policies against each other under a scenario."`
	Replay    replayCmd    `cmd:"" help:"Replay a recorded trace and compare the stated outcome."`
	Emulate   emulateCmd   `cmd:"" help:"Emulate upstreams, the store or the instance list."`
}

// exitError carries the exit code of a failed subcommand.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	defer logger.Flush()
	var c cli
	p, err := kong.New(&c, kong.Name("carobbend"), kong.UsageOnError(),
		kong.Description("A query tier that asks all shards at once and returns one combined answer.\n\n"+
			"Exit codes: 0 success, 1 failure, 2 bad arguments, settings or rules, 3 not run, 4 unknown, 5 partial."))
	if err != nil {
		fmt.Fprintln(os.Stderr, "carobbend:", err)
		return exitFailure
	}
	ctx, err := p.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "carobbend:", err)
		return exitUsage
	}
	return exitCode(ctx.Run())
}

// exitCode prints err and returns the exit code that it stands for.
func exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "carobbend:", err)
	var e *exitError
	if errors.As(err, &e) {
		return e.code
	}
	var se *settings.Error
	if errors.As(err, &se) {
		return exitUsage
	}
	return exitFailure
}
