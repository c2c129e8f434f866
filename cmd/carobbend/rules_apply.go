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

// watchInterval is the polling interval of a watched file. A change is applied once the file stays the same for one interval,
// since a half-written file may be valid but lack rules.
const watchInterval = 250 * time.Millisecond

type rulesApplyCmd struct {
	File          string `arg:"" help:"Rule file." type:"path"`
	storeFlags    `embed:""`
	instanceFlags `embed:""`
	From          *uint64       `help:"Version that the file was edited from; by default the version line of the file, or 0 without one."`
	Who           string        `env:"USER" help:"Name for the audit trail; by default the user who runs the command."`
	Wait          time.Duration `default:"5s" help:"Time limit for resolving an unknown result after a lost reply, and for waiting until the version is in force on all live instances."`
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
	ctx, cancel := signalContext()
	defer cancel()
	store, err := c.client()
	if err != nil {
		return err
	}
	defer store.Close()
	adminClient, err := c.instanceClient(c.Store)
	if err != nil {
		return err
	}
	defer adminClient.close()
	a := &applier{cmd: c, store: store, instances: adminClient, out: &printer{w: os.Stdout}}
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
	cmd       *rulesApplyCmd
	store     carobbend.Store
	instances *instanceClient
	out       *printer
	// lastVersion is the version that the last apply put in force; lastStated is the version line of that file.
	lastVersion uint64
	lastStated  uint64
}

func (a *applier) applyFile(ctx context.Context) error {
	rules, err := parseFile(a.cmd.File)
	if err != nil {
		return &exitError{exitUsage, err}
	}
	from, stated, err := a.baseVersion(rules)
	if err != nil {
		return &exitError{exitUsage, err}
	}
	res, err := publisher.New(a.store, publisher.WithResolveTimeout(a.cmd.Wait)).Apply(ctx, publisher.Request{
		File: a.cmd.File, Text: rules.Body(), From: from, FromStated: stated, Who: a.cmd.Who,
	})
	if err != nil {
		return &exitError{exitUsage, err}
	}
	a.out.changes(res.Changes)
	a.out.printf("%s: %s: %s\n", a.cmd.File, res.Outcome, res.Detail)
	switch res.Outcome {
	case publisher.InForce:
		a.lastVersion = res.Version
		a.lastStated, _ = rules.Base()
		return a.instances.wait(ctx, a.out, res.Version, a.cmd.Wait)
	case publisher.Unknown:
		return &exitError{exitUnknown, fmt.Errorf("unknown whether version %d was accepted, change %s", res.Version, res.ChangeID)}
	default:
		a.out.audit(res.Others)
		return &exitError{exitFailure, errors.New("not accepted")}
	}
}

// baseVersion returns the version that the file was edited from, and whether the file or --from states it. When a watched
// file is saved again, its version line is usually unchanged; the version that the last save put in force is used then.
func (a *applier) baseVersion(rules *parser.Ruleset) (uint64, bool, error) {
	line, stated := rules.Base()
	if a.lastVersion > 0 && line == a.lastStated {
		return a.lastVersion, true, nil
	}
	if a.lastVersion > 0 || a.cmd.From == nil {
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

func statFile(file string) fileState {
	info, err := os.Stat(file)
	if err != nil {
		return fileState{missing: true}
	}
	return fileState{modified: info.ModTime(), size: info.Size()}
}

// watchFile calls apply immediately and after each saved change until ctx is done.
func watchFile(ctx context.Context, file string, apply func()) {
	applied := statFile(file)
	apply()
	seen := applied
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		now := statFile(file)
		if now == seen && now != applied && !now.missing {
			applied = now
			apply()
		}
		seen = now
	}
}
