package emulator

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"carobbend.example/carobbend"
)

// GroupConfig describes the upstreams of one index, or of one operation.
type GroupConfig struct {
	// Name is the index or operation; ids are NAME-SERVICE-REPLICA with letters for replicas.
	Name string
	// Services is the number of services; each holds one shard of a layout with as many shards.
	Services int
	// Replicas is the number of upstreams of each service.
	Replicas int
	// Shards is the number of shards of the first snapshots; 0 means Services.
	Shards int
	// Snapshots is the number of snapshots held at the start, numbered from 1; upstreams of operations hold none.
	Snapshots int
	// Upstream is the configuration of all upstreams; ID is set for each, and Seed is incremented from one to the next.
	Upstream UpstreamConfig
	// Connections is the number of connections that one upstream accepts; 0 means no limit.
	Connections int
	// ConnectTime is the delay before a new connection is served.
	ConnectTime time.Duration
	// DataCentres are assigned to the replicas in turn.
	DataCentres []carobbend.DataCentre
	// Listen is the address of the first upstream; others take the following ports. Port 0 selects free ports.
	Listen string
}

// Member is one upstream of a group with its listener.
type Member struct {
	Upstream   *Upstream
	Listener   *Listener
	Address    string
	DataCentre carobbend.DataCentre
	service    int
	srv        *http.Server
}

// Group runs the upstreams of an index in this process, each on its own port of the loopback interface.
type Group struct {
	cfg     GroupConfig
	members []*Member
	wg      sync.WaitGroup
}

// StartGroup opens all listeners and starts serving; on error it closes those that it opened.
func StartGroup(ctx context.Context, cfg GroupConfig) (*Group, error) {
	addr, err := netip.ParseAddrPort(cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen address %q: expected IP:PORT: %w", cfg.Listen, err)
	}
	g := &Group{cfg: cfg}
	for service := range max(cfg.Services, 1) {
		for replica := range max(cfg.Replicas, 1) {
			if err := g.start(ctx, addr, service, replica); err != nil {
				return nil, errors.Join(err, g.Close())
			}
			if addr.Port() != 0 {
				addr = netip.AddrPortFrom(addr.Addr(), addr.Port()+1)
			}
		}
	}
	for s := range cfg.Snapshots {
		g.Hold(carobbend.SnapshotID(s+1), cfg.Shards)
	}
	return g, nil
}

func (g *Group) start(ctx context.Context, addr netip.AddrPort, service, replica int) error {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", addr.String())
	if err != nil {
		return err
	}
	uc := g.cfg.Upstream
	uc.ID = carobbend.UpstreamID(fmt.Sprintf("%s-%d-%c", g.cfg.Name, service, 'a'+replica%26))
	if replica >= 26 {
		uc.ID = carobbend.UpstreamID(fmt.Sprintf("%s-%d-%d", g.cfg.Name, service, replica))
	}
	uc.Seed = g.cfg.Upstream.Seed + uint64(len(g.members))
	m := &Member{
		Upstream: NewUpstream(uc), Address: ln.Addr().String(), service: service,
		Listener: &Listener{Listener: ln, Limit: g.cfg.Connections, ConnectTime: g.cfg.ConnectTime},
	}
	if n := len(g.cfg.DataCentres); n > 0 {
		m.DataCentre = g.cfg.DataCentres[replica%n]
	}
	m.srv = &http.Server{Handler: m.Upstream, ReadHeaderTimeout: time.Minute}
	g.members = append(g.members, m)
	g.wg.Go(func() {
		// Serve returns ErrServerClosed after Close; another error stops only this member.
		if err := m.srv.Serve(m.Listener); !errors.Is(err, http.ErrServerClosed) {
			m.Upstream.SetFailing(true)
		}
	})
	return nil
}

// Members returns the upstreams in the order of their ports.
func (g *Group) Members() []*Member { return g.members }

// Member returns the upstream with an id, or nil.
func (g *Group) Member(id carobbend.UpstreamID) *Member {
	for _, m := range g.members {
		if m.Upstream.ID() == id {
			return m
		}
	}
	return nil
}

// Hold adds a snapshot to all members; shards of 0 means one shard for each service.
func (g *Group) Hold(snapshot carobbend.SnapshotID, shards int) {
	services := max(g.cfg.Services, 1)
	if shards == 0 {
		shards = services
	}
	for _, m := range g.members {
		m.Upstream.Hold(Holding{Index: g.cfg.Name, Snapshot: snapshot, Shards: shards, Held: shardsOfService(m.service, services, shards)})
	}
}

// shardsOfService returns the shards that a service holds; they are distributed so that at least one service holds each.
func shardsOfService(service, services, shards int) []int {
	if shards <= services {
		return []int{service % shards}
	}
	var held []int
	for s := service; s < shards; s += services {
		held = append(held, s)
	}
	return held
}

// Drop removes a snapshot from all members.
func (g *Group) Drop(snapshot carobbend.SnapshotID) {
	for _, m := range g.members {
		m.Upstream.Drop(g.cfg.Name, snapshot)
	}
}

// Executions returns how often each operation key was executed, summed over all members.
func (g *Group) Executions() map[string]int {
	sum := map[string]int{}
	for _, m := range g.members {
		for k, n := range m.Upstream.Executions() {
			sum[k] += n
		}
	}
	return sum
}

// Close stops all members at once.
func (g *Group) Close() error {
	errs := make([]error, 0, len(g.members))
	for _, m := range g.members {
		errs = append(errs, m.srv.Close())
	}
	g.wg.Wait()
	return errors.Join(errs...)
}
