// Package gatherer controls a scatter-gather request: retries, hedges and the time of the answer.
//
// A Gather is a state machine without I/O: it is given the attempts sent, their results and the current time, and
// returns the attempts to start next and when to stop. A request to a single service is a gather of one shard.
//
// The answer is due as soon as all shards are covered. At AnswerBy, which lies shortly before the latency target, it is
// due if the minimum coverage is reached, since a complete answer after the target is worth less than a partial one
// before it; afterwards it is due as soon as the minimum coverage is reached. A gather that can no longer reach the
// minimum coverage fails at once.
//
// # Usage
//
//	g := gatherer.New(plan)
//	for shard := range plan.Shards {
//		g.Sent(shard, now)
//	}
//	switch step := g.Next(now); step.Action {
//	case gatherer.Wait: // start step.Launch, then wait for a reply or step.Until
//	case gatherer.Answer:
//	case gatherer.Fail:
//	}
package gatherer

import (
	"math"
	"time"

	"carobbend.example/carobbend"
)

// Plan holds the parameters of a gather.
type Plan struct {
	// Shards is the number of shards, at least 1.
	Shards int
	// MinCoverage is the minimum share of covered shards of an answer, from 0 to 1.
	MinCoverage float64
	// Attempts is the maximum number of attempts of a shard that may run the request.
	Attempts int
	// Repeatable says that the request may run more than once.
	Repeatable bool
	// HedgeDelay is the age of a shard's first attempt at which it is hedged; 0 means never.
	HedgeDelay time.Duration
	// AnswerBy is the time from which the minimum coverage is enough; zero means that it never is.
	AnswerBy time.Time
	// Deadline is the time at which the gather fails.
	Deadline time.Time
}

// MaxAttempts returns the greatest number of attempts of a shard, including those that didn't run.
func (p Plan) MaxAttempts() int { return p.Attempts + maxNotRunAttempts }

const (
	// maxNotRunAttempts is the number of attempts of a shard, beyond Plan.Attempts, that may end as not run.
	maxNotRunAttempts = 4
	// hedgeRetryInterval is the time until a denied hedge is tried again.
	hedgeRetryInterval = 10 * time.Millisecond
	// minRetryInterval and maxRetryInterval bound the time until a delayed retry is tried again, which doubles each time: an
	// upstream's short queue ends within some 10 ms, and the budget of a service gains something each tenth of its window.
	minRetryInterval = 10 * time.Millisecond
	maxRetryInterval = 320 * time.Millisecond
	// maxHedgedShare is the maximum share of the shards that have a hedge open at a time. If more are late, the cause isn't a
	// straggler: this instance or the whole index is slow, and hedges would add load.
	maxHedgedShare = 0.34
	// roundingTolerance keeps a coverage that is a whole number of shards from being rounded up to the next one.
	roundingTolerance = 1e-9
	// acceptanceDelay is the time after which an attempt that wasn't shed counts as accepted. Upstreams shed on arrival, so a
	// shed reply takes a round trip between data centres plus the timer latency of both ends.
	acceptanceDelay = 5 * time.Millisecond
)

// Action is what the caller of Next does.
type Action int

const (
	// Wait starts Step.Launch, then waits for a reply, until Step.Until at the latest.
	Wait Action = iota
	// Answer ends the gather with the replies of the covered shards.
	Answer
	// Fail ends the gather without an answer.
	Fail
)

// Reason says why a gather failed.
type Reason string

const (
	// ReasonDeadline says that the deadline passed.
	ReasonDeadline Reason = "deadline"
	// ReasonShards says that too many shards are lost for the minimum coverage.
	ReasonShards Reason = "shards-lost"
)

// AttemptSpec is a further attempt for a shard.
type AttemptSpec struct {
	Shard int
	// Hedge says that another attempt is still open, First that none was made before; otherwise the last one failed.
	Hedge, First bool
	// Delayed says that the attempt was denied before and delayed with Delay.
	Delayed bool
	// AfterShed says that the last attempt was shed. Shortfall is then the number of shards that the answer lacks without such
	// retries; 0 or less says that it doesn't need this one.
	AfterShed bool
	Shortfall int
}

