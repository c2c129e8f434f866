package steerer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"carobbend.example/carobbend"
)

const (
	// largeCapacity is the capacity, in cores, from which an instance serves as soon as it starts. Smaller instances
	// stay in reserve while the others suffice: they receive too few requests to learn much about upstreams, and each
	// one costs store calls and connections.
	largeCapacity = 0.4
	// firstStartCapacity replaces largeCapacity at the first start of the whole system, where callers come later: smaller ones
	// first see whether larger ones enrol.
	firstStartCapacity = 0.6
	// enoughCapacity is the capacity, in cores, and enoughInstances the number of instances that suffice while most
	// of the capacity is idle.
	enoughCapacity  = 2.4
	enoughInstances = 4
	// busyRatio is the share of the enrolled capacity that may be busy before more instances are needed.
	busyRatio = 0.5
	// gradualDelay is the time over which instances in reserve spread their enrolment while the others are busy.
	gradualDelay = 20 * time.Second
	// reserveDelay is the time for which a small instance waits at least, so that larger ones enrol before it. It
	// also spreads the enrolment when instances are needed at once.
	reserveDelay = 1500 * time.Millisecond
)

// Need is how urgently an instance must serve in addition to those that are enrolled.
type Need int

const (
	// NeedNone means that the instance stays in reserve.
	NeedNone Need = iota
	// NeedGradual means that instances enrol one after another, since those that serve are busy.
	NeedGradual
	// NeedNow means that the instance enrols without gradualDelay: those that serve are too few or too small, or it is
	// large or enrolled already.
	NeedNow
)

// NeedOf returns how urgently the instance self must serve. It is NeedNow for large instances and for those that are
// enrolled already, and otherwise depends on the number, capacity and load of the enrolled ones.
func NeedOf(self carobbend.Instance, enrolled map[string]carobbend.Instance) Need {
	if IsLarge(self) {
		return NeedNow
	}
	if _, ok := enrolled[self.Name]; ok {
		return NeedNow
	}
	return needGiven(slices.Collect(maps.Values(enrolled)))
}

// IsLarge reports whether an instance serves as soon as it starts. An instance of unknown capacity counts as large.
func IsLarge(x carobbend.Instance) bool { return x.Capacity == 0 || x.Capacity >= largeCapacity }

// StartsInReserve reports whether a large instance starts in the reserve, from where it serves as soon as larger ones don't
// suffice.
func StartsInReserve(self carobbend.Instance, firstStart bool) bool {
	return firstStart && IsLarge(self) && self.Capacity > 0 && self.Capacity < firstStartCapacity
}

// needGiven returns the need for further instances given those that serve.
func needGiven(serving []carobbend.Instance) Need {
	sum, busy, n := 0.0, 0.0, 0
	unknown := unknownCapacity(serving)
	for _, x := range serving {
		if x.Leaving {
			continue
		}
		n++
		c := capacityOf(x, unknown)
		sum += c
		if x.Busy {
			busy += c
		}
	}
	switch {
	case sum < enoughCapacity || n < enoughInstances:
		return NeedNow
	case busy > busyRatio*sum:
		return NeedGradual
	default:
		return NeedNone
	}
}

// unknownCapacity returns the capacity that instances of unknown capacity count with: the smallest known one, or the least of
// a large instance if none is known.
func unknownCapacity(instances []carobbend.Instance) float64 {
	smallest := 0.0
	for _, x := range instances {
		if x.Capacity > 0 && (smallest == 0 || x.Capacity < smallest) {
			smallest = x.Capacity
		}
	}
	if smallest == 0 {
		return largeCapacity
	}
	return smallest
}

// capacityOf returns the capacity of an instance, or the given one if it isn't known.
func capacityOf(x carobbend.Instance, unknown float64) float64 {
	if x.Capacity > 0 {
		return x.Capacity
	}
	return unknown
}

// largestSufficient returns the large instances down to the capacity from which these suffice, or all instances if they don't. The
// fewer instances serve, the more each one learns about the upstreams from its own requests. Where a data centre has large
// instances, enoughInDataCentre of them are kept, so that its callers aren't sent to another one.
func largestSufficient(all []carobbend.Instance) []carobbend.Instance {
	unknown := unknownCapacity(all)
	large := slices.DeleteFunc(slices.Clone(all), func(x carobbend.Instance) bool { return !IsLarge(x) })
	slices.SortStableFunc(large, func(a, b carobbend.Instance) int {
		return cmp.Compare(capacityOf(b, unknown), capacityOf(a, unknown))
	})
	wanted := map[carobbend.DataCentre]int{}
	for _, x := range large {
		wanted[x.DataCentre] = min(wanted[x.DataCentre]+1, enoughInDataCentre)
	}
	missing := 0
	for _, n := range wanted {
		missing += n
	}
	for i, x := range large {
		if wanted[x.DataCentre] > 0 {
			wanted[x.DataCentre]--
			missing--
		}
		last := i == len(large)-1 || capacityOf(large[i+1], unknown) < capacityOf(x, unknown)
		if last && missing == 0 && needGiven(large[:i+1]) == NeedNone {
			return large[:i+1]
		}
	}
	return all
}

// Delay returns how long an instance waits for others to enrol before it checks again whether it is needed. random is
// a number drawn from 0 to 1 that spreads the enrolment of instances in reserve.
func Delay(self carobbend.Instance, need Need, random float64) time.Duration {
	if IsLarge(self) {
		return 0
	}
	spread := reserveDelay
	if need == NeedGradual {
		spread = gradualDelay
	}
	return reserveDelay + time.Duration(random*float64(spread))
}
