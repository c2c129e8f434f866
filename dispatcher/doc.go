// Package dispatcher runs operations on upstreams.
//
// The key of an operation under the rule at-most-once is claimed in the store before any byte is written to an upstream. The
// operation is then sent to one upstream, and is not sent again once a byte may have been written. All other operations
// are sent without a claim and may be retried.
//
// The outcome not-run means that the request it answers was not sent to any upstream and never will be. While the store is
// unreachable, it says nothing about earlier requests with the same key that other instances received. A caller whose
// earlier request ended without an answer must treat that request as unknown until a later one ends with done.
//
// # Usage
//
//	d := dispatcher.New(dispatcher.Config{
//		Claims: claims, Sender: sender, Balancer: balancer, Rules: rules,
//		Upstreams: map[string][]carobbend.UpstreamID{"book-crew": {"booking-1", "booking-2"}},
//	})
//	defer d.Drain(ctx)
//	r := d.Run(ctx, op)
package dispatcher
