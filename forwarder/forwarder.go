// Package forwarder is the reverse proxy that serves callers' requests by the current routing.
//
// A request goes to one upstream of one service, or to one upstream of each shard. Package gatherer controls hedges,
// retries and completion, package balancer selects upstreams, and package exchanger sends. The method, target, body
// and end-to-end headers are relayed unchanged.
//
// A failure reply of an upstream is relayed unchanged, too, unless its status guarantees to the caller that the request didn't
// run, the request may run only once, and the upstream doesn't state that it didn't run it: that caller gets 502.
//
// Statuses that this package sets itself: 400 without a request id, 401 without a key of a client account where the route
// needs one, 404 without a route, 429 beyond the limit of an account, 408 for a body that doesn't
// arrive in time, 413 for a body over its limit, 503 if nothing ran and nothing will, 502 if attempts failed and may have
// run, 504 once the deadline passed. The body of these is a carobbend.ErrorReply.
//
// # Usage
//
//	f := forwarder.New(forwarder.Config{
//		Headers: names, Router: &r, Upstreams: &set, Balancer: b, Exchanger: x, RetryBudget: budget,
//	})
//	http.Serve(listener, f)
package forwarder

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/authenticator"
	"carobbend.example/carobbend/balancer"
	"carobbend.example/carobbend/exchanger"
	"carobbend.example/carobbend/gatherer"
	"carobbend.example/carobbend/hedger"
	"carobbend.example/carobbend/limiter"
	"carobbend.example/carobbend/logger"
	"carobbend.example/carobbend/restrictor"
	"carobbend.example/carobbend/router"
	"carobbend.example/carobbend/scatterer"
	"carobbend.example/carobbend/timekeeper"
)

const (
	// defaultTimeout bounds requests of callers that state no deadline, on routes without a time-out.
	defaultTimeout = 30 * time.Second
	// retryAfter is the Retry-After of all refusals except those by admission control; a retry after it has a fair chance.
	retryAfter = 100 * time.Millisecond
	// unboundedConns is the connection limit for a service that states none.
	unboundedConns = 1 << 16
)

// Headers are the names of the headers that are exchanged with callers and upstreams, in canonical form.
type Headers struct {
	exchanger.Headers
	// Proof accompanies each reply that an upstream made itself.
	Proof string
	// Proofs lists the proofs of the replies that a combined answer holds.
	Proofs string
	// Missing is the number of shards that a combined answer leaves out.
	Missing string
	// Account names the client account to upstreams. Where the routing requires keys, a caller's own value is dropped.
	Account string
}

// Recorder records the outcomes of requests and attempts. It must be safe for concurrent use.
type Recorder interface {
	// Answered records the end of a request.
	Answered(route string, outcome Outcome, latency time.Duration)
	// AccountAnswered records the end of a request with the key of a client account.
	AccountAnswered(account string, outcome Outcome)
	// Attempted records an attempt at an upstream and how it ended.
	Attempted(kind scatterer.AttemptKind, failure carobbend.FailureKind)
}

// Allotments decides which requests of limited accounts are served. It must be safe for concurrent use.
type Allotments interface {
	// Check reports whether Take would succeed now, or after which time it is expected to.
	Check(*carobbend.Account) (retryAfter time.Duration, ok bool)
	// Take takes a token for one request, or returns the time after which one is expected. It may ask other instances, for some
	// milliseconds at most.
	Take(context.Context, *carobbend.Account) (retryAfter time.Duration, ok bool)
	// Return gives back a token of a request that didn't run.
	Return(*carobbend.Account)
}

// Outcome is how a request ended.
type Outcome string

const (
	// OutcomeComplete is an answer of one upstream or of all shards.
	OutcomeComplete Outcome = "whole"
	// OutcomePartial is an answer without some shards.
	OutcomePartial Outcome = "partial"
	// OutcomeUpstream is a failure reply of an upstream that was relayed.
	OutcomeUpstream Outcome = "upstream-failure"
	// OutcomeNotRun is a refusal of a request that didn't run.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeFailed says that the attempts failed and may have run.
	OutcomeFailed Outcome = "failed"
	// OutcomeTimeout says that the deadline passed.
	OutcomeTimeout Outcome = "timeout"
	// OutcomeInvalid is a request that can't be served because it is invalid or has no route.
	OutcomeInvalid Outcome = "invalid"
	// OutcomeUnauthorized is a request without a key of a client account, on a route that needs one.
	OutcomeUnauthorized Outcome = "unauthorized"
	// OutcomeOverLimit is a refusal of a request beyond the limit of its account.
	OutcomeOverLimit Outcome = "over-limit"
	// OutcomeCallerLeft says that the caller left.
	OutcomeCallerLeft Outcome = "caller-gone"
)

