// Package planner is the state machine of one query.
//
// It does no I/O and reads no clock: it is fed with events and the time, and returns effects. It pins one snapshot,
// requests each shard from a replica, hedges and retries within the extra-load budget, replans once if the snapshot
// vanished, and finishes when every shard is settled or shortly before the deadline.
//
// Each attempt ends with at most one reply or failure. Anything else, such as a late, duplicated or crossed reply,
// is ignored.
//
// # Usage
//
//	p := planner.New(planner.Config{Query: q, Catalog: c, Balancer: b, Rules: rules})
//	fx := p.Handle(now, planner.Event{Kind: planner.EventStart})
//	for _, s := range fx.Sends {
//		// send s.Request to s.Upstream
//	}
//	timer := p.NextTimer()
package planner

import (
	"math/rand/v2"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/asserter"
	"carobbend.example/carobbend/combiner"
)

const (
	// answerMargin is kept before the deadline so that the answer still reaches the caller in time; for short
	// deadlines it is the given share of the time left at the start.
	answerMargin      = 2 * time.Millisecond
	answerMarginShare = 10
	// capacityWait is the mean wait after no replica had capacity.
	capacityWait = 2 * time.Millisecond
	// waitSlot is the grid of the waits for capacity, so that many waiting shards share a timer.
	waitSlot = 500 * time.Microsecond
	// hedgePause is how long a query hedges nothing after the budget denied a hedge. When a whole index is slow,
	// most shards want a hedge and the budget is empty; each would ask again and again.
	hedgePause = 5 * time.Millisecond
	// retryWait bounds the jitter of the first retry of a shard; the bound doubles with each further one.
	retryWait = 2 * time.Millisecond
	// maxRetries bounds the retries of a shard, those that the budget denied included. With 8 the p99 in the straggler
	// scenario of jylland rose from 65 to 74 ms for 0.01% more coverage.
	maxRetries = 4
	// minReplanTime is the least time before the deadline in which another snapshot may still answer.
	minReplanTime = 5 * time.Millisecond
	// never is later than any timer.
	never = time.Duration(1<<63 - 1)
)

// Config holds the query and what the planner asks for decisions. Catalog and Balancer are required.
type Config struct {
	Query    carobbend.Query
	Catalog  carobbend.Catalog
	Balancer carobbend.Balancer
	// Hedger and Budget may be nil: without a hedger nothing is hedged, without a budget nothing is sent twice.
	Hedger carobbend.Hedger
	Budget carobbend.Budget
	// Rules are the rules in force; nil means the defaults.
	Rules carobbend.Rules
	// Seed fixes the jitter.
	Seed uint64
}

// Planner runs one query. It is not safe for concurrent use.
type Planner struct {
	cfg     Config
	rng     rand.PCG
	percent float64
	limit   int

	started  time.Time
	now      time.Duration
	finishAt time.Duration
	next     time.Duration
	delay    time.Duration
	// hedgeFrom is when hedges may be tried again after a denied one.
	hedgeFrom time.Duration

	plan     uint8
	combiner *combiner.Combiner
	shards   []shard
	pending  int
	vanished bool

	attempts []attempt
	scratch  []carobbend.UpstreamID
	earned   int
	paid     int
	done     bool
	stats    Stats
	effects  Effects
}

// New returns a planner that waits for EventStart.
func New(cfg Config) *Planner {
	p := &Planner{cfg: cfg, next: never, limit: cfg.Query.Limit}
	p.rng.Seed(cfg.Seed, cfg.Seed)
	if p.limit <= 0 {
		p.limit = carobbend.DefaultLimit
	}
	if cfg.Rules != nil && cfg.Budget != nil {
		p.percent = cfg.Rules.ExtraLoad(cfg.Query.Index)
	}
	return p
}

// Stats returns the counts so far.
func (p *Planner) Stats() Stats { return p.stats }

// Done reports whether the answer was given.
func (p *Planner) Done() bool { return p.done }

// Snapshot returns the pinned snapshot, or 0 where none is.
func (p *Planner) Snapshot() carobbend.SnapshotID {
	if p.combiner == nil {
		return 0
	}
	return p.combiner.Snapshot()
}

// NextTimer returns when EventTimer is due, or the zero time where none is. It may be earlier than needed.
func (p *Planner) NextTimer() time.Time {
	if p.done || p.next == never {
		return time.Time{}
	}
	return p.started.Add(p.next)
}

// Handle takes one event and returns its effects.
func (p *Planner) Handle(now time.Time, ev Event) *Effects {
	p.effects = Effects{Sends: p.effects.Sends[:0], Cancels: p.effects.Cancels[:0]}
	if ev.Kind != EventStart {
		p.now = max(p.now, now.Sub(p.started))
	}
	switch ev.Kind {
	case EventStart:
		if p.started.IsZero() && !p.done {
			p.start(now)
		}
	case EventReply:
		p.reply(now, ev.Attempt, &ev.Reply)
	case EventFailure:
		p.failure(now, ev.Attempt, ev.Failure)
	case EventTimer:
		p.timer(now)
	case EventCancel:
		if !p.done {
			p.finish("the caller gave up")
		}
	}
	if !p.done {
		p.settle(now)
	}
	if p.earned > 0 && p.cfg.Budget != nil {
		p.cfg.Budget.Earn(p.cfg.Query.Index, p.earned, p.percent)
	}
	p.earned = 0
	return &p.effects
}

