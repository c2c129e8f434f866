package planner

import "carobbend.example/carobbend"

// failureSet is a bit set of the classes of failures that the attempts of a shard ended with.
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

// reason returns why the shard is missing. If replicas failed in different ways, the failure that gives the strongest
// evidence of a live replica takes precedence.
func (s *shard) reason() carobbend.MissingReason {
	switch f := s.failures; {
	case len(s.replicas) == 0:
		return carobbend.MissingNoReplica
	case s.openAttempts > 0 || f == 0 || f&seenDeadline != 0:
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