// Config holds what a Forwarder depends on.
type Config struct {
	Headers   Headers
	Router    *router.Router
	Upstreams *UpstreamSet
	Balancer  *balancer.Balancer
	Exchanger *exchanger.Exchanger
	// Restrictor says which upstreams must not be sent to at the moment; nil means that there are none.
	Restrictor *restrictor.Restrictor
	// RetryBudget bounds hedges and retries by service.
	RetryBudget *hedger.WindowBudget
	// Hedger determines hedge delays from the latency of attempts by route.
	Hedger carobbend.RetainingHedger
	// Memory bounds the memory that the requests in flight hold; nil means no bound.
	Memory *limiter.Bytes
	// Arriving bounds the part of Memory that is held for bodies which are still arriving; nil means no bound.
	Arriving *limiter.Bytes
	// AwaitRouting is called for a request that arrives before a routing is known; it returns once one is, or when the
	// request is to be refused. It may be nil.
	AwaitRouting func(context.Context)
	// Suspended returns for how long the machine was suspended since its start; nil means timekeeper.Suspended.
	Suspended func() time.Duration
	// OnResume is called on the first request after the machine was suspended; it may be nil.
	OnResume func(lost time.Duration)
	// Allotments bounds the requests of limited accounts; nil means that accounts have no limits.
	Allotments Allotments
	// Recorder may be nil.
	Recorder Recorder
	// Instances returns the number of live instances, by which connections are shared.
	Instances func() int
}

// Forwarder serves callers. It implements http.Handler.
type Forwarder struct {
	Config
	upstreams          *UpstreamSet
	instances          func() int
	log                requestLog
	draining           atomic.Bool
	refusing           atomic.Bool
	stopped            chan struct{}
	inFlight           atomic.Int64
	requests           atomic.Int64
	scatterer          *scatterer.Scatterer
	suspensionDetector timekeeper.SuspensionDetector
	// suspended is the last value that noteSuspension returned.
	suspended atomic.Int64
}

// New returns a forwarder.
func New(cfg Config) *Forwarder {
	f := &Forwarder{
		Config: cfg, upstreams: cfg.Upstreams, instances: cfg.Instances, log: newRequestLog(logger.New("forwarder")),
		stopped: make(chan struct{}),
	}
	f.scatterer = scatterer.New(scatterer.Config{
		Balancer: cfg.Balancer, RetryBudget: cfg.RetryBudget, Hedger: cfg.Hedger, Candidates: f.candidates,
	})
	if f.instances == nil {
		f.instances = func() int { return 1 }
	}
	if f.Suspended == nil {
		f.Suspended = timekeeper.Suspended
	}
	if f.Restrictor == nil {
		f.Restrictor = &restrictor.Restrictor{}
	}
	if f.Memory == nil {
		f.Memory = &limiter.Bytes{}
	}
	if f.Arriving == nil {
		f.Arriving = &limiter.Bytes{}
	}
	return f
}

// Drain closes each connection after its next answer.
func (f *Forwarder) Drain() { f.draining.Store(true) }

// Refuse refuses new requests as not run, and those that no upstream has been sent yet: another instance can take them, while this
// one may stop before their answer. Requests in flight at an upstream go on.
func (f *Forwarder) Refuse() {
	f.refusing.Store(true)
	f.Exchanger.ReleaseWaiting()
}

// Stop answers the requests in flight with a failure at once. It may be called once.
func (f *Forwarder) Stop() { close(f.stopped) }

// InFlight returns the number of requests being served.
func (f *Forwarder) InFlight() int64 { return f.inFlight.Load() }

// Requests returns the number of requests that callers have sent.
func (f *Forwarder) Requests() int64 { return f.requests.Load() }

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.requests.Add(1)
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	began := time.Now()
	q := &query{f: f, began: began, id: r.Header.Get(f.Headers.RequestID), callerNetworkTime: measureNetworkTime(r.Context()), suspended: f.Suspended()}
	f.noteSuspension(q.suspended)
	if lost := f.suspensionDetector.Detect(q.suspended); lost > 0 && f.OnResume != nil {
		f.OnResume(lost)
	}
	refusal := f.prepare(q, w, r)
	defer q.release()
	defer q.returnToken()
	if refusal == nil {
		q.serve(w, r)
	} else {
		q.respond(w, refusal)
	}
	f.log.request(q)
	if f.Recorder != nil {
		f.Recorder.Answered(q.routeName(), q.outcome, time.Since(began))
		if q.account != nil {
			f.Recorder.AccountAnswered(q.account.Name, q.outcome)
		}
	}
	// The server would complete a request without an answer by one with status 200.
	if q.truncated || !q.answered {
		if err := resetOnClose(r.Context()); err != nil {
			f.log.log.Error(err, "caller connection can't be reset", "id", q.id)
		}
		// The server then closes the connection without the end of the answer.
		panic(http.ErrAbortHandler)
	}
}

// refusal is an error reply that this instance sends itself.
type refusal struct {
	status  int
	outcome Outcome
	reason  string
	// retryAfter is sent as Retry-After.
	retryAfter time.Duration
}

// stopping returns the refusal of a request that comes too late before the end of the process.
func stopping() *refusal {
	return &refusal{http.StatusServiceUnavailable, OutcomeNotRun, "the instance is stopping", retryAfter}
}

