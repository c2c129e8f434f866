// Package sender writes operations to upstreams over HTTP and never resends them.
//
// http.Transport resends a request by itself when a reused connection breaks and the request counts as replayable.
// The sender's requests don't: they are POST requests with a body that can be read once, without GetBody and
// without an idempotency header. The sender also watches the first byte of each request on its connection, which
// tells a request that was not sent from one that may have been. Once it reported that nothing was sent, or once
// the deadline has passed, the connection refuses the first byte.
//
// # Usage
//
//	s := sender.New(map[carobbend.UpstreamID]string{"booking-1": "10.1.0.5:8080"})
//	answer, err := s.SendOperation(ctx, "booking-1", op)
//	if carobbend.KindOf(err) == carobbend.FailureNotSent {
//		// no byte was written; another upstream may be tried
//	}
package sender
