package forwarder

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/exchanger"
	"carobbend.example/carobbend/gatherer"
	"carobbend.example/carobbend/restrictor"
	"carobbend.example/carobbend/timekeeper"
)

// maxLoggedValue is the number of bytes of an invalid value that are logged.
const maxLoggedValue = 40

// SetEvacuated replaces the evacuated data centres. Once it returns, no request is sent there any more; those in flight end
// normally, and those that wait for a connection go elsewhere.
func (f *Forwarder) SetEvacuated(dcs []carobbend.DataCentre) {
	begun, ended := f.Restrictor.SetEvacuated(dcs)
	if len(begun) > 0 {
		f.Exchanger.Remove(f.upstreams.in(begun)...)
	}
	for _, e := range begun {
		f.log.log.Info("evacuation requested", "data-centre", e.DataCentre, "in-flight", e.InFlight)
		if e.InFlight == 0 {
			f.logDrained(e.DataCentre)
		}
	}
	for _, e := range ended {
		f.log.log.Info("evacuation ended", "data-centre", e.DataCentre, "in-flight", e.InFlight)
	}
}

func (f *Forwarder) logDrained(dc carobbend.DataCentre) {
	f.log.log.Info("evacuation in effect, no request is in flight there", "data-centre", dc)
}

// bootTime returns the time on a clock that includes the time for which the machine was suspended, which the restrictor is given.
func (f *Forwarder) bootTime() time.Time {
	return time.Now().Add(f.noteSuspension(f.Suspended()))
}

// noteSuspension takes a value of Suspended and returns the one to use: the last one, unless they differ by a suspension. Smaller
// differences come from reading the clocks, and would make bootTime go back.
func (f *Forwarder) noteSuspension(suspended time.Duration) time.Duration {
	last := f.suspended.Load()
	if suspended-time.Duration(last) < timekeeper.MinSuspension {
		return time.Duration(last)
	}
	f.suspended.CompareAndSwap(last, int64(suspended))
	return suspended
}

// candidates returns the upstreams of a service that take new work and may be sent to. Reading the suspension takes system calls,
// so the last known one is used: a permission is asked before anything is written.
func (f *Forwarder) candidates(service string) []carobbend.UpstreamID {
	ids := f.upstreams.Candidates(service)
	if !f.Restrictor.Active() {
		return ids
	}
	return f.Restrictor.Filter(time.Now().Add(time.Duration(f.suspended.Load())), ids, f.upstreams.Record)
}

// updateRestrictions takes the records of all upstreams: it notes those that became cold, and drops the restrictions of processes
// that are gone. It is called before these records are used.
func (f *Forwarder) updateRestrictions(records []carobbend.UpstreamRecord) {
	for _, u := range f.Restrictor.Update(f.bootTime(), records) {
		f.log.notice("upstream is cold", u, "left-ms", u.WarmupLeft.Milliseconds())
	}
}

// UpdateUpstreams takes the records of all upstreams and returns what changed. Once it returns, no request is sent to an upstream
// that is leaving, has left or was replaced: those in flight end normally, and those that wait for a connection go elsewhere.
func (f *Forwarder) UpdateUpstreams(records []carobbend.UpstreamRecord) Change {
	f.updateRestrictions(records)
	c := f.upstreams.Update(records)
	ids := make([]carobbend.UpstreamID, 0, len(c.Joined)+len(c.Leaving)+len(c.Left))
	for _, r := range slices.Concat(c.Joined, c.Leaving, c.Left) {
		ids = append(ids, r.ID)
	}
	f.Exchanger.Remove(ids...)
	return c
}

// UpdateServices takes the services of a routing before it is used.
func (f *Forwarder) UpdateServices(services []carobbend.Service) {
	f.Restrictor.SetServices(f.bootTime(), services)
}

