package forwarder

import (
	"net/http"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/authenticator"
)

// decide finds the route, the account and the services of the request in q.table.
func (q *query) decide(h http.Header, host, path string) *refusal {
	route, ok := q.table.Find(host, path)
	if !ok {
		return &refusal{status: http.StatusNotFound, outcome: OutcomeInvalid, reason: "no route matches host and path"}
	}
	q.route = route
	account, ok := authenticator.Authenticate(q.table, route.Public, h)
	if !ok {
		return &refusal{
			status: http.StatusUnauthorized, outcome: OutcomeUnauthorized,
			reason: "the request has no key of an account",
		}
	}
	q.account, q.priority = account, route.Priority
	if account != nil && account.Priority != carobbend.RoutePriority {
		q.priority = account.Priority
	}
	q.services = route.Shards
	if len(q.services) == 0 {
		q.services = []string{route.Choose()}
	}
	q.deadline = q.began.Add(timeLeft(h.Get(q.f.Headers.Deadline), route.Timeout))
	return nil
}

// decideAgain decides on a request that waited, for its body or in a queue, by the newest table if that has changed: its key
// may have been withdrawn or moved meanwhile. It must be called before the first attempt.
func (q *query) decideAgain(h http.Header, host, path string) *refusal {
	t := q.f.Router.Table()
	if t == q.table || t == nil {
		// Without a table this instance has just returned to the reserve, and the request's own one is the newest known.
		return nil
	}
	shards := len(q.services)
	q.table = t
	if refused := q.decide(h, host, path); refused != nil {
		return refused
	}
	if shortage := q.f.missingServices(q); shortage != "" {
		return &refusal{http.StatusServiceUnavailable, OutcomeNotRun, shortage, retryAfter}
	}
	if more := len(q.services) - shards; more > 0 && !q.reservation.Grow(int64(more)*shardBytes) {
		return noMemory()
	}
	return nil
}

// requestHeader returns the headers for upstreams. With accounts in the routing the key isn't forwarded, and the header that
// names the account has the name of the account that holds the key, whatever the caller sent.
func (q *query) requestHeader(h http.Header) []byte {
	var b []byte
	accounts := q.table.HasAccounts()
	q.f.Exchanger.ForwardHeaders(h, func(name, value string) {
		if accounts && (name == authenticator.Header || name == q.f.Headers.Account) {
			return
		}
		b = append(b, name+": "+value+"\r\n"...)
	})
	if q.account != nil {
		b = append(b, q.f.Headers.Account+": "+q.account.Name+"\r\n"...)
	}
	return b
}

// tokenReturnTime is the time within which the token of a request that didn't run is given back. Later ones would count in
// another window than that in which they were taken.
const tokenReturnTime = 400 * time.Millisecond

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
func (q *query) takeToken() *refusal {
	if !q.isLimited() {
		q.countForRetries()
		return nil
	}
	after, ok := q.f.Allotments.Take(q.account)
	if !ok {
		return overLimit(after)
	}
	q.tokenTaken = time.Now()
	q.countForRetries()
	return nil
}

func overLimit(after time.Duration) *refusal {
	return &refusal{http.StatusTooManyRequests, OutcomeOverLimit, "the account is beyond its limit", after}
}

// returnToken gives the token of a request back if no upstream was asked, or none of those that were ran it.
func (q *query) returnToken() {
	if q.tokenTaken.IsZero() || q.scatter != nil && q.scatter.Runs() > 0 || time.Since(q.tokenTaken) > tokenReturnTime {
		return
	}
	if q.outcome == OutcomeNotRun {
		q.f.Allotments.Return(q.account)
	}
}
