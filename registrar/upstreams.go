package registrar

import (
	"sync"
	"time"

	"carobbend.example/carobbend"
)

const (
	// UnusableGrace is how long a removal is deferred after an entry that can't be used replaced the upstream's own one: the
	// removal may be that of the other entry. Upstreams write their entry about every 1.2 s.
	UnusableGrace = 1500 * time.Millisecond
	// undetectedOutage is the longest time for which an outage of the store may last before it is noticed: the longest watch
	// and the time that its reply may take. A removal that short before is part of the outage.
	undetectedOutage = 5 * time.Second
	// expiryWindow, minExpired and expiredPart detect an outage that wasn't noticed at all: so many removals within the
	// window, and more than this part of all upstreams, are expired entries rather than upstreams that left.
	expiryWindow = 2 * time.Second
	minExpired   = 3
	expiredPart  = 0.25
	// An upstream whose entry was removed may be alive after all, as after it was frozen, or cut off from the store. It counts as
	// alive once it has had an entry again for revivalTime, or for renewalTime with minRenewals entries of increasing sequence.
	// Upstreams serve for some seconds after they left, and a late entry of theirs expires within 4 s.
	revivalTime = 30 * time.Second
	renewalTime = 10 * time.Second
	minRenewals = 5
	// departureRetention and maxDepartures bound what is kept of upstreams that left.
	departureRetention = time.Hour
	maxDepartures      = 16 << 10
)

// Reason says why an entry was not put in force; it is empty for one that was.
type Reason string

const (
	// ReasonNoStart is an entry without a start time in a deployment whose upstreams state it.
	ReasonNoStart Reason = "the entry has no start time"
	// ReasonOlder is an entry of an earlier process than the known one.
	ReasonOlder Reason = "the entry is that of an earlier process"
	// ReasonService is an entry with another service than that under which the process was first seen.
	ReasonService Reason = "the entry names another service than before"
	// ReasonUnnamed is an entry of a new process for a service that the routing doesn't name yet. It is kept and put in force
	// once the routing names the service.
	ReasonUnnamed Reason = "the routing doesn't name the service of the entry"
	// ReasonLeft is an entry of a process that left or announced that it is leaving.
	ReasonLeft Reason = "the upstream has left or is leaving"
)

// Rejection names an entry that was not put in force.
type Rejection struct {
	ID     carobbend.UpstreamID
	Reason Reason
}

// departure is what is kept of a process that left or announced that it is leaving.
type departure struct {
	record carobbend.UpstreamRecord
	at     time.Time
	// final says that the process doesn't come back: it said itself that it is leaving, and its start time identifies it.
	final bool
	// mayReturn says that the entry may only have expired, since the store was disturbed: the process may come back at once.
	mayReturn bool
	// candidate is its present entry, nil if there is none; since is when that was first seen, and renewals counts the entries of
	// increasing sequence since then.
	candidate *carobbend.UpstreamRecord
	since     time.Time
	renewals  int
}

// renew records an entry of the process.
func (d *departure) renew(now time.Time, e carobbend.UpstreamRecord) {
	switch {
	case d.candidate == nil:
		d.since, d.renewals = now, 1
	case e.Sequence > d.candidate.Sequence:
		d.renewals++
	}
	d.candidate = &e
}

// isAlive reports whether the process has had an entry for so long that it hasn't left.
func (d *departure) isAlive(now time.Time) bool {
	if d.candidate == nil {
		return false
	}
	age := now.Sub(d.since)
	return age >= revivalTime || (age >= renewalTime && d.renewals >= minRenewals)
}

// Upstreams keeps the records of upstreams as Registry does, and rejects entries that don't follow from the earlier ones
// under the same id, since entries may come from another writer or arrive late. It is safe for concurrent use.
//
// An id keeps its service and start time until an entry with a later start time replaces them. An upstream that announced
// that it is leaving, or whose entry was removed while the store was undisturbed, doesn't come back under the same start
// time. In a deployment without start times an entry belongs to the same process if it has the same address and its sequence
// didn't begin anew.
type Upstreams struct {
	registry *Registry[carobbend.UpstreamRecord]

	mu sync.Mutex
	// statesStart says that the upstreams of this deployment state their start time.
	statesStart bool
	// services holds the names that the routing of routingVersion contains.
	services       map[string]bool
	routingVersion uint64
	// unnamed holds entries of new processes whose service the routing doesn't name yet.
	unnamed map[string]carobbend.UpstreamRecord
	// overwritten holds the known ids whose present entry is not in force.
	overwritten map[string]bool
	left        map[string]*departure
	// removedAt holds the times of the removals within expiryWindow.
	removedAt []time.Time
}

