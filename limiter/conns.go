package limiter

import "carobbend.example/carobbend"

// connsInUse is the share of an upstream's connection limit that all instances together may hold.
const connsInUse = 0.9

// Conns implements carobbend.Conns on a view of the live instances.
type Conns struct {
	members carobbend.Members
}

var _ carobbend.Conns = (*Conns)(nil)

// NewConns returns the share of connections for an instance with this view.
func NewConns(members carobbend.Members) *Conns { return &Conns{members: members} }

// Share returns the number of connections to an upstream that accepts limit connections: 0.9 of the limit divided by
// the instances, counting joining and leaving ones and one spare, rounded down and at least 1. The spare covers an
// instance that is not yet in this view.
func (c *Conns) Share(limit int) int { return Share(limit, len(c.members.Live())) }

// Share returns the connections of one of n instances to an upstream that accepts limit connections.
func Share(limit, n int) int {
	return max(int(float64(limit)*connsInUse/float64(max(n, 1)+1)), 1)
}
