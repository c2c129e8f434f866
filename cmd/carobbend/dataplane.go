package main

import (
	"sync/atomic"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/admitter"
	"carobbend.example/carobbend/balancer"
	"carobbend.example/carobbend/connector"
	"carobbend.example/carobbend/executor"
	"carobbend.example/carobbend/hedger"
	"carobbend.example/carobbend/limiter"
	"carobbend.example/carobbend/replayer"
	"carobbend.example/carobbend/sender"
	"carobbend.example/carobbend/settings"
)

// The limit on running queries starts at initialConcurrency and adapts between minConcurrency and the configured maximum.
const (
	initialConcurrency = 16
	minConcurrency     = 2
)

// dataPlane handles queries on one instance: admission, execution and connections to upstreams.
type dataPlane struct {
	connector *connector.Connector
	executor  *executor.Executor
	gate      *admitter.Gate
	hedger    *hedger.Hedger
	budget    *hedger.Budget
	traces    *replayer.Tracer
}

// newDataPlane creates and connects the components. Leaving upstreams are also reported to operations, the balancer for
// operations.
func newDataPlane(cfg *settings.Settings, size *instanceCount, rules carobbend.RulesSource, operations carobbend.Balancer, seed uint64) *dataPlane {
	ups, slots := polledUpstreams(cfg)
	limits := limiter.New(
		limiter.WithSlots(func(id carobbend.UpstreamID) int { return slots[id] }),
		limiter.WithInstances(size.instances),
	)
	b := balancer.New(balancer.WithSeed(seed), balancer.WithLimits(limits))
	c := connector.New(
		ups, connector.WithProtocol(cfg.Upstream.Protocol), connector.WithConnShare(size),
		connector.WithConnectTimeout(cfg.Upstream.ConnectTimeout), connector.WithProgressTimeout(cfg.Upstream.ProgressTimeout),
		connector.WithStatusPoll(cfg.Upstream.StatusPoll), connector.WithLeaving(func(now time.Time, id carobbend.UpstreamID, leaving bool) {
			b.SetLeaving(now, id, leaving)
			operations.SetLeaving(now, id, leaving)
		}),
	)
	p := &dataPlane{connector: c, budget: hedger.NewBudget(), traces: &replayer.Tracer{}}
	p.hedger = hedger.New(hedger.WithBudget(p.budget))
	p.executor = executor.New(executor.Config{
		Upstreams: c, Catalog: c, Balancer: b, Hedger: p.hedger, Budget: p.budget, Rules: rules, Seed: seed,
		Recorder: p.traces,
	})
	n := cfg.Queue.Concurrency
	p.gate = admitter.NewGate(admitter.New(
		admitter.WithShares(func(house string) int { return rules.Rules().Share(house) }),
		admitter.WithQueue(cfg.Queue.Length, cfg.Queue.Length*max(len(houses(cfg)), 1)),
		admitter.WithLimit(min(initialConcurrency, n), min(minConcurrency, n), n),
	))
	return p
}

// polledUpstreams returns all upstreams and the slots of each. Upstreams of operations hold no shards, but are polled
// because their status reports when they are leaving.
func polledUpstreams(cfg *settings.Settings) ([]connector.Upstream, map[carobbend.UpstreamID]int) {
	slots := map[carobbend.UpstreamID]int{}
	var ups []connector.Upstream
	add := func(us []settings.UpstreamAddress, n, connections int) {
		for _, u := range us {
			if _, ok := slots[u.ID]; !ok {
				ups = append(ups, connector.Upstream{ID: u.ID, Address: u.Address, Connections: connections})
			}
			slots[u.ID] = n
		}
	}
	for _, x := range cfg.Indexes {
		add(x.Upstreams, x.Slots, x.Connections)
	}
	for _, x := range cfg.Operations {
		add(x.Upstreams, x.Slots, x.Connections)
	}
	return ups, slots
}

// shardCount returns the number of shard requests that a query of an index currently needs.
func (p *dataPlane) shardCount(index string) int {
	layouts := p.connector.Layouts(index)
	if len(layouts) == 0 {
		return 1
	}
	return layouts[0].Shards()
}

func houses(cfg *settings.Settings) map[string]bool {
	m := map[string]bool{}
	for _, c := range cfg.Callers {
		m[c.House] = true
	}
	return m
}

// maxInstances is the largest number of instances that deployments have today; it isn't enforced. Connection limits of
// operations are divided by it, and so are those of searches until the instance list is read.
const maxInstances = 8

// instanceCount is the number of live instances as of the linker's last round. It is read for each shard request, so it
// is kept here rather than computed by copying and sorting the members each time. It implements carobbend.ConnShare.
type instanceCount struct{ n atomic.Int64 }

var _ carobbend.ConnShare = (*instanceCount)(nil)

func (s *instanceCount) set(n int) { s.n.Store(int64(n)) }

func (s *instanceCount) instances() int {
	if n := s.n.Load(); n > 0 {
		return int(n)
	}
	return maxInstances
}

// Share implements carobbend.ConnShare.
func (s *instanceCount) Share(limit int) int { return limiter.ConnShare(limit, s.instances()) }

// newSender returns the sender of operations and the upstreams of each.
func newSender(cfg *settings.Settings) (*sender.Sender, map[string][]carobbend.UpstreamID) {
	addresses := map[carobbend.UpstreamID]string{}
	byName := map[string][]carobbend.UpstreamID{}
	share := 0
	for _, op := range cfg.Operations {
		if n := limiter.ConnShare(op.Connections, maxInstances); share == 0 || n < share {
			share = n
		}
		for _, u := range op.Upstreams {
			addresses[u.ID] = u.Address
			byName[op.Name] = append(byName[op.Name], u.ID)
		}
	}
	return sender.New(addresses, sender.WithMaxConns(max(share, 1))), byName
}
