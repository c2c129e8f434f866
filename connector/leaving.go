package connector

import (
	"sync"
	"time"

	"carobbend.example/carobbend"
)

// leavingState joins what an upstream states of itself with what the instance list says: it is leaving if either
// says so, and back if neither does.
type leavingState struct {
	mu     sync.Mutex
	stated bool
	listed bool
}

// set changes one of the sources and reports whether the joined state changed, and to what.
func (l *leavingState) set(source *bool, leaving bool) (now, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.stated || l.listed
	*source = leaving
	now = l.stated || l.listed
	return now, now != before
}

// SetListed takes the upstreams that the platform's instance list marks as leaving; the others count as not marked.
func (c *Connector) SetListed(now time.Time, leaving map[carobbend.UpstreamID]bool) {
	for id, p := range c.pools {
		p.tell(now, &p.leaving.listed, leaving[id], "instance-list")
	}
}

// stateLeaving takes what the upstream stated in its status or in a reply.
func (p *pool) stateLeaving(now time.Time, leaving bool) {
	p.tell(now, &p.leaving.stated, leaving, "upstream")
}

func (p *pool) tell(now time.Time, source *bool, leaving bool, name string) {
	state, changed := p.leaving.set(source, leaving)
	if !changed {
		return
	}
	p.c.log.Info("upstream state changed", "upstream", p.up.ID, "leaving", state, "source", name)
	p.c.leaving(now, p.up.ID, state)
}
