// Package restrictor decides to which upstreams an instance may send requests, beyond what the list of upstreams says: none
// go to a data centre that is evacuated, to an upstream that asked for a pause, or to one that announced a while ago that it is
// leaving, and those to a cold upstream are bounded over all instances.
//
// The decision is asked twice for each attempt: when its candidates are formed (Filter), and right before its request is
// written to a connection (Permit), since it may have waited for one while a restriction began.
//
// The package does no I/O and reads no clock; all times are passed in and must come from one clock that doesn't go back. A
// Restrictor is safe for concurrent use.
//
// # Usage
//
//	r := &restrictor.Restrictor{}
//	begun, ended := r.SetEvacuated([]carobbend.DataCentre{"leon"})
//	ids := r.Filter(now, set.Candidates(service), set.Record)
//	if reason := r.Permit(now, record); reason == restrictor.None {
//		write(request)
//		r.ObserveRetryAfter(now, record, reply.RetryAfter)
//		drained := r.Finished(record)
//	}
package restrictor

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"carobbend.example/carobbend"
)

// Reason says why an upstream must not be sent to.
type Reason string

const (
	// None says that the upstream may be sent to.
	None Reason = ""
	// Evacuated says that the upstream's data centre is evacuated.
	Evacuated Reason = "evacuated"
	// Leaving says that the upstream announced that it is leaving.
	Leaving Reason = "leaving"
	// Paused says that the upstream asked for a pause.
	Paused Reason = "paused"
	// Cold says that the upstream is cold and this instance has used up its part of the requests that it may get.
	Cold Reason = "cold"
)

// unknownRetryAfter is the time after which a caller may come back that was refused because of a restriction whose end isn't
// known. A second is short against the time that an evacuation or the replacement of an upstream takes.
const unknownRetryAfter = time.Second

// maxDataCentres bounds the data centres for which requests are counted.
const maxDataCentres = 64

// Restrictor holds the restrictions on upstreams. The zero value has none.
type Restrictor struct {
	// DrainTime is the time within which requests to an upstream must end after it announced that it is leaving; 0 means
	// DefaultDrainTime. It is set before the first use.
	DrainTime time.Duration
	// Warmup bounds the requests to cold upstreams. It is set before the first use.
	Warmup Warmup

	// active is set while there may be a restriction, so that Filter costs nothing without one.
	active atomic.Bool

	mu          sync.Mutex
	dataCentres map[carobbend.DataCentre]*dataCentre
	upstreams   map[carobbend.UpstreamID]*upstream
	// droppedAt is when the upstreams without restrictions were last dropped.
	droppedAt time.Time
	services  map[string]carobbend.Service
	share     share
	// known holds the upstreams of the last update; nil before the first one. updates counts the updates.
	known   map[carobbend.UpstreamID]knownRecord
	updates int
}

// dataCentre is the state of one data centre.
type dataCentre struct {
	evacuated bool
	// drained says that the evacuation is in effect: no request has been in flight there since it began.
	drained  bool
	inFlight int
}

// Evacuation is the evacuation of a data centre.
type Evacuation struct {
	DataCentre carobbend.DataCentre
	// InFlight is the number of requests in flight there.
	InFlight int
}

// Active reports whether there may be a restriction. While there is none, the times that are passed in may be zero.
func (r *Restrictor) Active() bool { return r.active.Load() }

// SetEvacuated replaces the evacuated data centres and returns those that were added and removed, ordered by name. After
// it, Permit permits no further request to an evacuated one.
func (r *Restrictor) SetEvacuated(names []carobbend.DataCentre) (begun, ended []Evacuation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	wanted := make(map[carobbend.DataCentre]struct{}, len(names))
	for _, name := range names {
		wanted[name] = struct{}{}
		if d := r.dataCentre(name); !d.evacuated {
			d.evacuated, d.drained = true, d.inFlight == 0
			begun = append(begun, Evacuation{name, d.inFlight})
		}
	}
	for name, d := range r.dataCentres {
		if _, ok := wanted[name]; !ok && d.evacuated {
			d.evacuated = false
			ended = append(ended, Evacuation{name, d.inFlight})
			r.forgetIdle(name, d)
		}
	}
	byName := func(a, b Evacuation) int { return cmp.Compare(a.DataCentre, b.DataCentre) }
	slices.SortFunc(begun, byName)
	slices.SortFunc(ended, byName)
	r.updateActive()
	return begun, ended
}

// updateActive sets active; r.mu must be held.
func (r *Restrictor) updateActive() {
	active := len(r.upstreams) > 0
	for _, d := range r.dataCentres {
		active = active || d.evacuated
	}
	r.active.Store(active)
}

// dataCentre returns the state of a data centre; r.mu must be held.
func (r *Restrictor) dataCentre(name carobbend.DataCentre) *dataCentre {
	d := r.dataCentres[name]
	if d == nil {
		if r.dataCentres == nil {
			r.dataCentres = map[carobbend.DataCentre]*dataCentre{}
		}
		d = &dataCentre{}
		r.dataCentres[name] = d
	}
	return d
}

