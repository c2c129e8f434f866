package planner

import (
	"time"

	"carobbend.example/carobbend"
)

// EventKind says what happened.
type EventKind uint8

const (
	// EventStart starts the query; it comes first and once.
	EventStart EventKind = iota + 1
	// EventReply brings the reply to an attempt.
	EventReply
	// EventFailure says that an attempt failed.
	EventFailure
	// EventTimer says that the time stated by NextTimer has come.
	EventTimer
	// EventCancel says that the caller no longer waits.
	EventCancel
)

// Event is one input of a planner.
type Event struct {
	Kind EventKind
	// Attempt names the attempt of a reply or failure.
	Attempt int
	// Reply is set for EventReply.
	Reply carobbend.ShardReply
	// Failure is set for EventFailure.
	Failure carobbend.FailureKind
}

// Cause says why a shard request is sent.
type Cause uint8

const (
	// CausePrimary is the first request to a shard of a plan.
	CausePrimary Cause = iota
	// CauseHedge is a further request while another is open.
	CauseHedge
	// CauseRetry is a request after a failure.
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

// Effects is what a planner asks for. Its slices are valid until the next call of Handle.
type Effects struct {
	Sends []Send
	// Cancels lists attempts whose reply is of no more use.
	Cancels []int
	// Answer is set once, when the query finishes.
	Answer *carobbend.Answer
}

// Stats counts what a planner did.
type Stats struct {
	Primaries int
	Hedges    int
	Retries   int
	// Late counts replies and failures that came after they could count: late, duplicated or of a cancelled attempt.
	Late int
	// Crossed counts replies that belonged to another request.
	Crossed int
	// Replans is 1 after a replan on another snapshot.
	Replans int
}

// attempt is one shard request that was sent.
type attempt struct {
	id       string
	upstream carobbend.UpstreamID
	// sent and origin count from the start of the query; origin is when the first of the hedged attempts was sent.
	sent, origin time.Duration
	shard        int32
	// previous is the attempt of the same shard and plan that was sent before, or -1.
	previous int32
	plan     uint8
	ended    bool
	canceled bool
}
