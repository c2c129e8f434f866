package planner

import (
	"time"

	"carobbend.example/carobbend"
)

// EventKind is the type of an Event.
type EventKind uint8

const (
	// EventStart starts the query. It must be the first event and occur once.
	EventStart EventKind = iota + 1
	// EventReply carries the reply to an attempt.
	EventReply
	// EventFailure reports that an attempt failed.
	EventFailure
	// EventTimer reports that the time returned by NextTimer has been reached.
	EventTimer
	// EventCancel reports that the caller no longer waits for the answer.
	EventCancel
)

// Event is one input of a planner.
type Event struct {
	Kind EventKind
	// Attempt is the number of the attempt for EventReply and EventFailure.
	Attempt int
	// Reply is set for EventReply.
	Reply carobbend.ShardReply
	// Failure is set for EventFailure.
	Failure carobbend.FailureKind
}

// Cause is the reason why a shard request is sent.
type Cause uint8

const (
	// CausePrimary marks the first request to a shard within a plan.
	CausePrimary Cause = iota
	// CauseHedge marks an additional request while an earlier one is still in flight.
	CauseHedge
	// CauseRetry marks a request sent after a failure.
	CauseRetry
)

// String returns the name used in traces and logs.
func (c Cause) String() string {
	switch c {
	case CauseHedge:
		return "hedge"
	case CauseRetry:
		return "retry"
	default:
		return "primary"
	}
}

// Send asks for a shard request to be sent.
type Send struct {
	// Attempt numbers the requests of the query from 0; events refer to it.
	Attempt  int
	Cause    Cause
	Upstream carobbend.UpstreamID
	Request  carobbend.ShardRequest
}

// Effects lists the actions that the planner requests from its driver. The slices are valid until the next call of Handle.
type Effects struct {
	Sends []Send
	// Cancels lists the attempts whose replies are no longer needed.
	Cancels []int
	// Answer is set once, when the query finishes.
	Answer *carobbend.Answer
}

// Stats counts the requests and the rejected replies of one query.
type Stats struct {
	Primaries int
	Hedges    int
	Retries   int
	// Late counts replies to cancelled attempts, and events for attempts that are unknown or have already ended.
	Late int
	// Mismatched counts replies that belong to another request than the one they were received for.
	Mismatched int
	// Replans is 1 after a replan on another snapshot.
	Replans int
}

// attempt is one shard request that was sent.
type attempt struct {
	id       string
	upstream carobbend.UpstreamID
	// sentAt and firstSentAt are relative to the start of the query. For a hedge, firstSentAt is that of the attempt it
	// hedges, so that it is the send time of the first of them; otherwise it equals sentAt.
	sentAt, firstSentAt time.Duration
	shard               int32
	// previous is the preceding attempt for the same shard and plan, or -1.
	previous int32
	plan     uint8
	ended    bool
	canceled bool
}
