package executor

import (
	"context"
	"sync"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/planner"
)

// run is one query in progress. The mutex orders the events of the planner; effects are carried out under it too,
// so that a cancellation never overtakes its send.
type run struct {
	x      *Executor
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	answer *carobbend.Answer

	mu      sync.Mutex
	planner *planner.Planner
	// counted is the part of the planner's counts that the executor has taken over.
	counted planner.Stats
	cancels []context.CancelFunc
	timer   *time.Timer
	// armed is when the timer fires; it may be earlier than needed, which costs one event without effect.
	armed time.Time
}

func newRun(ctx context.Context, x *Executor, q carobbend.Query) *run {
	r := &run{x: x, done: make(chan struct{})}
	r.ctx, r.cancel = context.WithCancel(ctx)
	r.planner = planner.New(planner.Config{
		Query: q, Catalog: x.cfg.Catalog, Balancer: x.cfg.Balancer, Hedger: x.cfg.Hedger, Budget: x.cfg.Budget,
		Rules: x.rules(), Seed: x.cfg.Seed + x.sequence.Add(1),
	})
	return r
}

// step feeds the planner with an event and carries out the effects.
func (r *run) step(ev planner.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	fx := r.planner.Handle(now, ev)
	for i := range fx.Sends {
		r.send(&fx.Sends[i])
	}
	for _, n := range fx.Cancels {
		r.cancels[n]()
	}
	if fx.Answer != nil {
		r.finish(fx.Answer)
	}
	if r.planner.Done() {
		after := r.planner.Stats()
		r.x.count(r.counted, after)
		r.counted = after
		return
	}
	r.arm(now)
}

func (r *run) finish(ans *carobbend.Answer) {
	r.x.counters.queries.Add(1)
	if r.timer != nil {
		r.timer.Stop()
	}
	r.cancel()
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
		r.timer = time.AfterFunc(at.Sub(now), r.tick)
		return
	}
	r.timer.Reset(at.Sub(now))
}

func (r *run) tick() {
	r.mu.Lock()
	r.armed = time.Time{}
	r.mu.Unlock()
	r.step(planner.Event{Kind: planner.EventTimer})
}

func (r *run) send(s *planner.Send) {
	ctx, cancel := context.WithCancel(r.ctx)
	r.cancels = append(r.cancels, cancel)
	go r.attempt(ctx, s.Attempt, s.Upstream, s.Request)
}

func (r *run) attempt(ctx context.Context, n int, id carobbend.UpstreamID, req carobbend.ShardRequest) {
	reply, err := r.x.cfg.Upstreams.Send(ctx, id, req)
	if err != nil {
		r.step(planner.Event{Kind: planner.EventFailure, Attempt: n, Failure: carobbend.KindOf(err)})
		return
	}
	r.step(planner.Event{Kind: planner.EventReply, Attempt: n, Reply: reply})
}
