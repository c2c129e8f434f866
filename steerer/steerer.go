// Package steerer chooses the instances that a caller is told to use.
//
// Each instance answers from its own view of the list of instances; it names itself although its entry may have lapsed,
// since it evidently serves, unless it is leaving.
//
// # Usage
//
//	var s steerer.Steerer
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
	// maxAddresses is the greatest number of addresses of an answer.
	maxAddresses = 64
	// enoughNear is the number of instances in a caller's data centre that are named without those of others.
	enoughNear = 2
	// validity is how long a caller may keep an answer. A caller without a valid one asks before its request, which costs two
	// round trips; with 1 s, callers of one request a second asked before each. Callers whose answer names a stopped instance
	// are refused as not run, or can't connect, and try another one.
	validity = 4 * time.Second
)

// Steerer answers callers. The zero value knows no instance.
type Steerer struct {
	mu        sync.Mutex
	self      carobbend.Instance
	ready     bool
	instances []carobbend.Instance
	// live is the number of instances, this one included.
	live int
}

// SetSelf sets this instance and whether it may be named.
func (s *Steerer) SetSelf(self carobbend.Instance, ready bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.self, s.ready = self, ready
	s.count()
}

// Update replaces the list of instances.
func (s *Steerer) Update(instances map[string]carobbend.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = s.instances[:0]
	for _, x := range instances {
		if !x.Leaving {
			s.instances = append(s.instances, x)
		}
	}
	slices.SortFunc(s.instances, func(a, b carobbend.Instance) int { return cmp.Compare(a.Name, b.Name) })
	s.count()
}

func (s *Steerer) count() {
	s.live = len(s.instances)
	if !slices.ContainsFunc(s.instances, func(x carobbend.Instance) bool { return x.Name == s.self.Name }) {
		s.live++
	}
}

// Live returns the number of instances, this one included.
func (s *Steerer) Live() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.live, 1)
}

// Addresses returns where a caller in a data centre should connect, or false where no instance is known to serve. It
// names the instances of that data centre alone where there are enough of them that the loss of one leaves another. Small
// instances, which served while large ones were missing, aren't named any more once those suffice.
func (s *Steerer) Addresses(dc carobbend.DataCentre) (carobbend.Addresses, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	named := s.named()
	all, near := make([]string, 0, len(named)), make([]string, 0, len(named))
	for _, x := range named {
		all = append(all, x.CallerAddress)
		if x.DataCentre == dc {
			near = append(near, x.CallerAddress)
		}
	}
	a := carobbend.Addresses{Addresses: all, ValidFor: validity}
	if len(near) >= enoughNear {
		a.Addresses = near
	}
	if n := len(a.Addresses); n > maxAddresses {
		a.Addresses = a.Addresses[:maxAddresses]
	}
	return a, len(a.Addresses) > 0
}

// named returns the instances that callers may use: the large ones where they suffice, else all.
func (s *Steerer) named() []carobbend.Instance {
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
		if isLarge(x) {
			large = append(large, x)
		}
	}
	if needAmong(large) == NeedNone {
		return large
	}
	return all
}
