package planner

import "carobbend.example/carobbend"

// failureSet is the set of failures that a shard has seen.
type failureSet uint8

const (
	seenBroken failureSet = 1 << iota
	seenRefused
	seenGone
	seenNotSent
	seenDeadline
)

func (f *failureSet) add(kind carobbend.FailureKind) {
	switch kind {
	case carobbend.FailureShed, carobbend.FailureLeaving:
		*f |= seenRefused
	case carobbend.FailureSnapshotGone:
		*f |= seenGone
	case carobbend.FailureNotSent:
		*f |= seenNotSent
	case carobbend.FailureCanceled, carobbend.FailureDeadline:
		*f |= seenDeadline
	default:
		*f |= seenBroken
	}
}

// reason says why the shard is missing. Where replicas failed in several ways, the one that shows most of a live
// replica is stated.
func (s *shard) reason() carobbend.MissingReason {
	switch f := s.seen; {
	case len(s.replicas) == 0:
		return carobbend.MissingNoReplica
	case s.open > 0 || f == 0 || f&seenDeadline != 0:
		return carobbend.MissingDeadline
	case f&seenBroken != 0:
		return carobbend.MissingFailed
	case f&seenRefused != 0:
		return carobbend.MissingRefused
	case f&seenGone != 0:
		return carobbend.MissingSnapshotGone
	default:
		return carobbend.MissingNoReplica
	}
}
