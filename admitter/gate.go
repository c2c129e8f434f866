package admitter

import (
	"context"
	"sync"
	"time"

	"carobbend.example/carobbend"
)

// Gate blocks goroutines until their queries are admitted. It is safe for concurrent use.
type Gate struct {
	mu       sync.Mutex
	admitter *Admitter
}

// NewGate returns a Gate around core, which must not be used directly afterwards.
func NewGate(core *Admitter) *Gate { return &Gate{admitter: core} }

// Enter blocks until the query may start, is refused, its deadline passes or ctx is done. cost is the number of
// shard requests that the query needs. An empty refusal says that the query may start; release must then be called
// once with its answer. A refusal is a sentence for Answer.Detail; nothing was sent, so the outcome is not-run.
func (g *Gate) Enter(
	ctx context.Context, q carobbend.Query, class carobbend.Class, cost int,
) (release func(carobbend.Answer), refusal string) {
	t := &carobbend.Ticket{Query: q, Class: class, Cost: cost, Admitted: make(chan bool, 1)}
	g.mu.Lock()
	g.admitter.Offer(time.Now(), t)
	g.dispatchLocked(time.Now())
	g.mu.Unlock()

	var deadline <-chan time.Time
	if !q.Deadline.IsZero() {
		timer := time.NewTimer(time.Until(q.Deadline))
		defer timer.Stop()
		deadline = timer.C
	}
	select {
	case ok := <-t.Admitted:
		return g.result(t, ok)
	case <-ctx.Done():
	case <-deadline:
	}
	return g.withdraw(t)
}

// Waiting returns the number of queries that wait, that run, and the limit of running ones.
func (g *Gate) Waiting() (waiting, running, limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	running, limit = g.admitter.Running()
	return g.admitter.Waiting(), running, limit
}

// withdraw cancels a ticket, which may have been admitted meanwhile.
func (g *Gate) withdraw(t *carobbend.Ticket) (func(carobbend.Answer), string) {
	g.mu.Lock()
	if g.admitter.Cancel(t) {
		g.dispatchLocked(time.Now())
	}
	g.mu.Unlock()
	if ok := <-t.Admitted; ok {
		g.mu.Lock()
		defer g.mu.Unlock()
		// The query never ran, so it is no observation of the service time.
		g.admitter.running--
		g.dispatchLocked(time.Now())
		return nil, RefusedCanceled
	}
	return nil, t.Detail
}

func (g *Gate) result(t *carobbend.Ticket, ok bool) (func(carobbend.Answer), string) {
	if !ok {
		return nil, t.Detail
	}
	started := time.Now()
	var once sync.Once
	return func(a carobbend.Answer) { once.Do(func() { g.finish(t, started, a) }) }, ""
}

func (g *Gate) finish(t *carobbend.Ticket, started time.Time, a carobbend.Answer) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if share := lostShare(a); share > 0 {
		g.admitter.Congested(now, share)
	}
	g.admitter.Finished(now, t, now.Sub(started))
	g.dispatchLocked(now)
}

// dispatchLocked delivers the decisions of the admitter to the waiting goroutines.
func (g *Gate) dispatchLocked(now time.Time) {
	for t := g.admitter.Next(now); t != nil; t = g.admitter.Next(now) {
		t.Admitted <- true
	}
	for _, t := range g.admitter.Refused() {
		t.Admitted <- false
	}
}

// lostShare returns the share of its shards that an answer lost to overload.
func lostShare(a carobbend.Answer) float64 {
	n := 0
	for _, m := range a.Missing {
		if m.Reason == carobbend.MissingRefused || m.Reason == carobbend.MissingDeadline {
			n++
		}
	}
	return float64(n) / float64(max(a.Total, 1))
}
