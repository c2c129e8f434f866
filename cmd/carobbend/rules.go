package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"os/signal"
	"syscall"
	"time"

	"carobbend.example/carobbend/encoder"
	"carobbend.example/carobbend/parser"
	"carobbend.example/carobbend/publisher"
	"carobbend.example/carobbend/storeclient"
)

type rulesCmd struct {
	Check  rulesCheckCmd  `cmd:"" help:"Check a rule file and explain what it does; uses no network."`
	Apply  rulesApplyCmd  `cmd:"" help:"Apply a rule file and wait until the instances have it."`
	Show   rulesShowCmd   `cmd:"" help:"Print the rule file in the store, ready to be edited."`
	Log    rulesLogCmd    `cmd:"" help:"Print who changed what, oldest first."`
	Status rulesStatusCmd `cmd:"" help:"Print the version in force on each instance."`
}

// storeFlags configure access to the store.
type storeFlags struct {
	Store   string        `required:"" env:"CAROBBEND_STORE" help:"Base address of the store, like http://127.0.0.1:8500."`
	Timeout time.Duration `default:"1s" help:"Time limit of one call to the store."`
}

func (f *storeFlags) client() (*storeclient.Client, error) {
	if err := checkURL("--store", f.Store); err != nil {
		return nil, err
	}
	return storeclient.New(f.Store, storeclient.WithTimeout(f.Timeout)), nil
}

func checkURL(flag, s string) error {
	u, err := url.Parse(s)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return &exitError{exitUsage, fmt.Errorf("%s: got %q, expected a URL like http://127.0.0.1:8500", flag, s)}
	}
	return nil
}

func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// printer writes to w until the first write error, which it keeps.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

func (p *printer) changes(changes []parser.Change) {
	for _, c := range changes {
		p.printf("%s\n", c)
	}
}

func (p *printer) audit(changes []*encoder.RulesChange) {
	for _, c := range changes {
		when := time.UnixMilli(c.GetUnixMs()).UTC().Format(time.RFC3339)
		p.printf("version %d from %d, %s, by %s, change %s\n", c.GetVersion(), c.GetFromVersion(), when, c.GetWho(), c.GetChangeId())
		for _, l := range c.GetRemoved() {
			p.printf("  - %s\n", l)
		}
		for _, l := range c.GetAdded() {
			p.printf("  + %s\n", l)
		}
	}
}

type rulesCheckCmd struct {
	File    string `arg:"" help:"Rule file." type:"path"`
	Against string `help:"Rule file to compare with; without it the file is compared with the defaults." type:"path"`
}

// Run checks the file and prints what its rules change.
func (c *rulesCheckCmd) Run() error { return c.run(&printer{w: os.Stdout}) }

func (c *rulesCheckCmd) run(p *printer) error {
	before := &parser.Ruleset{}
	after, err := parseFile(c.File)
	if c.Against != "" {
		var berr error
		before, berr = parseFile(c.Against)
		err = errors.Join(err, berr)
	}
	if err != nil {
		return &exitError{exitUsage, err}
	}
	p.changes(parser.Explain(before, after))
	p.printf("%s: valid, %d rules\n", c.File, len(after.List()))
	return p.err
}

func parseFile(file string) (*parser.Ruleset, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return parser.Parse(file, string(b))
}

// withPublisher calls do with a publisher on the store and a context that SIGINT and SIGTERM cancel.
func (f *storeFlags) withPublisher(do func(ctx context.Context, pub *publisher.Publisher) error) error {
	ctx, cancel := signalContext()
	defer cancel()
	store, err := f.client()
	if err != nil {
		return err
	}
	defer store.Close()
	return do(ctx, publisher.New(store))
}

type rulesShowCmd struct {
	storeFlags `embed:""`
}

// Run prints the rule file in the store.
func (c *rulesShowCmd) Run() error { return c.run(&printer{w: os.Stdout}) }

func (c *rulesShowCmd) run(p *printer) error {
	return c.withPublisher(func(ctx context.Context, pub *publisher.Publisher) error {
		v, err := pub.Current(ctx)
		if err != nil {
			return err
		}
		p.printf("version %d\n%s", v.GetVersion(), v.GetText())
		return p.err
	})
}

type rulesLogCmd struct {
	storeFlags `embed:""`
}

// Run prints the audit trail.
func (c *rulesLogCmd) Run() error { return c.run(&printer{w: os.Stdout}) }

func (c *rulesLogCmd) run(p *printer) error {
	return c.withPublisher(func(ctx context.Context, pub *publisher.Publisher) error {
		changes, err := pub.AuditTrail(ctx)
		if err != nil {
			return err
		}
		p.audit(changes)
		return p.err
	})
}
