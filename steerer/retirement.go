package steerer

import (
	"maps"
	"slices"
	"time"

	"carobbend.example/carobbend"
)

const (
	// leftOutTime is the time for which answers leave an instance out before it retires: some callers keep an answer for three
	// times its validity.
	leftOutTime = 3*addressValidity + 500*time.Millisecond
	// unusedLeftOutTime replaces leftOutTime for an instance that no caller has used since it began to serve. After a start,
	// larger instances may take this long to enrol.
	unusedLeftOutTime = 2 * time.Second
	// notReadyTime is the time for which an instance that retires keeps serving after its readiness check has failed. Such
	// checks are made each second, and what relies on them may still send requests until the next one.
	notReadyTime = 3 * time.Second
	// reactivationSpread is the time over which retired instances spread their return, so that not all of them do if a few
	// suffice.
	reactivationSpread = 500 * time.Millisecond
)

// Stage is how far an instance has retired.
type Stage int

const (
	// Serving says that the instance serves.
	Serving Stage = iota
	// Retiring says that the instance still serves and fails its readiness check.
	Retiring
	// Retired says that the instance can return to the reserve.
	Retired
)

// Retirement decides when an instance that serves returns to the reserve, since callers aren't sent to it any more. Each
// instance that serves follows the full state of the store and shares the budgets with the others. The zero value is ready
// to use; it isn't safe for concurrent use.
type Retirement struct {
	leftOutSince time.Time
}

// Next returns the stage at a time. leftOut is the result of Selector.LeftOut; storeKnown says that the store can be read, without
// which a retired instance couldn't return; used says that a caller has sent a request since the instance began to serve.
func (r *Retirement) Next(now time.Time, leftOut, storeKnown, used bool) Stage {
	if !leftOut || !storeKnown {
		r.leftOutSince = time.Time{}
		return Serving
	}
	if r.leftOutSince.IsZero() {
		r.leftOutSince = now
	}
	wait := leftOutTime
	if !used {
		wait = unusedLeftOutTime
	}
	switch since := now.Sub(r.leftOutSince); {
	case since < wait:
		return Serving
	case since < wait+notReadyTime:
		return Retiring
	default:
		return Retired
	}
}

// NeedOfRetired returns how urgently a retired instance must serve again, given the enrolled instances.
func NeedOfRetired(enrolled map[string]carobbend.Instance) Need {
	return needGiven(slices.Collect(maps.Values(enrolled)))
}

// ReactivationDelay returns how long a retired instance waits before it checks again whether it is needed. random is a number
// drawn from 0 to 1.
func ReactivationDelay(need Need, random float64) time.Duration {
	spread := reactivationSpread
	if need == NeedGradual {
		spread = gradualDelay
	}
	return time.Duration(random * float64(spread))
}