// Step is the next thing to do.
type Step struct {
	Action Action
	// Reason is set with Fail.
	Reason Reason
	// Launch lists the attempts to start; each is followed by a call of Sent, Denied, Delay or Postpone.
	Launch []AttemptSpec
	// Until is the time by which Next must be called again.
	Until time.Time
}

// shard is the state of one shard.
type shard struct {
	covered bool
	// lost says that no further attempt is planned; skipped says that one is possible and left out unless the minimum coverage
	// needs it.
	lost, skipped bool
	// deferred says that the first attempt waits until enough other shards accepted theirs.
	deferred bool
	// shed says that the last attempt was shed.
	shed bool
	open int
	// sentAt is the time of the last attempt.
	sentAt time.Time
	// runs counts the attempts that may have run, sends those that weren't held back by a restriction, attempts all of them.
	runs, sends, attempts int
	hedgeAt               time.Time
	// retryAt is the time of a delayed retry, which was delayed by retryInterval; zero means that there is none.
	retryAt       time.Time
	retryInterval time.Duration
}

// Gather is the state of one request.
type Gather struct {
	plan    Plan
	need    int
	covered int
	lost    int
	shards  []shard
	pending []AttemptSpec
}

// New returns a gather without attempts.
func New(p Plan) *Gather {
	return &Gather{plan: p, need: Need(p.Shards, p.MinCoverage), shards: make([]shard, p.Shards)}
}

// Need returns the number of shards that an answer with a minimum coverage needs, at least 1.
func Need(shards int, minCoverage float64) int {
	need := int(math.Ceil(float64(shards)*minCoverage - roundingTolerance))
	return min(max(need, 1), shards)
}

// Covered returns the number of shards with a reply.
func (g *Gather) Covered() int { return g.covered }

// Need returns the number of shards that an answer needs.
func (g *Gather) Need() int { return g.need }

// IsSkipped reports whether a shard was left out before its first attempt.
func (g *Gather) IsSkipped(i int) bool { return g.shards[i].lost && g.shards[i].attempts == 0 }

// Runs returns the number of attempts that may have run, over all shards.
func (g *Gather) Runs() int {
	n := 0
	for i := range g.shards {
		n += g.shards[i].runs
	}
	return n
}

// Sent records the start of an attempt.
func (g *Gather) Sent(i int, now time.Time) {
	s := &g.shards[i]
	s.open++
	s.runs++
	s.sends++
	s.attempts++
	s.shed, s.sentAt = false, now
	s.retryAt, s.retryInterval = time.Time{}, 0
	if s.attempts == 1 && g.plan.HedgeDelay > 0 && g.plan.Repeatable {
		s.hedgeAt = now.Add(g.plan.HedgeDelay)
	} else {
		s.hedgeAt = time.Time{}
	}
}

// Skip leaves out a shard of which no attempt is open. Next returns an attempt for it once the minimum coverage can't be reached
// without it.
func (g *Gather) Skip(i int) {
	g.shards[i].skipped = true
	g.markLost(&g.shards[i])
}

// Defer delays the first attempt of a shard until enough other shards accepted theirs for the minimum coverage to be likely.
// Otherwise upstreams that shed at random would waste the work of all the other shards.
func (g *Gather) Defer(i int) { g.shards[i].deferred = true }

// IsDeferred reports whether the first attempt of a shard is deferred.
func (g *Gather) IsDeferred(i int) bool { return g.shards[i].deferred }

// startDeferred plans the attempts of the deferred shards once the minimum coverage is likely. While the attempts in flight
// may still be shed, it returns the time of the next check: only then is it known how many retries the answer needs.
func (g *Gather) startDeferred(now time.Time) time.Time {
	deferred, accepted := 0, g.covered
	var recheck time.Time
	for i := range g.shards {
		s := &g.shards[i]
		at := s.sentAt.Add(acceptanceDelay)
		switch {
		case s.covered || s.lost:
		case s.deferred:
			deferred++
		case s.open > 0 && !now.Before(at):
			accepted++
		case s.open > 0 && (recheck.IsZero() || at.Before(recheck)):
			recheck = at
		}
	}
	if deferred == 0 {
		return time.Time{}
	}
	if accepted+deferred < g.need {
		return recheck
	}
	for i := range g.shards {
		if s := &g.shards[i]; s.deferred {
			s.deferred = false
			g.pending = append(g.pending, AttemptSpec{Shard: i, First: true})
		}
	}
	return time.Time{}
}

