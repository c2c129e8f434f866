// Package claimer records in the store which attempt may run an operation, so that each operation key runs at
// most once over all instances.
//
// Keys are spread over partitions. A partition is one value in the store and changes only by compare-and-swap;
// the safety of claims rests on that alone. Apply is the state machine of a partition and does no I/O. Claimer
// commits requests in groups and routes them to the partition's preferred instance, which avoids conflicts.
//
// A claim belongs to an owner id that is unique for each attempt. An attempt owns every claim that carries its owner
// id, whichever instance committed it, so lost replies, duplicates and late peer requests are harmless. The one
// exception costs availability and not safety: a duplicate request that arrives after its first copy was refused
// claims the key for an owner that no longer wants it, and the operation doesn't run. Links that deliver each request
// once don't cause this.
//
// # Usage
//
//	c := claimer.New(store, peers)
//	owner := claimer.NewOwner()
//	r := c.Claim(ctx, key, fingerprint, owner)
//	if r.Status == claimer.StatusOwned {
//		// run the operation, then
//		c.Finish(ctx, key, fingerprint, owner, answer)
//	}
package claimer
