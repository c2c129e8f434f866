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

// queryTexts is the number of different query texts.
const queryTexts = 64

// generator is an open-loop load generator: it sends queries to a testbed on a Poisson schedule.
type generator struct {
	testbed  *testbed
	rate     float64
	deadline time.Duration
	// demand is the fraction of the arrivals that each house sends; the sum is 1.
	demand []float64
	// classes are the priority classes of the houses in order; houses without an element are ordinary.
	classes []carobbend.Class
	rng     *rand.Rand
	checker *checker
	queries sync.WaitGroup
	n       int
	// primaryRequests counts the shards of all answers, including the warm-up.
	primaryRequests atomic.Int64
}

// run sends queries for the given time and records their answers in rec, if it isn't nil. It returns without waiting for
// outstanding answers.
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
		house, class := g.pickHouse()
		q := carobbend.Query{
			ID: fmt.Sprintf("q%d", g.n), Index: g.testbed.dep.index, Text: fmt.Sprintf("text-%d", g.rng.IntN(queryTexts)),
			Limit: carobbend.DefaultLimit, Caller: house, House: house, Arrived: scheduled,
			Deadline: scheduled.Add(g.deadline),
		}
		in := g.testbed.pickInstance(g.rng)
		g.queries.Go(func() {
			defer in.inFlight.Add(-1)
			lag := time.Since(scheduled)
			a := runQuery(in, q, class, g.testbed.dep.shards)
			latency := time.Since(scheduled) + 2*g.testbed.dep.clientOneWay
			g.primaryRequests.Add(int64(a.Total))
			if rec != nil {
				rec.record(q, a, latency, lag, g.checker.check(q, a))
			}
		})
	}
}

// pickHouse returns a random house, weighted by demand, and its class.
func (g *generator) pickHouse() (string, carobbend.Class) {
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
	return g.testbed.dep.houses[n].name, class
}

// runQuery runs a query on an instance if its admission control, where the policy has one, admits it.
func runQuery(in *instance, q carobbend.Query, class carobbend.Class, cost int) carobbend.Answer {
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
