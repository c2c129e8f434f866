package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/emulator"
	"carobbend.example/carobbend/logger"
	"carobbend.example/carobbend/publisher"
	"carobbend.example/carobbend/requester"
	"carobbend.example/carobbend/settings"
)

type demoCmd struct {
	Verbose bool `help:"Log the events of the instances to standard error."`
}

const (
	demoIndex     = "sales-desk"
	demoOperation = "confirm-order"
	demoToken     = "demo-caller-token"
	// demoTimeout ends a demo that hangs, so that Run keeps its limit of 20 s.
	demoTimeout = 18 * time.Second
	demoRules   = `class index sales-desk first # asked by the sales desk
deadline sales-desk 70ms # asked by the sales desk
extra-load sales-desk 20% # agreed with finance
at-most-once confirm-order # asked by dispatch
`
)

// Run demonstrates complete and partial answers, a straggler and an operation, and ends by itself within 20 s.
func (c *demoCmd) Run() error {
	if !c.Verbose {
		logger.SetOutput(io.Discard)
	}
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	d := &demo{out: os.Stdout}
	return errors.Join(d.run(ctx), d.close())
}

// demo holds the emulated systems and the instances of one run.
type demo struct {
	out       io.Writer
	platform  *http.Server
	url       string
	store     *emulator.Store
	desk      *emulator.Group
	dispatch  *emulator.Group
	instances []*instance
	runErrs   chan error
	caller    *requester.Requester
}

func (d *demo) run(ctx context.Context) error {
	if err := d.start(ctx); err != nil {
		return err
	}
	for _, step := range []func(context.Context) error{d.healthy, d.straggler, d.lostShard, d.repartition, d.operation} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return d.drain(ctx)
}

func (d *demo) start(ctx context.Context) error {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.store = emulator.NewStore(emulator.WithDelay(time.Millisecond))
	d.platform = &http.Server{
		Handler:           platformHandler(d.store, emulator.NewList(emulator.WithLag(100*time.Millisecond))),
		ReadHeaderTimeout: time.Minute,
	}
	d.url = "http://" + ln.Addr().String()
	go func() { _ = d.platform.Serve(ln) }()
	up := emulator.UpstreamConfig{Slots: 3, Seed: 1}
	if d.desk, err = emulator.StartGroup(ctx, emulator.GroupConfig{
		Name: demoIndex, Services: 10, Replicas: 3, Snapshots: 1, Upstream: up, Connections: 30,
		ConnectTime: 6 * time.Millisecond, Listen: "127.0.0.1:0",
	}); err != nil {
		return err
	}
	if d.dispatch, err = emulator.StartGroup(ctx, emulator.GroupConfig{
		Name: "dispatch", Services: 3, Replicas: 1, Upstream: up, Connections: 100, Listen: "127.0.0.1:0",
	}); err != nil {
		return err
	}
	if err := d.applyRules(ctx); err != nil {
		return err
	}
	return d.startInstances(ctx)
}

func (d *demo) startInstances(ctx context.Context) error {
	names := []string{"leon-1", "guadalajara-1"}
	d.runErrs = make(chan error, len(names))
	var first []string
	for i, name := range names {
		x, err := newInstance(ctx, d.settings(name, carobbend.DataCentre([]string{"leon", "guadalajara"}[i])))
		if err != nil {
			return err
		}
		d.instances = append(d.instances, x)
		first = append(first, x.addresses().Callers)
		go func() { d.runErrs <- x.run() }()
	}
	var err error
	if d.caller, err = requester.New(requester.Config{Instances: first, Token: demoToken}); err != nil {
		return err
	}
	if err := d.waitUntil(ctx, "both instances to be ready", func() bool {
		return !slices.ContainsFunc(d.instances, func(x *instance) bool { return !x.seesReady(len(names)) })
	}); err != nil {
		return err
	}
	a, err := d.caller.Addresses(ctx)
	if err == nil {
		d.printf("two instances are ready; a caller is told to use %v for %v", a.Addresses, a.ValidFor.Round(time.Millisecond))
	}
	return err
}

