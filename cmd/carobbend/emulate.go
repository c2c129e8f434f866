package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/emulator"
)

type emulateCmd struct {
	Store     emulateStoreCmd     `cmd:"" help:"Run the key-value store (Consul KV HTTP API). Prints its address as JSON."`
	List      emulateListCmd      `cmd:"" help:"Run the instance list (Consul agent and health HTTP API). Prints its address as JSON."`
	Platform  emulatePlatformCmd  `cmd:"" help:"Run the store and the instance list on one address. Prints the address as JSON."`
	Upstreams emulateUpstreamsCmd `cmd:"" help:"Run the upstreams of an index or operation in one process."`
}

// emulatedStoreFlags configure the emulated store.
type emulatedStoreFlags struct {
	Reads  float64       `help:"Reads per second that the store accepts; 0 means no limit." default:"2000"`
	Writes float64       `help:"Writes per second that the store accepts; 0 means no limit." default:"400"`
	Delay  time.Duration `help:"Delay of each call." default:"2ms"`
}

func (f emulatedStoreFlags) store() *emulator.Store {
	opts := []emulator.StoreOption{emulator.WithDelay(f.Delay)}
	if f.Reads > 0 && f.Writes > 0 {
		opts = append(opts, emulator.WithRates(f.Reads, f.Writes))
	}
	return emulator.NewStore(opts...)
}

// emulatedListFlags configure the emulated instance list.
type emulatedListFlags struct {
	Lag time.Duration `help:"Time until readers of the instance list see a change." default:"1s"`
	TTL time.Duration `help:"Time after which a service that doesn't pass its check is dropped; 0 means never." default:"10s"`
}

func (f emulatedListFlags) list() *emulator.List {
	return emulator.NewList(emulator.WithLag(f.Lag), emulator.WithTTL(f.TTL))
}

const storeControlHelp = `Faults are changed on the same address:

	POST /control/outage?on=true|false
	POST /control/delay?delay=50ms
	POST /control/lose-replies?n=1     the next n writes take effect, but their replies are lost
	GET  /control/calls`

type emulateStoreCmd struct {
	Listen string `help:"Address to listen on; port 0 selects a free one." default:"127.0.0.1:8500"`
	emulatedStoreFlags
}

// Help documents the control endpoint.
func (c *emulateStoreCmd) Help() string { return storeControlHelp }

// Run serves the store until SIGTERM or SIGINT.
func (c *emulateStoreCmd) Run() error {
	s := c.store()
	mux := http.NewServeMux()
	mux.Handle("/v1/kv/", s)
	mux.Handle(emulator.ControlPrefix, s.ControlHandler())
	return serveEmulator(c.Listen, mux)
}

type emulateListCmd struct {
	Listen string `help:"Address to listen on; port 0 selects a free one." default:"127.0.0.1:8501"`
	emulatedListFlags
}

// Run serves the instance list until SIGTERM or SIGINT.
func (c *emulateListCmd) Run() error { return serveEmulator(c.Listen, c.list()) }

type emulatePlatformCmd struct {
	Listen string `help:"Address to listen on; port 0 selects a free one." default:"127.0.0.1:8500"`
	emulatedStoreFlags
	emulatedListFlags
}

// Help documents the control endpoint.
func (c *emulatePlatformCmd) Help() string { return storeControlHelp }

// Run serves the store and the instance list until SIGTERM or SIGINT.
func (c *emulatePlatformCmd) Run() error {
	return serveEmulator(c.Listen, platformHandler(c.store(), c.list()))
}

// platformHandler serves the store and the instance list on one address.
func platformHandler(s *emulator.Store, l *emulator.List) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/v1/kv/", s)
	mux.Handle(emulator.ControlPrefix, s.ControlHandler())
	mux.Handle("/", l)
	return mux
}

