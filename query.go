package carobbend

import (
	"context"
	"encoding/json"
	"time"
)

// DefaultDeadline is the time an answer may take if no rule sets another.
const DefaultDeadline = 70 * time.Millisecond

// SnapshotID identifies a version of an index; newer versions have greater ids, and 0 means none.
type SnapshotID uint64

// Query is one question of a caller to all shards of an index.
type Query struct {
	// ID is the ULID under which the answer is returned.
	ID string
	// Index names the index to search.
	Index string
	// Text is passed to the shards unparsed.
	Text string
	// Limit is the number of items wanted; 0 means DefaultLimit.
	Limit int
	// Caller is the authenticated identity of the caller.
	Caller string
	// House is the tenant that the caller belongs to.
	House string
	// Arrived is the time at which the instance accepted the query.
	Arrived time.Time
	// Deadline is the time by which the answer is due.
	Deadline time.Time
}

// DefaultLimit is the number of items returned if a query sets no limit.
const DefaultLimit = 10

// Outcome is the outcome of a query or operation.
type Outcome string

const (
	// OutcomeComplete says that every shard of the snapshot is covered.
	OutcomeComplete Outcome = "complete"
	// OutcomePartial says that some shards are missing; the answer lists them.
	OutcomePartial Outcome = "partial"
	// OutcomeNotRun says that nothing was sent to any upstream.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown says that an operation may have run and won't be run again.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeDone says that an operation ran and its result is known.
	OutcomeDone Outcome = "done"
)

// Item is one ranked result of a shard.
type Item struct {
	// Key identifies the item across all shards.
	Key string `json:"key"`
	// Score ranks the item; items with higher scores come first.
	Score float64 `json:"score"`
	// Data is returned to the caller unparsed.
	Data json.RawMessage `json:"data,omitempty"`
}

// MissingReason says why a shard isn't covered.
type MissingReason string

const (
	// MissingDeadline says that no reply came before the deadline.
	MissingDeadline MissingReason = "deadline"
	// MissingNoReplica says that no live replica holds the shard in this snapshot.
	MissingNoReplica MissingReason = "no-replica"
	// MissingRefused says that every replica refused the request because of overload.
	MissingRefused MissingReason = "refused"
	// MissingSnapshotGone says that the replicas dropped the snapshot during the query.
	MissingSnapshotGone MissingReason = "snapshot-gone"
	// MissingFailed says that the replicas failed in another way.
	MissingFailed MissingReason = "failed"
)

// MissingShard is one shard that an answer doesn't cover.
type MissingShard struct {
	Shard  int           `json:"shard"`
	Reason MissingReason `json:"reason"`
}

// Answer is the combined result of a query.
type Answer struct {
	// QueryID repeats Query.ID.
	QueryID string `json:"query-id"`
	// Index repeats Query.Index.
	Index string `json:"index"`
	// Outcome is complete, partial or not-run.
	Outcome Outcome `json:"outcome"`
	// Snapshot is the one version of the index that all items come from.
	Snapshot SnapshotID `json:"snapshot"`
	// Covered counts the shards whose reply was accepted.
	Covered int `json:"covered"`
	// Total is the number of shards of the snapshot.
	Total int `json:"total"`
	// Missing lists the other shards in ascending order.
	Missing []MissingShard `json:"missing,omitempty"`
	// Items holds the best items over all covered shards, best first.
	Items []Item `json:"items"`
	// RulesVersion is the version of the rule file in force.
	RulesVersion uint64 `json:"rules-version"`
	// Detail explains a refusal in one sentence.
	Detail string `json:"detail,omitempty"`
}

// QueryRunner answers queries; a refusal is an Answer with OutcomeNotRun, not an error.
type QueryRunner interface {
	// Run returns an answer at the query's deadline at the latest. It stops early when ctx is canceled.
	Run(ctx context.Context, q Query) Answer
}
