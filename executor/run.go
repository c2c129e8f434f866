package executor

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/planner"
)

// run is one query in progress. Its events pass through an inbox without a lock: the goroutine that finds the inbox
// idle handles the events until none is left, and the others leave theirs and go on. The fields below inbox
// belong to the goroutine that handles events.
type run struct {
	x      *Executor
	ctx    context.Context
	done   chan struct{}
	answer *carobbend.Answer
	inbox  inbox
	// start, tick and gone are the events that don't come from an attempt.
	start, tick, gone node
	ticking           atomic.Bool

	planner Machine
	// counted is the part of the planner's counts that the executor has taken over.
	counted  planner.Stats
	attempts []*attempt
	timer    *time.Timer
	// armed is when the timer fires; it may be earlier than needed, which costs one event without effect.
	armed time.Time
}

func newRun(ctx context.Context, x *Executor, q carobbend.Query) *run {
	r := &run{x: x, ctx: ctx, done: make(chan struct{})}
	r.start.event.Kind = planner.EventStart
	r.tick.event.Kind = planner.EventTimer
	r.gone.event.Kind = planner.EventCancel
	r.planner = x.machine(planner.Config{
		Query: q, Catalog: x.cfg.Catalog, Balancer: x.cfg.Balancer, Hedger: x.cfg.Hedger, Budget: x.cfg.Budget,
		Rules: x.rules(), Seed: x.cfg.Seed + x.sequence.Add(1),
	})
	return r
}

// post hands an event to the planner, now or through the goroutine that is handling events.
func (r *run) post(n *node) {
	if !r.inbox.push(n) {
		return
	}
	for n != nil {
		now := time.Now()
		for n != nil {
			next := n.next
			r.handle(now, n)
			n = next
		}
		r.settle(now)
		n = r.inbox.drain()
	}
}

// handle feeds the planner with one event and carries out its effects.
func (r *run) handle(now time.Time, n *node) {
	if n == &r.tick {
		r.armed = time.Time{}
		r.ticking.Store(false)
	}
	fx := r.planner.Handle(now, n.event)
	n.event.Reply = carobbend.ShardReply{}
	r.send(fx.Sends)
	for _, i := range fx.Cancels {
		r.attempts[i].cancel()
	}
	if fx.Answer != nil {
		r.finish(fx.Answer)
	}
}

// settle takes over the counts of a finished query, or sets the timer of a running one.
func (r *run) settle(now time.Time) {
	if !r.planner.Done() {
		r.arm(now)
		return
	}
	after := r.planner.Stats()
	r.x.count(r.counted, after)
	r.counted = after
}

func (r *run) finish(ans *carobbend.Answer) {
	r.x.counters.queries.Add(1)
	if r.timer != nil {
		r.timer.Stop()
	}
	r.answer = ans
	close(r.done)
}

func (r *run) arm(now time.Time) {
	at := r.planner.NextTimer()
	if at.IsZero() || !r.armed.IsZero() && !at.Before(r.armed) {
		return
	}
	r.armed = at
	if r.timer == nil {
		r.timer = time.AfterFunc(at.Sub(now), r.fire)
		return
	}
	r.timer.Reset(at.Sub(now))
}

// fire posts the timer event unless it is already in the inbox, since a timer may fire again after a Reset.
func (r *run) fire() {
	if r.ticking.CompareAndSwap(false, true) {
		r.post(&r.tick)
	}
}

// send starts one goroutine for each request.
func (r *run) send(sends []planner.Send) {
	if len(sends) == 0 {
		return
	}
	// The attempts of one event are allocated together.
	batch := make([]attempt, len(sends))
	r.attempts = slices.Grow(r.attempts, len(sends))
	for i := range sends {
		a := &batch[i]
		a.run, a.upstream, a.request = r, sends[i].Upstream, sends[i].Request
		a.event.Attempt = sends[i].Attempt
		r.attempts = append(r.attempts, a)
		go a.send()
	}
}
