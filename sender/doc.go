// Package sender writes operations to upstreams over HTTP and never resends them.
//
// http.Transport retries a request by itself if a reused connection breaks and the request is replayable. The sender's
// requests aren't replayable: they are POST requests with a body that can be read once, without GetBody and without an
// idempotency header. The sender also tracks the first write of each request on its connection, to distinguish a request
// that was not sent from one that may have been. After it reports not-sent, or after the deadline, the connection refuses
// the first write.
//
// # Usage
//
//	s := sender.New(map[carobbend.UpstreamID]string{"booking-1": "10.1.0.5:8080"})
//	answer, err := s.SendOperation(ctx, "booking-1", op)
//	if carobbend.FailureKindOf(err) == carobbend.FailureNotSent {
//		// no byte was written; another upstream may be tried
//	}
package sender
