package allotter

import (
	"cmp"
	"slices"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/steerer"
)

const (
	// maxOwners bounds the owners of all allotments. Each instance that needs parts asks some of them.
	maxOwners = 64
	// enoughOwners is the number of owners up to which instances in reserve become owners, too. Their number changes more often.
	enoughOwners = 4
	// settleTime is how long an instance must be in the list, or missing, before the owners change. Most instances that are killed
	// are back within that time, and then keep their part.
	settleTime = 10 * time.Second
	// firstWait is the time for which the first record waits for other instances that started at the same time, and fewWait
	// the one for which it waits for enoughOwners instances.
	firstWait = 300 * time.Millisecond
	fewWait   = 1500 * time.Millisecond
	// turnTime is the time after which the next instance writes a record that is due and was not written.
	turnTime = 1500 * time.Millisecond
	// rewriteTime is the least time between two attempts of an instance to write.
	rewriteTime = 5 * time.Second
)

// election decides which instances should own the allotments, and when this one writes that to the store. It is used by one
// goroutine.
type election struct {
	self string
	// listed and missing hold since when an instance has been in the list, or missing from it.
	listed, missing map[string]time.Duration
	// dueEpoch is the epoch of the record that is due, since is when it became due, and wrote when this instance last wrote.
	dueEpoch   uint64
	since      time.Duration
	wrote      time.Duration
	hasWritten bool
}

func newElection(self string) election {
	return election{self: self, listed: map[string]time.Duration{}, missing: map[string]time.Duration{}}
}

// owners returns the instances that should own the allotments, in a fixed order, or nil if that can't be said yet.
func (e *election) owners(
	now time.Duration, instances map[string]carobbend.Instance, present *carobbend.AllotmentOwners,
) []string {
	for name := range instances {
		delete(e.missing, name)
		if _, ok := e.listed[name]; !ok {
			e.listed[name] = now
		}
	}
	for name := range e.listed {
		if _, ok := instances[name]; !ok {
			delete(e.listed, name)
			e.missing[name] = now
		}
	}
	if _, ok := e.listed[e.self]; !ok {
		// An instance that isn't in the list itself may have lost the store, or is about to leave.
		return nil
	}
	return e.choose(now, instances, present)
}

func (e *election) choose(
	now time.Duration, instances map[string]carobbend.Instance, present *carobbend.AllotmentOwners,
) []string {
	var keep, large, small []string
	if present != nil {
		for _, name := range present.Owners {
			since, missing := e.missing[name]
			_, listed := e.listed[name]
			if !listed && !missing {
				e.missing[name] = now
			}
			if listed || !missing || now < since+settleTime {
				keep = append(keep, name)
			}
		}
	}
	for name, x := range instances {
		switch {
		case x.Leaving || slices.Contains(keep, name) || present != nil && now < e.listed[name]+settleTime:
		case steerer.IsLarge(x):
			large = append(large, name)
		default:
			small = append(small, name)
		}
	}
	slices.Sort(large)
	slices.SortFunc(small, func(p, q string) int {
		return cmp.Or(cmp.Compare(instances[q].Capacity, instances[p].Capacity), cmp.Compare(p, q))
	})
	out := append(keep, large...)
	out = out[:min(len(out), maxOwners)]
	if n := enoughOwners - len(out); n > 0 {
		out = append(out, small[:min(n, len(small))]...)
	}
	known := now - e.listed[e.self]
	if present == nil && (known < firstWait || known < fewWait && len(out) < enoughOwners) {
		return nil
	}
	return out
}

// turn reports whether this instance is to write the record of an epoch now. Instances write one after another in the order of the
// desired owners until one succeeds.
func (e *election) turn(now time.Duration, desired []string, epoch uint64) bool {
	if epoch != e.dueEpoch {
		e.dueEpoch, e.since = epoch, now
	}
	place := slices.Index(slices.DeleteFunc(slices.Clone(desired), func(name string) bool {
		_, ok := e.listed[name]
		return !ok
	}), e.self)
	if place < 0 || now < e.since+time.Duration(place)*turnTime || e.hasWritten && now < e.wrote+rewriteTime {
		return false
	}
	e.wrote, e.hasWritten = now, true
	return true
}
