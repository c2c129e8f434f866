package main

import (
	"carobbend.example/carobbend"
	"carobbend.example/carobbend/admitter"
	"carobbend.example/carobbend/balancer"
	"carobbend.example/carobbend/connector"
	"carobbend.example/carobbend/executor"
	"carobbend.example/carobbend/hedger"
	"carobbend.example/carobbend/limiter"
	"carobbend.example/carobbend/sender"
	"carobbend.example/carobbend/settings"
)

// The limit of running queries adapts between leastConcurrency and the settings, from startConcurrency.
const (
	startConcurrency = 16
	leastConcurrency = 2
)

// dataPlane is the path of queries on one instance: admission, executor, and connections to upstreams.
type dataPlane struct {
	connector *connector.Connector
	executor  *executor.Executor
	gate      *admitter.Gate
	hedger    *hedger.Hedger
	budget    *hedger.Budget
}

func newDataPlane(cfg *settings.Settings, members carobbend.Members, rules carobbend.RulesSource, seed uint64) *dataPlane {
	slots := map[carobbend.UpstreamID]int{}
	var ups []connector.Upstream
	for _, x := range cfg.Indexes {
		for _, u := range x.Upstreams {
			if _, ok := slots[u.ID]; !ok {
				ups = append(ups, connector.Upstream{ID: u.ID, Address: u.Address, Connections: x.Connections})
			}
			slots[u.ID] = x.Slots
		}
	}
	limits := limiter.New(
		limiter.WithSlots(func(id carobbend.UpstreamID) int { return slots[id] }),
		limiter.WithInstances(func() int { return len(members.Live()) }),
	)
	b := balancer.New(balancer.WithSeed(seed), balancer.WithLimits(limits))
	c := connector.New(
		ups, connector.WithProtocol(cfg.Upstream.Protocol), connector.WithConns(limiter.NewConns(members)),
		connector.WithConnectTimeout(cfg.Upstream.ConnectTimeout), connector.WithProgressTimeout(cfg.Upstream.ProgressTimeout),
		connector.WithStatusPoll(cfg.Upstream.StatusPoll), connector.WithLeaving(b.Leaving),
	)
	p := &dataPlane{connector: c, budget: hedger.NewBudget()}
	p.hedger = hedger.New(hedger.WithBudget(p.budget))
	p.executor = executor.New(executor.Config{
		Upstreams: c, Catalog: c, Balancer: b, Hedger: p.hedger, Budget: p.budget, Rules: rules, Seed: seed,
	})
	n := cfg.Queue.Concurrency
	p.gate = admitter.NewGate(admitter.New(
		admitter.WithShares(func(house string) int { return rules.Rules().Share(house) }),
		admitter.WithQueue(cfg.Queue.Length, cfg.Queue.Length*max(len(houses(cfg)), 1)),
		admitter.WithLimit(min(startConcurrency, n), min(leastConcurrency, n), n),
	))
	return p
}

// shards returns the number of shard requests that a query of an index costs now.
func (p *dataPlane) shards(index string) int {
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

// largestFleet is the number of instances for which the connections of operations are shared out. They are few, so a
// fixed share for the 6 to 8 instances of today is enough.
const largestFleet = 8

// newSender returns the sender of operations and the upstreams of each.
func newSender(cfg *settings.Settings) (*sender.Sender, map[string][]carobbend.UpstreamID) {
	addresses := map[carobbend.UpstreamID]string{}
	byName := map[string][]carobbend.UpstreamID{}
	share := 0
	for _, op := range cfg.Operations {
		if n := limiter.Share(op.Connections, largestFleet); share == 0 || n < share {
			share = n
		}
		for _, u := range op.Upstreams {
			addresses[u.ID] = u.Address
			byName[op.Name] = append(byName[op.Name], u.ID)
		}
	}
	return sender.New(addresses, sender.WithMaxConns(max(share, 1))), byName
}
