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
	// noticeBound is how long an instance that the list doesn't show counts as live after its last notice. It
	// covers the lag of the list for an instance that has just started.
	noticeBound = 10 * time.Second
	// listBound and listBoundReads say how long a list that can't be read anymore still counts.
	listBound      = 30 * time.Second
	listBoundReads = 3
	// listReadsPerSecond bounds the reads of the list by all instances together; each one reads less often the
	// more there are, since the list grows with them too.
	listReadsPerSecond = 16
	// unreachableAfter is the number of failed requests in a row after which a peer is no longer preferred.
	unreachableAfter = 2
	// unreachableBound is how long such a peer isn't preferred without another failure.
	unreachableBound = 5 * time.Second
	// goneHold is how long a leaving incarnation stays remembered, so that the lagging list doesn't bring it back.
	goneHold = time.Minute
)

// member is what is known of one instance.
type member struct {
	instance carobbend.Instance
	listed   bool
	// noticed is the time of the last notice that came from the instance itself.
	noticed  time.Time
	changed  time.Time
	failures int
	failed   time.Time
}

// membership is an instance's view of all instances: the lagging list corrected by notices. It does no I/O.
type membership struct {
	self    carobbend.Instance
	members map[string]*member
	listed  time.Time
	// nextList is when the list is read again.
	nextList time.Time
}

func newMembership(self carobbend.Instance) *membership {
	return &membership{self: self, members: map[string]*member{}}
}

// supersedes reports whether a is later news than b of the same instance. ULIDs of incarnations order by start.
func supersedes(a, b carobbend.Instance) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// listRead records the instance list. Jitter from 0 to 1 spreads the next reads of instances that started together.
func (m *membership) listRead(now time.Time, list []carobbend.Instance, jitter float64) {
	m.listed = now
	for _, x := range m.members {
		x.listed = false
	}
	for _, in := range list {
		if in.Name == m.self.Name {
			continue
		}
		x := m.add(now, in)
		x.listed = true
		switch {
		case in.Incarnation > x.instance.Incarnation:
			x.instance, x.changed, x.failures = in, now, 0
		case in.Incarnation == x.instance.Incarnation && in.Leaving && !x.instance.Leaving:
			// The platform may announce that an instance is leaving before the instance itself does.
			x.instance.Leaving = true
			x.changed = now
		}
	}
	m.expire(now)
	m.nextList = now.Add(time.Duration((0.5 + jitter) * float64(m.listInterval()-interval/2)))
}

func (m *membership) add(now time.Time, in carobbend.Instance) *member {
	x, ok := m.members[in.Name]
	if !ok {
		x = &member{instance: in, changed: now}
		m.members[in.Name] = x
	}
	return x
}

// noticeReceived records news of an instance; direct says that it came from the instance itself.
func (m *membership) noticeReceived(now time.Time, in carobbend.Instance, direct bool) {
	if in.Name == m.self.Name || in.Name == "" {
		return
	}
	x, known := m.members[in.Name]
	if !known {
		x = m.add(now, in)
	}
	if known && !supersedes(in, x.instance) {
		if direct && in.Incarnation == x.instance.Incarnation {
			x.noticed, x.failures = now, 0
		}
		return
	}
	if !known || differs(x.instance, in) {
		x.changed = now
	}
	x.instance = in
	if direct {
		x.noticed, x.failures = now, 0
	}
}

// differs ignores what isn't passed on: the load changes all the time, and the rules version on all instances at a
// time.
func differs(a, b carobbend.Instance) bool {
	a.Load, b.Load, a.Sequence, b.Sequence, a.RulesVersion, b.RulesVersion = 0, 0, 0, 0, 0, 0
	return a != b
}

// listInterval is the time between two reads of the list by this instance.
func (m *membership) listInterval() time.Duration {
	return max(interval, time.Duration(len(m.members)+1)*time.Second/listReadsPerSecond)
}

// listDue reports whether the list should be read now; the first read is due at once.
func (m *membership) listDue(now time.Time) bool {
	return m.listed.IsZero() || !now.Before(m.nextList)
}

// askFailed and askSucceeded record the result of a request to a peer.
func (m *membership) askFailed(now time.Time, name string) {
	if x, ok := m.members[name]; ok {
		x.failures++
		x.failed = now
	}
}

func (m *membership) askSucceeded(now time.Time, name string) {
	if x, ok := m.members[name]; ok {
		x.failures, x.noticed = 0, now
	}
}

// paused drops what a pause of the process has made stale.
func (m *membership) paused() {
	for _, x := range m.members {
		x.noticed, x.listed = time.Time{}, false
	}
	m.listed = time.Time{}
}

// expire forgets instances that neither the list nor a recent notice shows.
func (m *membership) expire(now time.Time) {
	for name, x := range m.members {
		if !m.live(now, x) && now.Sub(x.changed) > goneHold {
			delete(m.members, name)
		}
	}
}

// live reports whether the list or a recent notice shows the instance.
func (m *membership) live(now time.Time, x *member) bool {
	if x.listed && now.Sub(m.listed) <= max(listBound, listBoundReads*m.listInterval()) {
		return true
	}
	return !x.noticed.IsZero() && now.Sub(x.noticed) <= noticeBound
}

func (m *membership) reachable(now time.Time, x *member) bool {
	return x.failures < unreachableAfter || now.Sub(x.failed) > unreachableBound
}

// instances returns the live instances ordered by name; unreachable ones are left out on request.
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

// preferred returns the live, reachable, non-leaving instances by falling rendezvous weight.
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

// recent returns at most n instances whose state changed last, to be passed on to peers.
func (m *membership) recent(now time.Time, n int) []carobbend.Instance {
	var xs []*member
	for _, x := range m.members {
		if now.Sub(x.changed) <= noticeBound && x.instance.Incarnation != "" {
			xs = append(xs, x)
		}
	}
	slices.SortFunc(xs, func(a, b *member) int {
		if c := b.changed.Compare(a.changed); c != 0 {
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
