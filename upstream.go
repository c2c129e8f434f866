package carobbend

import (
	"context"
	"errors"
	"time"
)

// MaxHeaderBytes bounds the header of any HTTP reply in bytes. The default of net/http, 10 MB, times the connections of an
// instance is more than its memory.
const MaxHeaderBytes = 64 << 10

// UpstreamID names one upstream uniquely in the settings.
type UpstreamID string

// ShardRef names a shard in the layout of one snapshot.
type ShardRef struct {
	Index    string
	Snapshot SnapshotID
	// Shard counts from 0 to Shards-1.
	Shard int
	// Shards is the number of shards of the snapshot.
	Shards int
}

// ShardRequest is one request to one replica of a shard.
type ShardRequest struct {
	// ID is unique for each attempt; the reply repeats it.
	ID string
	// Ref is the requested shard.
	Ref ShardRef
	// Text repeats Query.Text.
	Text string
	// Limit is the number of items wanted.
	Limit int
	// Deadline is the time after which the reply is not used.
	Deadline time.Time
}

// ShardReply is the reply of one replica.
type ShardReply struct {
	// ID repeats ShardRequest.ID.
	ID string
	// Ref repeats ShardRequest.Ref as the upstream states it.
	Ref ShardRef
	// Items are ranked best first.
	Items []Item
	// Load is the reported utilization from 0 to 1, negative where none was reported.
	Load float64
	// Leaving says that the upstream asked to receive no new work.
	Leaving bool
}

// Upstreams sends requests to upstreams.
type Upstreams interface {
	// Send returns the reply to req; an error is a *SendError. It returns early when ctx is canceled.
	Send(ctx context.Context, id UpstreamID, req ShardRequest) (ShardReply, error)
}

// Catalog returns which upstreams hold which shards.
type Catalog interface {
	// Layouts returns the known snapshots of an index, newest first.
	Layouts(index string) []Layout
}

// Layout is the shard map of one snapshot of an index. It is immutable once it was published.
type Layout struct {
	Index    string
	Snapshot SnapshotID
	// Replicas holds, for each shard, the upstreams that are believed to hold it.
	Replicas [][]UpstreamID
}

// Holding says that an upstream holds some shards of a snapshot.
type Holding struct {
	Index    string     `json:"index"`
	Snapshot SnapshotID `json:"snapshot"`
	Shards   int        `json:"shards"`
	Held     []int      `json:"held"`
}

// Shards returns the number of shards of the snapshot.
func (l Layout) Shards() int { return len(l.Replicas) }

// Available returns the number of shards that have at least one replica.
func (l Layout) Available() int {
	n := 0
	for _, r := range l.Replicas {
		if len(r) > 0 {
			n++
		}
	}
	return n
}

// FailureKind classifies failed requests to an upstream.
type FailureKind string

const (
	// FailureNone is the kind of a nil error.
	FailureNone FailureKind = ""
	// FailureShed says that the upstream refused the request because of overload.
	FailureShed FailureKind = "shed"
	// FailureLeaving says that the upstream refused the request because it is leaving.
	FailureLeaving FailureKind = "leaving"
	// FailureSnapshotGone says that the upstream doesn't hold the shard in this snapshot.
	FailureSnapshotGone FailureKind = "snapshot-gone"
	// FailureNotSent says that no byte of the request was written.
	FailureNotSent FailureKind = "not-sent"
	// FailureRestricted says that no byte of the request was written, since the upstream must not be sent to at the moment.
	FailureRestricted FailureKind = "restricted"
	// FailureSilent says that the connection made no progress and was taken out of use.
	FailureSilent FailureKind = "silent"
	// FailureBroken says that the connection or the reply broke.
	FailureBroken FailureKind = "broken"
	// FailureOversized says that the reply was longer than allowed and was not read to its end.
	FailureOversized FailureKind = "oversized"
	// FailureIdentity says that the reply belonged to another request.
	FailureIdentity FailureKind = "identity"
	// FailureCanceled says that the sender canceled the request.
	FailureCanceled FailureKind = "canceled"
	// FailureDeadline says that the deadline passed.
	FailureDeadline FailureKind = "deadline"
)

// SendError is the error of Upstreams.Send.
type SendError struct {
	Upstream UpstreamID
	Kind     FailureKind
	Err      error
}

// Error implements error.
func (e *SendError) Error() string {
	s := "send to " + string(e.Upstream) + ": " + string(e.Kind)
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// FailureKindOf returns the failure kind of an error of Upstreams.Send; errors of other types are FailureBroken.
func FailureKindOf(err error) FailureKind {
	if err == nil {
		return FailureNone
	}
	var e *SendError
	if errors.As(err, &e) {
		return e.Kind
	}
	return FailureBroken
}
