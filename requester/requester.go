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
	// DefaultAttempts is the number of instances that one request is sent to at most.
	DefaultAttempts = 3
	// DefaultTimeout bounds an attempt where the request names no deadline.
	DefaultTimeout = 6 * time.Second
	// slack is what an attempt may take beyond the deadline that the instance keeps.
	slack = 500 * time.Millisecond
	// maxReplyBytes bounds a reply.
	maxReplyBytes = 16 << 20
	// idleTimeout is far below that of the server, so that this side closes idle connections first.
	idleTimeout = 30 * time.Second
)

// Config says whom to ask and as whom.
type Config struct {
	// Instances are IP addresses with ports to ask for addresses at first.
	Instances []string
	// Token identifies the caller.
	Token string
	// Client tells the processes of one caller apart; empty takes a random one.
	Client string
	// DataCentre is preferred; empty prefers that of the instance asked.
	DataCentre carobbend.DataCentre
	// Attempts is the number of instances that one request is sent to at most; 0 means DefaultAttempts.
	Attempts int
	// Timeout bounds an attempt where the request names no deadline; 0 means DefaultTimeout.
	Timeout time.Duration
}

// Stats counts what a requester saw.
type Stats struct {
	// Attempts counts requests sent, repeated ones included, without those for addresses.
	Attempts int64
	// NotRun counts replies that refused.
	NotRun int64
	// Unreachable counts attempts for which no connection could be opened.
	Unreachable int64
	// CutOff counts attempts whose connection failed or stayed silent after the request may have been written.
	CutOff int64
	// Wrong counts replies that were truncated or belonged to another request.
	Wrong int64
}

// Requester sends requests of one caller. It is safe for concurrent use.
type Requester struct {
	cfg       Config
	http      *http.Client
	transport *http.Transport
	book      addressBook
	stats     struct{ attempts, notRun, unreachable, cutOff, wrong atomic.Int64 }
}

// New checks cfg and returns a requester; it opens no connection yet.
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
		MaxResponseHeaderBytes: carobbend.MaxHeadBytes,
	}
	return &Requester{cfg: cfg, transport: t, http: &http.Client{Transport: t}}, nil
}

// Close closes idle connections.
func (r *Requester) Close() { r.transport.CloseIdleConnections() }

// Stats returns the counts so far.
func (r *Requester) Stats() Stats {
	return Stats{
		Attempts: r.stats.attempts.Load(), NotRun: r.stats.notRun.Load(), Unreachable: r.stats.unreachable.Load(),
		CutOff: r.stats.cutOff.Load(), Wrong: r.stats.wrong.Load(),
	}
}

// Query returns the answer of the first instance that runs the query. An answer with OutcomeNotRun means that all
// instances asked refused; OutcomeUnknown means the same after an attempt whose end is not known.
func (r *Requester) Query(ctx context.Context, q carobbend.QueryRequest) (carobbend.Answer, error) {
	reply, maybe, err := send(ctx, r, call{
		op: "query", method: http.MethodPost, path: carobbend.PathQuery, body: q, timeout: r.timeout(q.DeadlineMs),
	}, target[carobbend.QueryReply]{
		check:   func(a carobbend.QueryReply) error { return checkAnswer(q, a) },
		outcome: func(a carobbend.QueryReply) (carobbend.Outcome, []string) { return a.Outcome, a.OtherAddresses },
	})
	if err == nil && maybe && reply.Outcome == carobbend.OutcomeNotRun {
		reply.Outcome, reply.Detail = carobbend.OutcomeUnknown, unknownDetail+reply.Detail
	}
	return reply.Answer, err
}

// Operate runs an operation. Attempts that end without a reply are repeated under the same key; an empty key is
// replaced by a new one, which the result states.
func (r *Requester) Operate(ctx context.Context, op carobbend.OperationRequest) (carobbend.OperationResult, error) {
	if op.Key == "" {
		op.Key = ulid.Make().String()
	}
	reply, maybe, err := send(ctx, r, call{
		op: "operation", method: http.MethodPost, path: carobbend.PathOperations, body: op, timeout: r.timeout(op.DeadlineMs),
	}, target[carobbend.OperationReply]{
		check: func(o carobbend.OperationReply) error { return checkResult(op.Key, o) },
		outcome: func(o carobbend.OperationReply) (carobbend.Outcome, []string) {
			if o.Conflict {
				// Every instance would say the same.
				return carobbend.OutcomeDone, nil
			}
			return o.Outcome, o.OtherAddresses
		},
	})
	if err != nil {
		return carobbend.OperationResult{Key: op.Key, Outcome: outcomeOf(maybe), Detail: err.Error()}, err
	}
	if maybe && reply.Outcome == carobbend.OutcomeNotRun {
		reply.Outcome, reply.Detail = carobbend.OutcomeUnknown, unknownDetail+reply.Detail
	}
	return reply.OperationResult, nil
}

