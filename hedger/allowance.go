package hedger

import (
	"slices"
	"sync"
	"time"
)

// cells is the number of parts of a window that are counted separately; one more is kept, so that the part which leaves
// the window counts until it has left as a whole.
const cells = 10

// defaultWindow is the time over which an Allowance without one counts.
const defaultWindow = 10 * time.Second

const (
	// startHold is the time, in windows, until a first slack may be used: a former process of this instance may have used
	// its own right before its end. The part beyond one window covers instances that don't know of this one yet.
	startHold = 1.2
	// growthHold is the time, in windows, until a larger slack may be used. An instance that left the list may go on for a
	// while, cut off from it.
	growthHold = 2.4
)

// Allowance bounds hedges and retries for each service: in any window of time they number at most a ratio of the
// requests plus a slack. A larger slack may be used only after those who had it before can't have used it in the same
// window.
//
// Requests count when they arrive, also if they are refused. The zero value allows nothing; an Allowance is safe for
// concurrent use.
type Allowance struct {
	window time.Duration

	mu    sync.Mutex
	ratio float64
	slack float64
	// former are smaller slacks that still bound the current one.
	former   []formerSlack
	started  time.Time
	services map[string]*usage
}

// formerSlack is a slack that was in force and bounds later ones for a while.
type formerSlack struct {
	slack float64
	until time.Time
}

// usage counts requests and extra requests in a ring of cells.
type usage struct {
	// current is the number of the newest cell, counted from the start of the allowance.
	current         int64
	requests, extra [cells + 1]int
}

// NewAllowance returns an allowance over a window that allows nothing yet.
func NewAllowance(window time.Duration) *Allowance { return &Allowance{window: window} }

// Set changes the bounds; a negative one counts as 0.
func (a *Allowance) Set(now time.Time, ratio, slack float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ratio, slack = max(ratio, 0), max(slack, 0)
	if slack > a.slack {
		hold := growthHold
		if a.slack == 0 {
			hold = startHold
		}
		until := now.Add(time.Duration(hold * float64(a.length())))
		a.former = append(a.former, formerSlack{a.slack, until})
	}
	a.slack = slack
}

// slackNow returns the slack that may be used.
func (a *Allowance) slackNow(now time.Time) float64 {
	a.former = slices.DeleteFunc(a.former, func(f formerSlack) bool { return !now.Before(f.until) })
	least := a.slack
	for _, f := range a.former {
		least = min(least, f.slack)
	}
	return least
}

// Requested counts a request to each of the services.
func (a *Allowance) Requested(now time.Time, services ...string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range services {
		u := a.usage(now, s)
		u.requests[u.current%(cells+1)]++
	}
}

// Spend takes one extra request to a service from its allowance, or returns false.
func (a *Allowance) Spend(now time.Time, service string) bool {
	_, ok := a.SpendWithin(now, service, 1)
	return ok
}

// SpendWithin is Spend for a request that leaves the rest of the allowance to more important ones: it is denied once the given
// part of the allowance, from 0 to 1, is used. It returns the part that is used with this request.
func (a *Allowance) SpendWithin(now time.Time, service string, part float64) (used float64, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	u := a.usage(now, service)
	requests, extra := 0, 0
	for i := range u.requests {
		extra += u.extra[i]
		// The oldest cell may lie outside the window.
		if int64(i) != (u.current+1)%(cells+1) {
			requests += u.requests[i]
		}
	}
	allowed := a.ratio*float64(requests) + a.slackNow(now)
	if float64(extra+1) > min(part, 1)*allowed {
		return 1, false
	}
	u.extra[u.current%(cells+1)]++
	return float64(extra+1) / allowed, true
}

// length returns the window, which has to divide into cells.
func (a *Allowance) length() time.Duration {
	if a.window < cells {
		return defaultWindow
	}
	return a.window
}

// usage returns the counts of a service with the cells that are over emptied.
func (a *Allowance) usage(now time.Time, service string) *usage {
	if a.started.IsZero() {
		a.started = now
		a.services = map[string]*usage{}
	}
	cell := max(int64(now.Sub(a.started)/(a.length()/cells)), 0)
	u := a.services[service]
	if u == nil {
		u = &usage{current: cell}
		a.services[service] = u
	}
	for steps := 0; u.current < cell && steps <= cells; steps++ {
		u.current++
		i := u.current % (cells + 1)
		u.requests[i], u.extra[i] = 0, 0
	}
	u.current = max(u.current, cell)
	return u
}
