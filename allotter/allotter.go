// Package allotter keeps the requests of each client account within its allotment, summed over all instances.
//
// An allotment is a token bucket of a rate and a burst. It is divided into parts, and an instance serves a request only
// with a token that its parts of the account's bucket earned. A record in the store names the owners of all allotments,
// among which each allotment is divided evenly; an owner grants parts to other instances that ask for them, for a short
// time. Beside that, each owner has a small overdraft: a number of requests in any window without tokens. docs/design/allotments.md
// states the argument why the sum holds in each window.
//
// The package does no I/O. Times are on the boot-time clock (timekeeper.Boot), so that a part is never used after its
// end by a process that was stopped or suspended.
//
// # Usage
//
//	a := allotter.New(allotter.Config{Self: "leon-1", Incarnation: ulid, Window: 5 * time.Second, Slack: 20}, timekeeper.Boot())
//	a.SetAccounts(now, table.Accounts())
//	a.SetOwners(now, record) // as read from the store
//	a.Confirm(sentAt)        // the record was current when that call to the store was sent
//	if retryAfter, ok := a.Take(now, account); !ok {
//		// 429 with retryAfter
//	}
package allotter

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/logger"
)

const (
	// whole is the number of parts of an allotment.
	whole = 1 << 16
	// grantValidity is how long a granted part may be used, from when the request for it was sent. A process that lost its
	// predecessor's list of grants waits for this time before it uses or grants its own parts.
	grantValidity = 650 * time.Millisecond
	// clockMargin is added where an instance relies on a time measured by another one.
	clockMargin = 50 * time.Millisecond
	// startWait is how long a process that has just started neither uses nor grants its parts.
	startWait = grantValidity + clockMargin
	// confirmationValidity is how long an owner uses its parts after it last knew the record of owners to be current. An
	// outage of the store lasts up to 14 s, and a quiet watch up to 4.5 s.
	confirmationValidity = 20 * time.Second
	// maxOwnersOfAccount is the number of owners among which one allotment is divided.
	maxOwnersOfAccount = 4
	// overdraftFraction is the fraction of the slack that the owners use as overdrafts, and marginFraction the one that isn't used.
	overdraftFraction = 0.4
	marginFraction    = 0.05
	// burstFraction is the fraction of the bound of a window, without the overdrafts, that is the burst of the bucket. minBurst is the
	// least one in requests: each owner's part must hold at least one token.
	burstFraction = 0.15
	minBurst      = 1.5 * maxOwnersOfAccount
	// deliveryTime is the time between the decision on a request and its arrival at an upstream for which the overage makes room.
	deliveryTime = 300 * time.Millisecond
	// maxRetryAfter bounds the time after which a refused request may come back.
	maxRetryAfter = 2 * time.Second
	// unknownRetryAfter is that time while this instance holds no part. After a start it is the time until owners may use their parts,
	// and startSpread the time over which callers then return.
	unknownRetryAfter = 300 * time.Millisecond
	startSpread       = 100 * time.Millisecond
	// minRetryAfter is long enough for an answer to a request for more parts.
	minRetryAfter = 50 * time.Millisecond
)

// Config holds the bounds that the deployment sets and the name of the instance.
type Config struct {
	// Self is the name of this instance, and Incarnation that of its process.
	Self, Incarnation string
	// Window is the time over which requests are counted; 0 means that there are no allotments.
	Window time.Duration
	// Overage is the fraction by which the requests in a window may exceed an allotment, and Slack a number beyond that.
	Overage, Slack float64
}

// Allotter decides which requests of limited accounts are served. It is safe for concurrent use.
type Allotter struct {
	cfg     Config
	started time.Duration
	// process is a hash of the incarnation.
	process uint64
	log     logger.Logger

	mu       sync.Mutex
	accounts map[string]*account
	byHash   map[uint32]*account
	owners   ownership
	// asked holds the state of the exchange with each owner, askers the one with each instance that asked.
	asked  map[string]*exchange
	askers map[string]*asker
	ticked time.Duration
}

// New returns an allotter without accounts and owners.
func New(cfg Config, now time.Duration) *Allotter {
	return &Allotter{
		cfg: cfg, started: now, process: xxhash.Sum64String(cfg.Incarnation), log: logger.New("allotter"), accounts: map[string]*account{}, byHash: map[uint32]*account{},
		asked: map[string]*exchange{}, askers: map[string]*asker{}, ticked: now,
	}
}