// takeStartable removes and returns the pending attempts to start now. Those after a shed stay pending while it is undecided
// how many of them the answer needs.
func (g *Gather) takeStartable(undecided bool) []AttemptSpec {
	if !undecided {
		g.setShortfalls()
		startable := g.pending
		g.pending = nil
		return startable
	}
	var startable, remaining []AttemptSpec
	for _, a := range g.pending {
		if a.AfterShed {
			remaining = append(remaining, a)
		} else {
			startable = append(startable, a)
		}
	}
	g.pending = remaining
	return startable
}

// reinstateSkipped plans attempts for skipped shards as far as the minimum coverage can't be reached without them.
func (g *Gather) reinstateSkipped() {
	for i := range g.shards {
		s := &g.shards[i]
		if g.plan.Shards-g.lost >= g.need {
			return
		}
		if s.skipped && s.lost {
			s.skipped, s.lost = false, false
			g.lost--
			g.pending = append(g.pending, AttemptSpec{Shard: i, First: s.attempts == 0, AfterShed: s.shed})
		}
	}
}

// AdjustForSuspension moves the deadline, AnswerBy and the times of hedges earlier by d, the time for which the machine was
// suspended: the monotonic clock doesn't count it.
func (g *Gather) AdjustForSuspension(d time.Duration) {
	g.plan.Deadline = g.plan.Deadline.Add(-d)
	if !g.plan.AnswerBy.IsZero() {
		g.plan.AnswerBy = g.plan.AnswerBy.Add(-d)
	}
	for i := range g.shards {
		s := &g.shards[i]
		if !s.hedgeAt.IsZero() {
			s.hedgeAt = s.hedgeAt.Add(-d)
		}
		if !s.retryAt.IsZero() {
			s.retryAt = s.retryAt.Add(-d)
		}
	}
}

// Denied records that an attempt couldn't be started. A hedge is tried again after hedgeRetryInterval; a shard without another
// open attempt is lost.
func (g *Gather) Denied(i int, now time.Time) {
	s := &g.shards[i]
	if s.open > 0 {
		s.hedgeAt = now.Add(hedgeRetryInterval)
		return
	}
	g.markLost(s)
}

// Delay records that a retry couldn't be started, and that it is worth waiting for. Next returns it again, after a time that
// doubles with each call, until the deadline.
func (g *Gather) Delay(i int, now time.Time) {
	s := &g.shards[i]
	s.retryInterval = min(max(2*s.retryInterval, minRetryInterval), maxRetryInterval)
	s.retryAt = now.Add(s.retryInterval)
}

// Postpone records that a retry which the answer doesn't need wasn't started. Next returns it again once the loss of another
// shard makes it necessary.
func (g *Gather) Postpone(i int) { g.Skip(i) }

// Replied records a reply that covers the shard. It returns false if the shard was covered already.
func (g *Gather) Replied(i int) bool {
	s := &g.shards[i]
	s.open--
	if s.covered {
		return false
	}
	if s.lost {
		s.lost = false
		g.lost--
	}
	s.covered = true
	g.covered++
	return true
}

