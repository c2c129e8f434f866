package forwarder

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/exchanger"
	"carobbend.example/carobbend/gatherer"
	"carobbend.example/carobbend/limiter"
	"carobbend.example/carobbend/router"
	"carobbend.example/carobbend/scatterer"
	"carobbend.example/carobbend/timekeeper"
)

// query is one request of a caller.
type query struct {
	f        *Forwarder
	began    time.Time
	id       string
	table    *router.Table
	route    *router.Route
	services []string
	// account is the client account that holds the request's key; nil without one.
	account *carobbend.Account
	// priority is the rank of the request, 0 first.
	priority int
	// tokenTaken is when a token of a limited account was taken on the boot-time clock, 0 if none was.
	tokenTaken time.Duration
	// limitRefusal is set if the request needed another token and got none.
	limitRefusal *refusal
	// counted says that the request counts for the retry budget.
	counted  bool
	deadline time.Time
	request  *exchanger.Request
	// suspended is what Config.Suspended returned when the request arrived.
	suspended time.Duration
	// reservation is the memory that is reserved for the request; nil if none was.
	reservation *limiter.Reservation
	// callerNetworkTime is the network time that the caller counts in addition to the time on this instance.
	callerNetworkTime time.Duration

	// written is set once an attempt was permitted to be written to an upstream.
	written      atomic.Bool
	scatter      *scatterer.Query
	results      chan result
	openAttempts map[*exchanger.Attempt]struct{}
	replies      []*exchanger.Reply
	// upstreamFailure is the last complete failure reply of an upstream.
	upstreamFailure *exchanger.Reply

	// answered says that an answer was begun.
	answered bool
	// truncated says that the answer ended early and must not look complete.
	truncated bool

	lastKind carobbend.FailureKind
	outcome  Outcome
	reason   string
}

// result is the end of an attempt.
type result struct {
	attempt  scatterer.Attempt
	exchange *exchanger.Attempt
	reply    *exchanger.Reply
	kind     carobbend.FailureKind
	// load is the load that the upstream reported, or negative.
	load float64
}

func (q *query) routeName() string {
	if q.route == nil {
		return ""
	}
	return q.route.Name
}

// release frees the reserved memory. Canceled attempts may use their part for a moment longer.
func (q *query) release() {
	if q.reservation != nil {
		q.reservation.Release()
	}
}

// isFanOut reports whether the answer is combined from shards.
func (q *query) isFanOut() bool { return len(q.route.Shards) > 0 }

// minCoverage returns the minimum share of services of an answer.
func (q *query) minCoverage() float64 {
	if q.isFanOut() {
		return q.route.MinCoverage
	}
	return 1
}

// serve sends the request to upstreams until the gather ends, and answers the caller.
func (q *query) serve(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	q.scatter = q.f.scatterer.NewQuery(q.route, q.services, scatterer.Timing{
		Began: q.began, Deadline: q.deadline, CallerNetworkTime: q.callerNetworkTime,
	})
	// The buffer holds the results of all attempts, so that none blocks on the channel, even after the query has ended.
	q.results = make(chan result, q.scatter.MaxAttempts())
	q.openAttempts = make(map[*exchanger.Attempt]struct{}, len(q.services))
	q.replies = make([]*exchanger.Reply, len(q.services))
	defer q.cancelOpen()
	now := time.Now()
	if after, ok := q.scatter.Admit(now); !ok {
		q.respond(w, &refusal{http.StatusServiceUnavailable, OutcomeNotRun, "too few shards can reply in time", after})
		return
	}
	for _, spec := range q.scatter.FirstAttempts() {
		q.attempt(ctx, now, spec)
	}
	switch step := q.run(ctx); {
	case ctx.Err() != nil:
		q.callerLeft(w)
	case step.Action == gatherer.Answer:
		q.answer(ctx, w)
	default:
		q.fail(ctx, w, step.Reason)
	}
}

// run executes the steps of the gather until it ends, the instance stops or the caller disconnects.
func (q *query) run(ctx context.Context) gatherer.Step {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		now := time.Now()
		step := q.scatter.Next(now)
		if step.Action != gatherer.Wait {
			return step
		}
		if len(step.Launch) > 0 {
			if q.f.refusing.Load() && q.scatter.Runs() == 0 {
				return gatherer.Step{Action: gatherer.Fail}
			}
			if q.adjustForSuspension() {
				if late := q.scatter.Next(now); late.Action != gatherer.Wait {
					return late
				}
			}
			if !q.renewToken(ctx) {
				return gatherer.Step{Action: gatherer.Fail}
			}
			for _, a := range step.Launch {
				q.attempt(ctx, now, a)
			}
			continue
		}
		timer.Reset(step.Until.Sub(now))
		select {
		case res := <-q.results:
			q.recordResult(res)
			q.drainResults()
		case <-timer.C:
		case <-q.f.stopped:
			return gatherer.Step{Action: gatherer.Fail}
		case <-ctx.Done():
			return gatherer.Step{Action: gatherer.Fail}
		}
	}
}

