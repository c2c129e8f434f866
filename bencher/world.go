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

// drainLimit bounds the time that a replaced instance has for the queries in progress.
const drainLimit = 2 * time.Second

// world is one set of upstreams and the instances that query them under one policy.
type world struct {
	dep    deployment
	policy policy
	rules  *rules
	seed   uint64
	ups    []*emulator.Upstream
	sends  atomic.Int64
	cutOff atomic.Int64
	wait   sync.WaitGroup

	mu        sync.Mutex
	instances []*instance
}

// instance is one entry instance with its own policies.
type instance struct {
	parts
	name     string
	wire     *wire
	catalog  *cataloger.Cataloger
	runner   carobbend.QueryRunner
	ctx      context.Context
	stop     context.CancelFunc
	inFlight atomic.Int64
	leaving  bool
}

func newWorld(ctx context.Context, d deployment, p policy, r *rules, sc scenario, seed uint64) *world {
	w := &world{dep: d, policy: p, rules: r, seed: seed}
	for i := range d.upstreams() {
		cfg := emulator.UpstreamConfig{
			ID: carobbend.UpstreamID(fmt.Sprintf("%s-%d", d.index, i)), Slots: d.slots, Seed: seed*1000 + uint64(i),
		}
		if sc.cold {
			cfg.ColdStart, cfg.ColdFactor = coldTime, coldFactor
		}
		u := emulator.NewUpstream(cfg)
		u.Hold(emulator.Holding{Index: d.index, Snapshot: 1, Shards: d.shards, Held: d.held(i, d.shards)})
		w.ups = append(w.ups, u)
	}
	for i := range instances {
		w.instances = append(w.instances, w.newInstance(ctx, i, 0))
	}
	return w
}

func (w *world) newInstance(ctx context.Context, n, incarnation int) *instance {
	d := w.dep
	seed := w.seed*100 + uint64(n) + uint64(incarnation)*10_000
	in := &instance{
		parts: w.policy.build(d, w.rules.Share, seed), name: fmt.Sprintf("carobbend-%d", n),
		catalog: &cataloger.Cataloger{},
	}
	for _, u := range w.ups {
		in.catalog.StatusRead(time.Now(), u.ID(), u.Holdings())
	}
	in.ctx, in.stop = context.WithCancel(ctx)
	in.wire = &wire{pools: map[carobbend.UpstreamID]*pool{}, sends: &w.sends, gone: in.catalog.Denied}
	for i, u := range w.ups {
		p := &pool{
			up: u, connect: d.connect, open: map[*conn]struct{}{},
			places: make(chan struct{}, limiter.Share(d.connections, instances)),
		}
		if n%len(d.dataCentres) != i%len(d.dataCentres) {
			p.oneWay = d.oneWay
		}
		in.wire.pools[u.ID()] = p
	}
	in.runner = executor.New(executor.Config{
		Upstreams: in.wire, Catalog: in.catalog, Balancer: in.balancer, Hedger: in.hedger, Budget: in.budget,
		Rules: w.rules, Seed: seed,
	})
	w.wait.Go(func() { in.poll(w.ups, seed) })
	return in
}

// poll learns the status of the upstreams until the instance stops.
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

// pick returns a random instance that isn't leaving.
func (w *world) pick(rng *rand.Rand) *instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	start := rng.IntN(len(w.instances))
	for i := range w.instances {
		if in := w.instances[(start+i)%len(w.instances)]; !in.leaving {
			in.inFlight.Add(1)
			return in
		}
	}
	in := w.instances[start]
	in.inFlight.Add(1)
	return in
}

// replace drains an instance and puts a new one in its place.
func (w *world) replace(ctx context.Context, n int) {
	w.mu.Lock()
	old := w.instances[n]
	old.leaving = true
	w.mu.Unlock()
	for end := time.Now().Add(drainLimit); old.inFlight.Load() > 0 && time.Now().Before(end); {
		if !sleeper.Sleep(ctx, time.Millisecond) {
			return
		}
	}
	w.cutOff.Add(old.inFlight.Load())
	old.stop()
	in := w.newInstance(ctx, n, 1)
	w.mu.Lock()
	w.instances[n] = in
	w.mu.Unlock()
}

// listed tells all instances after listLag whether an upstream leaves.
func (w *world) listed(ctx context.Context, id carobbend.UpstreamID, leaving bool) {
	if !sleeper.Sleep(ctx, listLag) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, in := range w.instances {
		in.balancer.Leaving(time.Now(), id, leaving)
	}
}

func (w *world) close() {
	w.mu.Lock()
	for _, in := range w.instances {
		in.stop()
	}
	w.mu.Unlock()
	w.wait.Wait()
}