// forgetIdle removes the state of a data centre that has none, once there are many; r.mu must be held.
func (r *Restrictor) forgetIdle(name carobbend.DataCentre, d *dataCentre) {
	if !d.evacuated && d.inFlight == 0 && len(r.dataCentres) > maxDataCentres {
		delete(r.dataCentres, name)
	}
}

// Allowed returns why an upstream must not be sent to, or None.
func (r *Restrictor) Allowed(now time.Time, u carobbend.UpstreamRecord) Reason {
	if !r.active.Load() {
		return None
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reason(now, u)
}

// reason is Allowed; r.mu must be held.
func (r *Restrictor) reason(now time.Time, u carobbend.UpstreamRecord) Reason {
	d, s := r.dataCentres[u.DataCentre], r.upstreams[u.ID]
	switch {
	case d != nil && d.evacuated:
		return Evacuated
	case s == nil:
		return None
	case s.isPaused(now, u):
		return Paused
	case r.isCold(now, u) && r.coldWait(now, u) > 0:
		return Cold
	case s.isLeaving(u):
		return Leaving
	default:
		return None
	}
}

// Filter returns the candidates that may be sent to. Upstreams that announced that they are leaving are among them only if there
// is no other one, and only for a part of the drain time. It may return the slice that it is given.
func (r *Restrictor) Filter(now time.Time, ids []carobbend.UpstreamID, record Records) []carobbend.UpstreamID {
	if !r.active.Load() {
		return ids
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropEnded(now)
	allowed := make([]carobbend.UpstreamID, 0, len(ids))
	var leaving []carobbend.UpstreamID
	for _, id := range ids {
		u, ok := record(id)
		if !ok {
			continue
		}
		switch r.reason(now, u) {
		case None:
			allowed = append(allowed, id)
		case Leaving:
			if r.mayUseLeaving(now, id) {
				leaving = append(leaving, id)
			}
		case Evacuated, Paused, Cold:
		}
	}
	if len(allowed) == 0 {
		return leaving
	}
	return allowed
}

// Records returns the record of an upstream, or false if it isn't known.
type Records func(carobbend.UpstreamID) (carobbend.UpstreamRecord, bool)

// RetryAfter returns the time until the first of the candidates may be sent to: 0 if one may be now or if there is none.
func (r *Restrictor) RetryAfter(now time.Time, ids []carobbend.UpstreamID, record Records) time.Duration {
	if !r.active.Load() {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	earliest := time.Duration(-1)
	for _, id := range ids {
		u, ok := record(id)
		if !ok {
			continue
		}
		if after := r.untilAllowed(now, u); earliest < 0 || after < earliest {
			earliest = after
		}
	}
	return max(earliest, 0)
}

// untilAllowed returns the time until an upstream may be sent to, an estimate where it isn't known; r.mu must be held.
func (r *Restrictor) untilAllowed(now time.Time, u carobbend.UpstreamRecord) time.Duration {
	switch r.reason(now, u) {
	case Evacuated:
		return unknownRetryAfter
	case Paused:
		return r.upstreams[u.ID].pause.until.Sub(now)
	case Leaving:
		if r.mayUseLeaving(now, u.ID) {
			return 0
		}
		return unknownRetryAfter
	case Cold:
		return r.coldWait(now, u)
	default:
		return 0
	}
}

// Permit is asked right before a request is written, and returns why it must not be, or None. Each permitted request is
// followed by a call of Finished.
func (r *Restrictor) Permit(now time.Time, u carobbend.UpstreamRecord) Reason {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reason := r.reason(now, u); reason != None && (reason != Leaving || !r.mayUseLeaving(now, u.ID)) {
		return reason
	}
	r.take(now, u)
	r.dataCentre(u.DataCentre).inFlight++
	return None
}

// Finished records the end of a permitted request. It reports whether this brings the evacuation of the upstream's data
// centre into effect: no request is in flight there any more.
func (r *Restrictor) Finished(u carobbend.UpstreamRecord) (drained bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.dataCentre(u.DataCentre)
	d.inFlight = max(d.inFlight-1, 0)
	if d.evacuated && !d.drained && d.inFlight == 0 {
		d.drained = true
		return true
	}
	r.forgetIdle(u.DataCentre, d)
	return false
}

// DataCentreStatus is the state of a data centre for operators.
type DataCentreStatus struct {
	Name      carobbend.DataCentre
	Evacuated bool
	InFlight  int
}

// DataCentres returns the state of the data centres to which requests were sent or that are evacuated, ordered by name, at
// most 64.
func (r *Restrictor) DataCentres() []DataCentreStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]DataCentreStatus, 0, len(r.dataCentres))
	for name, d := range r.dataCentres {
		out = append(out, DataCentreStatus{name, d.evacuated, d.inFlight})
	}
	slices.SortFunc(out, func(a, b DataCentreStatus) int { return cmp.Compare(a.Name, b.Name) })
	return out[:min(len(out), maxDataCentres)]
}