// adjustForSuspension subtracts the time for which the machine was suspended from the time left, and reports whether there was
// any. The caller's deadline may have passed long ago, and no attempt must be sent for it then.
func (q *query) adjustForSuspension() bool {
	lost := q.unadjustedSuspension()
	if lost < timekeeper.MinSuspension {
		return false
	}
	q.suspended += lost
	q.scatter.AdjustForSuspension(lost)
	q.deadline = q.deadline.Add(-lost)
	// Attempts in flight use the previous request, so it is copied.
	request := *q.request
	request.Deadline = q.deadline
	request.SuspendedTime = q.suspendedSince(q.suspended)
	q.request = &request
	return true
}

// unadjustedSuspension returns for how long the machine was suspended since the time left was last adjusted.
func (q *query) unadjustedSuspension() time.Duration { return q.f.Suspended() - q.suspended }

// suspendedSince returns a function that is safe to call on other goroutines: it returns for how long the machine was
// suspended since Config.Suspended returned the given value.
func (q *query) suspendedSince(suspended time.Duration) func() time.Duration {
	f := q.f.Suspended
	return func() time.Duration { return f() - suspended }
}

// drainResults records the results that are ready, so that the gather computes one step for all of them.
func (q *query) drainResults() {
	for {
		select {
		case res := <-q.results:
			q.recordResult(res)
		default:
			return
		}
	}
}

// attempt sends the attempt for a shard, if there is one.
func (q *query) attempt(ctx context.Context, now time.Time, spec gatherer.AttemptSpec) {
	a, ok := q.scatter.Attempt(now, spec)
	if !ok {
		return
	}
	s, _ := q.table.Service(q.services[spec.Shard])
	t, record, known := q.f.target(a.Upstream(), s.MaxConns)
	if !known {
		// The upstream left the set after it was chosen, which is no failure of it.
		a.Finished(now, carobbend.FailureCanceled, -1)
		q.results <- result{attempt: a, kind: carobbend.FailureNotSent, load: -1}
		return
	}
	exchange := q.f.Exchanger.Attempt(ctx)
	q.openAttempts[exchange] = struct{}{}
	request, permission := q.request, q.newPermission(record, &t)
	go func() {
		reply, err := exchange.Do(t, request)
		permission.finished()
		q.results <- q.finishAttempt(a, exchange, reply, err)
	}()
}

// finishAttempt classifies the end of an attempt and reports it to the scatterer and the recorder. It runs on the attempt's
// goroutine and may outlive the query.
func (q *query) finishAttempt(a scatterer.Attempt, exchange *exchanger.Attempt, reply *exchanger.Reply, err error) result {
	kind := exchanger.FailureKindOf(err)
	load := -1.0
	if kind == carobbend.FailureOversized {
		q.f.log.oversized(q.id, q.services[a.Shard()], a.Upstream(), err)
	}
	if reply != nil {
		kind = q.classify(reply)
		if reply.HasLoad {
			load = reply.Load.Utilization()
		}
	}
	observed := kind
	if kind == carobbend.FailureRestricted {
		// This instance held the request back, which says nothing about the upstream.
		observed = carobbend.FailureCanceled
	}
	a.Finished(time.Now(), observed, load)
	if q.f.Recorder != nil {
		q.f.Recorder.Attempted(a.Kind(), kind)
	}
	return result{attempt: a, exchange: exchange, reply: reply, kind: kind, load: load}
}

// classify returns the failure kind of a complete reply; FailureNone means that the reply is usable.
func (q *query) classify(reply *exchanger.Reply) carobbend.FailureKind {
	switch {
	case reply.NotRun && reply.Status == exchanger.StatusMisdirected:
		return carobbend.FailureLeaving
	case reply.NotRun:
		return carobbend.FailureShed
	case reply.Status/100 != 2:
		return carobbend.FailureBroken
	case reply.Header.Get(q.f.Headers.Proof) == "" || reply.Header.Get("Content-Encoding") != "":
		return carobbend.FailureIdentity
	default:
		return carobbend.FailureNone
	}
}

