package gatherer

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// probeEvery is the time after which a query is admitted whatever is expected. Without it, expectations that were learned
// in bad times would stay: nothing would be asked that could correct them.
const probeEvery = 50 * time.Millisecond

// Gate decides whether the queries of a route start, and without which shards. The zero value is ready to use; it is
// safe for concurrent use.
type Gate struct {
	mu       sync.Mutex
	admitted time.Time
}

// Admit returns the shards to leave out, worst first: those that are expected to take longer than there is time left, as
// far as the least coverage allows. Asking them would only add to the queues that make them late. It returns false where
// more shards are late, so that the query can't be answered in time.
func (g *Gate) Admit(now time.Time, expected []time.Duration, left time.Duration, need int) (skip []int, ok bool) {
	for i, d := range expected {
		if d > left {
			skip = append(skip, i)
		}
	}
	spare := len(expected) - need
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(skip) > spare && now.Sub(g.admitted) < probeEvery {
		return nil, false
	}
	g.admitted = now
	slices.SortFunc(skip, func(a, b int) int { return cmp.Compare(expected[b], expected[a]) })
	return skip[:min(len(skip), spare)], true
}
