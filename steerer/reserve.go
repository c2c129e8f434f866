package steerer

import (
	"maps"
	"slices"
	"time"

	"carobbend.example/carobbend"
)

const (
	// FullCapacity is the capacity, in cores, of an instance that serves from its start. Smaller ones are in reserve while
	// others suffice: they learn little about upstreams from their part of the requests, and each costs store calls and
	// connections.
	FullCapacity = 0.4
	// enoughCapacity is the capacity, in cores, and enoughInstances the number of instances that suffice while few are
	// busy.
	enoughCapacity  = 2.4
	enoughInstances = 4
	// busyPart is the part of the enrolled capacity that is busy when more is needed.
	busyPart = 0.5
	// growDelay spreads the enrolment of instances in reserve while others are busy.
	growDelay = 20 * time.Second
	// reserveDelay is the longest time that a small instance leaves to larger ones before it serves.
	reserveDelay = 1500 * time.Millisecond
)

// Need says whether an instance must serve beside those that are enrolled.
type Need int

const (
	// NeedNone leaves the instance in reserve.
	NeedNone Need = iota
	// NeedMore asks for one instance after another, since those that serve are busy.
	NeedMore
	// NeedNow asks for instances at once, since too few serve.
	NeedNow
)

// NeedOf returns the need for an instance. One that is enrolled stays so.
func NeedOf(self carobbend.Instance, enrolled map[string]carobbend.Instance) Need {
	if isLarge(self) {
		return NeedNow
	}
	if _, ok := enrolled[self.Name]; ok {
		return NeedNow
	}
	return needAmong(slices.Collect(maps.Values(enrolled)))
}

// isLarge reports whether an instance serves from its start.
func isLarge(x carobbend.Instance) bool { return x.Capacity == 0 || x.Capacity >= FullCapacity }

// needAmong returns the need for instances beside those that serve.
func needAmong(serving []carobbend.Instance) Need {
	sum, busy, n := 0.0, 0.0, 0
	for _, x := range serving {
		if x.Leaving {
			continue
		}
		n++
		sum += x.Capacity
		if x.Busy {
			busy += x.Capacity
		}
	}
	switch {
	case sum < enoughCapacity || n < enoughInstances:
		return NeedNow
	case busy > busyPart*sum:
		return NeedMore
	default:
		return NeedNone
	}
}

// Delay returns how long an instance waits for others to enrol first before it looks again whether it is needed. part is
// drawn between 0 and 1, so that instances in reserve don't enrol all at the same moment.
func Delay(self carobbend.Instance, need Need, part float64) time.Duration {
	if isLarge(self) {
		return 0
	}
	spread := reserveDelay
	if need == NeedMore {
		spread = growDelay
	}
	return reserveDelay + time.Duration(part*float64(spread))
}
