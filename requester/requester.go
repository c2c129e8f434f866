package requester

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"

	"carobbend.example/carobbend"
)

const (
	// DefaultAttempts is the maximum number of instances that one request is sent to.
	DefaultAttempts = 3
	// DefaultTimeout bounds an attempt if the request has no deadline.
	DefaultTimeout = 6 * time.Second
	// deadlineGrace is how long an attempt waits beyond the request's deadline, which the instance enforces itself.
	deadlineGrace = 500 * time.Millisecond
	// maxReplyBytes bounds a reply.
	maxReplyBytes = 16 << 20
	// idleTimeout is far below that of the server, so that the client closes idle connections first.
	idleTimeout = 30 * time.Second
)

// Config holds the instances to contact and the identity of the caller.
type Config struct {
	// Instances are the IP addresses and ports of the instances that the first request for addresses goes to.
	Instances []string
	// Token identifies the caller.
	Token string
	// Client distinguishes the processes of one caller; empty means a random value.
	Client string
	// DataCentre is the preferred data centre; empty means that of the instance that is asked for addresses.
	DataCentre carobbend.DataCentre
	// Attempts is the maximum number of instances that one request is sent to; 0 means DefaultAttempts.
	Attempts int
	// Timeout bounds an attempt if the request has no deadline; 0 means DefaultTimeout.
	Timeout time.Duration
}

// Stats holds the counters of a Requester.
type Stats struct {
	// Attempts counts requests sent, including retries, excluding those for addresses.
	Attempts int64
	// NotRun counts replies that refused the request as not-run.
	NotRun int64
	// Unreachable counts attempts for which no connection could be opened.
	Unreachable int64
	// Interrupted counts attempts whose connection failed or timed out after the request may have been written.
	Interrupted int64
	// InvalidReplies counts replies that were truncated or belonged to another request.
	InvalidReplies int64
}

// Requester sends requests of one caller. It is safe for concurrent use.
type Requester struct {
	cfg       Config
	http      *http.Client
	transport *http.Transport
	addresses addressCache
	stats     struct{ attempts, notRun, unreachable, interrupted, invalidReplies atomic.Int64 }
}

// New validates cfg and returns a requester. It doesn't open connections.
func New(cfg Config) (*Requester, error) {
	if len(cfg.Instances) == 0 || cfg.Token == "" {
		return nil, &Error{Op: "new", Kind: KindConfig, Err: errors.New("at least one instance and a token are required")}
	}
	if cfg.Client == "" {
		cfg.Client = ulid.Make().String()
	}
	if cfg.Attempts <= 0 {
		cfg.Attempts = DefaultAttempts
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = DefaultTimeout
	}
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: addressTimeout}).DialContext,
		MaxIdleConnsPerHost: 256, IdleConnTimeout: idleTimeout, DisableCompression: true,
		MaxResponseHeaderBytes: carobbend.MaxHeaderBytes,
	}
	return &Requester{cfg: cfg, transport: t, http: &http.Client{Transport: t}}, nil
}

// Close closes idle connections.
func (r *Requester) Close() { r.transport.CloseIdleConnections() }

// Stats returns the counters since New.
func (r *Requester) Stats() Stats {
	return Stats{
		Attempts: r.stats.attempts.Load(), NotRun: r.stats.notRun.Load(), Unreachable: r.stats.unreachable.Load(),
		Interrupted: r.stats.interrupted.Load(), InvalidReplies: r.stats.invalidReplies.Load(),
	}
}

// Query returns the answer of the first instance that runs the query. OutcomeNotRun means that all instances tried refused
// the query; OutcomeUnknown means that at least one refused it, and that another attempt may have run but ended without a
// valid reply.
func (r *Requester) Query(ctx context.Context, q carobbend.QueryRequest) (carobbend.Answer, error) {
	reply, mayHaveRun, err := send(ctx, r, call{
		op: "query", method: http.MethodPost, path: carobbend.PathQuery, body: q, timeout: r.timeout(q.DeadlineMs),
	}, replyHandler[carobbend.QueryReply]{
		check:   func(a carobbend.QueryReply) error { return checkAnswer(q, a) },
		outcome: func(a carobbend.QueryReply) (carobbend.Outcome, []string) { return a.Outcome, a.OtherAddresses },
	})
	if err == nil && mayHaveRun && reply.Outcome == carobbend.OutcomeNotRun {
		reply.Outcome, reply.Detail = carobbend.OutcomeUnknown, unknownDetail+reply.Detail
	}
	return reply.Answer, err
}

