package restrictor

import (
	"maps"
	"time"

	"carobbend.example/carobbend"
)

const (
	// DefaultDrainTime is the drain time where none is set: the shortest of the known deployments.
	DefaultDrainTime = 3 * time.Second
	// leavingUse is the part of the drain time for which a leaving upstream may be used where there is no other one. The rest
	// covers the time until a written request arrives, also if packets are lost.
	leavingUse = 0.8
	// MaxPause bounds the pause that an upstream may ask for: a longer one is taken for a fault of the upstream, which would
	// otherwise stay out of use until it is replaced.
	MaxPause = 30 * time.Second
	// leavingRetention is how long it is remembered, after an upstream's record disappeared, that it was leaving. Its record
	// may come back under the same start time, written by a delayed call.
	leavingRetention = time.Hour
	// dropInterval is the least time between two searches for states that restrict nothing any more.
	dropInterval = time.Second
)

// upstream is the state of one upstream.
type upstream struct {
	leaving leaving
	pause   pause
	cold    cold
	// service is the upstream's service, as far as it was needed.
	service string
	// goneSince is when the record of the upstream was first missing; zero while it is there.
	goneSince time.Time
}

// leaving is the announcement of a process that it is leaving. The zero value is none.
type leaving struct {
	since time.Time
	process
}

// pause is a pause that a process asked for. The zero value is none.
type pause struct {
	until time.Time
	process
}

// process identifies a process under an upstream's id. Where start times aren't known, it is its address.
type process struct {
	startedMs int64
	address   string
}

func processOf(u carobbend.UpstreamRecord) process { return process{u.StartedMs, u.Address} }

// replacedBy reports whether a record shows another, later process.
func (p process) replacedBy(u carobbend.UpstreamRecord) bool {
	if p.startedMs == 0 && u.StartedMs == 0 {
		return p.address != u.Address
	}
	return u.StartedMs > p.startedMs
}

func (s *upstream) isLeaving(u carobbend.UpstreamRecord) bool {
	return !s.leaving.since.IsZero() && !s.leaving.replacedBy(u)
}

func (s *upstream) isPaused(now time.Time, u carobbend.UpstreamRecord) bool {
	return now.Before(s.pause.until) && !s.pause.replacedBy(u)
}

// isEmpty reports whether a state holds nothing that may still restrict; r.mu must be held.
func (r *Restrictor) isEmpty(now time.Time, s *upstream) bool {
	return s.leaving.since.IsZero() && !now.Before(s.pause.until) && !now.Before(r.coldUntil(s))
}

// upstream returns the state of an upstream; r.mu must be held.
func (r *Restrictor) upstream(id carobbend.UpstreamID) *upstream {
	s := r.upstreams[id]
	if s == nil {
		if r.upstreams == nil {
			r.upstreams = map[carobbend.UpstreamID]*upstream{}
		}
		s = &upstream{}
		r.upstreams[id] = s
		r.active.Store(true)
	}
	return s
}

// mayUseLeaving reports whether a leaving upstream may still be used where there is no other one; r.mu must be held.
func (r *Restrictor) mayUseLeaving(now time.Time, id carobbend.UpstreamID) bool {
	drain := r.DrainTime
	if drain <= 0 {
		drain = DefaultDrainTime
	}
	return now.Sub(r.upstreams[id].leaving.since) < time.Duration(leavingUse*float64(drain))
}

// ObserveLeaving records that an upstream announced that it is leaving; u is its record when the request was sent. The
// announcement holds until the upstream has a later start time, or, where start times aren't known, another address or no record
// any more. It reports whether this is the first announcement.
func (r *Restrictor) ObserveLeaving(now time.Time, u carobbend.UpstreamRecord) (first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.upstream(u.ID)
	if !s.leaving.since.IsZero() && !s.leaving.replacedBy(u) {
		return false
	}
	s.leaving = leaving{now, processOf(u)}
	return true
}

// ObserveRetryAfter records that an upstream asked for a pause; u is its record when the request was sent. It returns the
// pause, which is bounded by MaxPause, or 0 if a longer one is in force.
func (r *Restrictor) ObserveRetryAfter(now time.Time, u carobbend.UpstreamRecord, after time.Duration) time.Duration {
	after = min(after, MaxPause)
	if after <= 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.upstream(u.ID)
	if s.pause.startedMs > u.StartedMs || !s.pause.replacedBy(u) && s.pause.until.Sub(now) >= after {
		return 0
	}
	s.pause = pause{now.Add(after), processOf(u)}
	return after
}

// dropEnded drops the states that restrict nothing any more, at most once in dropInterval; r.mu must be held.
func (r *Restrictor) dropEnded(now time.Time) {
	if now.Sub(r.droppedAt) < dropInterval {
		return
	}
	r.droppedAt = now
	for id, s := range r.upstreams {
		if r.isEmpty(now, s) {
			delete(r.upstreams, id)
		}
	}
	r.updateActive()
}

// Update takes the records of all upstreams and drops what it knew about processes that they show to be gone. It returns the
// upstreams that became cold.
func (r *Restrictor) Update(now time.Time, records []carobbend.UpstreamRecord) (becameCold []carobbend.UpstreamRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := r.known == nil
	if first {
		r.known = make(map[carobbend.UpstreamID]knownRecord, len(records))
	}
	r.updates++
	for _, u := range records {
		if r.updateCold(now, u, first) {
			becameCold = append(becameCold, u)
		}
		if s := r.upstreams[u.ID]; s != nil {
			s.goneSince = time.Time{}
			if s.leaving.replacedBy(u) {
				s.leaving = leaving{}
			}
		}
	}
	for id, s := range r.upstreams {
		if r.known[id].update != r.updates {
			s.gone(now)
		}
	}
	if len(r.known) > len(records) {
		maps.DeleteFunc(r.known, func(_ carobbend.UpstreamID, k knownRecord) bool { return k.update != r.updates })
	}
	r.droppedAt = time.Time{}
	r.dropEnded(now)
	return becameCold
}

// gone records that the upstream has no record.
func (s *upstream) gone(now time.Time) {
	if s.goneSince.IsZero() {
		s.goneSince = now
	}
	if s.leaving.startedMs == 0 || now.Sub(s.goneSince) >= leavingRetention {
		s.leaving = leaving{}
	}
}

// Counts returns the number of upstreams that are leaving, paused or cold.
func (r *Restrictor) Counts(now time.Time) map[Reason]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := map[Reason]int{Leaving: 0, Paused: 0, Cold: 0}
	for _, s := range r.upstreams {
		if !s.goneSince.IsZero() {
			continue
		}
		if !s.leaving.since.IsZero() {
			n[Leaving]++
		}
		if now.Before(s.pause.until) {
			n[Paused]++
		}
		if r.services[s.service].WarmupRate > 0 && now.Before(r.coldUntil(s)) {
			n[Cold]++
		}
	}
	return n
}
