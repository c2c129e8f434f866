package replayer

import (
	"slices"
	"time"

	"carobbend.example/carobbend"
)

// tracePolicies implements the planner's catalog, balancer, hedger and budget from the data of a trace.
type tracePolicies struct {
	layouts []carobbend.Layout
	tokens  float64
	delay   time.Duration
	// current holds the recorded decisions of the current event.
	current decisions
	// missingDecisions counts decisions that the planner requested but the trace doesn't state.
	missingDecisions int
	// invalidPicks counts recorded picks that were not among the candidates.
	invalidPicks int
}

var (
	_ carobbend.Catalog  = (*tracePolicies)(nil)
	_ carobbend.Balancer = (*tracePolicies)(nil)
	_ carobbend.Hedger   = (*tracePolicies)(nil)
	_ carobbend.Budget   = (*tracePolicies)(nil)
)

// setDecisions sets the recorded decisions of the next event and returns how many of the previous event the planner
// didn't use.
func (p *tracePolicies) setDecisions(d decisions) int {
	unused := len(p.current.Picks) + len(p.current.Spends)
	p.current = d
	if d.Delay != nil {
		p.delay = time.Duration(*d.Delay)
	}
	return unused
}

// nextDecision consumes the first recorded decision of a list. recorded is false if the event states none; if all are
// consumed, it counts a missing decision and returns the zero value.
func nextDecision[T any](p *tracePolicies, list *[]T) (v T, recorded bool) {
	if *list == nil {
		return v, false
	}
	if len(*list) == 0 {
		p.missingDecisions++
		return v, true
	}
	v, *list = (*list)[0], (*list)[1:]
	return v, true
}

// Layouts implements carobbend.Catalog.
func (p *tracePolicies) Layouts(string) []carobbend.Layout { return p.layouts }

// Pick implements carobbend.Balancer.
func (p *tracePolicies) Pick(_ time.Time, candidates, avoid []carobbend.UpstreamID) (carobbend.UpstreamID, bool) {
	if id, recorded := nextDecision(p, &p.current.Picks); recorded {
		if id != "" && !slices.Contains(candidates, id) {
			p.invalidPicks++
		}
		return id, id != ""
	}
	for _, id := range candidates {
		if !slices.Contains(avoid, id) {
			return id, true
		}
	}
	return candidates[0], true
}

// Sent implements carobbend.Balancer.
func (p *tracePolicies) Sent(time.Time, carobbend.UpstreamID) {}

// Finished implements carobbend.Balancer.
func (p *tracePolicies) Finished(time.Time, carobbend.UpstreamID, time.Duration, carobbend.FailureKind, float64) {
}

// SetLeaving implements carobbend.Balancer.
func (p *tracePolicies) SetLeaving(time.Time, carobbend.UpstreamID, bool) {}

// Delay implements carobbend.Hedger.
func (p *tracePolicies) Delay(string) time.Duration { return p.delay }

// Observe implements carobbend.Hedger.
func (p *tracePolicies) Observe(string, time.Duration) {}

// Deposit implements carobbend.Budget.
func (p *tracePolicies) Deposit(_ string, n int, percent float64) {
	p.tokens += float64(n) * percent / 100
}

// TryWithdraw implements carobbend.Budget.
func (p *tracePolicies) TryWithdraw(string) bool {
	if ok, recorded := nextDecision(p, &p.current.Spends); recorded {
		return ok
	}
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// traceRules implements carobbend.Rules from the rules line of a trace.
type traceRules struct{ line rulesLine }

var _ carobbend.Rules = traceRules{}

// Version implements carobbend.Rules.
func (r traceRules) Version() uint64 { return r.line.Version }

// Class implements carobbend.Rules.
func (r traceRules) Class(string, string) carobbend.Class { return carobbend.ClassOrdinary }

// Deadline implements carobbend.Rules.
func (r traceRules) Deadline(string) time.Duration { return time.Duration(r.line.Deadline) }

// ExtraLoad implements carobbend.Rules.
func (r traceRules) ExtraLoad(string) float64 { return r.line.ExtraLoad }

// Coverage implements carobbend.Rules.
func (r traceRules) Coverage(string) float64 {
	if r.line.Coverage == nil {
		return 100
	}
	return *r.line.Coverage
}

// Share implements carobbend.Rules.
func (r traceRules) Share(string) int { return 1 }

// AtMostOnce implements carobbend.Rules.
func (r traceRules) AtMostOnce(string) bool { return false }