// Operate runs an operation. Attempts that end without a reply are retried under the same key. An empty key is replaced by
// a new one, which the result contains.
func (r *Requester) Operate(ctx context.Context, op carobbend.OperationRequest) (carobbend.OperationResult, error) {
	if op.Key == "" {
		op.Key = ulid.Make().String()
	}
	reply, mayHaveRun, err := send(ctx, r, call{
		op: "operation", method: http.MethodPost, path: carobbend.PathOperations, body: op, timeout: r.timeout(op.DeadlineMs),
	}, replyHandler[carobbend.OperationReply]{
		check: func(o carobbend.OperationReply) error { return checkResult(op.Key, o) },
		outcome: func(o carobbend.OperationReply) (carobbend.Outcome, []string) {
			if o.Conflict {
				// Every instance would refuse it, so a conflict is final.
				return carobbend.OutcomeDone, nil
			}
			return o.Outcome, o.OtherAddresses
		},
	})
	if err != nil {
		return carobbend.OperationResult{Key: op.Key, Outcome: outcomeAfterError(mayHaveRun), Detail: err.Error()}, err
	}
	if mayHaveRun && reply.Outcome == carobbend.OutcomeNotRun {
		reply.Outcome, reply.Detail = carobbend.OutcomeUnknown, unknownDetail+reply.Detail
	}
	return reply.OperationResult, nil
}

// unknownDetail explains to the caller why a refusal is returned as unknown and not as not-run.
const unknownDetail = "an attempt ended without a reply; another was refused: "

func outcomeAfterError(mayHaveRun bool) carobbend.Outcome {
	if mayHaveRun {
		return carobbend.OutcomeUnknown
	}
	return carobbend.OutcomeNotRun
}

// OperationStatus returns the recorded outcome of a key. It doesn't run the operation.
func (r *Requester) OperationStatus(ctx context.Context, key string) (carobbend.OperationResult, error) {
	reply, _, err := send(ctx, r, call{
		op: "operation status", method: http.MethodGet, path: carobbend.PathOperations + "/" + key, timeout: r.cfg.Timeout,
	}, replyHandler[carobbend.OperationReply]{
		check: func(o carobbend.OperationReply) error { return checkResult(key, o) },
		// Here not-run is the status of the key and not a refusal, so it isn't retried.
		outcome: func(carobbend.OperationReply) (carobbend.Outcome, []string) { return carobbend.OutcomeDone, nil },
	})
	return reply.OperationResult, err
}

func (r *Requester) timeout(deadlineMs float64) time.Duration {
	if deadlineMs <= 0 {
		return r.cfg.Timeout
	}
	return time.Duration(deadlineMs*float64(time.Millisecond)) + deadlineGrace
}

// call is one HTTP request.
type call struct {
	op      string
	method  string
	path    string
	body    any
	address string
	timeout time.Duration
}

// replyHandler validates a reply and extracts its outcome and further addresses.
type replyHandler[T any] struct {
	check   func(T) error
	outcome func(T) (carobbend.Outcome, []string)
}

