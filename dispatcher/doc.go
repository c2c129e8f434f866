// Package dispatcher runs operations on upstreams.
//
// An operation under the rule at-most-once is claimed in the store before the upstream receives a byte. It is then
// sent to one upstream and never sent again once a byte may have been written. Every other operation is sent
// without a claim and may be retried.
//
// The outcome not-run means that the request it answers was not sent to any upstream and never will be. Where the
// store is out of reach, it says nothing about earlier requests with the same key that other instances got. A caller
// whose earlier request ended without an answer keeps that request unknown until a later one is done.
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
