package linker

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"carobbend.example/carobbend"
)

const (
	// noticeTTL is how long an instance that isn't on the list counts as live after its last notice. It covers the lag
	// of the list for an instance that has just started.
	noticeTTL = 10 * time.Second
	// listTTL, or listTTLReads read intervals if that is longer, is how long the last list remains valid while it can't
	// be read again.
	listTTL      = 30 * time.Second
	listTTLReads = 3
	// listReadsPerSecond bounds the reads of the list by all instances together. Each instance reads less often the more
	// instances there are, since the list grows with their number too.
	listReadsPerSecond = 16
	// unreachableFailures is the number of failed requests in a row after which a peer is no longer preferred.
	unreachableFailures = 2
	// unreachableTTL is how long such a peer isn't preferred after its last failure.
	unreachableTTL = 5 * time.Second
	// departedRetention is how long a departed incarnation is kept, so that the lagging list doesn't bring it back.
	departedRetention = time.Minute
)

// member is the known state of one instance.
type member struct {
	instance carobbend.Instance
	listed   bool
	// lastNotice is the time of the last notice or reply from the instance itself.
	lastNotice  time.Time
	changedAt   time.Time
	failures    int
	lastFailure time.Time
}

// membership is an instance's view of all instances: the lagging list corrected by notices. It does no I/O.
type membership struct {
	self       carobbend.Instance
	members    map[string]*member
	listReadAt time.Time
	// nextListRead is when the list is read again.
	nextListRead time.Time
}

func newMembership(self carobbend.Instance) *membership {
	return &membership{self: self, members: map[string]*member{}}
}

// supersedes reports whether a is a later state than b of the same instance. Incarnations are ULIDs, which sort by start
// time.
func supersedes(a, b carobbend.Instance) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// applyList applies the instance list. Jitter from 0 to 1 spreads the next reads of instances that started together.
func (m *membership) applyList(now time.Time, list []carobbend.Instance, jitter float64) {
	m.listReadAt = now
	for _, x := range m.members {
		x.listed = false
	}
	for _, in := range list {
		if in.Name == m.self.Name {
			continue
		}
		x := m.getOrAdd(now, in)
		x.listed = true
		switch {
		case in.Incarnation > x.instance.Incarnation:
			x.instance, x.changedAt, x.failures = in, now, 0
		case in.Incarnation == x.instance.Incarnation && in.Leaving && !x.instance.Leaving:
			// The platform may announce that an instance is leaving before the instance itself does.
			x.instance.Leaving = true
			x.changedAt = now
		}
	}
	m.expire(now)
	m.nextListRead = now.Add(time.Duration((0.5 + jitter) * float64(m.listInterval()-roundInterval/2)))
}

func (m *membership) getOrAdd(now time.Time, in carobbend.Instance) *member {
	x, ok := m.members[in.Name]
	if !ok {
		x = &member{instance: in, changedAt: now}
		m.members[in.Name] = x
	}
	return x
}

// applyInstance applies an instance's state from a notice; direct says that the instance itself sent it.
func (m *membership) applyInstance(now time.Time, in carobbend.Instance, direct bool) {
	if in.Name == m.self.Name || in.Name == "" {
		return
	}
	x, known := m.members[in.Name]
	if !known {
		x = m.getOrAdd(now, in)
	}
	if known && !supersedes(in, x.instance) {
		if direct && in.Incarnation == x.instance.Incarnation {
			x.lastNotice, x.failures = now, 0
		}
		return
	}
	if !known || relayedStateDiffers(x.instance, in) {
		x.changedAt = now
	}
	x.instance = in
	if direct {
		x.lastNotice, x.failures = now, 0
	}
}

// relayedStateDiffers compares only the state whose changes are relayed. It ignores the load, which changes all the time,
// and the rules version, which changes on all instances at the same time.
func relayedStateDiffers(a, b carobbend.Instance) bool {
	a.Load, b.Load, a.Sequence, b.Sequence, a.RulesVersion, b.RulesVersion = 0, 0, 0, 0, 0, 0
	return a != b
}

