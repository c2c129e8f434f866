package forwarder

import (
	"cmp"
	"slices"
	"sync/atomic"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/exchanger"
	"carobbend.example/carobbend/limiter"
	"carobbend.example/carobbend/restrictor"
)

// UpstreamSet is the current set of upstreams by service. The zero value is empty; it is safe for concurrent use.
type UpstreamSet struct {
	view atomic.Pointer[view]
}

type view struct {
	services map[string][]carobbend.UpstreamID
	records  map[carobbend.UpstreamID]carobbend.UpstreamRecord
}

// Change lists what differs between two updates of an UpstreamSet.
type Change struct {
	// Joined lists new upstreams and new processes under a known id, Left the removed ones, and Leaving those that take no new
	// work as of this update.
	Joined, Left, Leaving []carobbend.UpstreamRecord
}

// Update replaces the set and returns the difference.
func (s *UpstreamSet) Update(records []carobbend.UpstreamRecord) Change {
	v := &view{
		services: map[string][]carobbend.UpstreamID{},
		records:  make(map[carobbend.UpstreamID]carobbend.UpstreamRecord, len(records)),
	}
	for _, r := range records {
		v.records[r.ID] = r
		if !r.Leaving {
			v.services[r.Service] = append(v.services[r.Service], r.ID)
		}
	}
	for _, ids := range v.services {
		slices.Sort(ids)
	}
	var c Change
	old := s.view.Swap(v)
	if old == nil {
		old = &view{}
	}
	for id, r := range v.records {
		o, known := old.records[id]
		switch {
		case !known || o.StartedMs != r.StartedMs || o.Address != r.Address || (o.Leaving && !r.Leaving):
			c.Joined = append(c.Joined, r)
		case r.Leaving && !o.Leaving:
			c.Leaving = append(c.Leaving, r)
		}
	}
	for id, o := range old.records {
		if _, ok := v.records[id]; !ok {
			c.Left = append(c.Left, o)
		}
	}
	byID := func(a, b carobbend.UpstreamRecord) int { return cmp.Compare(a.ID, b.ID) }
	slices.SortFunc(c.Joined, byID)
	slices.SortFunc(c.Left, byID)
	slices.SortFunc(c.Leaving, byID)
	return c
}

// Candidates returns the upstreams of a service that take new work, ordered by id; the result must not be modified.
func (s *UpstreamSet) Candidates(service string) []carobbend.UpstreamID {
	if v := s.view.Load(); v != nil {
		return v.services[service]
	}
	return nil
}

// Record returns what an upstream announced.
func (s *UpstreamSet) Record(id carobbend.UpstreamID) (carobbend.UpstreamRecord, bool) {
	v := s.view.Load()
	if v == nil {
		return carobbend.UpstreamRecord{}, false
	}
	r, ok := v.records[id]
	return r, ok
}

// takesWork reports whether the process of an earlier record is still in the set and takes new work.
func (s *UpstreamSet) takesWork(r carobbend.UpstreamRecord) bool {
	now, ok := s.Record(r.ID)
	return ok && !now.Leaving && now.StartedMs == r.StartedMs && now.Address == r.Address && now.Service == r.Service
}

// in returns the upstreams in data centres.
func (s *UpstreamSet) in(dcs []restrictor.Evacuation) []carobbend.UpstreamID {
	var ids []carobbend.UpstreamID
	if v := s.view.Load(); v != nil {
		for id, r := range v.records {
			if slices.ContainsFunc(dcs, func(e restrictor.Evacuation) bool { return e.DataCentre == r.DataCentre }) {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

// Size returns the number of upstreams, leaving ones included.
func (s *UpstreamSet) Size() int {
	if v := s.view.Load(); v != nil {
		return len(v.records)
	}
	return 0
}

// target returns the address of an upstream and the number of connections that this instance may hold to it, and its record.
func (f *Forwarder) target(id carobbend.UpstreamID, maxConns int) (exchanger.Target, carobbend.UpstreamRecord, bool) {
	r, ok := f.upstreams.Record(id)
	if !ok {
		return exchanger.Target{}, r, false
	}
	share := unboundedConns
	if maxConns > 0 {
		share = limiter.ConnShare(maxConns, max(f.instances(), 1))
	}
	return exchanger.Target{ID: id, Address: r.Address, MaxConns: share}, r, true
}