// hold is the time for which an owner's larger part isn't used: until those that had it before can't use it any more, nor have
// used it in the same window.
func (a *Allotter) hold() time.Duration {
	return confirmationValidity + grantValidity + a.cfg.Window + clockMargin
}

// SetAccounts sets the accounts and their limits. Accounts that are missing are kept for as long as parts of them may be
// in use.
func (a *Allotter) SetAccounts(now time.Duration, list []carobbend.Account) {
	a.mu.Lock()
	defer a.mu.Unlock()
	named := make(map[string]bool, len(list))
	for i := range list {
		if list[i].Limited() && a.cfg.Window > 0 {
			named[list[i].Name] = true
			a.setLimit(now, &list[i])
		}
	}
	for name, x := range a.accounts {
		switch {
		case named[name]:
		case x.removed == 0:
			a.settle(x, now)
			x.removed = now
			a.update(x, now)
		case now > x.removed+a.hold():
			delete(a.accounts, name)
			if a.byHash[x.hash] == x {
				delete(a.byHash, x.hash)
			}
		}
	}
}

// Limited reports whether there are accounts with a limit.
func (a *Allotter) Limited() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, x := range a.accounts {
		if x.removed == 0 {
			return true
		}
	}
	return false
}

// setLimit creates an account or changes its limit.
func (a *Allotter) setLimit(now time.Duration, l *carobbend.Account) *account {
	x := a.accounts[l.Name]
	if x == nil {
		x = &account{
			name: l.Name, hash: uint32(xxhash.Sum64String(l.Name)), at: now, next: now, fresh: true,
			held: map[string]part{}, given: map[string]grant{}, overdraft: newOverdraft(a.cfg.Window),
		}
		a.accounts[l.Name] = x
		if other := a.byHash[x.hash]; other != nil {
			// Other instances couldn't tell them apart.
			a.log.Info("the names of two accounts have the same hash, no parts of them are granted", "account", x.name, "other", other.name)
			x.unshared, other.unshared = true, true
		} else {
			a.byHash[x.hash] = x
		}
		a.owners.assign(x, a.cfg.Self)
	}
	a.settle(x, now)
	x.removed = 0
	x.rate, x.burst = a.cfg.bucket(l)
	x.limitRate, x.limitBurst = l.Rate, l.Burst
	a.update(x, now)
	if x.fresh && now > a.started+a.hold() {
		// No process of this instance had this account in the last window, so that its parts are unused.
		x.level = x.capacity()
	}
	x.fresh = false
	return x
}

// bucket returns the rate and burst of the bucket of an account: with them and the overdrafts, the requests that arrive at upstreams in a
// window reach the bound of the window and don't exceed it. A small part is burst, so that an account which sends evenly
// can use nearly all that the bound allows.
func (c Config) bucket(l *carobbend.Account) (rate, burst float64) {
	w := c.Window.Seconds()
	bound := (l.Rate*w+l.Burst)*(1+c.Overage) + (1-overdraftFraction-marginFraction)*c.Slack
	burst = min(max(burstFraction*bound, minBurst), bound)
	return (bound - burst) / (w + deliveryTime.Seconds()), burst
}

