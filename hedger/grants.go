package hedger

import "sync"

const (
	// grantRaise and grantCut change the limit where the allowance had room and where it was used up.
	grantRaise = 0.02
	grantCut   = 0.25
	// grantRoom is the part of an allowance up to which it has room.
	grantRoom = 0.75
)

// Grants chooses the queries that are worth extra requests while not all of them can be completed: those that lack the fewest
// shards. A retry that goes to a query which isn't completed in the end is lost, so the limit follows the room in the
// allowance. The zero value grants queries that lack one shard; a Grants is safe for concurrent use.
type Grants struct {
	mu sync.Mutex
	// more is the number of shards beyond one that a query may lack.
	more float64
}

// Allow reports whether a query that lacks so many shards may use extra requests.
func (g *Grants) Allow(lack int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return float64(lack-1) <= g.more
}

// Spent records an extra request that used the allowance up to a part of it, from 0 to 1, or that was denied.
func (g *Grants) Spent(used float64, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !ok:
		g.more = max(g.more-grantCut, 0)
	case used <= grantRoom:
		g.more += grantRaise
	}
}
