package planner

import (
	"carobbend.example/carobbend"
	"carobbend.example/carobbend/asserter"
)

// finish emits the answer and cancels all attempts in flight.
func (p *Planner) finish(detail string) {
	p.done = true
	q := &p.cfg.Query
	ans := &carobbend.Answer{QueryID: q.ID, Index: q.Index, Items: []carobbend.Item{}}
	if p.cfg.Rules != nil {
		ans.RulesVersion = p.cfg.Rules.Version()
	}
	p.effects.Answer = ans
	if len(p.attempts) == 0 {
		ans.Outcome, ans.Detail = carobbend.OutcomeNotRun, detail
		if detail == "" {
			ans.Detail = "no shard has a replica"
		}
	} else {
		p.fillAnswer(ans, detail)
	}
	p.checkInvariants(ans)
	for n := range p.attempts {
		p.cancelAttempt(n)
	}
}

// fillAnswer sets the items, the coverage and the outcome of the answer from the replies accepted so far.
func (p *Planner) fillAnswer(ans *carobbend.Answer, detail string) {
	for i := range p.shards {
		if s := &p.shards[i]; s.state == shardPending {
			p.combiner.MarkMissing(i, s.reason())
		}
	}
	ans.Snapshot = p.combiner.Snapshot()
	ans.Covered, ans.Total = p.combiner.Covered(), p.combiner.Total()
	ans.Missing, ans.Items = p.combiner.Missing(), p.combiner.Items()
	ans.Outcome, ans.Detail = carobbend.OutcomeComplete, ""
	if ans.Covered < ans.Total {
		ans.Outcome, ans.Detail = carobbend.OutcomePartial, detail
	}
}

// checkInvariants asserts that the answer matches the planner's own counts of covered shards and sent requests.
func (p *Planner) checkInvariants(ans *carobbend.Answer) {
	covered := 0
	for i := range p.shards {
		if p.shards[i].state == shardCovered {
			covered++
		}
	}
	if ans.Outcome == carobbend.OutcomeNotRun {
		sent := p.stats.Primaries + p.stats.Hedges + p.stats.Retries
		asserter.Check(sent == 0, asserter.NotRun, "query", ans.QueryID, "sent", sent)
		return
	}
	asserter.Check(ans.Covered == covered && ans.Covered+len(ans.Missing) == ans.Total, asserter.Coverage,
		"query", ans.QueryID, "covered", ans.Covered, "accepted", covered, "total", ans.Total)
	asserter.Check(ans.Snapshot != 0 && ans.Snapshot == p.Snapshot() && ans.Total == len(p.shards), asserter.Snapshot,
		"query", ans.QueryID, "snapshot", ans.Snapshot)
	extra := p.stats.Hedges + p.stats.Retries
	asserter.Check(extra <= p.withdrawals, asserter.ExtraLoad, "query", ans.QueryID, "extra", extra, "paid", p.withdrawals)
}
