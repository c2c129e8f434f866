package executor

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/planner"
)

// run is one query in progress. Its events pass through a lock-free inbox: the goroutine that finds the inbox idle handles
// events until none is left, and the others only push theirs. From planner on, the fields belong to the goroutine that
// handles events.
type run struct {
	x      *Executor
	ctx    context.Context
	done   chan struct{}
	answer *carobbend.Answer
	inbox  inbox
	// startEvent, timerEvent and cancelEvent are the events that don't come from an attempt.
	startEvent, timerEvent, cancelEvent eventNode
	timerPosted                         atomic.Bool

	planner StateMachine
	// countedStats is the part of the planner's stats that the executor's counters already include.
	countedStats planner.Stats
	attempts     []*attempt
	timer        *time.Timer
	// timerAt is when the timer fires. It may be earlier than necessary, which costs one event without effect.
	timerAt time.Time
}

func newRun(ctx context.Context, x *Executor, q carobbend.Query) *run {
	r := &run{x: x, ctx: ctx, done: make(chan struct{})}
	r.startEvent.event.Kind = planner.EventStart
	r.timerEvent.event.Kind = planner.EventTimer
	r.cancelEvent.event.Kind = planner.EventCancel
	r.planner = x.newStateMachine(planner.Config{
		Query: q, Catalog: x.cfg.Catalog, Balancer: x.cfg.Balancer, Hedger: x.cfg.Hedger, Budget: x.cfg.Budget,
		Rules: x.rules(), Seed: x.cfg.Seed + x.sequence.Add(1),
	})
	return r
}

// post passes an event to the planner, directly if the inbox is idle, or else through the goroutine that handles events.
func (r *run) post(n *eventNode) {
	if !r.inbox.push(n) {
		return
	}
	for n != nil {
		now := time.Now()
		for n != nil {
			next := n.next
			r.handleEvent(now, n)
			n = next
		}
		r.countOrArmTimer(now)
		n = r.inbox.drain()
	}
}

// handleEvent passes one event to the planner and carries out the effects.
func (r *run) handleEvent(now time.Time, n *eventNode) {
	if n == &r.timerEvent {
		r.timerAt = time.Time{}
		r.timerPosted.Store(false)
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

// countOrArmTimer adds the stats of a finished query to the counters, or arms the timer of a running one.
func (r *run) countOrArmTimer(now time.Time) {
	if !r.planner.Done() {
		r.armTimer(now)
		return
	}
	after := r.planner.Stats()
	r.x.addStats(r.countedStats, after)
	r.countedStats = after
}

func (r *run) finish(ans *carobbend.Answer) {
	r.x.counters.queries.Add(1)
	if r.timer != nil {
		r.timer.Stop()
	}
	r.answer = ans
	close(r.done)
}

// armTimer sets the timer to the planner's next timer event, unless it is already armed for that time or earlier.
func (r *run) armTimer(now time.Time) {
	at := r.planner.NextTimer()
	if at.IsZero() || !r.timerAt.IsZero() && !at.Before(r.timerAt) {
		return
	}
	r.timerAt = at
	if r.timer == nil {
		r.timer = time.AfterFunc(at.Sub(now), r.postTimerEvent)
		return
	}
	r.timer.Reset(at.Sub(now))
}

// postTimerEvent posts the timer event unless it is already in the inbox: after a Reset, a timer may fire again before the
// first event was handled.
func (r *run) postTimerEvent() {
	if r.timerPosted.CompareAndSwap(false, true) {
		r.post(&r.timerEvent)
	}
}

// send starts one goroutine for each request.
func (r *run) send(sends []planner.Send) {
	if len(sends) == 0 {
		return
	}
	// One allocation holds all attempts of an event.
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