// Take takes a token of a limited account for one request. Without one it returns false and the time after which one is expected.
func (a *Allotter) Take(now time.Duration, l *carobbend.Account) (retryAfter time.Duration, ok bool) {
	if a.cfg.Window <= 0 {
		return 0, true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	x := a.settled(now, l)
	x.arrived++
	if a.takeToken(x, now) {
		x.served++
		return 0, true
	}
	return a.refuse(x, now), false
}

// settled returns the state of an account as of a time.
func (a *Allotter) settled(now time.Duration, l *carobbend.Account) *account {
	x := a.accounts[l.Name]
	if x == nil {
		return a.setLimit(now, l)
	}
	a.settle(x, now)
	return x
}

// takeToken takes a token of this instance's parts, or one request of its reserve.
func (a *Allotter) takeToken(x *account, now time.Duration) bool {
	if x.level >= 1 {
		x.level--
		return true
	}
	if x.overdraft.take(now, a.overdraftOf(x, now)) {
		x.fromOverdraft++
		return true
	}
	return false
}

// Check reports whether Take would succeed now, or an owner may lend a token. Otherwise the request counts as refused, as by Take.
func (a *Allotter) Check(now time.Duration, l *carobbend.Account) (retryAfter time.Duration, ok bool) {
	if a.cfg.Window <= 0 {
		return 0, true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	x := a.settled(now, l)
	if x.level >= 1 || x.overdraft.left(now, a.overdraftOf(x, now)) || len(x.owners) > 0 && now >= x.emptyUntil {
		return 0, true
	}
	x.arrived++
	return a.refuse(x, now), false
}

func (a *Allotter) refuse(x *account, now time.Duration) time.Duration {
	x.refused++
	x.refusedNow++
	return a.retryAfter(x, now)
}

// Return gives back the token of a request that was not sent to any upstream and never will be.
func (a *Allotter) Return(now time.Duration, l *carobbend.Account) {
	a.mu.Lock()
	defer a.mu.Unlock()
	x := a.accounts[l.Name]
	if x == nil {
		return
	}
	a.settle(x, now)
	x.level = min(x.level+1, x.capacity())
	x.served--
}

// retryAfter returns when a token is expected. Beyond the first one the refused requests share the rate, so each is given
// a random place among them.
func (a *Allotter) retryAfter(x *account, now time.Duration) time.Duration {
	rate := x.earning()
	if wait := a.started + startWait - now; rate <= 0 && wait > 0 {
		return wait + rand.N(startSpread)
	}
	if rate <= 0 {
		return unknownRetryAfter + rand.N(unknownRetryAfter)
	}
	s := (1 - x.level + rand.Float64()*float64(max(x.refusedNow-1, 0))) / rate
	return min(max(time.Duration(s*float64(time.Second)), minRetryAfter), maxRetryAfter)
}

// settle brings the tokens of an account up to date, one change of its parts after another.
func (a *Allotter) settle(x *account, now time.Duration) {
	for x.next <= now {
		x.earn(x.next)
		a.update(x, x.next)
	}
	x.earn(now)
}

// update determines the parts of an account that this instance holds at a time, and when they change next.
func (a *Allotter) update(x *account, at time.Duration) {
	own, next := a.ownParts(x, at), a.nextOwnChange(at)
	for name, g := range x.given {
		if g.until <= at {
			delete(x.given, name)
			continue
		}
		own -= g.parts
		next = min(next, g.until)
	}
	x.own = max(own, 0)
	x.parts = x.own
	for name, p := range x.held {
		if p.until <= at {
			delete(x.held, name)
			continue
		}
		x.parts += p.parts
		next = min(next, p.until)
	}
	x.next = next
	x.level = min(x.level, x.capacity())
}

// updateAll updates all accounts after a change of the owners.
func (a *Allotter) updateAll(now time.Duration, change func()) {
	for _, x := range a.accounts {
		a.settle(x, now)
	}
	change()
	for _, x := range a.accounts {
		a.update(x, now)
	}
}

// Account is the state of a limited account on this instance.
type Account struct {
	Name string
	// Rate and Burst are the allotment over all instances.
	Rate, Burst float64
	// Share is the fraction of the allotment that this instance holds, and Granted the one that it granted to others.
	Share, Granted float64
	// Served, FromOverdraft and Refused count requests; FromOverdraft is the number of served ones without a token.
	Served, FromOverdraft, Refused int64
}

// Accounts returns the state of the limited accounts, ordered by name.
func (a *Allotter) Accounts(now time.Duration) []Account {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]Account, 0, len(a.accounts))
	for _, x := range a.accounts {
		if x.removed > 0 {
			continue
		}
		a.settle(x, now)
		granted := 0
		for _, g := range x.given {
			granted += g.parts
		}
		out = append(out, Account{
			Name: x.name, Rate: x.limitRate, Burst: x.limitBurst, Share: float64(x.parts) / whole, Granted: float64(granted) / whole,
			Served: x.served, FromOverdraft: x.fromOverdraft, Refused: x.refused,
		})
	}
	slices.SortFunc(out, func(p, q Account) int { return cmp.Compare(p.Name, q.Name) })
	return out
}

// never is a time that is not reached.
const never = time.Duration(math.MaxInt64)
