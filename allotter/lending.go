package allotter

import (
	"time"

	"carobbend.example/carobbend"
)

const (
	// lendTimeout bounds the wait for one owner's answer to a request that needs a token. A round trip between data centres takes
	// some milliseconds.
	lendTimeout = 20 * time.Millisecond
	// maxEmptyTime bounds the time for which owners aren't asked again after none had a token.
	maxEmptyTime = 100 * time.Millisecond
)

// Lenders returns the owners that may have a token of an account, in the order in which to ask them. It returns none for a short
// time after none of them had one, so that an account beyond its limit doesn't cause a message for each request.
func (a *Allotter) Lenders(now time.Duration, l *carobbend.Account) (owners []string, hash uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	x := a.accounts[l.Name]
	if x == nil || x.unshared || now < x.emptyUntil {
		return nil, 0
	}
	for _, name := range x.owners {
		if e := a.asked[name]; e != nil && now < e.pauseUntil {
			continue
		}
		owners = append(owners, name)
	}
	return owners, x.hash
}

// Lend takes a token of an account for a request at another instance, as Take does for one here. The token moves with the answer:
// the other instance uses it at once or not at all.
func (a *Allotter) Lend(now time.Duration, hash uint32) (retryAfter time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	x := a.byHash[hash]
	if x == nil || x.unshared || a.cfg.Window <= 0 {
		return 0, false
	}
	a.settle(x, now)
	if !a.takeToken(x, now) {
		return a.retryAfter(x, now), false
	}
	return 0, true
}

// Borrowed records that an owner gave a token for a request that was counted as refused.
func (a *Allotter) Borrowed(l *carobbend.Account) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if x := a.accounts[l.Name]; x != nil {
		x.served++
		x.refused--
		x.refusedNow = max(x.refusedNow-1, 0)
	}
}

// NoneLent records that no owner had a token, of which one expected to have one after a time, 0 if unknown.
func (a *Allotter) NoneLent(now time.Duration, l *carobbend.Account, retryAfter time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if x := a.accounts[l.Name]; x != nil {
		x.emptyUntil = now + maxEmptyTime
		if retryAfter > 0 {
			x.emptyUntil = now + min(retryAfter, maxEmptyTime)
		}
	}
}

// LenderFailed records that an owner didn't answer. It isn't asked for tokens or parts for a while.
func (a *Allotter) LenderFailed(now time.Duration, owner string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.exchangeWith(owner)
	if now >= e.pauseUntil {
		e.fail(now)
	}
}