// Failed records the end of an attempt without a usable reply.
func (g *Gather) Failed(i int, kind carobbend.FailureKind) {
	s := &g.shards[i]
	s.open--
	restricted := kind == carobbend.FailureRestricted
	notRun := kind == carobbend.FailureNotSent || kind == carobbend.FailureShed || kind == carobbend.FailureLeaving || restricted
	if notRun {
		s.runs--
	}
	if restricted {
		s.sends--
	}
	if s.covered || s.lost || s.open > 0 {
		return
	}
	retry := s.runs < g.plan.Attempts && s.attempts < g.plan.MaxAttempts() && (g.plan.Repeatable || s.runs == 0)
	if !retry {
		g.markLost(s)
		return
	}
	s.shed = kind == carobbend.FailureShed
	// The attempt after one that was held back is the first that any upstream gets, so it isn't extra load.
	g.pending = append(g.pending, AttemptSpec{Shard: i, First: s.sends == 0, AfterShed: s.shed})
}

// setShortfalls sets Shortfall on as many pending retries after sheds, in order, as the answer needs for the minimum coverage.
func (g *Gather) setShortfalls() {
	waiting := 0
	for _, a := range g.pending {
		if a.AfterShed {
			waiting++
		}
	}
	if waiting == 0 {
		return
	}
	shortfall := g.need - (g.plan.Shards - g.lost - waiting)
	needed := shortfall
	for i := range g.pending {
		if a := &g.pending[i]; a.AfterShed && needed > 0 {
			a.Shortfall = shortfall
			needed--
		}
	}
}

func (g *Gather) markLost(s *shard) {
	if !s.lost && !s.covered {
		s.lost = true
		g.lost++
	}
}

// hedgedShards returns the number of uncovered shards with more than one open attempt.
func (g *Gather) hedgedShards() int {
	n := 0
	for i := range g.shards {
		if s := &g.shards[i]; !s.covered && s.open > 1 {
			n++
		}
	}
	return n
}

// Next returns what to do now. It is called again once each of the returned attempts was passed to Sent, Denied, Delay or
// Postpone.
func (g *Gather) Next(now time.Time) Step {
	g.reinstateSkipped()
	open := g.plan.Shards - g.covered - g.lost
	switch {
	case open == 0 && g.covered >= g.need:
		return Step{Action: Answer}
	case g.covered >= g.need && !g.plan.AnswerBy.IsZero() && !now.Before(g.plan.AnswerBy):
		return Step{Action: Answer}
	case !now.Before(g.plan.Deadline):
		// The deadline takes precedence over lost shards: if timers fire late, the attempts fail at the same deadline.
		return Step{Action: Fail, Reason: ReasonDeadline}
	case g.covered+open < g.need:
		return Step{Action: Fail, Reason: ReasonShards}
	}
	recheck := g.startDeferred(now)
	step := Step{Action: Wait, Launch: g.takeStartable(!recheck.IsZero()), Until: g.plan.Deadline}
	if !recheck.IsZero() && recheck.Before(step.Until) {
		step.Until = recheck
	}
	if a := g.plan.AnswerBy; !a.IsZero() && now.Before(a) && a.Before(step.Until) {
		step.Until = a
	}
	g.launchDelayed(now, &step)
	hedges := int(math.Ceil(maxHedgedShare*float64(g.plan.Shards))) - g.hedgedShards()
	for i := range g.shards {
		s := &g.shards[i]
		if s.covered || s.lost || s.open != 1 || s.hedgeAt.IsZero() || s.runs >= g.plan.Attempts {
			continue
		}
		if !now.Before(s.hedgeAt) && hedges <= 0 {
			s.hedgeAt = now.Add(hedgeRetryInterval)
		}
		if !now.Before(s.hedgeAt) {
			hedges--
			step.Launch = append(step.Launch, AttemptSpec{Shard: i, Hedge: true})
		} else if s.hedgeAt.Before(step.Until) {
			step.Until = s.hedgeAt
		}
	}
	return step
}

// launchDelayed adds the delayed retries that are due to the step, or lowers its Until to the time of the first one.
func (g *Gather) launchDelayed(now time.Time, step *Step) {
	for i := range g.shards {
		s := &g.shards[i]
		switch {
		case s.retryAt.IsZero() || s.covered || s.lost || s.open > 0:
		case !now.Before(s.retryAt):
			step.Launch = append(step.Launch, AttemptSpec{Shard: i, Delayed: true})
		case s.retryAt.Before(step.Until):
			step.Until = s.retryAt
		}
	}
}
