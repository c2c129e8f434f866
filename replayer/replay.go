package replayer

import (
	"fmt"
	"slices"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/planner"
)

// maxTimers bounds the timers that a replay fires itself, so that a faulty planner can't make it run forever.
const maxTimers = 100_000

// Result is the result of a replay.
type Result struct {
	// Name is the file name of the trace.
	Name string
	// Answer is the answer of the planner, or nil where it gave none.
	Answer *carobbend.Answer
	// At is the time of the answer since the start of the query.
	At    time.Duration
	Stats planner.Stats
	// Differences describes each difference between the replay and the trace.
	Differences []string
}

// Match reports whether the replay equals the trace.
func (r *Result) Match() bool { return len(r.Differences) == 0 }

func (r *Result) addDifference(format string, args ...any) {
	r.Differences = append(r.Differences, fmt.Sprintf(format, args...))
}

// ReplayFile loads and replays a trace; its errors are those of Load.
func ReplayFile(file string) (*Result, error) {
	t, err := Load(file)
	if err != nil {
		return nil, err
	}
	return t.Replay(), nil
}

// stateMachine is a planner or a Recorder around one.
type stateMachine interface {
	Handle(now time.Time, ev planner.Event) *planner.Effects
	NextTimer() time.Time
	Stats() planner.Stats
}

// replay is a replay in progress.
type replay struct {
	trace    *Trace
	policies *tracePolicies
	planner  stateMachine
	// epoch is the start of the query on the clock of the replay.
	epoch       time.Time
	sends       []sendLine
	requests    []carobbend.ShardRequest
	result      *Result
	timersFired int
}

// Replay runs the trace through a new planner and compares the outcome with that of the trace, as well as the requests
// where the trace states them.
func (t *Trace) Replay() *Result {
	return t.replay(func(cfg planner.Config) stateMachine { return planner.New(cfg) })
}

func (t *Trace) replay(newStateMachine func(planner.Config) stateMachine) *Result {
	r := &replay{trace: t, epoch: time.Unix(0, 0).UTC(), result: &Result{Name: t.name}}
	r.policies = &tracePolicies{}
	r.planner = newStateMachine(r.config())
	for _, s := range t.steps {
		if s.catalog != nil {
			r.runTimers(time.Duration(s.catalog.At))
			r.setCatalog(s.catalog)
			continue
		}
		r.runTimers(time.Duration(s.event.At))
		r.handleEvent(s)
	}
	for r.result.Answer == nil && r.runTimer(maxDuration) {
	}
	r.result.Stats = r.planner.Stats()
	r.compare()
	return r.result
}

const maxDuration = time.Duration(1<<63 - 1)

func (r *replay) config() planner.Config {
	t := r.trace
	cfg := planner.Config{
		Query:   carobbend.Query{ID: t.query.ID, Index: t.query.Index, Limit: t.query.Limit},
		Catalog: r.policies, Balancer: r.policies, Seed: t.policies.Seed,
	}
	if t.query.Deadline != nil {
		cfg.Query.Deadline = r.epoch.Add(time.Duration(*t.query.Deadline))
	}
	if t.policies.HedgeDelay != nil {
		r.policies.delay = time.Duration(*t.policies.HedgeDelay)
		cfg.Hedger = r.policies
	}
	if t.policies.Tokens != nil {
		r.policies.tokens = *t.policies.Tokens
		cfg.Budget = r.policies
	}
	if t.rules != nil {
		cfg.Rules = traceRules{*t.rules}
	}
	return cfg
}

func (r *replay) setCatalog(l *catalogLine) {
	layouts := make([]carobbend.Layout, 0, len(l.Layouts))
	for _, v := range l.Layouts {
		layouts = append(layouts, carobbend.Layout{Index: r.trace.query.Index, Snapshot: v.Snapshot, Replicas: v.Replicas})
	}
	r.policies.layouts = layouts
}

// runTimers fires the timers that are due before at, unless the trace records its timer events.
func (r *replay) runTimers(at time.Duration) {
	for !r.trace.recorded && r.runTimer(at) {
	}
}

// runTimer fires the next timer if it is due before at, and reports whether it did.
func (r *replay) runTimer(at time.Duration) bool {
	timer := r.planner.NextTimer()
	if timer.IsZero() || timer.Sub(r.epoch) >= at || r.timersFired >= maxTimers {
		return false
	}
	r.timersFired++
	r.handle(timer.Sub(r.epoch), planner.Event{Kind: planner.EventTimer})
	return true
}

func (r *replay) handleEvent(s step) {
	d := s.event.decisions
	if r.trace.recorded {
		// Without decisions on its line, a recorded event had none: an empty list, unlike nil, allows no defaults.
		d.Picks, d.Spends = append([]carobbend.UpstreamID{}, d.Picks...), append([]bool{}, d.Spends...)
	}
	r.policies.setDecisions(d)
	r.handle(time.Duration(s.event.At), r.plannerEvent(s.event))
	if unused := r.policies.setDecisions(decisions{}); unused > 0 {
		r.result.addDifference("line %d: %d recorded decisions were not used", s.line, unused)
	}
	if r.policies.missingDecisions > 0 {
		r.result.addDifference("line %d: %d requested decisions were not recorded", s.line, r.policies.missingDecisions)
	}
	if r.policies.invalidPicks > 0 {
		r.result.addDifference("line %d: %d recorded picks are not candidates", s.line, r.policies.invalidPicks)
	}
	r.policies.missingDecisions, r.policies.invalidPicks = 0, 0
}

