package carobbend

import (
	"context"

	"carobbend.example/carobbend/encoder"
)

// Peers sends requests to the other instances.
type Peers interface {
	Members
	// Ask sends a request to a live instance and returns its reply. After an error the peer may have handled the request
	// or not.
	Ask(ctx context.Context, instance string, req *encoder.Frame) (*encoder.Frame, error)
}

// PeerHandler answers requests of other instances.
type PeerHandler interface {
	// HandlePeer returns the reply, or nil if this handler doesn't know the kind of the request. The handlers of an
	// instance are tried in order until one replies.
	HandlePeer(ctx context.Context, from string, req *encoder.Frame) *encoder.Frame
}

// ConnShare is the share of an upstream's connections that an instance may use.
type ConnShare interface {
	// Share returns the number of connections that this instance may hold to an upstream which accepts limit
	// connections from all instances; it is at least 1.
	Share(limit int) int
}
