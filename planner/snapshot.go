package planner

import (
	"slices"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/combiner"
)

// fullCoverage is the wanted coverage in percent if no rules are configured.
const fullCoverage = 100

// triedCapacity is the number of attempts per shard for which shard.tried needs no further allocation.
const triedCapacity = 3

// chooseLayout returns the newest layout with the wanted coverage. If there is none, it returns the layout with the
// greatest coverage, and the newest of several. Layouts must be sorted newest first; that of the excluded snapshot is
// skipped.
func (p *Planner) chooseLayout(layouts []carobbend.Layout, excluded carobbend.SnapshotID) (carobbend.Layout, bool) {
	wanted := float64(fullCoverage)
	if p.cfg.Rules != nil {
		wanted = p.cfg.Rules.Coverage(p.cfg.Query.Index)
	}
	var best carobbend.Layout
	bestCoverage := 0.0
	for _, l := range layouts {
		if l.Snapshot == excluded || l.Snapshot == 0 || l.Shards() == 0 {
			continue
		}
		c := coverage(l.Available(), l.Shards())
		if c > 0 && c >= wanted {
			return l, true
		}
		if c > bestCoverage {
			best, bestCoverage = l, c
		}
	}
	return best, bestCoverage > 0
}

// coverage returns the covered share of the shards in percent.
func coverage(covered, total int) float64 {
	return float64(covered) * fullCoverage / float64(total)
}

// startPlan pins the snapshot of a layout and sends the primary requests to all its shards.
func (p *Planner) startPlan(now time.Time, l carobbend.Layout) {
	n := l.Shards()
	p.combiner = combiner.New(p.cfg.Query.Index, l.Snapshot, n, p.limit)
	p.shards = make([]shard, n)
	p.pendingShards = n
	p.attempts = slices.Grow(p.attempts, n+n/8+1)
	p.effects.Sends = slices.Grow(p.effects.Sends, n)
	tried := make([]carobbend.UpstreamID, n*triedCapacity)
	for i := range p.shards {
		p.shards[i] = shard{
			replicas: l.Replicas[i], tried: tried[i*triedCapacity : i*triedCapacity : (i+1)*triedCapacity],
			wakeAt: never, lastAttempt: -1,
		}
		if len(l.Replicas[i]) == 0 {
			p.markMissing(i)
			continue
		}
		p.sendPrimary(now, i)
	}
}

// snapshotGone reports whether no replica is left that may hold the pinned snapshot and accept a request for the shard.
func (p *Planner) snapshotGone(i int) bool {
	s := &p.shards[i]
	if int(s.replicasWithoutSnapshot) >= len(s.replicas) {
		return true
	}
	// The budget may not permit a request to every replica, but the catalog also reflects the replies to other requests.
	for _, l := range p.cfg.Catalog.Layouts(p.cfg.Query.Index) {
		if l.Snapshot == p.combiner.Snapshot() {
			return l.Shards() != len(p.shards) || len(p.without(l.Replicas[i], s.excluded, nil)) == 0
		}
	}
	return true
}

// replan cancels all attempts and starts a plan on another snapshot, if enough time is left and that snapshot covers more
// than the pinned one still can. It does so at most once, since markMissing requests no replan after the first one.
func (p *Planner) replan(now time.Time) {
	if p.finishAt-p.elapsed < max(minReplanTime, p.hedgeDelay) {
		return
	}
	l, ok := p.chooseLayout(p.cfg.Catalog.Layouts(p.cfg.Query.Index), p.combiner.Snapshot())
	possible := p.pendingShards + p.combiner.Covered()
	if !ok || coverage(l.Available(), l.Shards()) <= coverage(possible, len(p.shards)) {
		return
	}
	for n := range p.attempts {
		p.cancelAttempt(n)
	}
	p.stats.Replans++
	p.plan++
	p.nextTimer = p.finishAt
	p.startPlan(now, l)
}