type emulateUpstreamsCmd struct {
	Name        string                 `arg:"" help:"Name of the index or operation."`
	Listen      string                 `help:"Address of the first upstream; the others take the following ports. Port 0 selects free ports." default:"127.0.0.1:9000"`
	Control     string                 `help:"Address of the control endpoint; port 0 selects a free one." default:"127.0.0.1:0"`
	Services    int                    `help:"Number of services; each holds one shard of a layout with as many shards." default:"10"`
	Replicas    int                    `help:"Upstreams of each service." default:"3"`
	Shards      int                    `help:"Shards of the snapshots held at the start; 0 means one for each service." default:"0"`
	NoShards    bool                   `help:"Hold no shards, for upstreams of operations."`
	Snapshots   int                    `help:"Number of snapshots held at the start, numbered from 1." default:"1"`
	Slots       int                    `help:"Requests that one upstream runs at a time." default:"3"`
	Connections int                    `help:"Connections that one upstream accepts; 0 means no limit." default:"30"`
	ConnectTime time.Duration          `help:"Delay before a new connection is served." default:"6ms"`
	ServiceTime time.Duration          `help:"Median time of one request." default:"4ms"`
	ColdStart   time.Duration          `help:"Duration after the start during which requests are slower." default:"0s"`
	ColdFactor  float64                `help:"Factor by which requests are slower during the cold start." default:"5"`
	Slow        float64                `help:"Factor by which all requests are slower." default:"1"`
	Failing     bool                   `help:"Fail all requests."`
	Seed        uint64                 `help:"Seed of the service times." default:"1"`
	DataCentres []carobbend.DataCentre `help:"Data centres that are assigned to the replicas in turn."`
}

// Help documents the output and the control endpoint.
func (c *emulateUpstreamsCmd) Help() string {
	return `Prints one JSON line with the control address and the id, address and data centre of each upstream.

Faults are changed on the control address. The parameter upstream=ID,ID selects upstreams; without it all are meant:

	POST /control/slow?factor=10
	POST /control/failing?on=true|false
	POST /control/leaving?on=true|false
	POST /control/silence                   open connections go silent for good, new ones work
	POST /control/restart                   begins a new cold start
	POST /control/load?on=true&value=0.1    reports a wrong load
	POST /control/hold?snapshot=2&shards=15 adds or replaces a snapshot on all upstreams
	POST /control/drop?snapshot=1           drops a snapshot on all upstreams
	GET  /control/executions                count for each operation key
	GET  /control/upstreams                 addresses, connections, counts, holdings`
}

// emulatorReady is the JSON line that an emulator prints once it is listening.
type emulatorReady struct {
	// Address is where the emulated API is served, or the control endpoint of upstreams.
	Address   string                 `json:"address"`
	Upstreams []emulator.MemberState `json:"upstreams,omitempty"`
}

// Run serves the upstreams until SIGTERM or SIGINT.
func (c *emulateUpstreamsCmd) Run() error {
	if c.NoShards {
		c.Snapshots = 0
	}
	g, err := emulator.StartGroup(context.Background(), emulator.GroupConfig{
		Name: c.Name, Services: c.Services, Replicas: c.Replicas, Shards: c.Shards, Snapshots: c.Snapshots,
		Connections: c.Connections, ConnectTime: c.ConnectTime, DataCentres: c.DataCentres, Listen: c.Listen,
		Upstream: emulator.UpstreamConfig{
			Slots: c.Slots, ColdStart: c.ColdStart, ColdFactor: c.ColdFactor, Seed: c.Seed,
			ServiceTime: serviceTime(c.ServiceTime),
		},
	})
	if err != nil {
		return err
	}
	for _, m := range g.Members() {
		m.Upstream.SetSlow(c.Slow)
		m.Upstream.SetFailing(c.Failing)
	}
	return errors.Join(serveEmulatorWith(c.Control, g.ControlHandler(), g.States()), g.Close())
}

func serviceTime(median time.Duration) emulator.ServiceTime {
	t := emulator.DefaultServiceTime
	t.Median = median
	return t
}

func serveEmulator(addr string, h http.Handler) error { return serveEmulatorWith(addr, h, nil) }

// serveEmulatorWith serves h on addr until SIGTERM or SIGINT and prints the address and upstreams as one JSON line.
func serveEmulatorWith(addr string, h http.Handler, upstreams []emulator.MemberState) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	line, err := json.Marshal(emulatorReady{Address: ln.Addr().String(), Upstreams: upstreams})
	if err != nil {
		return err
	}
	fmt.Println(string(line))
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
