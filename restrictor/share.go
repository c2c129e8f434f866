package restrictor

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// The requests of all instances to a cold upstream are bounded in any second, always: also while instances have different lists
// of instances, are cut off from the store, or have just started. No message is needed, since the bound is dealt out by a rule
// that each instance applies to its own list:
//
// With a bound of B requests and n names in the list, the request numbers 0 to B-1 are dealt to the names in turn, in their
// rendezvous order for the upstream. The name of rank k gets ceil((B-k)/n), none if k >= B. This part doesn't grow if names are
// added to the list: n grows, and k doesn't fall. So if each of the instances that send within the same span of time has
// all others of them in its list, each has at most the part that it would get from the list of just these instances, and those
// parts add up to B.
//
// The rest of this file sees to that condition. An instance Y sends only while it knows from a call to the store, sent at most
// maxConfirmationAge ago, that its own entry was there, and only once it has known so without a gap for holdTime. An instance
// X counts the names of all lists that it had in the last holdTime. Let X send at time s and Y at most sendSpan earlier or later,
// and let e be the last time at which Y's entry is known to have been in the store, so e >= s - sendSpan - maxConfirmationAge.
// X's answers show the store at times that are at most maxConfirmationAge apart, and the last of them is at most that much older than
// s. So X read a list as of a time between e - maxConfirmationAge - sendSpan and e. Y's entry was there by then, since Y waited
// for holdTime. X counts that list, since holdTime is the sum of these times:
// sendSpan + maxConfirmationAge + (maxConfirmationAge + sendSpan).
//
// An entry that is removed and written again between two answers counts as not removed, in the lists of all instances.
const (
	// sendSpan is the time over which an instance counts its requests to a cold upstream. The part beyond the second of the
	// bound covers requests that take different times to arrive: half a second is enough for a lost packet.
	sendSpan = 1500 * time.Millisecond
	// maxConfirmationAge is twice the time of a quiet watch of the store, which is 3 s, and 1.5 s for a slow answer: a watch
	// confirms the state at the time when it was sent, and is answered up to 3 s later.
	maxConfirmationAge = 7500 * time.Millisecond
	// holdTime is as derived above.
	holdTime = 2*sendSpan + 2*maxConfirmationAge
)

// share is what determines this instance's share of the requests to a cold upstream. The zero value is no share.
type share struct {
	self string
	// names holds the names of the instances in the list; the time is zero for those that are in it now, and otherwise when
	// they were last in it.
	names map[string]time.Time
	// version is increased with each list.
	version int
	// enrolled says that the list has the entry of this process.
	enrolled bool
	// confirmedAt is when the last call was sent that the store answered; confirmedSince is since when the answers
	// showed, without a gap, that this process is in the list.
	confirmedAt, confirmedSince time.Time
}

// setInstances replaces the list of instances.
func (s *share) setInstances(now time.Time, self string, enrolled bool, names []string) {
	if s.names == nil {
		s.names = map[string]time.Time{}
	}
	s.self, s.enrolled = self, enrolled
	s.version++
	if !enrolled {
		s.confirmedSince = time.Time{}
	}
	for name, at := range s.names {
		if at.IsZero() {
			s.names[name] = now
		} else if now.Sub(at) > holdTime {
			delete(s.names, name)
		}
	}
	s.names[self] = time.Time{}
	for _, name := range names {
		s.names[name] = time.Time{}
	}
}

// confirm records that the store has answered a call that was sent at sentAt, and that the list of instances holds the changes
// which it had acknowledged by then.
func (s *share) confirm(now, sentAt time.Time) {
	if now.Sub(s.confirmedAt) > maxConfirmationAge {
		s.confirmedSince = time.Time{}
	}
	s.confirmedAt = sentAt
	if s.enrolled && s.confirmedSince.IsZero() {
		s.confirmedSince = now
	}
}

// position is the place of this instance in the rendezvous order of the instances for an upstream. It is kept, since it takes a
// hash of each name.
type position struct {
	n, rank int
	// version is the version of the list that it was computed from, validUntil the last time at which all its names count; zero is
	// never.
	version    int
	validUntil time.Time
}

// part returns the number of requests that this instance may send to a cold upstream within sendSpan, if all instances
// together may send the given number. p is the position for the upstream, which is updated.
func (s *share) part(now time.Time, upstream string, bound int, p *position) int {
	if bound <= 0 || s.confirmedSince.IsZero() || now.Sub(s.confirmedSince) < holdTime || now.Sub(s.confirmedAt) > maxConfirmationAge {
		return 0
	}
	if p.version != s.version || !p.validUntil.IsZero() && now.After(p.validUntil) {
		*p = s.position(now, upstream)
	}
	if p.rank >= bound {
		return 0
	}
	return (bound - p.rank + p.n - 1) / p.n
}

// position computes the position for an upstream.
func (s *share) position(now time.Time, upstream string) position {
	p, own := position{version: s.version}, weight(upstream, s.self)
	for name, at := range s.names {
		if !at.IsZero() {
			until := at.Add(holdTime)
			if now.After(until) {
				continue
			}
			if p.validUntil.IsZero() || until.Before(p.validUntil) {
				p.validUntil = until
			}
		}
		p.n++
		if w := weight(upstream, name); w > own || w == own && name > s.self {
			p.rank++
		}
	}
	return p
}

// weight returns the weight of an instance in the rendezvous order for an upstream.
func weight(upstream, instance string) uint64 {
	return xxhash.Sum64String(upstream + "\x00" + instance)
}
