package scatterer

import (
	"sync"
	"time"

	"carobbend.example/carobbend/retainer"
	"carobbend.example/carobbend/router"
)

const (
	// meanWeight is the minimum weight of an observation in the mean latency of a route.
	meanWeight = 0.002
	// initialMeanPart is the part of the latency target that is assumed as the mean before the first observation.
	initialMeanPart = 0.15
	// maxShardMean bounds the mean over all routes: an overload must not raise it so far that every queue seems too long.
	maxShardMean = 40 * time.Millisecond
	// defaultMean is the mean assumed for routes without a latency target, and over all routes before the first observation.
	defaultMean = 20 * time.Millisecond
)

// latencies holds the mean latency of a single attempt for each route, which makes attempts of different routes at one
// upstream comparable. The zero value is empty.
type latencies struct {
	mu     sync.Mutex
	routes retainer.Map[string, latencyMean]
	// shards is the mean latency over the attempts of all routes with shards; 0 means that none was observed.
	shards float64
}

type latencyMean struct {
	n    int
	mean float64
}

// routeMean returns the mean latency of a route's attempts.
func (l *latencies) routeMean(r *router.Route) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u := l.routes.Get(r.Name); u != nil && u.n > 0 {
		return time.Duration(u.mean)
	}
	if r.Target > 0 {
		return time.Duration(initialMeanPart * float64(r.Target))
	}
	return defaultMean
}

// shardMean returns the mean latency of an attempt at a shard over all routes, bounded by maxShardMean.
func (l *latencies) shardMean() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shards == 0 {
		return defaultMean
	}
	return min(time.Duration(l.shards), maxShardMean)
}

// retain drops the means of routes for which keep returns false.
func (l *latencies) retain(keep func(route string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.routes.Retain(func(route string, _ *latencyMean) bool { return keep(route) })
}

// observe records the latency of a successful attempt.
func (l *latencies) observe(r *router.Route, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.routes.Ensure(r.Name)
	u.n++
	if len(r.Shards) > 0 {
		if l.shards == 0 {
			l.shards = float64(latency)
		}
		l.shards += meanWeight * (float64(latency) - l.shards)
	}
	u.mean += max(meanWeight, 1/float64(u.n)) * (float64(latency) - u.mean)
}
