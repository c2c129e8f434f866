package hedger

import (
	"sync"
	"time"
)

// cells is the number of parts of a window that are counted separately; one more is kept, so that the part which leaves
// the window counts until it has left as a whole.
const cells = 10

// defaultWindow is the time over which an Allowance without one counts.
const defaultWindow = 10 * time.Second

// Allowance bounds hedges and retries for each service: in any window of time they number at most a ratio of the
// requests plus a slack. A larger slack is reached over a window: after a start, a former process of this instance may
// have used its own, and after the loss of an instance, so may that one.
//
// Requests count when they arrive, also if they are refused. The zero value allows nothing; an Allowance is safe for
// concurrent use.
type Allowance struct {
	window time.Duration

	mu    sync.Mutex
	ratio float64
	// slackFrom is the slack at slackAt, from where it grows to slackTo.
	slackFrom, slackTo float64
	slackAt            time.Time
	started            time.Time
	services           map[string]*usage
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
	if slack != a.slackTo {
		a.slackFrom, a.slackTo, a.slackAt = min(a.slack(now), slack), slack, now
	}
}

// slack returns the slack that holds now.
func (a *Allowance) slack(now time.Time) float64 {
	grown := min(float64(now.Sub(a.slackAt))/float64(a.length()), 1)
	return a.slackFrom + grown*(a.slackTo-a.slackFrom)
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
	if float64(extra+1) > a.ratio*float64(requests)+a.slack(now) {
		return false
	}
	u.extra[u.current%(cells+1)]++
	return true
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