func (r *replay) plannerEvent(l *eventLine) planner.Event {
	switch l.Kind {
	case kindStart:
		return planner.Event{Kind: planner.EventStart}
	case kindTimer:
		return planner.Event{Kind: planner.EventTimer}
	case kindCancel:
		return planner.Event{Kind: planner.EventCancel}
	case kindFailure:
		return planner.Event{Kind: planner.EventFailure, Attempt: *l.Attempt, Failure: l.Failure}
	default:
		return planner.Event{Kind: planner.EventReply, Attempt: *l.Attempt, Reply: r.shardReply(l)}
	}
}

// shardReply returns the reply of a line; ID and shard reference default to those of the request.
func (r *replay) shardReply(l *eventLine) carobbend.ShardReply {
	reply := carobbend.ShardReply{Load: -1, Leaving: l.Leaving}
	if n := *l.Attempt; n >= 0 && n < len(r.requests) {
		reply.ID, reply.Ref = r.requests[n].ID, r.requests[n].Ref
	}
	override(&reply.ID, l.ID)
	override(&reply.Ref.Snapshot, l.Snapshot)
	override(&reply.Ref.Shard, l.Shard)
	override(&reply.Ref.Shards, l.Shards)
	for _, it := range l.Items {
		reply.Items = append(reply.Items, carobbend.Item{Key: it.Key, Score: it.Score})
	}
	return reply
}

// override sets *v to *value if value isn't nil.
func override[T any](v, value *T) {
	if value != nil {
		*v = *value
	}
}

func (r *replay) handle(at time.Duration, ev planner.Event) {
	fx := r.planner.Handle(r.epoch.Add(at), ev)
	for _, s := range fx.Sends {
		r.requests = append(r.requests, s.Request)
		r.sends = append(r.sends, newSendLine(at, s))
	}
	if fx.Answer != nil {
		r.result.Answer, r.result.At = fx.Answer, at
	}
}

func newSendLine(at time.Duration, s planner.Send) sendLine {
	return sendLine{
		lineHeader: lineHeader{Kind: kindSend, At: duration(at)}, Attempt: s.Attempt, Shard: s.Request.Ref.Shard,
		Upstream: s.Upstream, Cause: s.Cause.String(),
	}
}

func (r *replay) compare() {
	if r.result.Answer == nil {
		r.result.addDifference("the planner gave no answer")
		return
	}
	got, want := newOutcomeLine(r.result.At, r.result.Answer, r.result.Stats), r.trace.outcome
	compareValue(r.result, "at", time.Duration(got.At), time.Duration(want.At))
	compareValue(r.result, "outcome", got.Outcome, want.Outcome)
	compareValue(r.result, "snapshot", got.Snapshot, want.Snapshot)
	compareValue(r.result, "covered", got.Covered, want.Covered)
	compareValue(r.result, "total", got.Total, want.Total)
	compareValue(r.result, "hedges", got.Hedges, want.Hedges)
	compareValue(r.result, "retries", got.Retries, want.Retries)
	compareValue(r.result, "late", got.Late, want.Late)
	compareValue(r.result, "crossed", got.Crossed, want.Crossed)
	compareValue(r.result, "replans", got.Replans, want.Replans)
	compareValue(r.result, "rules-version", got.RulesVersion, want.RulesVersion)
	compareList(r.result, "missing", got.Missing, want.Missing)
	compareList(r.result, "items", got.Items, want.Items)
	if r.trace.sends != nil {
		compareList(r.result, "sends", r.sends, r.trace.sends)
	}
}

func compareValue[T comparable](r *Result, key string, got, want T) {
	if got != want {
		r.addDifference("%s: got %v, want %v", key, got, want)
	}
}

func compareList[T comparable](r *Result, key string, got, want []T) {
	if !slices.Equal(got, want) {
		r.addDifference("%s: got %v, want %v", key, got, want)
	}
}

func newOutcomeLine(at time.Duration, ans *carobbend.Answer, st planner.Stats) outcomeLine {
	l := outcomeLine{
		lineHeader: lineHeader{Kind: kindOutcome, At: duration(at)}, Outcome: ans.Outcome, Snapshot: ans.Snapshot,
		Covered: ans.Covered, Total: ans.Total, Missing: ans.Missing, Hedges: st.Hedges, Retries: st.Retries,
		Late: st.Late, Crossed: st.Mismatched, Replans: st.Replans, RulesVersion: ans.RulesVersion,
	}
	for _, it := range ans.Items {
		l.Items = append(l.Items, it.Key)
	}
	return l
}
