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
	"slices"
	"sync"
	"time"

	"carobbend.example/carobbend"
)

const (
	// maxAddresses bounds the number of addresses in an answer.
	maxAddresses = 64
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
// these are returned.
func (s *Selector) Addresses(dc carobbend.DataCentre) (carobbend.Addresses, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	eligible := s.eligible()
	all, inDataCentre := make([]string, 0, len(eligible)), make([]string, 0, len(eligible))
	for _, x := range eligible {
		all = append(all, x.CallerAddress)
		if x.DataCentre == dc {
			inDataCentre = append(inDataCentre, x.CallerAddress)
		}
	}
	a := carobbend.Addresses{Addresses: all, ValidFor: addressValidity}
	if len(inDataCentre) >= enoughInDataCentre {
		a.Addresses = inDataCentre
	}
	if n := len(a.Addresses); n > maxAddresses {
		a.Addresses = a.Addresses[:maxAddresses]
	}
	return a, len(a.Addresses) > 0
}

// eligible returns the instances that callers may use: only the large ones if these suffice, else all. So callers
// leave the small instances, which served while large ones were missing.
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
	large := make([]carobbend.Instance, 0, len(all))
	for _, x := range all {
		if IsLarge(x) {
			large = append(large, x)
		}
	}
	if needGiven(large) == NeedNone {
		return large
	}
	return all
}
