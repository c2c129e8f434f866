package scatterer_test

import (
	"testing"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/gatherer"
	"carobbend.example/carobbend/hedger"
	"carobbend.example/carobbend/router"
	"carobbend.example/carobbend/scatterer"
)

// retryAfterReset sends a single request whose first attempt breaks after 2 ms, and returns when and where its second attempt
// is sent. It plays on until the gather ends or the second attempt is sent. The service gets a request each second.
func retryAfterReset(budget *hedger.WindowBudget, upstreams []carobbend.UpstreamID, prepare func(*scatterer.Query)) (time.Duration, gatherer.Action) {
	route := &router.Route{Route: carobbend.Route{Name: "order", Attempts: 2, Repeatable: true}}
	s := scatterer.New(scatterer.Config{
		Balancer: scatterer.NewBalancer(), RetryBudget: budget, Hedger: hedger.New(),
		Candidates: func(string) []carobbend.UpstreamID { return upstreams },
	})
	q := s.NewQuery(route, []string{"orders"}, scatterer.Timing{Began: epoch, Deadline: epoch.Add(10 * time.Second)})
	budget.Requested(epoch, "orders")
	a, _ := q.Attempt(epoch, q.FirstAttempts()[0])
	now := epoch.Add(2 * time.Millisecond)
	a.Finished(now, carobbend.FailureBroken, -1)
	q.Record(a, carobbend.FailureBroken, -1)
	prepare(q)
	for next := epoch; ; {
		for ; !next.After(now); next = next.Add(time.Second) {
			budget.Requested(next, "orders")
		}
		step := q.Next(now)
		if step.Action != gatherer.Wait {
			return now.Sub(epoch), step.Action
		}
		for _, spec := range step.Launch {
			if _, ok := q.Attempt(now, spec); ok {
				return now.Sub(epoch), gatherer.Wait
			}
		}
		if len(step.Launch) == 0 {
			now = step.Until
		}
	}
}

// TestResetIsRetriedOnceTheBudgetAllows guards against a 502 for a repeatable request whose first attempt breaks at once,
// although its deadline is seconds away: the retry budget of a service with few requests allows nothing for some seconds after
// an instance started, since the slack can't be used yet. The bound stays: no retry is sent before the budget allows it.
func TestResetIsRetriedOnceTheBudgetAllows(t *testing.T) {
	three := []carobbend.UpstreamID{"a", "b", "c"}
	newBudget := func(set time.Time) *hedger.WindowBudget {
		b := hedger.NewWindowBudget(10 * time.Second)
		b.Set(set, 0.19, 5.8)
		return b
	}
	none := func(*scatterer.Query) {}
	for _, c := range []struct {
		name      string
		budget    *hedger.WindowBudget
		upstreams []carobbend.UpstreamID
		prepare   func(*scatterer.Query)
		from, to  time.Duration
		want      gatherer.Action
	}{
		{"slack usable", newBudget(epoch.Add(-time.Minute)), three, none, 0, 3 * time.Millisecond, gatherer.Wait},
		{"just started", newBudget(epoch), three, none, 2 * time.Second, 6 * time.Second, gatherer.Wait},
		{"single upstream", newBudget(epoch.Add(-time.Minute)), three[:1], none, 3 * time.Millisecond, 20 * time.Millisecond, gatherer.Wait},
		{"budget without ratio and slack", hedger.NewWindowBudget(10 * time.Second), three, none, 9 * time.Second, 10 * time.Second, gatherer.Fail},
		{"failure reply at hand", newBudget(epoch), three, (*scatterer.Query).KeepFailureReply, 0, 3 * time.Millisecond, gatherer.Fail},
	} {
		at, got := retryAfterReset(c.budget, c.upstreams, c.prepare)
		if got != c.want || at < c.from || at > c.to {
			t.Errorf("%s: got action %v after %v, want %v between %v and %v", c.name, got, at, c.want, c.from, c.to)
		}
	}
}

// TestHedgesLeaveARetry guards against hedges that use up the budget of a service with few requests, so that a request whose
// attempt breaks gets no second one.
func TestHedgesLeaveARetry(t *testing.T) {
	b := hedger.NewWindowBudget(10 * time.Second)
	b.Set(epoch.Add(-time.Minute), 0, 3)
	hedges := 0
	for b.TryWithdrawHedge(epoch, "orders") {
		hedges++
	}
	if retry := b.TryWithdraw(epoch, "orders"); hedges != 2 || !retry || b.TryWithdraw(epoch, "orders") {
		t.Errorf("budget of 3: got %d hedges and then a retry: %v, want 2 hedges and one retry", hedges, retry)
	}
}