// prepare finds the route, reserves memory and reads the request. It returns a refusal if the request can't be served.
func (f *Forwarder) prepare(q *query, w http.ResponseWriter, r *http.Request) *refusal {
	t := f.Router.Table()
	if t == nil && f.AwaitRouting != nil {
		f.AwaitRouting(r.Context())
		t = f.Router.Table()
	}
	if t == nil {
		return &refusal{http.StatusServiceUnavailable, OutcomeNotRun, "no routing is known yet", retryAfter}
	}
	q.table = t
	if f.refusing.Load() {
		return stopping()
	}
	if q.id == "" {
		return &refusal{status: http.StatusBadRequest, outcome: OutcomeInvalid, reason: "the request has no id"}
	}
	host, uri, path := target(r)
	if refused := q.decide(r.Header, host, path); refused != nil {
		return refused
	}
	if !q.isLimited() {
		q.countForRetries()
	}
	if shortage := f.missingServices(q); shortage != "" {
		after := max(f.untilServable(q.services, q.minCoverage()), retryAfter)
		return &refusal{http.StatusServiceUnavailable, OutcomeNotRun, shortage, after}
	}
	reservation, ok := f.Memory.Reserve(requestBytes + int64(len(q.services))*shardBytes)
	if !ok {
		return noMemory()
	}
	q.reservation = reservation
	if refused := q.checkLimit(hasBody(r)); refused != nil {
		return refused
	}
	body, refused := readBody(w, r, t.Limits().BodyBytes, q.deadline, f.Arriving, reservation)
	if refused != nil {
		return refused
	}
	if f.refusing.Load() {
		return stopping()
	}
	if refused := q.decideAgain(r.Header, host, path); refused != nil {
		return refused
	}
	if refused := q.takeToken(r.Context()); refused != nil {
		return refused
	}
	q.request = &exchanger.Request{
		Method: r.Method, URI: uri, Host: r.Host, ID: q.id, Body: body, HasBody: hasBody(r), Deadline: q.deadline,
		Header: q.requestHeader(r.Header), SuspendedTime: q.suspendedSince(q.suspended),
	}
	if q.isFanOut() {
		q.request.Reduce = func() exchanger.Reducer { return gatherer.NewTopK(q.route.Records) }
	}
	return nil
}

// missingServices returns the reason for a refusal if too few services of the route have an upstream that may be sent to for the
// minimum coverage, or "".
func (f *Forwarder) missingServices(q *query) string {
	n := 0
	for _, s := range q.services {
		if len(f.candidates(s)) > 0 {
			n++
		}
	}
	if n == 0 || float64(n) < q.route.MinCoverage*float64(len(q.services)) {
		return "too few services of the route have an upstream"
	}
	return ""
}

// target returns the host, the request target as sent, and its path.
func target(r *http.Request) (host, uri, path string) {
	host, uri = r.Host, r.RequestURI
	if _, rest, ok := strings.Cut(uri, "://"); ok && uri[0] != '/' {
		// An absolute target contains the host; upstreams get only its path and query.
		if i := strings.IndexByte(rest, '/'); i >= 0 {
			uri = rest[i:]
		} else {
			uri = "/"
		}
	}
	path, _, _ = strings.Cut(uri, "?")
	return host, uri, path
}

// timeLeft returns the lesser of the caller's time left, as stated in the header, and the route's time-out.
func timeLeft(header string, route time.Duration) time.Duration {
	left := defaultTimeout
	if ms, err := strconv.ParseFloat(header, 64); err == nil && ms > 0 && ms < float64(left.Milliseconds()) {
		left = time.Duration(ms * float64(time.Millisecond))
	}
	if route > 0 {
		left = min(left, route)
	}
	return left
}

func hasBody(r *http.Request) bool {
	return r.ContentLength != 0 || len(r.TransferEncoding) > 0 || r.Header.Get("Content-Length") != ""
}

// header begins an answer and returns its header. It has the connection closed after the answer if the instance is draining.
func (q *query) header(w http.ResponseWriter) http.Header {
	q.answered = true
	h := w.Header()
	if q.f.draining.Load() {
		h.Set("Connection", "close")
	}
	return h
}

// respond sends a refusal.
func (q *query) respond(w http.ResponseWriter, r *refusal) {
	q.outcome, q.reason = r.outcome, r.reason
	h := q.header(w)
	h.Set("Content-Type", "application/json")
	h.Set(q.f.Headers.RequestID, q.id)
	if r.status == http.StatusUnauthorized {
		h.Set(authenticator.ChallengeHeader, authenticator.Challenge)
	}
	if r.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64))
	}
	body, err := json.Marshal(carobbend.ErrorReply{Error: r.reason, RequestID: q.id})
	if err != nil {
		body = nil
	}
	w.WriteHeader(r.status)
	// An error means that the caller disconnected.
	_, _ = w.Write(append(body, '\n'))
}
