package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/user"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/parser"
	"carobbend.example/carobbend/publisher"
)

// watchPoll is the time between two looks at a watched file. A change counts once it stays the same for that long,
// since a file that is half written may be valid and lack rules.
const watchPoll = 250 * time.Millisecond

type rulesApplyCmd struct {
	File          string `arg:"" help:"Rule file." type:"path"`
	storeFlags    `embed:""`
	instanceFlags `embed:""`
	From          *uint64       `help:"Version that the file was edited from; by default the version line of the file, or 0 without one."`
	Who           string        `env:"USER" help:"Name for the audit trail; by default the user who runs the command."`
	Wait          time.Duration `default:"5s" help:"Time to find out what became of a lost reply, and to wait until the version is in force on all live instances."`
	Watch         bool          `help:"Apply the file again each time it is saved, until interrupted."`
}

// Run applies the file.
func (c *rulesApplyCmd) Run() error {
	if c.Who == "" {
		c.Who = currentUser()
	}
	if c.Who == "" {
		return &exitError{exitUsage, errors.New("got no name for the audit trail, expected --who NAME")}
	}
	ctx, cancel := interruptible()
	defer cancel()
	store, err := c.client()
	if err != nil {
		return err
	}
	defer store.Close()
	fleet, err := c.fleet(c.Store)
	if err != nil {
		return err
	}
	defer fleet.close()
	a := &applier{cmd: c, store: store, fleet: fleet, out: &printer{w: os.Stdout}}
	if !c.Watch {
		return a.applyFile(ctx)
	}
	watchFile(ctx, c.File, func() {
		if err := a.applyFile(ctx); err != nil {
			a.out.printf("%v\n", err)
		}
	})
	return a.out.err
}

// currentUser returns the user of the process, or "" where the system knows no name.
func currentUser() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}

type applier struct {
	cmd   *rulesApplyCmd
	store carobbend.Store
	fleet *fleet
	out   *printer
	// last is the version that the last apply brought in force; stated is the version line of that file.
	last   uint64
	stated uint64
}

func (a *applier) applyFile(ctx context.Context) error {
	rules, err := parseFile(a.cmd.File)
	if err != nil {
		return &exitError{exitUsage, err}
	}
	from, stated, err := a.base(rules)
	if err != nil {
		return &exitError{exitUsage, err}
	}
	res, err := publisher.New(a.store, publisher.WithResolve(a.cmd.Wait)).Apply(ctx, publisher.Request{
		File: a.cmd.File, Text: rules.Body(), From: from, FromStated: stated, Who: a.cmd.Who,
	})
	if err != nil {
		return &exitError{exitUsage, err}
	}
	a.out.changes(res.Changes)
	a.out.printf("%s: %s: %s\n", a.cmd.File, res.Outcome, res.Detail)
	switch res.Outcome {
	case publisher.InForce:
		a.last = res.Version
		a.stated, _ = rules.Base()
		return a.fleet.wait(ctx, a.out, res.Version, a.cmd.Wait)
	case publisher.Unknown:
		return &exitError{exitUnknown, fmt.Errorf("unknown whether version %d was accepted, change %s", res.Version, res.ChangeID)}
	default:
		a.out.audit(res.Others)
		return &exitError{exitFailure, errors.New("not accepted")}
	}
}

// base returns the version that the file starts from, and whether it is stated anywhere. When a watched file is saved
// again, its version line is usually still the old one; the version that the last save brought in force counts then.
func (a *applier) base(rules *parser.Ruleset) (uint64, bool, error) {
	line, stated := rules.Base()
	if a.last > 0 && line == a.stated {
		return a.last, true, nil
	}
	if a.last > 0 || a.cmd.From == nil {
		return line, stated, nil
	}
	if stated && line != *a.cmd.From {
		return 0, false, fmt.Errorf("%s states version %d, and --from states %d: expected one version", a.cmd.File, line, *a.cmd.From)
	}
	return *a.cmd.From, true, nil
}

type fileState struct {
	modified time.Time
	size     int64
	missing  bool
}

func stat(file string) fileState {
	info, err := os.Stat(file)
	if err != nil {
		return fileState{missing: true}
	}
	return fileState{modified: info.ModTime(), size: info.Size()}
}

// watchFile calls apply at once and after each saved change until ctx is done.
func watchFile(ctx context.Context, file string, apply func()) {
	done := stat(file)
	apply()
	seen := done
	t := time.NewTicker(watchPoll)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		now := stat(file)
		if now == seen && now != done && !now.missing {
			done = now
			apply()
		}
		seen = now
	}
}
