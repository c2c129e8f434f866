package allotter

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"carobbend.example/carobbend"
)

// ownership is what this instance knows of the record of owners.
type ownership struct {
	record *carobbend.AllotmentOwners
	// learned is when this process learned of the record.
	learned time.Duration
	// confirmed is the last time at which the record was known to be current; hasConfirmed is set once there is one.
	confirmed    time.Duration
	hasConfirmed bool
	// resigned says that this instance doesn't follow the routing, and resumed is when it last began to again.
	resigned bool
	resumed  time.Duration
	// first says that this process saw the store without a record before the first one was written. Then no former process owned
	// or used any part.
	sawNone, first bool
}

// SetOwners sets the record of owners as read from the store, and reports whether it is a new one. A record of a lower or the
// same epoch is ignored.
func (a *Allotter) SetOwners(now time.Duration, r *carobbend.AllotmentOwners) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if old := a.owners.record; old != nil && r.Epoch <= old.Epoch {
		return false
	}
	a.updateAll(now, func() {
		a.owners.first = a.owners.record == nil && a.owners.sawNone && r.Epoch == 1
		a.owners.record, a.owners.learned = r, now
		for _, x := range a.accounts {
			a.owners.assign(x, a.cfg.Self)
		}
	})
	if a.owners.first {
		a.updateAll(now, func() { a.started = min(a.started, now-a.hold()) })
		for _, x := range a.accounts {
			x.level = x.capacity()
		}
	}
	return true
}

// Owners returns the record of owners, nil if none is known, and for how long it has been known.
func (a *Allotter) Owners(now time.Duration) (*carobbend.AllotmentOwners, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.owners.record, now - a.owners.learned
}

// Resign gives up the parts that this instance owns until Resume: it no longer learns of changed limits, so it must neither use nor
// lend nor grant anything by those that it knows.
func (a *Allotter) Resign(now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.updateAll(now, func() { a.owners.resigned, a.owners.hasConfirmed = true, false })
}

// Resume lets this instance use its parts again, once the state of the store is known as of now or later.
func (a *Allotter) Resume(now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.owners.resigned, a.owners.resumed = false, now
}

// Resigned reports whether this instance has given up its parts.
func (a *Allotter) Resigned() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.owners.resigned
}

// Confirm records that the state of the store as of a time is known, with all its changes up to then.
func (a *Allotter) Confirm(now, asOf time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.owners.resigned || asOf < a.owners.resumed || a.owners.hasConfirmed && asOf <= a.owners.confirmed {
		return
	}
	a.owners.sawNone = a.owners.sawNone || a.owners.record == nil
	set := func() { a.owners.confirmed, a.owners.hasConfirmed = asOf, true }
	if a.owners.hasConfirmed && now < a.owners.confirmed+confirmationValidity {
		// The accounts learn of it when the former confirmation would have ended.
		set()
		return
	}
	a.updateAll(now, set)
}

// assign determines the owners of an account and this instance's shares.
func (o *ownership) assign(x *account, self string) {
	x.owners, x.share, x.formerShare, x.overdraftOwners, x.formerOverdraftOwners, x.shareOfOwner = nil, 0, 0, 0, 0, 0
	if o.record == nil {
		return
	}
	owners := ownersOf(x.name, o.record.Owners)
	x.shareOfOwner = whole / max(len(owners), 1)
	if slices.Contains(owners, self) {
		x.share, x.overdraftOwners = x.shareOfOwner, len(owners)
	}
	x.formerShare, x.formerOverdraftOwners = x.share, x.overdraftOwners
	if len(o.record.Former) > 0 {
		x.formerShare, x.formerOverdraftOwners = 0, 0
		if former := ownersOf(x.name, o.record.Former); slices.Contains(former, self) {
			x.formerShare, x.formerOverdraftOwners = whole/len(former), len(former)
		}
	}
	x.owners = askingOrder(self, owners)
}

