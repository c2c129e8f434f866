package hedger

import (
	"slices"
	"sync"
	"time"

	"carobbend.example/carobbend/retainer"
)

// cells is the number of parts of a window that are counted separately. One more is kept, so that extra requests count until
// their whole cell has left the window.
const cells = 10

// defaultWindow is the window of a WindowBudget for which none, or one too short, is set.
const defaultWindow = 10 * time.Second

const (
	// initialSlackDelay is the time, in windows, until the first slack may be used: the previous process of this instance may
	// have used its own right before it ended. The part beyond one window covers instances that don't know of this one yet.
	initialSlackDelay = 1.2
	// slackIncreaseDelay is the time, in windows, until a larger slack may be used. An instance that left the list may be
	// partitioned from it and keep sending for a while.
	slackIncreaseDelay = 2.4
)

// WindowBudget bounds hedges and retries for each service: in any sliding window they number at most a ratio of the
// requests plus a constant slack. A larger slack takes effect only once the instances that held it before can't have used
// it in the same window.
//
// Requests count when they arrive, even if they are refused. The zero value allows nothing; a WindowBudget is safe for
// concurrent use.
type WindowBudget struct {
	window time.Duration

	mu    sync.Mutex
	ratio float64
	slack float64
	// earlier holds the smaller slacks that still bound the current one.
	earlier  []earlierSlack
	started  time.Time
	services retainer.Map[string, usage]
}

// earlierSlack is a previous slack that bounds later ones until a given time.
type earlierSlack struct {
	slack float64
	until time.Time
}

// usage counts requests and extra requests in a ring of cells.
type usage struct {
	// current is the number of the newest cell, counted from the start of the budget.
	current         int64
	requests, extra [cells + 1]int
}

// NewWindowBudget returns a budget over a window that allows nothing yet.
func NewWindowBudget(window time.Duration) *WindowBudget { return &WindowBudget{window: window} }

// Set changes the bounds; negative values count as 0.
func (b *WindowBudget) Set(now time.Time, ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, slack = max(ratio, 0), max(slack, 0)
	if slack > b.slack {
		hold := slackIncreaseDelay
		if b.slack == 0 {
			hold = initialSlackDelay
		}
		until := now.Add(time.Duration(hold * float64(b.windowLength())))
		b.earlier = append(b.earlier, earlierSlack{b.slack, until})
	}
	b.slack = slack
}

// effectiveSlack returns the slack that may be used now: the least of the current one and those that still bound it.
func (b *WindowBudget) effectiveSlack(now time.Time) float64 {
	b.earlier = slices.DeleteFunc(b.earlier, func(f earlierSlack) bool { return !now.Before(f.until) })
	least := b.slack
	for _, f := range b.earlier {
		least = min(least, f.slack)
	}
	return least
}

// Requested counts a request to each of the services.
func (b *WindowBudget) Requested(now time.Time, services ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range services {
		u := b.usage(now, s)
		u.requests[u.current%(cells+1)]++
	}
}

// TryWithdraw takes one extra request to a service from its budget, or returns false if none is left.
func (b *WindowBudget) TryWithdraw(now time.Time, service string) bool {
	_, ok := b.TryWithdrawWithin(now, service, 1)
	return ok
}

// TryWithdrawWithin is TryWithdraw for a request of lower priority: it is denied once the given part of the budget, from 0
// to 1, is used, which leaves the rest to more important requests. It returns the part that is used including this request.
func (b *WindowBudget) TryWithdrawWithin(now time.Time, service string, part float64) (used float64, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.withdraw(now, service, part, 0)
}

// TryWithdrawHedge is TryWithdraw for a hedge of a single request. It leaves one extra request for the retry of another one that
// fails: a hedge only makes a request faster, and in a service with few requests hedges would use the whole budget.
func (b *WindowBudget) TryWithdrawHedge(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.withdraw(now, service, 1, 1)
	return ok
}

// withdraw takes an extra request if the given part of the budget then still holds reserved ones; b.mu is held.
func (b *WindowBudget) withdraw(now time.Time, service string, part, reserved float64) (used float64, ok bool) {
	u := b.usage(now, service)
	requests, extra := 0, 0
	for i := range u.requests {
		extra += u.extra[i]
		// The oldest cell may lie outside the window.
		if int64(i) != (u.current+1)%(cells+1) {
			requests += u.requests[i]
		}
	}
	allowed := b.ratio*float64(requests) + b.effectiveSlack(now)
	if float64(extra+1)+reserved > min(part, 1)*allowed {
		return 1, false
	}
	u.extra[u.current%(cells+1)]++
	return float64(extra+1) / allowed, true
}

// windowLength returns the window, or the default for one too short to be divided into cells.
func (b *WindowBudget) windowLength() time.Duration {
	if b.window < cells {
		return defaultWindow
	}
	return b.window
}

// Retain drops the counts of services for which keep returns false. Those of the last window are kept in any case: a service that
// returns within it must not get another slack.
func (b *WindowBudget) Retain(now time.Time, keep func(service string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	oldest := b.cell(now) - cells
	b.services.Retain(func(service string, u *usage) bool { return keep(service) || u.current >= oldest })
}

// cell returns the number of the cell of a time.
func (b *WindowBudget) cell(now time.Time) int64 {
	if b.started.IsZero() {
		return 0
	}
	return max(int64(now.Sub(b.started)/(b.windowLength()/cells)), 0)
}

// usage returns the counts of a service after clearing its expired cells.
func (b *WindowBudget) usage(now time.Time, service string) *usage {
	if b.started.IsZero() {
		b.started = now
	}
	cell := b.cell(now)
	u := b.services.Ensure(service)
	for steps := 0; u.current < cell && steps <= cells; steps++ {
		u.current++
		i := u.current % (cells + 1)
		u.requests[i], u.extra[i] = 0, 0
	}
	u.current = max(u.current, cell)
	return u
}
