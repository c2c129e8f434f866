package carobbend

import (
	"context"

	"carobbend.example/carobbend/encoder"
)

// Peers is an instance's links to the other instances.
type Peers interface {
	Members
	// Ask sends a request to a live instance and returns its reply. An error leaves open whether the peer handled
	// the request.
	Ask(ctx context.Context, instance string, req *encoder.Frame) (*encoder.Frame, error)
}

// PeerHandler answers requests of other instances.
type PeerHandler interface {
	// HandlePeer returns the reply, or nil where the request is of no kind that this handler knows. The handlers of
	// an instance are asked in order.
	HandlePeer(ctx context.Context, from string, req *encoder.Frame) *encoder.Frame
}

// Conns is the share of an upstream's connections that an instance may use.
type Conns interface {
	// Share returns the number of connections that this instance may hold to an upstream which accepts limit
	// connections from all instances; it is at least 1.
	Share(limit int) int
}