func (d *demo) settings(name string, dc carobbend.DataCentre) *settings.Settings {
	s := &settings.Settings{
		Instance: name, DataCentre: dc, Admin: settings.Admin{Token: "demo-admin-token"},
		Listen:       settings.Listen{Callers: "127.0.0.1:0", Admin: "127.0.0.1:0", Peers: "127.0.0.1:0"},
		Callers:      []settings.Caller{{Name: "desk-leon", House: "leon", Token: demoToken}},
		Store:        settings.Store{URL: d.url},
		InstanceList: settings.InstanceList{URL: d.url, Poll: 100 * time.Millisecond, Lag: 200 * time.Millisecond},
		Upstream:     settings.Upstream{StatusPoll: 100 * time.Millisecond},
		Drain:        settings.Drain{AddressValidity: 500 * time.Millisecond, Limit: 3 * time.Second},
	}
	s.ApplyDefaults()
	s.Indexes = []settings.Index{{Name: demoIndex, Slots: 3, Connections: 30, Upstreams: upstreamsOf(d.desk)}}
	s.Operations = []settings.Operation{{Name: demoOperation, Slots: 3, Connections: 100, Upstreams: upstreamsOf(d.dispatch)}}
	return s
}

func upstreamsOf(g *emulator.Group) []settings.UpstreamAddress {
	out := make([]settings.UpstreamAddress, 0, len(g.Members()))
	for _, m := range g.Members() {
		out = append(out, settings.UpstreamAddress{ID: m.Upstream.ID(), Address: m.Address, DataCentre: m.DataCentre})
	}
	return out
}

func (d *demo) healthy(ctx context.Context) error {
	for _, text := range []string{"bar stool", "carob pod", "walnut counter"} {
		if _, err := d.query(ctx, text); err != nil {
			return err
		}
	}
	return nil
}

// straggler slows one replica of each of three shards; hedged requests mask it within the extra-load budget.
func (d *demo) straggler(ctx context.Context) error {
	for _, id := range []carobbend.UpstreamID{"sales-desk-2-a", "sales-desk-5-b", "sales-desk-8-c"} {
		d.desk.Member(id).Upstream.SetSlow(10)
	}
	d.printf("\nthree of thirty replicas are now 10 times slower")
	for n := range 5 {
		if _, err := d.query(ctx, fmt.Sprintf("table %d", n+1)); err != nil {
			return err
		}
	}
	var hedges, primaries int64
	for _, x := range d.instances {
		c := x.data.executor.Counters()
		hedges, primaries = hedges+c.Hedges+c.Retries, primaries+c.Primaries
	}
	d.printf("extra load so far: %d hedges and retries on %d shard requests", hedges, primaries)
	for _, m := range d.desk.Members() {
		m.Upstream.SetSlow(1)
	}
	return nil
}

// lostShard fails all replicas of a shard; the answer must be partial and list it as missing.
func (d *demo) lostShard(ctx context.Context) error {
	setLost := func(lost bool) {
		for _, id := range []carobbend.UpstreamID{"sales-desk-7-a", "sales-desk-7-b", "sales-desk-7-c"} {
			d.desk.Member(id).Upstream.SetFailing(lost)
		}
	}
	setLost(true)
	d.printf("\nall three replicas of shard 7 now fail")
	a, err := d.query(ctx, "bar stool")
	if err != nil {
		return err
	}
	if a.Outcome != carobbend.OutcomePartial || len(a.Missing) == 0 {
		return fmt.Errorf("lost shard: got outcome %s, expected partial", a.Outcome)
	}
	setLost(false)
	return d.waitUntil(ctx, "shard 7 to be back", func() bool {
		a, err := d.caller.Query(ctx, carobbend.QueryRequest{Index: demoIndex, Text: "bar stool"})
		return err == nil && a.Outcome == carobbend.OutcomeComplete
	})
}

