package bencher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"carobbend.example/carobbend/cataloger"

	"carobbend.example/carobbend/sleeper"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/emulator"
	"carobbend.example/carobbend/executor"
	"carobbend.example/carobbend/limiter"
)

// drainLimit bounds the time that a replaced instance has to finish its queries in progress.
const drainLimit = 2 * time.Second

// testbed is a set of emulated upstreams and the instances that query them under one policy.
type testbed struct {
	dep    deployment
	policy policy
	rules  *fixedRules
	seed   uint64
	ups    []*emulator.Upstream
	sends  atomic.Int64
	cutOff atomic.Int64
	wait   sync.WaitGroup

	mu        sync.Mutex
	instances []*instance
}

// instance is one instance of the query tier with its own policies.
type instance struct {
	instancePolicies
	name      string
	transport *transport
	catalog   *cataloger.Cataloger
	runner    carobbend.QueryRunner
	ctx       context.Context
	stop      context.CancelFunc
	inFlight  atomic.Int64
	leaving   bool
}

func newTestbed(ctx context.Context, d deployment, p policy, r *fixedRules, sc scenario, seed uint64) *testbed {
	tb := &testbed{dep: d, policy: p, rules: r, seed: seed}
	for i := range d.upstreams() {
		cfg := emulator.UpstreamConfig{
			ID: carobbend.UpstreamID(fmt.Sprintf("%s-%d", d.index, i)), Slots: d.slots, Seed: seed*1000 + uint64(i),
		}
		if sc.cold {
			cfg.ColdStart, cfg.ColdFactor = coldTime, coldFactor
		}
		u := emulator.NewUpstream(cfg)
		u.Hold(emulator.Holding{Index: d.index, Snapshot: 1, Shards: d.shards, Held: d.heldShards(i, d.shards)})
		tb.ups = append(tb.ups, u)
	}
	for i := range instances {
		tb.instances = append(tb.instances, tb.newInstance(ctx, i, 0))
	}
	return tb
}

func (tb *testbed) newInstance(ctx context.Context, n, incarnation int) *instance {
	d := tb.dep
	seed := tb.seed*100 + uint64(n) + uint64(incarnation)*10_000
	in := &instance{
		instancePolicies: tb.policy.newInstancePolicies(d, tb.rules.Share, seed), name: fmt.Sprintf("carobbend-%d", n),
		catalog: &cataloger.Cataloger{},
	}
	for _, u := range tb.ups {
		in.catalog.StatusRead(time.Now(), u.ID(), u.Holdings())
	}
	in.ctx, in.stop = context.WithCancel(ctx)
	in.transport = &transport{pools: map[carobbend.UpstreamID]*connPool{}, sends: &tb.sends, snapshotGone: in.catalog.Denied}
	for i, u := range tb.ups {
		p := &connPool{
			up: u, connect: d.connect, open: map[*conn]struct{}{},
			sem: make(chan struct{}, limiter.ConnShare(d.connections, instances)),
		}
		if n%len(d.dataCentres) != i%len(d.dataCentres) {
			p.oneWay = d.oneWay
		}
		in.transport.pools[u.ID()] = p
	}
	in.runner = executor.New(executor.Config{
		Upstreams: in.transport, Catalog: in.catalog, Balancer: in.balancer, Hedger: in.hedger, Budget: in.budget,
		Rules: tb.rules, Seed: seed,
	})
	tb.wait.Go(func() { in.poll(tb.ups, seed) })
	return in
}

// poll reads the status of each upstream once per statusInterval on average, until the instance stops.
func (in *instance) poll(ups []*emulator.Upstream, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	for {
		for _, u := range ups {
			wait := time.Duration((0.5 + rng.Float64()) * float64(statusInterval) / float64(len(ups)))
			if !sleeper.Sleep(in.ctx, wait) {
				return
			}
			in.catalog.StatusRead(time.Now(), u.ID(), u.Holdings())
		}
	}
}

// pickInstance returns a random instance that isn't leaving, or any if all are, and counts a query in flight on it.
func (tb *testbed) pickInstance(rng *rand.Rand) *instance {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	start := rng.IntN(len(tb.instances))
	for i := range tb.instances {
		if in := tb.instances[(start+i)%len(tb.instances)]; !in.leaving {
			in.inFlight.Add(1)
			return in
		}
	}
	in := tb.instances[start]
	in.inFlight.Add(1)
	return in
}

// replace drains an instance and starts a new one in its place. Queries still in flight after drainLimit are cut off.
func (tb *testbed) replace(ctx context.Context, n int) {
	tb.mu.Lock()
	old := tb.instances[n]
	old.leaving = true
	tb.mu.Unlock()
	for end := time.Now().Add(drainLimit); old.inFlight.Load() > 0 && time.Now().Before(end); {
		if !sleeper.Sleep(ctx, time.Millisecond) {
			return
		}
	}
	tb.cutOff.Add(old.inFlight.Load())
	old.stop()
	in := tb.newInstance(ctx, n, 1)
	tb.mu.Lock()
	tb.instances[n] = in
	tb.mu.Unlock()
}

// notifyLeaving informs the balancers of all instances after listLag whether an upstream is leaving.
func (tb *testbed) notifyLeaving(ctx context.Context, id carobbend.UpstreamID, leaving bool) {
	if !sleeper.Sleep(ctx, listLag) {
		return
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, in := range tb.instances {
		in.balancer.SetLeaving(time.Now(), id, leaving)
	}
}

func (tb *testbed) close() {
	tb.mu.Lock()
	for _, in := range tb.instances {
		in.stop()
	}
	tb.mu.Unlock()
	tb.wait.Wait()
}
