// Package executor runs queries: it drives one planner.Planner for each query with goroutines and a timer over
// carobbend.Upstreams.
//
// # Usage
//
//	x := executor.New(executor.Config{Upstreams: up, Catalog: c, Balancer: b, Hedger: h, Budget: h, Rules: src})
//	answer := x.Run(ctx, query)
package executor

import (
	"context"
	"sync/atomic"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/planner"
)

// Config holds what an executor works with. Upstreams, Catalog and Balancer are required.
type Config struct {
	Upstreams carobbend.Upstreams
	Catalog   carobbend.Catalog
	Balancer  carobbend.Balancer
	// Hedger and Budget may be nil; then nothing is hedged, or nothing is sent twice.
	Hedger carobbend.Hedger
	Budget carobbend.Budget
	// Rules may be nil; then the defaults apply.
	Rules carobbend.RulesSource
	// Seed fixes the jitter of retries.
	Seed uint64
	// Recorder may take the place of the planner of a query; nil records nothing.
	Recorder Recorder
}

// Machine is the state machine of one query: a planner.Planner, or one that records the events of a planner.
type Machine interface {
	Handle(now time.Time, ev planner.Event) *planner.Effects
	NextTimer() time.Time
	Done() bool
	Stats() planner.Stats
}

// Recorder chooses the queries that are recorded. It is called for each query, from many goroutines.
type Recorder interface {
	// Record returns the machine of a query that is to be recorded, or nil for any other.
	Record(cfg planner.Config) Machine
}

// Counters counts shard requests since the start.
type Counters struct {
	Queries   int64
	Primaries int64
	Hedges    int64
	Retries   int64
	Replans   int64
	// Late counts replies that came after they could count.
	Late int64
	// Crossed counts replies that belonged to another request.
	Crossed int64
}

// Executor implements carobbend.QueryRunner. It is safe for concurrent use.
type Executor struct {
	cfg      Config
	sequence atomic.Uint64
	counters struct {
		queries, primaries, hedges, retries, replans, late, crossed atomic.Int64
	}
}

var _ carobbend.QueryRunner = (*Executor)(nil)

// New returns an executor.
func New(cfg Config) *Executor { return &Executor{cfg: cfg} }

// Counters returns the counts of the queries that have finished, and of late replies to them.
func (x *Executor) Counters() Counters {
	c := &x.counters
	return Counters{
		Queries: c.queries.Load(), Primaries: c.primaries.Load(), Hedges: c.hedges.Load(), Retries: c.retries.Load(),
		Replans: c.replans.Load(), Late: c.late.Load(), Crossed: c.crossed.Load(),
	}
}

// Run answers a query. It returns shortly before the deadline at the latest, and at once when ctx is canceled.
func (x *Executor) Run(ctx context.Context, q carobbend.Query) carobbend.Answer {
	r := newRun(ctx, x, q)
	if ctx.Err() != nil {
		r.post(&r.gone)
		return *r.answer
	}
	r.post(&r.start)
	select {
	case <-r.done:
	case <-ctx.Done():
		r.post(&r.gone)
		<-r.done
	}
	return *r.answer
}

// machine returns the planner of a query, or the recorder around it.
func (x *Executor) machine(cfg planner.Config) Machine {
	if x.cfg.Recorder != nil {
		if m := x.cfg.Recorder.Record(cfg); m != nil {
			return m
		}
	}
	return planner.New(cfg)
}

func (x *Executor) rules() carobbend.Rules {
	if x.cfg.Rules == nil {
		return nil
	}
	return x.cfg.Rules.Rules()
}

// count adds what a planner has done since before.
func (x *Executor) count(before, after planner.Stats) {
	c := &x.counters
	add(&c.primaries, before.Primaries, after.Primaries)
	add(&c.hedges, before.Hedges, after.Hedges)
	add(&c.retries, before.Retries, after.Retries)
	add(&c.replans, before.Replans, after.Replans)
	add(&c.late, before.Late, after.Late)
	add(&c.crossed, before.Crossed, after.Crossed)
}

func add(n *atomic.Int64, before, after int) {
	if after != before {
		n.Add(int64(after - before))
	}
}
