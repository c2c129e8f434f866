package forwarder

import (
	"context"
	"net/http"

	"carobbend.example/carobbend/exchanger"
	"carobbend.example/carobbend/gatherer"
)

// fail sends the most specific failure: that nothing ran, the failure reply of the upstream of a single service, that the
// deadline passed, or that attempts failed.
func (q *query) fail(ctx context.Context, w http.ResponseWriter, reason gatherer.Reason) {
	switch {
	case q.scatter.Runs() == 0 && q.limitRefusal != nil:
		q.respond(w, q.limitRefusal)
	case q.scatter.Runs() == 0 && q.f.refusing.Load():
		q.respond(w, stopping())
	case q.scatter.Runs() == 0:
		after := max(q.f.untilServable(q.services, q.minCoverage()), retryAfter)
		q.respond(w, &refusal{http.StatusServiceUnavailable, OutcomeNotRun, "no upstream takes the request now", after})
	case !q.isFanOut() && q.upstreamFailure != nil && q.mayRelay(q.upstreamFailure):
		q.outcome = OutcomeUpstream
		q.relay(ctx, w, q.upstreamFailure)
	case !q.isFanOut() && q.upstreamFailure != nil:
		q.respond(w, &refusal{http.StatusBadGateway, OutcomeFailed, "the upstream refused the request, which may have run", 0})
	case reason == gatherer.ReasonDeadline:
		q.respond(w, &refusal{http.StatusGatewayTimeout, OutcomeTimeout, "no answer came in time", 0})
	default:
		q.respond(w, &refusal{http.StatusBadGateway, OutcomeFailed, "attempts failed and may have run", 0})
	}
}

// callerLeft answers a caller that ended its sending direction. It may have closed the connection, which looks the same, or may
// still read.
func (q *query) callerLeft(w http.ResponseWriter) {
	refused := &refusal{http.StatusBadGateway, OutcomeCallerLeft, "the caller left, attempts may have run", 0}
	if q.scatter.Runs() == 0 {
		refused = &refusal{http.StatusServiceUnavailable, OutcomeCallerLeft, "the caller left before the request ran", retryAfter}
	}
	w.Header().Set("Connection", "close")
	q.respond(w, refused)
}

// mayRelay reports whether a failure reply may be passed on unchanged. To a caller, some statuses guarantee that the request
// didn't run, and it repeats a request that must not run twice. An upstream that doesn't state this guarantees nothing.
func (q *query) mayRelay(reply *exchanger.Reply) bool {
	return q.route.Repeatable || reply.NotRun || !guaranteesNotRun(reply.Status)
}

// guaranteesNotRun reports whether callers take a status to say that the request didn't run.
func guaranteesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