// listInterval is the time between two reads of the list by this instance.
func (m *membership) listInterval() time.Duration {
	return max(roundInterval, time.Duration(len(m.members)+1)*time.Second/listReadsPerSecond)
}

// listDue reports whether the list should be read now; the first read is due at once.
func (m *membership) listDue(now time.Time) bool {
	return m.listReadAt.IsZero() || !now.Before(m.nextListRead)
}

// recordFailure records a failed request to a peer.
func (m *membership) recordFailure(now time.Time, name string) {
	if x, ok := m.members[name]; ok {
		x.failures++
		x.lastFailure = now
	}
}

// recordSuccess records a reply of a peer, which counts like a notice from it.
func (m *membership) recordSuccess(now time.Time, name string) {
	if x, ok := m.members[name]; ok {
		x.failures, x.lastNotice = 0, now
	}
}

// invalidate drops the state that a pause of the process has made stale, and makes a read of the list due.
func (m *membership) invalidate() {
	for _, x := range m.members {
		x.lastNotice, x.listed = time.Time{}, false
	}
	m.listReadAt = time.Time{}
}

// expire removes instances that neither the list nor a recent notice shows, after departedRetention.
func (m *membership) expire(now time.Time) {
	for name, x := range m.members {
		if !m.live(now, x) && now.Sub(x.changedAt) > departedRetention {
			delete(m.members, name)
		}
	}
}

// live reports whether the list or a recent notice shows the instance.
func (m *membership) live(now time.Time, x *member) bool {
	if x.listed && now.Sub(m.listReadAt) <= max(listTTL, listTTLReads*m.listInterval()) {
		return true
	}
	return !x.lastNotice.IsZero() && now.Sub(x.lastNotice) <= noticeTTL
}

func (m *membership) reachable(now time.Time, x *member) bool {
	return x.failures < unreachableFailures || now.Sub(x.lastFailure) > unreachableTTL
}

// instances returns the live instances sorted by name; reachableOnly leaves out unreachable ones.
func (m *membership) instances(now time.Time, reachableOnly bool) []carobbend.Instance {
	out := make([]carobbend.Instance, 0, len(m.members)+1)
	out = append(out, m.self)
	for _, x := range m.members {
		if m.live(now, x) && (!reachableOnly || m.reachable(now, x)) {
			out = append(out, x.instance)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// preferred returns the first n live, reachable, non-leaving instances by descending rendezvous weight for a key.
func (m *membership) preferred(now time.Time, key string, n int) []carobbend.Instance {
	type ranked struct {
		instance carobbend.Instance
		weight   uint64
	}
	var rs []ranked
	for _, in := range m.instances(now, true) {
		if !in.Leaving {
			rs = append(rs, ranked{instance: in, weight: xxhash.Sum64String(key + "\x00" + in.Name)})
		}
	}
	slices.SortFunc(rs, func(a, b ranked) int {
		if a.weight != b.weight {
			if a.weight > b.weight {
				return -1
			}
			return 1
		}
		return strings.Compare(a.instance.Name, b.instance.Name)
	})
	out := make([]carobbend.Instance, 0, min(n, len(rs)))
	for _, r := range rs[:min(n, len(rs))] {
		out = append(out, r.instance)
	}
	return out
}

// recentlyChanged returns the n instances whose state changed last, within noticeTTL, to be relayed to peers.
func (m *membership) recentlyChanged(now time.Time, n int) []carobbend.Instance {
	var xs []*member
	for _, x := range m.members {
		if now.Sub(x.changedAt) <= noticeTTL && x.instance.Incarnation != "" {
			xs = append(xs, x)
		}
	}
	slices.SortFunc(xs, func(a, b *member) int {
		if c := b.changedAt.Compare(a.changedAt); c != 0 {
			return c
		}
		return strings.Compare(a.instance.Name, b.instance.Name)
	})
	out := make([]carobbend.Instance, 0, min(n, len(xs)))
	for _, x := range xs[:min(n, len(xs))] {
		out = append(out, x.instance)
	}
	return out
}
