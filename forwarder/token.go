package forwarder

import (
	"context"
	"net/http"
	"time"

	"carobbend.example/carobbend/timekeeper"
)

// tokenValidity is the time within which a request starts to run after it got its token, or within which the token is given back.
// Later ones would count in another window than that in which they were taken. It is less than the time for which the overage of
// an allotment makes room.
const tokenValidity = 250 * time.Millisecond

// isLimited reports whether the request needs a token of its account.
func (q *query) isLimited() bool {
	return q.f.Allotments != nil && q.account != nil && q.account.Limited()
}

// countForRetries counts the request for the retry budget of its services, once. Requests of limited accounts count only with a
// token: otherwise an account beyond its limit would raise the budget.
func (q *query) countForRetries() {
	if !q.counted {
		q.counted = true
		q.f.RetryBudget.Requested(q.began, q.services...)
	}
}

// checkLimit refuses a request beyond the limit of its account before its body is read.
func (q *query) checkLimit(body bool) *refusal {
	if !body || !q.isLimited() {
		return nil
	}
	if after, ok := q.f.Allotments.Check(q.account); !ok {
		return overLimit(after)
	}
	return nil
}

// takeToken takes a token for a request of a limited account.
func (q *query) takeToken(ctx context.Context) *refusal {
	if !q.isLimited() {
		q.countForRetries()
		return nil
	}
	// A token that another instance lends counts from before it was asked for.
	taken := timekeeper.Boot()
	after, ok := q.f.Allotments.Take(ctx, q.account)
	if !ok {
		return overLimit(after)
	}
	q.tokenTaken = taken
	q.countForRetries()
	return nil
}

func overLimit(after time.Duration) *refusal {
	return &refusal{http.StatusTooManyRequests, OutcomeOverLimit, "the account is beyond its limit", after}
}

// returnToken gives the token of a request back if no upstream was asked, or none of those that were ran it.
func (q *query) returnToken() {
	if q.tokenTaken == 0 || q.scatter != nil && q.scatter.Runs() > 0 || timekeeper.Boot() > q.tokenTaken+tokenValidity {
		return
	}
	if q.outcome == OutcomeNotRun {
		q.f.Allotments.Return(q.account)
	}
}

// renewToken takes another token for a request that has not run yet although its token was taken a while ago, since upstreams refused
// it or the process was stopped. It returns false if there is none; the request then isn't sent any more.
func (q *query) renewToken(ctx context.Context) bool {
	if q.tokenTaken == 0 || q.scatter.Runs() > 0 || timekeeper.Boot() <= q.tokenTaken+tokenValidity {
		return true
	}
	q.limitRefusal = q.takeToken(ctx)
	return q.limitRefusal == nil
}