// send tries instances in turn until one replies with an outcome other than not-run. If none does, it returns the last
// refusal, or the last error if there was no refusal. It reports whether an attempt that ended without a reply may have
// run.
func send[T any](ctx context.Context, r *Requester, c call, t replyHandler[T]) (last T, mayHaveRun bool, err error) {
	r.ensureAddresses(ctx)
	candidates := r.addresses.ordered(time.Now(), r.cfg.Instances)
	var tried []string
	refused := false
	err = &Error{Op: c.op, Kind: KindConnect, Err: errors.New("no instance is known")}
	for range r.cfg.Attempts {
		i := slices.IndexFunc(candidates, func(a string) bool { return !slices.Contains(tried, a) })
		if i < 0 {
			break
		}
		c.address = candidates[i]
		tried = append(tried, c.address)
		r.stats.attempts.Add(1)
		var reply T
		written, aerr := r.exchange(ctx, c, &reply, func() error { return t.check(reply) })
		if aerr == nil {
			last, err = reply, nil
			o, more := t.outcome(reply)
			if o != carobbend.OutcomeNotRun {
				return last, mayHaveRun, nil
			}
			refused = true
			r.stats.notRun.Add(1)
			candidates = appendNew(candidates, more)
			continue
		}
		mayHaveRun = mayHaveRun || written
		if !refused {
			err = aerr
		}
		var e *Error
		if errors.As(aerr, &e) && e.Kind == KindRefused || ctx.Err() != nil {
			return last, mayHaveRun, aerr
		}
		r.addresses.markFailed(time.Now(), c.address)
	}
	return last, mayHaveRun, err
}

// exchange sends one request, and decodes and checks the reply. If it returns an error, written reports whether the request
// may have reached the instance.
func (r *Requester) exchange(ctx context.Context, c call, reply any, check func() error) (written bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	id := ulid.Make().String()
	req, err := r.request(ctx, c, id)
	if err != nil {
		return false, &Error{Op: c.op, Kind: KindConfig, Address: c.address, Err: err}
	}
	resp, err := r.http.Do(req)
	if err != nil {
		return r.countFailure(err), &Error{Op: c.op, Kind: KindConnect, Address: c.address, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		r.stats.interrupted.Add(1)
		return true, &Error{Op: c.op, Kind: KindConnect, Address: c.address, Err: err}
	}
	if err := decodeReply(resp, b, id, reply, check); err != nil {
		err.Op, err.Address = c.op, c.address
		if err.Kind == KindReply {
			r.stats.invalidReplies.Add(1)
		}
		return err.Kind != KindRefused, err
	}
	return true, nil
}

func (r *Requester) request(ctx context.Context, c call, id string) (*http.Request, error) {
	var body io.Reader
	if c.body != nil {
		b, err := json.Marshal(c.body)
		if err != nil {
			return nil, err
		}
		// NewRequest sets no GetBody for a MultiReader, so the transport can't resend the request.
		body = io.MultiReader(bytes.NewReader(b))
	}
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+c.address+c.path, body)
	if err != nil {
		return nil, err
	}
	if c.body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	req.Header.Set("Authorization", "Bearer "+r.cfg.Token)
	req.Header.Set(carobbend.HeaderRequestID, id)
	return req, nil
}

// countFailure counts a failed attempt and reports whether the request may have been written.
func (r *Requester) countFailure(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		r.stats.unreachable.Add(1)
		return false
	}
	r.stats.interrupted.Add(1)
	return true
}

// decodeReply decodes a reply and checks that it is complete and has the id of the request.
func decodeReply(resp *http.Response, b []byte, id string, reply any, check func() error) *Error {
	switch resp.StatusCode {
	case http.StatusOK, http.StatusServiceUnavailable, http.StatusConflict:
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound, http.StatusRequestEntityTooLarge:
		var e carobbend.ErrorReply
		if err := json.Unmarshal(b, &e); err != nil || e.Error == "" {
			e.Error = string(b)
		}
		return &Error{Kind: KindRefused, Err: fmt.Errorf("status %d: %s", resp.StatusCode, e.Error)}
	default:
		return &Error{Kind: KindConnect, Err: fmt.Errorf("status %d: %s", resp.StatusCode, b)}
	}
	var envelope struct {
		RequestID string `json:"request-id"`
	}
	if err := json.Unmarshal(b, &envelope); err != nil {
		return &Error{Kind: KindReply, Err: fmt.Errorf("body: %w", err)}
	}
	if got := resp.Header.Get(carobbend.HeaderRequestID); got != id || envelope.RequestID != id {
		return &Error{Kind: KindReply, Err: fmt.Errorf("request id: got %q and %q, want %q", got, envelope.RequestID, id)}
	}
	if err := json.Unmarshal(b, reply); err != nil {
		return &Error{Kind: KindReply, Err: fmt.Errorf("body: %w", err)}
	}
	if err := check(); err != nil {
		return &Error{Kind: KindReply, Err: err}
	}
	return nil
}
