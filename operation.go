package carobbend

import (
	"context"
	"encoding/json"
	"time"
)

// Operation is a request that changes state on one upstream.
type Operation struct {
	// Key is the caller's idempotency key, a ULID.
	Key string
	// Name selects the upstreams and the at-most-once rule.
	Name string
	// Caller and House are the authenticated identity.
	Caller string
	House  string
	// Body is passed to the upstream unparsed.
	Body json.RawMessage
	// Deadline is the time by which the result is due.
	Deadline time.Time
}

// OperationResult is the outcome of an operation.
type OperationResult struct {
	Key string `json:"key"`
	// Outcome is done, not-run or unknown.
	Outcome Outcome `json:"outcome"`
	// Body is the upstream's answer of a done operation.
	Body json.RawMessage `json:"body,omitempty"`
	// Detail explains the outcome in one sentence.
	Detail string `json:"detail,omitempty"`
	// Conflict says that the key was used before with another request.
	Conflict bool `json:"conflict,omitempty"`
	// Replayed says that the result is the stored one of an earlier request with this key.
	Replayed bool `json:"replayed,omitempty"`
}

// OperationRunner runs operations.
type OperationRunner interface {
	// Run executes op at most once if the rules say so; refusals and unknown results are outcomes, not errors.
	Run(ctx context.Context, op Operation) OperationResult
	// Status returns the known result of a key without running anything.
	Status(ctx context.Context, key string) OperationResult
}

// OperationSender writes an operation to one upstream and never resends it.
type OperationSender interface {
	// SendOperation returns the upstream's answer; an error is a *SendError, and only its kinds not-sent, shed and
	// leaving guarantee that the operation didn't run.
	SendOperation(ctx context.Context, id UpstreamID, op Operation) (json.RawMessage, error)
}
