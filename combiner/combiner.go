// Package combiner merges the replies of shards into the best items of one snapshot.
//
// It performs no I/O. A reply is accepted only if it states the requested index, snapshot, shard and shard count, and only
// the first such reply of each shard is accepted. Coverage is the number of accepted replies.
//
// # Usage
//
//	c := combiner.New("sales-desk", snapshot, shards, 10)
//	if result := c.Accept(shard, &reply); result != combiner.Accepted {
//		// the reply is not part of the answer
//	}
//	c.MarkMissing(3, carobbend.MissingDeadline)
//	items, missing := c.Items(), c.Missing()
package combiner

import "carobbend.example/carobbend"

// AcceptResult says whether a reply was accepted, or why it was rejected.
type AcceptResult uint8

const (
	// Accepted says that the reply was merged into the answer.
	Accepted AcceptResult = iota
	// Duplicate says that a reply of the shard was accepted before.
	Duplicate
	// WrongIndex says that the reply states another index.
	WrongIndex
	// WrongSnapshot says that the reply states another snapshot.
	WrongSnapshot
	// WrongShard says that the reply states another shard, or that the shard doesn't exist.
	WrongShard
	// WrongShardCount says that the reply states another number of shards.
	WrongShardCount
)

// String returns the name used in logs.
func (r AcceptResult) String() string {
	switch r {
	case Accepted:
		return "accepted"
	case Duplicate:
		return "duplicate"
	case WrongIndex:
		return "wrong-index"
	case WrongSnapshot:
		return "wrong-snapshot"
	case WrongShard:
		return "wrong-shard"
	default:
		return "wrong-shards"
	}
}

// shardResult says whether the answer covers a shard, and if not, why.
type shardResult struct {
	covered bool
	reason  carobbend.MissingReason
}

// Combiner collects the replies of one plan. It is not safe for concurrent use.
type Combiner struct {
	index    string
	snapshot carobbend.SnapshotID
	shards   []shardResult
	covered  int
	top      topK
}

// New returns a combiner for one snapshot; a limit of 0 or less means carobbend.DefaultLimit.
func New(index string, snapshot carobbend.SnapshotID, shards, limit int) *Combiner {
	if limit <= 0 {
		limit = carobbend.DefaultLimit
	}
	return &Combiner{
		index: index, snapshot: snapshot, shards: make([]shardResult, max(shards, 0)), top: topK{limit: limit},
	}
}

// Accept merges the reply to a request for shard, unless the reply doesn't match the request or the shard is already
// covered.
func (c *Combiner) Accept(shard int, r *carobbend.ShardReply) AcceptResult {
	switch {
	case r.Ref.Index != c.index:
		return WrongIndex
	case r.Ref.Snapshot != c.snapshot:
		return WrongSnapshot
	case r.Ref.Shards != len(c.shards):
		return WrongShardCount
	case r.Ref.Shard != shard || shard < 0 || shard >= len(c.shards):
		return WrongShard
	case c.shards[shard].covered:
		return Duplicate
	}
	c.shards[shard] = shardResult{covered: true}
	c.covered++
	for i := range r.Items {
		c.top.add(&r.Items[i], shard)
	}
	return Accepted
}

// MarkMissing records why a shard isn't covered. It has no effect on a covered shard.
func (c *Combiner) MarkMissing(shard int, reason carobbend.MissingReason) {
	if shard < 0 || shard >= len(c.shards) || c.shards[shard].covered {
		return
	}
	c.shards[shard].reason = reason
}

// Snapshot returns the snapshot of all accepted replies.
func (c *Combiner) Snapshot() carobbend.SnapshotID { return c.snapshot }

// Covered returns the number of accepted replies.
func (c *Combiner) Covered() int { return c.covered }

// Total returns the number of shards of the snapshot.
func (c *Combiner) Total() int { return len(c.shards) }

// Missing returns the shards that aren't covered, in ascending order. The reason of a shard defaults to MissingDeadline.
func (c *Combiner) Missing() []carobbend.MissingShard {
	n := len(c.shards) - c.covered
	if n == 0 {
		return nil
	}
	out := make([]carobbend.MissingShard, 0, n)
	for i, s := range c.shards {
		if s.covered {
			continue
		}
		if s.reason == "" {
			s.reason = carobbend.MissingDeadline
		}
		out = append(out, carobbend.MissingShard{Shard: i, Reason: s.reason})
	}
	return out
}

// Items returns the best items, best first: by score descending, then by key. It is never nil.
func (c *Combiner) Items() []carobbend.Item { return c.top.items() }
