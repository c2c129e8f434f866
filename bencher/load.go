package bencher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"carobbend.example/carobbend/sleeper"

	"carobbend.example/carobbend"
)

// texts is the number of different query texts.
const texts = 64

// generator sends queries to a world on a schedule.
type generator struct {
	world    *world
	rate     float64
	deadline time.Duration
	// demand is the part of the arrivals that each house sends; the parts add up to 1.
	demand []float64
	// classes are the priority classes of the houses; houses beyond its end are ordinary.
	classes []carobbend.Class
	rng     *rand.Rand
	checker *checker
	queries sync.WaitGroup
	n       int
	// primaries counts the shards of all answers, those of the warm-up included.
	primaries atomic.Int64
}

// run sends queries for the given time and records them; it doesn't wait for the answers.
func (g *generator) run(ctx context.Context, d time.Duration, rec *recorder) {
	start := time.Now()
	var at time.Duration
	for {
		at += time.Duration(g.rng.ExpFloat64() / g.rate * float64(time.Second))
		if at > d || !sleeper.Sleep(ctx, time.Until(start.Add(at))) {
			return
		}
		g.n++
		scheduled := start.Add(at)
		house, class := g.house()
		q := carobbend.Query{
			ID: fmt.Sprintf("q%d", g.n), Index: g.world.dep.index, Text: fmt.Sprintf("text-%d", g.rng.IntN(texts)),
			Limit: carobbend.DefaultLimit, Caller: house, House: house, Arrived: scheduled,
			Deadline: scheduled.Add(g.deadline),
		}
		in := g.world.pick(g.rng)
		g.queries.Go(func() {
			defer in.inFlight.Add(-1)
			lag := time.Since(scheduled)
			a := ask(in, q, class, g.world.dep.shards)
			latency := time.Since(scheduled) + 2*g.world.dep.clientOneWay
			g.primaries.Add(int64(a.Total))
			if rec != nil {
				rec.record(q, a, latency, lag, g.checker.wrong(q, a))
			}
		})
	}
}

// house draws the house of the next query and returns its class.
func (g *generator) house() (string, carobbend.Class) {
	x, n := g.rng.Float64(), 0
	for i, d := range g.demand {
		if x -= d; x < 0 {
			n = i
			break
		}
	}
	class := carobbend.ClassOrdinary
	if n < len(g.classes) {
		class = g.classes[n]
	}
	return g.world.dep.houses[n].name, class
}

// ask passes a query through the instance's admission and executor.
func ask(in *instance, q carobbend.Query, class carobbend.Class, cost int) carobbend.Answer {
	if in.gate == nil {
		return in.runner.Run(in.ctx, q)
	}
	release, refusal := in.gate.Enter(in.ctx, q, class, cost)
	if refusal != "" {
		return carobbend.Answer{
			QueryID: q.ID, Index: q.Index, Outcome: carobbend.OutcomeNotRun, Items: []carobbend.Item{}, Detail: refusal,
		}
	}
	a := in.runner.Run(in.ctx, q)
	release(a)
	return a
}
