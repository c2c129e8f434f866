package hedger

import (
	"sync"
	"time"
)

const (
	// grantRaise and grantCut change the limit where the allowance had room and where it was used up.
	grantRaise = 0.02
	grantCut   = 0.25
	// grantRoom is the part of an allowance up to which it has room.
	grantRoom = 0.75
	// sparePart is the part of an allowance that retries may use which the answer doesn't need.
	sparePart = 0.5
)

// Grants chooses the queries that are worth extra requests while not all of them can be completed: those that lack the fewest
// shards. A retry that goes to a query which isn't completed in the end is lost, so the limit follows the room in the
// allowance. The zero value grants queries that lack one shard; a Grants is safe for concurrent use.
type Grants struct {
	mu sync.Mutex
	// more is the number of shards beyond one that a query may lack.
	more float64
}

// Grant is the right of one query to retries. The zero value holds none yet.
type Grant struct{ held bool }

// Spend takes a retry to a service from its allowance, for a query that lacks so many shards without it; 0 or less says that the
// answer doesn't need it. A query that was granted a retry keeps its place, so that what was spent on it isn't lost.
func (g *Grants) Spend(now time.Time, a *Allowance, q *Grant, service string, lack int) bool {
	if lack <= 0 {
		_, ok := a.SpendWithin(now, service, sparePart)
		return ok
	}
	if !q.held && !g.allow(lack) {
		return false
	}
	used, ok := a.SpendWithin(now, service, 1)
	g.spent(used, ok)
	q.held = q.held || ok
	return ok
}

// allow reports whether a query that lacks so many shards may use extra requests.
func (g *Grants) allow(lack int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return float64(lack-1) <= g.more
}

// spent records an extra request that used the allowance up to a part of it, from 0 to 1, or that was denied.
func (g *Grants) spent(used float64, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !ok:
		g.more = max(g.more-grantCut, 0)
	case used <= grantRoom:
		g.more += grantRaise
	}
}
