package replayer

import (
	"slices"
	"time"

	"carobbend.example/carobbend"
)

// policies answers the planner from a trace.
type policies struct {
	layouts []carobbend.Layout
	tokens  float64
	delay   time.Duration
	// current holds the recorded decisions of the current event.
	current decisions
	// short counts decisions that the planner asked for and the trace doesn't hold.
	short int
	// foreign counts recorded picks that were no candidates.
	foreign int
}

var (
	_ carobbend.Catalog  = (*policies)(nil)
	_ carobbend.Balancer = (*policies)(nil)
	_ carobbend.Hedger   = (*policies)(nil)
	_ carobbend.Budget   = (*policies)(nil)
)

// use takes the decisions of the next event and returns how many of the last one were left.
func (p *policies) use(d decisions) int {
	left := len(p.current.Picks) + len(p.current.Spends)
	p.current = d
	if d.Delay != nil {
		p.delay = time.Duration(*d.Delay)
	}
	return left
}

// next takes the first recorded decision; recorded is false where the event states none.
func next[T any](p *policies, list *[]T) (v T, recorded bool) {
	if *list == nil {
		return v, false
	}
	if len(*list) == 0 {
		p.short++
		return v, true
	}
	v, *list = (*list)[0], (*list)[1:]
	return v, true
}

// Layouts implements carobbend.Catalog.
func (p *policies) Layouts(string) []carobbend.Layout { return p.layouts }

// Pick implements carobbend.Balancer.
func (p *policies) Pick(_ time.Time, candidates, avoid []carobbend.UpstreamID) (carobbend.UpstreamID, bool) {
	if id, recorded := next(p, &p.current.Picks); recorded {
		if id != "" && !slices.Contains(candidates, id) {
			p.foreign++
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
func (p *policies) Sent(time.Time, carobbend.UpstreamID) {}

// Finished implements carobbend.Balancer.
func (p *policies) Finished(time.Time, carobbend.UpstreamID, time.Duration, carobbend.FailureKind, float64) {
}

// Leaving implements carobbend.Balancer.
func (p *policies) Leaving(time.Time, carobbend.UpstreamID, bool) {}

// Delay implements carobbend.Hedger.
func (p *policies) Delay(string) time.Duration { return p.delay }

// Observe implements carobbend.Hedger.
func (p *policies) Observe(string, time.Duration) {}

// Earn implements carobbend.Budget.
func (p *policies) Earn(_ string, n int, percent float64) { p.tokens += float64(n) * percent / 100 }

// Spend implements carobbend.Budget.
func (p *policies) Spend(string) bool {
	if ok, recorded := next(p, &p.current.Spends); recorded {
		return ok
	}
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// rules answers from a rules line.
type rules struct{ line rulesLine }

var _ carobbend.Rules = rules{}

// Version implements carobbend.Rules.
func (r rules) Version() uint64 { return r.line.Version }

// Class implements carobbend.Rules.
func (r rules) Class(string, string) carobbend.Class { return carobbend.ClassOrdinary }

// Deadline implements carobbend.Rules.
func (r rules) Deadline(string) time.Duration { return time.Duration(r.line.Deadline) }

// ExtraLoad implements carobbend.Rules.
func (r rules) ExtraLoad(string) float64 { return r.line.ExtraLoad }

// Coverage implements carobbend.Rules.
func (r rules) Coverage(string) float64 {
	if r.line.Coverage == nil {
		return 100
	}
	return *r.line.Coverage
}

// Share implements carobbend.Rules.
func (r rules) Share(string) int { return 1 }

// AtMostOnce implements carobbend.Rules.
func (r rules) AtMostOnce(string) bool { return false }
