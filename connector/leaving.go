package connector

import (
	"sync"
	"time"

	"carobbend.example/carobbend"
)

// leavingState combines the state that an upstream reports with that of the instance list: the upstream is leaving if
// either says so.
type leavingState struct {
	mu       sync.Mutex
	reported bool
	listed   bool
}

// set updates one of the sources. It returns the combined state and whether that changed.
func (l *leavingState) set(source *bool, leaving bool) (now, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.reported || l.listed
	*source = leaving
	now = l.reported || l.listed
	return now, now != before
}

// SetListedLeaving sets the upstreams that the platform's instance list marks as leaving; it clears the mark of all others.
func (c *Connector) SetListedLeaving(now time.Time, leaving map[carobbend.UpstreamID]bool) {
	for id, p := range c.pools {
		p.updateLeaving(now, &p.leaving.listed, leaving[id], "instance-list")
	}
}

// setReportedLeaving sets the state that the upstream reported in its status or in a reply.
func (p *pool) setReportedLeaving(now time.Time, leaving bool) {
	p.updateLeaving(now, &p.leaving.reported, leaving, "upstream")
}

func (p *pool) updateLeaving(now time.Time, source *bool, leaving bool, name string) {
	state, changed := p.leaving.set(source, leaving)
	if !changed {
		return
	}
	p.c.log.Info("upstream leaving state changed", "upstream", p.up.ID, "leaving", state, "source", name)
	p.c.leaving(now, p.up.ID, state)
}