// recordResult records the end of an attempt and keeps its reply.
func (q *query) recordResult(res result) {
	if res.reply == nil || res.reply.Remainder == nil {
		// An attempt whose reply has a Remainder stays open until that was read.
		delete(q.openAttempts, res.exchange)
	}
	if q.scatter.Record(res.attempt, res.kind, res.load) {
		q.replies[res.attempt.Shard()] = res.reply
	}
	if res.kind == carobbend.FailureNone {
		return
	}
	q.lastKind = res.kind
	if res.reply != nil && res.kind == carobbend.FailureBroken {
		q.upstreamFailure = res.reply
		q.scatter.KeepFailureReply()
	}
}

func (q *query) cancelOpen() {
	for a := range q.openAttempts {
		a.Cancel()
	}
}

// answer sends the reply of the upstream, or the merged replies of the covered shards.
func (q *query) answer(ctx context.Context, w http.ResponseWriter) {
	if !q.isFanOut() {
		q.outcome = OutcomeComplete
		q.relay(ctx, w, q.replies[0])
		return
	}
	bodies := make([][]byte, 0, len(q.replies))
	proofs := make([]string, 0, len(q.replies))
	for _, p := range q.replies {
		if p != nil {
			bodies = append(bodies, p.Body)
			proofs = append(proofs, p.Header.Get(q.f.Headers.Proof))
		}
	}
	body := gatherer.Merge(q.route.Records, bodies...)
	missing := len(q.replies) - len(proofs)
	q.outcome = OutcomeComplete
	if missing > 0 {
		q.outcome = OutcomePartial
	}
	h := q.header(w)
	h.Set("Content-Type", "application/octet-stream")
	h.Set(q.f.Headers.RequestID, q.id)
	h.Set(q.f.Headers.Proofs, strings.Join(proofs, ", "))
	h.Set(q.f.Headers.Missing, strconv.Itoa(missing))
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(http.StatusOK)
	// An error means that the caller disconnected.
	_, _ = w.Write(body)
}

// relay sends an upstream's reply unchanged, except for hop-by-hop headers and the load report.
func (q *query) relay(ctx context.Context, w http.ResponseWriter, reply *exchanger.Reply) {
	h := q.header(w)
	q.f.Exchanger.ForwardHeaders(reply.Header, func(name, value string) {
		if name != q.f.Headers.Load {
			h.Add(name, value)
		}
	})
	if _, ok := h["Content-Type"]; !ok {
		// Otherwise the server would sniff a content type that the upstream didn't state.
		h["Content-Type"] = nil
	}
	h.Set(q.f.Headers.RequestID, q.id)
	length := reply.Length
	if reply.Remainder == nil && q.request.Method != http.MethodHead {
		length = int64(len(reply.Body))
	}
	if length >= 0 && reply.Status != http.StatusNoContent && reply.Status != http.StatusNotModified {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(reply.Status)
	// An error means that the caller disconnected.
	_, _ = w.Write(reply.Body)
	if reply.Remainder != nil {
		q.streamRemainder(ctx, w, reply.Remainder)
	}
}

// streamRemainder streams the remainder of a long reply. If the reply ends early the answer is aborted, so that it doesn't
// look complete.
func (q *query) streamRemainder(ctx context.Context, w http.ResponseWriter, remainder io.ReadCloser) {
	closeRemainder := func() {
		// The body isn't used any more, so an error has no effect.
		_ = remainder.Close()
	}
	defer closeRemainder()
	// Otherwise a stalled reply would hold the request although the caller disconnected.
	stop := context.AfterFunc(ctx, closeRemainder)
	defer stop()
	// Not every kind of connection supports a deadline; a disconnect of the caller then ends the request.
	_ = http.NewResponseController(w).SetWriteDeadline(q.deadline)
	if _, err := io.CopyBuffer(writerOnly{w}, remainder, make([]byte, copyBuffer)); err != nil {
		q.outcome, q.reason = OutcomeFailed, "broken off: "+err.Error()
		if ctx.Err() != nil {
			q.outcome = OutcomeCallerLeft
		}
		q.truncated = true
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
}

// copyBuffer is the size in bytes of the buffer through which long replies are streamed.
const copyBuffer = 8 << 10

// writerOnly hides io.ReaderFrom, which would ignore the buffer.
type writerOnly struct{ io.Writer }
