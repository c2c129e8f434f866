// Package connector sends shard requests to upstreams over HTTP and polls which upstream holds which shard.
//
// Each upstream has a pool of connections within this instance's share of the upstream's limit. A pool whose requests
// make no progress is suspected of having silent connections, i.e. ones that are open but deliver nothing. Its idle
// connections are closed, so that the next request opens a new one before the upstream is considered failed. If several
// pools are suspected at a time, all idle connections without recent progress are closed, since an intermediary
// between the two ends may have lost their state.
//
// # Usage
//
//	c := connector.New(upstreams, connector.WithConnShare(limiter), connector.WithLeaving(balancer.SetLeaving))
//	go c.Run(ctx) // polls the status of the upstreams
//	reply, err := c.Send(ctx, "sales-desk-0-a", req)
//	layouts := c.Layouts("sales-desk")
package connector