// unknownDetail explains why a refusal isn't passed on as not-run.
const unknownDetail = "an attempt ended without a reply; another was refused: "

func outcomeOf(maybeRun bool) carobbend.Outcome {
	if maybeRun {
		return carobbend.OutcomeUnknown
	}
	return carobbend.OutcomeNotRun
}

// OperationStatus returns what is known of a key; it starts nothing.
func (r *Requester) OperationStatus(ctx context.Context, key string) (carobbend.OperationResult, error) {
	reply, _, err := send(ctx, r, call{
		op: "operation status", method: http.MethodGet, path: carobbend.PathOperations + "/" + key, timeout: r.cfg.Timeout,
	}, target[carobbend.OperationReply]{
		check: func(o carobbend.OperationReply) error { return checkResult(key, o) },
		// A status of not-run is an answer, not a refusal.
		outcome: func(carobbend.OperationReply) (carobbend.Outcome, []string) { return carobbend.OutcomeDone, nil },
	})
	return reply.OperationResult, err
}

func (r *Requester) timeout(deadlineMs float64) time.Duration {
	if deadlineMs <= 0 {
		return r.cfg.Timeout
	}
	return time.Duration(deadlineMs*float64(time.Millisecond)) + slack
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

// target says how a reply is checked, and how its outcome and further addresses are read.
type target[T any] struct {
	check   func(T) error
	outcome func(T) (carobbend.Outcome, []string)
}

// send tries instances in turn until one neither refuses as not-run nor fails to reply. Where none did, it returns
// the last refusal, or the last error if there was no refusal. It reports whether an attempt may have run although it
// ended without a reply.
func send[T any](ctx context.Context, r *Requester, c call, t target[T]) (last T, maybeRun bool, err error) {
	r.ensure(ctx)
	candidates := r.book.order(time.Now(), r.cfg.Instances)
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
				return last, maybeRun, nil
			}
			refused = true
			r.stats.notRun.Add(1)
			candidates = appendNew(candidates, more)
			continue
		}
		maybeRun = maybeRun || written
		if !refused {
			err = aerr
		}
		var e *Error
		if errors.As(aerr, &e) && e.Kind == KindRefused || ctx.Err() != nil {
			return last, maybeRun, aerr
		}
		r.book.fail(time.Now(), c.address)
	}
	return last, maybeRun, err
}

// exchange sends one request and decodes and checks the reply. Written reports, with an error, whether the request
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
		r.stats.cutOff.Add(1)
		return true, &Error{Op: c.op, Kind: KindConnect, Address: c.address, Err: err}
	}
	if err := decodeReply(resp, b, id, reply, check); err != nil {
		err.Op, err.Address = c.op, c.address
		if err.Kind == KindReply {
			r.stats.wrong.Add(1)
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
		// A bare io.Reader has no GetBody, so the transport can't resend the request by itself.
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

// countFailure reports whether the request may have been written.
func (r *Requester) countFailure(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		r.stats.unreachable.Add(1)
		return false
	}
	r.stats.cutOff.Add(1)
	return true
}

// decodeReply checks that the reply is whole and its own.
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
	var own struct {
		RequestID string `json:"request-id"`
	}
	if err := json.Unmarshal(b, &own); err != nil {
		return &Error{Kind: KindReply, Err: fmt.Errorf("body: %w", err)}
	}
	if got := resp.Header.Get(carobbend.HeaderRequestID); got != id || own.RequestID != id {
		return &Error{Kind: KindReply, Err: fmt.Errorf("request id: got %q and %q, want %q", got, own.RequestID, id)}
	}
	if err := json.Unmarshal(b, reply); err != nil {
		return &Error{Kind: KindReply, Err: fmt.Errorf("body: %w", err)}
	}
	if err := check(); err != nil {
		return &Error{Kind: KindReply, Err: err}
	}
	return nil
}
