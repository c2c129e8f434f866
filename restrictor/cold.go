package restrictor

import (
	"math"
	"slices"
	"time"

	"carobbend.example/carobbend"
)

const (
	// maxWarmup bounds the time for which an upstream counts as cold after one report, so that a wrong one doesn't bound
	// its requests until it is replaced.
	maxWarmup = 10 * time.Minute
	// maxBound bounds the requests to a cold upstream within sendSpan, whose times are kept.
	maxBound = 100_000
)

// Warmup bounds the requests to a cold upstream from all instances: in any second Overage times the service's rate, and Slack.
// The zero value allows none.
type Warmup struct {
	Overage, Slack float64
}

// cold is the state of an upstream that is cold or may be.
type cold struct {
	// seenAt is when its process was first seen, if that was after this instance had read the first list; else zero.
	seenAt time.Time
	// until is the end of the time that it stated.
	until time.Time
	// sent holds the times of the requests that were sent to it while it was cold, those of the last sendSpan.
	sent []time.Time
	// position is this instance's position for the upstream.
	position position
}

// knownRecord is the part of an upstream's record by which a change is recognized.
type knownRecord struct {
	process
	warmupLeft time.Duration
	sequence   int64
	// update is the number of the last update that had the record.
	update int
}

// SetServices replaces the services, whose warm-up bounds the requests to their cold upstreams.
func (r *Restrictor) SetServices(now time.Time, services []carobbend.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.services = make(map[string]carobbend.Service, len(services))
	for _, s := range services {
		r.services[s.Name] = s
	}
	r.droppedAt = time.Time{}
	r.dropEnded(now)
}

// SetInstances replaces the list of instances, among which the requests to a cold upstream are divided. enrolled says that the
// entry of this process is in the list.
func (r *Restrictor) SetInstances(now time.Time, self string, enrolled bool, names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.share.setInstances(now, self, enrolled, names)
}

// Confirm records that the store has answered a call that was sent at sentAt, after SetInstances received what it returned.
func (r *Restrictor) Confirm(now, sentAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.share.confirm(now, sentAt)
}

// updateCold takes the record of an upstream and reports whether it became cold; first says that it is part of the first list. r.mu
// must be held.
func (r *Restrictor) updateCold(now time.Time, u carobbend.UpstreamRecord, first bool) bool {
	k := knownRecord{processOf(u), u.WarmupLeft, u.Sequence, r.updates}
	old, known := r.known[u.ID]
	r.known[u.ID] = k
	old.update = k.update
	if known && old == k {
		return false
	}
	started := !first && (!known || old.replacedBy(u))
	if !started && u.WarmupLeft <= 0 {
		return false
	}
	before := r.isCold(now, u)
	s := r.upstream(u.ID)
	s.service = u.Service
	if started {
		s.cold.seenAt = now
	}
	s.cold.extend(now, u.WarmupLeft)
	return !before && r.isCold(now, u)
}

// extend records that the upstream is cold for a time from now.
func (c *cold) extend(now time.Time, left time.Duration) {
	if until := now.Add(min(left, maxWarmup)); left > 0 && until.After(c.until) {
		c.until = until
	}
}

// ObserveWarmup records that an upstream stated in a reply for how long it is still cold.
func (r *Restrictor) ObserveWarmup(now time.Time, u carobbend.UpstreamRecord, left time.Duration) {
	if left <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.upstream(u.ID)
	s.service = u.Service
	s.cold.extend(now, left)
}

// coldUntil returns the time until which an upstream counts as cold; r.mu must be held.
func (r *Restrictor) coldUntil(s *upstream) time.Time {
	until := s.cold.until
	if s.cold.seenAt.IsZero() {
		return until
	}
	// A service that no routing names yet may turn out to have any warm-up time.
	warmup := maxWarmup
	if service, ok := r.services[s.service]; ok {
		warmup = min(service.WarmupTime, maxWarmup)
	}
	if started := s.cold.seenAt.Add(warmup); started.After(until) {
		return started
	}
	return until
}

// isCold reports whether the requests to an upstream are bounded since it is cold; r.mu must be held.
func (r *Restrictor) isCold(now time.Time, u carobbend.UpstreamRecord) bool {
	s := r.upstreams[u.ID]
	return s != nil && r.services[u.Service].WarmupRate > 0 && now.Before(r.coldUntil(s))
}

// coldWait returns the time until this instance may send another request to a cold upstream: 0 if it may now, and
// unknownRetryAfter if it has no part of them; r.mu must be held.
func (r *Restrictor) coldWait(now time.Time, u carobbend.UpstreamRecord) time.Duration {
	bound := math.Floor(r.services[u.Service].WarmupRate*r.Warmup.Overage + r.Warmup.Slack)
	part := r.share.part(now, string(u.ID), int(min(max(bound, 0), maxBound)), &r.upstreams[u.ID].cold.position)
	c := &r.upstreams[u.ID].cold
	c.sent = slices.DeleteFunc(c.sent, func(at time.Time) bool { return now.Sub(at) >= sendSpan })
	switch {
	case part == 0:
		return unknownRetryAfter
	case len(c.sent) < part:
		return 0
	default:
		return c.sent[len(c.sent)-part].Add(sendSpan).Sub(now)
	}
}

// take counts a request to an upstream if it is cold; r.mu must be held.
func (r *Restrictor) take(now time.Time, u carobbend.UpstreamRecord) {
	if r.isCold(now, u) {
		c := &r.upstreams[u.ID].cold
		c.sent = append(c.sent, now)
	}
}