// askingOrder returns the owners in the order in which an instance asks them. Owners at even and odd places go in opposite
// directions, so that two instances whose callers send for the same account seldom ask the same owners first.
func askingOrder(self string, owners []string) []string {
	sorted := slices.Sorted(slices.Values(owners))
	place, n := slices.Index(sorted, self), len(sorted)
	if place < 0 {
		return rendezvous(self, owners)
	}
	out := make([]string, 0, n)
	for i := 2; i <= n; i++ {
		next := place + i
		if place%2 == 1 {
			next = place - i + 2*n
		}
		if next %= n; next != place {
			out = append(out, sorted[next])
		}
	}
	if n > 1 {
		// The neighbour comes last.
		next := (place + 1) % n
		if place%2 == 1 {
			next = (place - 1 + n) % n
		}
		if !slices.Contains(out, sorted[next]) {
			out = append(out, sorted[next])
		}
	}
	return out
}

// ownersOf returns the instances among which the allotment of an account is divided.
func ownersOf(account string, all []string) []string {
	if len(all) <= maxOwnersOfAccount {
		return all
	}
	return rendezvous(account, all)[:maxOwnersOfAccount]
}

// rendezvous returns the names in rendezvous order for a key.
func rendezvous(key string, names []string) []string {
	type ranked struct {
		name string
		rank uint64
	}
	all := make([]ranked, 0, len(names))
	for _, n := range names {
		all = append(all, ranked{n, xxhash.Sum64String(key + "\x00" + n)})
	}
	slices.SortFunc(all, func(p, q ranked) int { return cmp.Or(cmp.Compare(p.rank, q.rank), cmp.Compare(p.name, q.name)) })
	out := make([]string, 0, len(all))
	for _, r := range all {
		out = append(out, r.name)
	}
	return out
}

// authorityEnd returns until when this instance may use the parts that it owns.
func (a *Allotter) authorityEnd() time.Duration {
	if !a.owners.hasConfirmed || a.owners.record == nil {
		return 0
	}
	return a.owners.confirmed + confirmationValidity
}

// ownParts returns the parts of an account that this instance owns and may use or grant at a time. It uses the lesser of its
// shares by the record and by the former one until the other owners have given up the difference.
func (a *Allotter) ownParts(x *account, at time.Duration) int {
	if x.removed > 0 || at < a.started+startWait || at >= a.authorityEnd() {
		return 0
	}
	if at < a.owners.learned+a.hold() {
		return min(x.share, x.formerShare)
	}
	return x.share
}

// overdraftOf returns the number of requests in a window that this instance may serve without tokens.
func (a *Allotter) overdraftOf(x *account, at time.Duration) int {
	if at < a.started+a.cfg.Window*(overdraftCells+1)/overdraftCells || at >= a.authorityEnd() {
		return 0
	}
	n := x.overdraftOwners
	if at < a.owners.learned+a.hold() {
		n = max(n, x.formerOverdraftOwners)
		if x.formerOverdraftOwners == 0 {
			return 0
		}
	}
	if x.overdraftOwners == 0 {
		return 0
	}
	return int(overdraftFraction * a.cfg.Slack / float64(n))
}

// nextOwnChange returns the first time after at when ownParts may change by itself.
func (a *Allotter) nextOwnChange(at time.Duration) time.Duration {
	next := never
	for _, t := range []time.Duration{a.started + startWait, a.owners.learned + a.hold(), a.authorityEnd()} {
		if t > at {
			next = min(next, t)
		}
	}
	return next
}

// Propose returns the record of owners to write to the store if desired are the instances that should own the allotments, or
// nil if nothing is to be written now. It may replace only the record of the revision that this instance knows.
func (a *Allotter) Propose(now time.Duration, desired []string) *carobbend.AllotmentOwners {
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.owners.record
	switch {
	case len(desired) == 0:
		return nil
	case old == nil:
		return &carobbend.AllotmentOwners{Epoch: 1, Owners: desired}
	case now < a.owners.learned+a.hold():
		// At most two records may be in force within the hold time.
		return nil
	case len(old.Former) > 0:
		// The change has taken effect everywhere; a process that starts now needn't wait for it.
		return &carobbend.AllotmentOwners{Epoch: old.Epoch + 1, Owners: old.Owners, Revision: old.Revision}
	case !slices.Equal(slices.Sorted(slices.Values(old.Owners)), slices.Sorted(slices.Values(desired))):
		return &carobbend.AllotmentOwners{Epoch: old.Epoch + 1, Owners: desired, Former: old.Owners, Revision: old.Revision}
	default:
		return nil
	}
}