// settle replans if the snapshot vanished, and finishes if there is nothing more to wait for.
func (p *Planner) settle(now time.Time) {
	if p.vanished {
		p.vanished = false
		p.replan(now)
	}
	switch {
	case p.pending == 0:
		p.finish("")
	case p.now >= p.finishAt && len(p.attempts) == 0:
		p.finish("no replica had capacity before the deadline")
	case p.now >= p.finishAt:
		p.finish("the deadline passed")
	}
}

func (p *Planner) start(now time.Time) {
	q := &p.cfg.Query
	p.started = now
	if q.Deadline.IsZero() {
		q.Deadline = now.Add(p.defaultDeadline())
	}
	left := q.Deadline.Sub(now)
	p.finishAt = left - min(answerMargin, left/answerMarginShare)
	p.next = p.finishAt
	p.learnDelay()
	if left <= 0 {
		p.finish("the deadline passed before the start")
		return
	}
	layout, ok := p.choose(p.cfg.Catalog.Layouts(q.Index), 0)
	if !ok {
		p.finish("no snapshot of the index is available")
		return
	}
	p.begin(now, layout)
}

func (p *Planner) defaultDeadline() time.Duration {
	if p.cfg.Rules != nil {
		if d := p.cfg.Rules.Deadline(p.cfg.Query.Index); d > 0 {
			return d
		}
	}
	return carobbend.DefaultDeadline
}

// learnDelay reads the hedge delay once for all shards handled by an event.
func (p *Planner) learnDelay() {
	if p.cfg.Hedger != nil {
		p.delay = p.cfg.Hedger.Delay(p.cfg.Query.Index)
	}
}

// mayExtra reports whether hedges and retries are allowed at all.
func (p *Planner) mayExtra() bool { return p.percent > 0 }

func (p *Planner) timer(now time.Time) {
	if p.done || p.now >= p.finishAt {
		return
	}
	p.learnDelay()
	p.next = p.finishAt
	for i := range p.shards {
		s := &p.shards[i]
		if s.state != shardPending {
			continue
		}
		if s.wake <= p.now {
			s.wake = never
			p.act(now, i)
		}
		if s.state == shardPending {
			p.next = min(p.next, s.wake)
		}
	}
}

func (p *Planner) reply(now time.Time, n int, r *carobbend.ShardReply) {
	a := p.end(n)
	if a == nil {
		return
	}
	if r.Leaving {
		p.cfg.Balancer.Leaving(now, a.upstream, true)
	}
	if r.ID != a.id {
		p.crossed(now, a)
		return
	}
	if a.canceled {
		p.cfg.Balancer.Finished(now, a.upstream, p.now-a.sent, carobbend.FailureNone, r.Load)
		p.stats.Late++
		return
	}
	if v := p.combiner.Accept(int(a.shard), r); v != combiner.Accepted {
		p.crossed(now, a)
		return
	}
	p.cfg.Balancer.Finished(now, a.upstream, p.now-a.sent, carobbend.FailureNone, r.Load)
	if p.cfg.Hedger != nil {
		// The age of the oldest hedged attempt is learned: the latency of the winner alone would leave out the
		// stragglers, and the quantile would fall until the budget alone bounds the hedges.
		p.cfg.Hedger.Observe(p.cfg.Query.Index, p.now-a.origin)
	}
	p.accepted(a, r)
}

// accepted settles the shard and cancels its other attempts.
func (p *Planner) accepted(a *attempt, r *carobbend.ShardReply) {
	s := &p.shards[a.shard]
	if r.ID != a.id || r.Ref != p.ref(int(a.shard)) || a.plan != p.plan {
		asserter.Check(false, asserter.Identity, "request", a.id, "reply", r.ID, "snapshot", r.Ref.Snapshot)
	}
	s.state = shardCovered
	s.open--
	p.pending--
	for i := s.newest; i >= 0 && s.open > 0; i = p.attempts[i].previous {
		p.cancel(int(i))
	}
}

// crossed handles a reply to another request as a failure of the attempt that received it.
func (p *Planner) crossed(now time.Time, a *attempt) {
	p.stats.Crossed++
	p.failed(now, a, carobbend.FailureIdentity)
}

func (p *Planner) failure(now time.Time, n int, kind carobbend.FailureKind) {
	if a := p.end(n); a != nil {
		p.failed(now, a, kind)
	}
}

func (p *Planner) failed(now time.Time, a *attempt, kind carobbend.FailureKind) {
	if kind == carobbend.FailureLeaving {
		p.cfg.Balancer.Leaving(now, a.upstream, true)
	}
	p.cfg.Balancer.Finished(now, a.upstream, p.now-a.sent, kind, -1)
	if a.canceled {
		return
	}
	p.shardFailed(int(a.shard), a, kind)
}

// end marks an attempt as ended and returns it, or nil where it has ended before or never was.
func (p *Planner) end(n int) *attempt {
	if n < 0 || n >= len(p.attempts) || p.attempts[n].ended {
		p.stats.Late++
		return nil
	}
	a := &p.attempts[n]
	a.ended = true
	return a
}

// cancel gives an open attempt up; its reply no longer counts. An attempt that is neither ended nor cancelled
// belongs to a pending shard of the current plan.
func (p *Planner) cancel(n int) {
	a := &p.attempts[n]
	if a.ended || a.canceled {
		return
	}
	a.canceled = true
	p.shards[a.shard].open--
	p.effects.Cancels = append(p.effects.Cancels, n)
}
