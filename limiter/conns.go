package limiter

// connsInUse is the share of an upstream's connection limit that all instances together may hold.
const connsInUse = 0.9

// ConnShare returns the number of connections that one of n instances may hold to an upstream which accepts limit connections:
// 0.9 of the limit divided by n+1, rounded down and at least 1. n includes joining and leaving instances; the additional one
// covers an instance that isn't known here yet.
func ConnShare(limit, n int) int {
	return max(int(float64(limit)*connsInUse/float64(max(n, 1)+1)), 1)
}
