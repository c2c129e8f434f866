// Package carobbend holds the types and interfaces that the packages of the query tier share.
//
// The tier stands between callers and many shards. It asks all shards of an index at once, merges their replies and
// returns one answer, whose items come from one snapshot and which states its true coverage.
//
// # Usage
//
// Packages below this one implement the interfaces declared here and depend on each other only through them:
//
//	var up carobbend.Upstreams = connector.New(upstreams, connector.WithConnShare(shares))
//	reply, err := up.Send(ctx, "upstream-1", carobbend.ShardRequest{Ref: ref, Text: "bar stool"})
//	if kind := carobbend.FailureKindOf(err); kind == carobbend.FailureShed {
//		// choose another replica
//	}
package carobbend