// NewUpstreams returns an empty registry that defers removals for grace after the end of an outage.
func NewUpstreams(grace time.Duration) *Upstreams {
	return &Upstreams{
		registry: New[carobbend.UpstreamRecord](grace), services: map[string]bool{},
		unnamed: map[string]carobbend.UpstreamRecord{}, overwritten: map[string]bool{}, left: map[string]*departure{},
	}
}

// All returns the records by id, including those with a deferred removal.
func (u *Upstreams) All() map[string]carobbend.UpstreamRecord { return u.registry.All() }

// HeldRemovals returns the number of deferred removals.
func (u *Upstreams) HeldRemovals() int { return u.registry.HeldRemovals() }

// SetRouting takes the services that a routing names, and puts the entries in force that waited for it. It reports
// whether there were any.
func (u *Upstreams) SetRouting(now time.Time, r *carobbend.Routing) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if r.Version < u.routingVersion {
		return false
	}
	u.routingVersion = r.Version
	u.services = r.ServiceNames()
	changed := false
	for id, e := range u.unnamed {
		if u.services[e.Service] && u.put(now, e) == "" {
			changed = true
		}
		if u.services[e.Service] {
			delete(u.unnamed, id)
		}
	}
	return changed
}

// Put takes an entry and returns why it isn't in force, or "".
func (u *Upstreams) Put(now time.Time, e carobbend.UpstreamRecord) Reason {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.registry.Len() == 0 {
		u.statesStart = e.StartedMs != 0
	}
	return u.put(now, e)
}

// Unusable records that the present entry of an id can't be decoded. The last one stays in force.
func (u *Upstreams) Unusable(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reject(id)
}

// Remove removes a record and returns true, or defers the removal and returns false.
func (u *Upstreams) Remove(now time.Time, id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.remove(now, id)
}

// Replace takes the full list of the store. The ids in unusable have an entry that can't be decoded. It returns the entries
// that were not put in force.
func (u *Upstreams) Replace(now time.Time, records map[string]carobbend.UpstreamRecord, unusable []string) []Rejection {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(records) > 0 {
		starts := 0
		for _, e := range records {
			if e.StartedMs != 0 {
				starts++
			}
		}
		// Single entries of another writer don't decide.
		u.statesStart = 2*starts >= len(records)
	}
	present := make(map[string]bool, len(records)+len(unusable))
	for id := range records {
		present[id] = true
	}
	for _, id := range unusable {
		present[id] = true
		u.reject(id)
	}
	for id := range u.registry.All() {
		if !present[id] {
			u.remove(now, id)
		}
	}
	for id := range u.left {
		if !present[id] {
			u.left[id].candidate = nil
		}
	}
	var out []Rejection
	for _, e := range records {
		if reason := u.put(now, e); reason != "" {
			out = append(out, Rejection{e.ID, reason})
		}
	}
	return out
}

// StoreLost records the start of an outage. Removals shortly before it are taken for a part of it.
func (u *Upstreams) StoreLost(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.registry.StoreLost(now)
	u.allowReturn(now.Add(-undetectedOutage))
}

// StoreRegained records the end of an outage and starts the grace period.
func (u *Upstreams) StoreRegained(now time.Time) { u.registry.StoreRegained(now) }

// Expire removes the records whose deferred removal is due, and puts upstreams in force again that turned out to be alive. It
// reports whether there were any.
func (u *Upstreams) Expire(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	changed := u.expire(now)
	for id, d := range u.left {
		switch {
		case d.isAlive(now):
			delete(u.left, id)
			changed = u.put(now, *d.candidate) == "" || changed
		case d.candidate == nil && now.Sub(d.at) >= departureRetention:
			if _, known := u.registry.Get(id); !known {
				delete(u.left, id)
			}
		}
	}
	return changed
}

// expire removes the records whose deferred removal is due, and reports whether there were any.
func (u *Upstreams) expire(now time.Time) bool {
	if u.registry.HeldRemovals() == 0 {
		return false
	}
	before := u.registry.All()
	expired := u.registry.Expire(now)
	for _, id := range expired {
		delete(u.unnamed, id)
		delete(u.overwritten, id)
		if u.left[id] == nil {
			u.depart(now, before[id], departure{mayReturn: true})
		}
	}
	return len(expired) > 0
}

