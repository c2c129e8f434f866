package planner

import (
	"slices"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/combiner"
)

// fullCoverage is the wanted coverage in percent where no rule says otherwise.
const fullCoverage = 100

// triedCapacity is the number of replicas of a shard that can be asked without a further allocation.
const triedCapacity = 3

// choose returns the newest layout with the wanted coverage, or else the one with the greatest coverage, newest
// first. The layout of the snapshot not is left out.
func (p *Planner) choose(layouts []carobbend.Layout, not carobbend.SnapshotID) (carobbend.Layout, bool) {
	wanted := float64(fullCoverage)
	if p.cfg.Rules != nil {
		wanted = p.cfg.Rules.Coverage(p.cfg.Query.Index)
	}
	var best carobbend.Layout
	bestCoverage := 0.0
	for _, l := range layouts {
		if l.Snapshot == not || l.Snapshot == 0 || l.Shards() == 0 {
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

func coverage(covered, total int) float64 {
	return float64(covered) * fullCoverage / float64(total)
}

// begin pins the snapshot of a layout and requests all its shards.
func (p *Planner) begin(now time.Time, l carobbend.Layout) {
	n := l.Shards()
	p.combiner = combiner.New(p.cfg.Query.Index, l.Snapshot, n, p.limit)
	p.shards = make([]shard, n)
	p.pending = n
	p.attempts = slices.Grow(p.attempts, n+n/8+1)
	p.effects.Sends = slices.Grow(p.effects.Sends, n)
	tried := make([]carobbend.UpstreamID, n*triedCapacity)
	for i := range p.shards {
		p.shards[i] = shard{
			replicas: l.Replicas[i], tried: tried[i*triedCapacity : i*triedCapacity : (i+1)*triedCapacity],
			wake: never, newest: -1,
		}
		if len(l.Replicas[i]) == 0 {
			p.miss(i)
			continue
		}
		p.primary(now, i)
	}
}

// gone reports whether a shard has no replica left that may hold the pinned snapshot.
func (p *Planner) gone(i int) bool {
	s := &p.shards[i]
	if int(s.gone) >= len(s.replicas) {
		return true
	}
	// The budget may not allow to ask every replica; the catalog has learned from the replies to other requests.
	for _, l := range p.cfg.Catalog.Layouts(p.cfg.Query.Index) {
		if l.Snapshot == p.combiner.Snapshot() {
			return l.Shards() != len(p.shards) || len(p.without(l.Replicas[i], s.barred, nil)) == 0
		}
	}
	return true
}

// replan starts over on another snapshot if the deadline allows and if it covers more than the pinned one still can.
// It starts over once at most, since a shard that is missed afterwards doesn't ask for it.
func (p *Planner) replan(now time.Time) {
	if p.finishAt-p.now < max(minReplanTime, p.delay) {
		return
	}
	l, ok := p.choose(p.cfg.Catalog.Layouts(p.cfg.Query.Index), p.combiner.Snapshot())
	possible := p.pending + p.combiner.Covered()
	if !ok || coverage(l.Available(), l.Shards()) <= coverage(possible, len(p.shards)) {
		return
	}
	for n := range p.attempts {
		p.cancel(n)
	}
	p.stats.Replans++
	p.plan++
	p.next = p.finishAt
	p.begin(now, l)
}
