package forwarder

import (
	"net/http"

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

// requestHeader returns the headers for upstreams. Where the routing requires keys, they aren't forwarded, and the header that
// names the account has the name of the account that holds the key, whatever the caller sent.
func (q *query) requestHeader(h http.Header) []byte {
	var b []byte
	required := q.table.KeysRequired()
	q.f.Exchanger.ForwardHeaders(h, func(name, value string) {
		if required && (name == authenticator.Header || name == q.f.Headers.Account) {
			return
		}
		b = append(b, name+": "+value+"\r\n"...)
	})
	if q.account != nil {
		b = append(b, q.f.Headers.Account+": "+q.account.Name+"\r\n"...)
	}
	return b
}