// put decides about an entry. u.mu is held, as in all unexported methods.
func (u *Upstreams) put(now time.Time, e carobbend.UpstreamRecord) Reason {
	id := string(e.ID)
	switch {
	case !u.statesStart:
		e.StartedMs = 0
	case e.StartedMs == 0:
		u.reject(id)
		return ReasonNoStart
	}
	o, known := u.registry.Get(id)
	if reason := u.check(now, o, known, e); reason != "" {
		u.reject(id)
		return reason
	}
	delete(u.unnamed, id)
	delete(u.overwritten, id)
	delete(u.left, id)
	if e.Leaving {
		u.depart(now, e, departure{final: e.StartedMs != 0})
	}
	u.registry.Put(id, e)
	return ""
}

// check returns why an entry may not replace the record o, which is valid if known.
func (u *Upstreams) check(now time.Time, o carobbend.UpstreamRecord, known bool, e carobbend.UpstreamRecord) Reason {
	id := string(e.ID)
	if d := u.left[id]; d != nil {
		switch {
		case u.isSameProcess(d.record, e) && d.mayReturn:
			if e.Service != d.record.Service && u.services[d.record.Service] {
				return ReasonService
			}
		case u.isSameProcess(d.record, e):
			if known && e.Leaving && e.Service == o.Service {
				return ""
			}
			if !e.Leaving && !d.final && e.Service == d.record.Service {
				d.renew(now, e)
			}
			return ReasonLeft
		case u.statesStart && e.StartedMs < d.record.StartedMs:
			return ReasonOlder
		}
	}
	if !known {
		return ""
	}
	newProcess := u.statesStart && e.StartedMs > o.StartedMs
	switch {
	case u.statesStart && e.StartedMs < o.StartedMs:
		return ReasonOlder
	case e.Service == o.Service:
	case !newProcess && (u.services[o.Service] || !u.services[e.Service]):
		return ReasonService
	case newProcess && !u.services[e.Service]:
		u.unnamed[id] = e
		return ReasonUnnamed
	}
	return ""
}

// isSameProcess reports whether an entry comes from the process of an earlier record.
func (u *Upstreams) isSameProcess(o, e carobbend.UpstreamRecord) bool {
	if u.statesStart {
		return e.StartedMs == o.StartedMs
	}
	return e.Address == o.Address && e.Sequence >= o.Sequence
}

// reject records that the present entry of an id is not in force.
func (u *Upstreams) reject(id string) {
	if _, known := u.registry.Get(id); known {
		u.overwritten[id] = true
	}
}

// remove removes a record, or defers the removal.
func (u *Upstreams) remove(now time.Time, id string) bool {
	delete(u.unnamed, id)
	if d := u.left[id]; d != nil {
		d.candidate = nil
	}
	if u.overwritten[id] {
		delete(u.overwritten, id)
		u.registry.Defer(id, now.Add(UnusableGrace))
		return false
	}
	o, known := u.registry.Get(id)
	if !known || !u.registry.Remove(now, id) {
		return false
	}
	if d := u.left[id]; d == nil {
		u.depart(now, o, departure{})
	}
	u.detectExpiry(now)
	return true
}

// depart records that a process left or is leaving.
func (u *Upstreams) depart(now time.Time, o carobbend.UpstreamRecord, d departure) {
	if len(u.left) >= maxDepartures {
		for id := range u.left {
			delete(u.left, id)
			break
		}
	}
	d.record, d.at = o, now
	u.left[string(o.ID)] = &d
}

// detectExpiry lets the upstreams of the last moments return if there are so many that their entries must have expired.
func (u *Upstreams) detectExpiry(now time.Time) {
	u.removedAt = append(u.removedAt, now)
	for now.Sub(u.removedAt[0]) > expiryWindow {
		u.removedAt = u.removedAt[1:]
	}
	n := len(u.removedAt)
	if n >= minExpired && float64(n) > expiredPart*float64(n+u.registry.Len()) {
		u.allowReturn(now.Add(-expiryWindow))
	}
}

// allowReturn lets the processes return whose entry was removed since a time, except those that announced that they are
// leaving.
func (u *Upstreams) allowReturn(since time.Time) {
	for _, d := range u.left {
		if !d.record.Leaving && !d.at.Before(since) {
			d.mayReturn = true
		}
	}
}