// UpdateInstances takes the list of instances, among which the requests to a cold upstream are divided.
func (f *Forwarder) UpdateInstances(self carobbend.Instance, instances map[string]carobbend.Instance) {
	own, ok := instances[self.Name]
	f.Restrictor.SetInstances(f.bootTime(), self.Name, ok && own.Incarnation == self.Incarnation, slices.Collect(maps.Keys(instances)))
}

// ConfirmInstances records that the list of instances holds all changes that the store had acknowledged the given time ago.
func (f *Forwarder) ConfirmInstances(age time.Duration) {
	now := f.bootTime()
	f.Restrictor.Confirm(now, now.Add(-age))
}

// Restricted returns the number of restricted upstreams by reason, without those in evacuated data centres.
func (f *Forwarder) Restricted() map[restrictor.Reason]int { return f.Restrictor.Counts(f.bootTime()) }

// permission decides about one attempt right before its request is written, since the attempt may have waited for a connection
// after its upstream was chosen.
type permission struct {
	f *Forwarder
	// written is that of the query.
	written *atomic.Bool
	record  carobbend.UpstreamRecord
	granted bool
}

// newPermission returns the permission of an attempt to an upstream and sets it in its target.
func (q *query) newPermission(u carobbend.UpstreamRecord, t *exchanger.Target) *permission {
	p := &permission{f: q.f, written: &q.written, record: u}
	t.Usable, t.Permit, t.Observe = p.mayWait, p.ask, p.observe
	return p
}

// mayWait reports whether the request may still be written, as far as neither the time nor other requests decide.
func (p *permission) mayWait() bool {
	return p.f.upstreams.takesWork(p.record) && (!p.f.refusing.Load() || p.written.Load())
}

func (p *permission) ask() bool {
	if !p.mayWait() {
		return false
	}
	var now time.Time
	if p.f.Restrictor.Active() {
		// Otherwise the time doesn't matter.
		now = p.f.bootTime()
	}
	p.granted = p.f.Restrictor.Permit(now, p.record) == restrictor.None
	if p.granted {
		p.written.Store(true)
	}
	return p.granted
}

// observe takes what a reply says about its upstream.
func (p *permission) observe(n exchanger.Notice) {
	if n.Leaving && p.f.Restrictor.ObserveLeaving(p.f.bootTime(), p.record) {
		p.f.log.notice("upstream announced that it is leaving", p.record)
	}
	if n.WarmupLeft > 0 {
		p.f.Restrictor.ObserveWarmup(p.f.bootTime(), p.record, n.WarmupLeft)
	}
	if n.RetryAfter > 0 {
		if d := p.f.Restrictor.ObserveRetryAfter(p.f.bootTime(), p.record, n.RetryAfter); d > 0 {
			p.f.log.notice("upstream asked for a pause", p.record, "asked-ms", n.RetryAfter.Milliseconds(), "pause-ms", d.Milliseconds())
		}
	}
	if n.InvalidRetryAfter != "" {
		p.f.log.notice("upstream sent an invalid Retry-After, which is ignored", p.record,
			"value", n.InvalidRetryAfter[:min(len(n.InvalidRetryAfter), maxLoggedValue)])
	}
}

// finished records the end of the attempt.
func (p *permission) finished() {
	if p.granted && p.f.Restrictor.Finished(p.record) {
		p.f.logDrained(p.record.DataCentre)
	}
}

// untilServable returns the time after which enough services are expected to have an upstream that may be sent to for the
// minimum coverage; 0 if they have now. Services without any upstream count with retryAfter, since nothing is known of them.
func (f *Forwarder) untilServable(services []string, minCoverage float64) time.Duration {
	now := f.bootTime()
	waits := make([]time.Duration, 0, len(services))
	for _, s := range services {
		ids := f.upstreams.Candidates(s)
		wait := f.Restrictor.RetryAfter(now, ids, f.upstreams.Record)
		if len(ids) == 0 {
			wait = retryAfter
		}
		waits = append(waits, wait)
	}
	slices.Sort(waits)
	return waits[gatherer.Need(len(services), minCoverage)-1]
}
