// Package executor runs queries. It drives one planner.Planner per query: it sends the shard requests over
// carobbend.Upstreams, one goroutine each, and feeds replies, failures and timer events back to the planner.
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

// Config holds the dependencies of an Executor. Upstreams, Catalog and Balancer are required.
type Config struct {
	Upstreams carobbend.Upstreams
	Catalog   carobbend.Catalog
	Balancer  carobbend.Balancer
	// Hedger and Budget may be nil. Without a hedger there are no hedges; without a budget there are neither hedges nor
	// retries.
	Hedger carobbend.Hedger
	Budget carobbend.Budget
	// Rules may be nil; then the default deadline, full coverage and no extra load apply.
	Rules carobbend.RulesSource
	// Seed seeds the random delays of the planners.
	Seed uint64
	// Recorder may wrap the planner of a query to record its events; nil records nothing.
	Recorder Recorder
}

// StateMachine is the state machine of one query: a planner.Planner, or a wrapper that records its events.
type StateMachine interface {
	Handle(now time.Time, ev planner.Event) *planner.Effects
	NextTimer() time.Time
	Done() bool
	Stats() planner.Stats
}

// Recorder selects the queries to record. It is called for each query and must be safe for concurrent use.
type Recorder interface {
	// Record returns a recording state machine for the query, or nil if the query isn't to be recorded.
	Record(cfg planner.Config) StateMachine
}

// Counters counts queries and shard requests since the start of the executor.
type Counters struct {
	Queries   int64
	Primaries int64
	Hedges    int64
	Retries   int64
	Replans   int64
	// Late counts replies to cancelled attempts, and events for attempts that have already ended.
	Late int64
	// Crossed counts mismatched replies, which belong to another request than the one they were received for. The admin API
	// shows it under this name.
	Crossed int64
}

// Executor implements carobbend.QueryRunner. It is safe for concurrent use.
type Executor struct {
	cfg      Config
	sequence atomic.Uint64
	counters struct {
		queries, primaries, hedges, retries, replans, late, mismatched atomic.Int64
	}
}

var _ carobbend.QueryRunner = (*Executor)(nil)

// New returns an executor.
func New(cfg Config) *Executor { return &Executor{cfg: cfg} }

// Counters returns the counts of finished queries, including late replies to them.
func (x *Executor) Counters() Counters {
	c := &x.counters
	return Counters{
		Queries: c.queries.Load(), Primaries: c.primaries.Load(), Hedges: c.hedges.Load(), Retries: c.retries.Load(),
		Replans: c.replans.Load(), Late: c.late.Load(), Crossed: c.mismatched.Load(),
	}
}

// Run answers a query. It returns shortly before the deadline at the latest, and immediately when ctx is cancelled.
func (x *Executor) Run(ctx context.Context, q carobbend.Query) carobbend.Answer {
	r := newRun(ctx, x, q)
	if ctx.Err() != nil {
		r.post(&r.cancelEvent)
		return *r.answer
	}
	r.post(&r.startEvent)
	select {
	case <-r.done:
	case <-ctx.Done():
		r.post(&r.cancelEvent)
		<-r.done
	}
	return *r.answer
}

// newStateMachine returns a planner for a query, or the recorder's state machine if the query is to be recorded.
func (x *Executor) newStateMachine(cfg planner.Config) StateMachine {
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

// addStats adds the difference between two readings of a planner's stats to the counters.
func (x *Executor) addStats(before, after planner.Stats) {
	c := &x.counters
	addDelta(&c.primaries, before.Primaries, after.Primaries)
	addDelta(&c.hedges, before.Hedges, after.Hedges)
	addDelta(&c.retries, before.Retries, after.Retries)
	addDelta(&c.replans, before.Replans, after.Replans)
	addDelta(&c.late, before.Late, after.Late)
	addDelta(&c.mismatched, before.Mismatched, after.Mismatched)
}

func addDelta(n *atomic.Int64, before, after int) {
	if after != before {
		n.Add(int64(after - before))
	}
}