// repartition adds a snapshot with a different number of shards and waits for a complete answer from it.
func (d *demo) repartition(ctx context.Context) error {
	d.desk.Hold(2, 15)
	d.printf("\nsnapshot 2 divides the index into 15 shards; each answer still comes from one snapshot")
	return d.waitUntil(ctx, "an answer from snapshot 2", func() bool {
		a, err := d.query(ctx, "bar stool")
		return err == nil && a.Snapshot == 2 && a.Outcome == carobbend.OutcomeComplete
	})
}

// operation runs one operation, repeats it with the same key and checks that it was executed once.
func (d *demo) operation(ctx context.Context) error {
	d.printf("\none order confirmation, sent twice under the same key")
	req := carobbend.OperationRequest{Operation: demoOperation, Body: json.RawMessage(`{"order":17}`)}
	for range 2 {
		r, err := d.caller.Operate(ctx, req)
		if err != nil {
			return err
		}
		d.printf("%s: key %s, answer %s, replayed %v", r.Outcome, r.Key, r.Body, r.Replayed)
		if r.Outcome != carobbend.OutcomeDone {
			return fmt.Errorf("operation: %s: %s", r.Outcome, r.Detail)
		}
		req.Key = r.Key
	}
	n := d.dispatch.Executions()[req.Key]
	d.printf("the upstreams executed it %d time(s)", n)
	if n != 1 {
		return fmt.Errorf("operation: got %d executions, expected 1", n)
	}
	return nil
}

func (d *demo) drain(ctx context.Context) error {
	d.printf("\nboth instances shut down gracefully")
	for _, x := range d.instances {
		x.drain()
	}
	for range d.instances {
		select {
		case err := <-d.runErrs:
			if err != nil {
				return err
			}
		case <-ctx.Done():
			return errors.New("drain: not finished before the timeout of the demo")
		}
	}
	return nil
}

func (d *demo) query(ctx context.Context, text string) (carobbend.Answer, error) {
	start := time.Now()
	a, err := d.caller.Query(ctx, carobbend.QueryRequest{Index: demoIndex, Text: text, Limit: 3})
	if err != nil {
		return a, err
	}
	best := ""
	if len(a.Items) > 0 {
		best = fmt.Sprintf(", best %s %.3f", a.Items[0].Key, a.Items[0].Score)
	}
	d.printf("%-16q %s: %d of %d shards of snapshot %d in %.1f ms%s", text, a.Outcome, a.Covered, a.Total, a.Snapshot,
		float64(time.Since(start).Microseconds())/1000, best)
	for _, m := range a.Missing {
		d.printf("                 missing shard %d: %s", m.Shard, m.Reason)
	}
	return a, nil
}

func (d *demo) waitUntil(ctx context.Context, what string, ok func() bool) error {
	for !ok() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("timed out waiting for %s", what)
		case <-time.After(50 * time.Millisecond):
		}
	}
	return nil
}

func (d *demo) printf(format string, args ...any) { _, _ = fmt.Fprintf(d.out, format+"\n", args...) }

// close stops the requester, the emulated upstreams and the platform. The instances stop by drain.
func (d *demo) close() error {
	if d.caller != nil {
		d.caller.Close()
	}
	var errs []error
	for _, g := range []*emulator.Group{d.desk, d.dispatch} {
		if g != nil {
			errs = append(errs, g.Close())
		}
	}
	if d.platform != nil {
		errs = append(errs, d.platform.Close())
	}
	return errors.Join(errs...)
}

// applyRules publishes the rule file as the command rules apply does.
func (d *demo) applyRules(ctx context.Context) error {
	r, err := publisher.New(d.store).Apply(ctx, publisher.Request{File: "demo.rules", Text: demoRules, Who: "demo"})
	if err != nil {
		return err
	}
	d.printf("rule file: %s as version %d", r.Outcome, r.Version)
	return nil
}
