// Package steerer chooses the instances that callers connect to, and decides whether an instance serves or stays in
// reserve.
//
// Each instance answers callers from its own view of the list of instances. It includes itself unless it is leaving,
// even if its entry in the list has expired, since it evidently serves.
//
// # Usage
//
//	var s steerer.Selector
//	s.Update(instances)
//	a, ok := s.Addresses("leon")
package steerer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"carobbend.example/carobbend"
)

const (
	// maxAddresses bounds the number of addresses in an answer.
	maxAddresses = 64
	// busyPart is the part of its capacity with which a busy instance counts when callers are distributed.
	busyPart = 0.25
	// enoughInDataCentre is the number of instances in the caller's data centre from which instances elsewhere are
	// left out.
	enoughInDataCentre = 2
	// addressValidity is how long a caller may keep an answer. A caller whose answer has expired asks again before
	// its request, which costs two round trips; with 1 s, callers with one request a second asked before each
	// request. A caller that still uses a stopped instance cannot connect or is refused without execution, and tries
	// another instance.
	addressValidity = 4 * time.Second
)

// Selector chooses addresses for callers. The zero value knows no instance.
type Selector struct {
	mu        sync.Mutex
	self      carobbend.Instance
	ready     bool
	instances []carobbend.Instance
	// instanceCount is the number of instances, this one included.
	instanceCount int
	// random returns numbers from 0 to 1, which choose the instances of an answer; nil means rand.Float64.
	random func() float64
}

// SetSelf sets this instance and whether callers may be sent to it.
func (s *Selector) SetSelf(self carobbend.Instance, ready bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.self, s.ready = self, ready
	s.updateCount()
}

// Update replaces the list of instances. Those that are leaving are skipped.
func (s *Selector) Update(instances map[string]carobbend.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = s.instances[:0]
	for _, x := range instances {
		if !x.Leaving {
			s.instances = append(s.instances, x)
		}
	}
	slices.SortFunc(s.instances, func(a, b carobbend.Instance) int { return cmp.Compare(a.Name, b.Name) })
	s.updateCount()
}

func (s *Selector) updateCount() {
	s.instanceCount = len(s.instances)
	if !slices.ContainsFunc(s.instances, func(x carobbend.Instance) bool { return x.Name == s.self.Name }) {
		s.instanceCount++
	}
}

// InstanceCount returns the number of instances, at least 1, including this one.
func (s *Selector) InstanceCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.instanceCount, 1)
}

// Addresses returns the addresses for a caller in the data centre dc, or false if no instance is known to serve. If
// that data centre has at least enoughInDataCentre eligible instances, so that the loss of one leaves another, only
// these are returned. Of more than maxAddresses instances, each call draws others.
func (s *Selector) Addresses(dc carobbend.DataCentre) (carobbend.Addresses, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	eligible := s.eligible()
	inDataCentre := make([]carobbend.Instance, 0, len(eligible))
	for _, x := range eligible {
		if x.DataCentre == dc {
			inDataCentre = append(inDataCentre, x)
		}
	}
	if len(inDataCentre) >= enoughInDataCentre {
		eligible = inDataCentre
	}
	if len(eligible) > maxAddresses {
		eligible = s.sample(eligible, maxAddresses)
	}
	a := carobbend.Addresses{Addresses: make([]string, 0, len(eligible)), ValidFor: addressValidity}
	for _, x := range eligible {
		a.Addresses = append(a.Addresses, x.CallerAddress)
	}
	return a, len(a.Addresses) > 0
}

// sample returns n distinct instances, drawn at random. Callers use the addresses of an answer alike, so an instance is drawn
// with a probability in proportion to its spare capacity, as far as the answer isn't full of larger ones.
func (s *Selector) sample(all []carobbend.Instance, n int) []carobbend.Instance {
	random := s.random
	if random == nil {
		random = rand.Float64
	}
	type drawn struct {
		instance carobbend.Instance
		key      float64
	}
	unknown := unknownCapacity(all)
	ds := make([]drawn, len(all))
	for i, x := range all {
		// The n smallest of exponentially distributed numbers with these rates are a weighted sample without replacement.
		ds[i] = drawn{x, -math.Log(1-random()) / spareCapacity(x, unknown)}
	}
	slices.SortFunc(ds, func(a, b drawn) int { return cmp.Compare(a.key, b.key) })
	out := make([]carobbend.Instance, n)
	for i := range out {
		out[i] = ds[i].instance
	}
	return out
}

// spareCapacity is the capacity that an instance has for more callers, in cores; unknown is that of one which states none.
func spareCapacity(x carobbend.Instance, unknown float64) float64 {
	c := capacityOf(x, unknown)
	if x.Busy {
		return busyPart * c
	}
	return c
}

// LeftOut reports whether answers leave this instance out although it can serve, because larger ones suffice.
func (s *Selector) LeftOut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready && !slices.ContainsFunc(s.eligible(), func(x carobbend.Instance) bool { return x.Name == s.self.Name })
}

// eligible returns the instances that callers may use: the largest ones if these suffice, else all. So callers leave the
// smaller instances, which served while larger ones were missing.
func (s *Selector) eligible() []carobbend.Instance {
	all := make([]carobbend.Instance, 0, len(s.instances)+1)
	if s.ready {
		all = append(all, s.self)
	}
	for _, x := range s.instances {
		if x.Name != s.self.Name {
			all = append(all, x)
		}
	}
	return largestSufficient(all)
}
