package limiter

// connsInUse is the share of an upstream's connection limit that all instances together may hold.
const connsInUse = 0.9

// Share returns the connections of one of n instances to an upstream that accepts limit connections: 0.9 of the limit
// divided by the instances, counting joining and leaving ones and one spare, rounded down and at least 1. The spare covers
// an instance that is not yet in this view.
func Share(limit, n int) int {
	return max(int(float64(limit)*connsInUse/float64(max(n, 1)+1)), 1)
}
