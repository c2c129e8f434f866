package dispatcher

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"carobbend.example/carobbend/sleeper"

	"github.com/oklog/ulid/v2"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/claimer"
)

const (
	// MaxAhead is how far the time of a key may lie ahead of this instance's clock. One caller with a wrong clock
	// would otherwise raise the floor for all.
	MaxAhead = 5 * time.Minute
	// DefaultTimeout bounds an operation without a deadline.
	DefaultTimeout = 10 * time.Second
	// DefaultRecordTimeout bounds the attempts to record the result of an operation in the store.
	DefaultRecordTimeout = 10 * time.Second

	// pollBase and pollMax bound the waits between looks at a claim that another request holds.
	pollBase = 10 * time.Millisecond
	pollMax  = 500 * time.Millisecond
	// retryWait is the greatest wait before a retry of an operation that isn't under at-most-once.
	retryWait = 20 * time.Millisecond
	// fingerprintBytes is the kept length of the SHA-256 hash.
	fingerprintBytes = 16
)

// Claims records which attempt may run an operation; *claimer.Claimer implements it.
type Claims interface {
	// Claim asks for the right to run the operation.
	Claim(ctx context.Context, key string, fingerprint []byte, owner string) claimer.Result
	// Finish stores the operation's answer.
	Finish(ctx context.Context, key string, fingerprint []byte, owner string, answer []byte) claimer.Result
	// Release gives the key back.
	Release(ctx context.Context, key string, fingerprint []byte, owner string) claimer.Result
	// Lookup reads what is recorded of a key.
	Lookup(ctx context.Context, key string) claimer.Result
}

// Config holds what a Dispatcher works with; all fields but the durations are required.
type Config struct {
	Claims   Claims
	Sender   carobbend.OperationSender
	Balancer carobbend.Balancer
	Rules    carobbend.RulesSource
	// Upstreams lists the upstreams that take an operation, by its name.
	Upstreams map[string][]carobbend.UpstreamID
	// Timeout bounds operations without a deadline; 0 means DefaultTimeout.
	Timeout time.Duration
	// RecordTimeout bounds the recording of a result, which goes on after Run returned; 0 means
	// DefaultRecordTimeout.
	RecordTimeout time.Duration
}

// Dispatcher runs operations. It implements carobbend.OperationRunner.
type Dispatcher struct {
	cfg       Config
	recording sync.WaitGroup
	counts    counters
	sent      sentKeys
}

type counters struct {
	done, notRun, unknown, replayed, conflicts, unrecorded atomic.Int64
}

// Counts holds the numbers of outcomes since the start.
type Counts struct {
	Done, NotRun, Unknown, Replayed, Conflicts int64
	// Unrecorded are results and releases that the store didn't confirm.
	Unrecorded int64
}

// New returns a dispatcher.
func New(cfg Config) *Dispatcher {
	if cfg.Timeout <= 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.RecordTimeout <= 0 {
		cfg.RecordTimeout = DefaultRecordTimeout
	}
	return &Dispatcher{cfg: cfg}
}

// Counts returns the numbers of outcomes so far.
func (d *Dispatcher) Counts() Counts {
	return Counts{
		Done: d.counts.done.Load(), NotRun: d.counts.notRun.Load(), Unknown: d.counts.unknown.Load(),
		Replayed: d.counts.replayed.Load(), Conflicts: d.counts.conflicts.Load(),
		Unrecorded: d.counts.unrecorded.Load(),
	}
}

// Drain waits until all results are recorded or given up, or until ctx ends. Call it after the last Run returned.
func (d *Dispatcher) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		d.recording.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run implements carobbend.OperationRunner.
func (d *Dispatcher) Run(ctx context.Context, op carobbend.Operation) carobbend.OperationResult {
	if op.Deadline.IsZero() {
		op.Deadline = time.Now().Add(d.cfg.Timeout)
	}
	ctx, cancel := context.WithDeadline(ctx, op.Deadline)
	defer cancel()
	r := d.run(ctx, op)
	r.Key = op.Key
	d.count(r)
	return r
}

func (d *Dispatcher) run(ctx context.Context, op carobbend.Operation) carobbend.OperationResult {
	rules := d.cfg.Rules.Rules()
	if rules == nil {
		return notRun("no rules in force")
	}
	if len(d.cfg.Upstreams[op.Name]) == 0 {
		return notRun(fmt.Sprintf("no upstream takes the operation %q", op.Name))
	}
	key, err := ulid.ParseStrict(op.Key)
	if err != nil {
		return notRun("the key must be a ULID: " + err.Error())
	}
	// Without a rule file in force, whether the operation may run twice isn't known.
	if rules.Version() > 0 && !rules.AtMostOnce(op.Name) {
		return d.runRepeatable(ctx, op)
	}
	if ulid.Time(key.Time()).After(time.Now().Add(MaxAhead)) {
		return notRun(fmt.Sprintf("the key's time is more than %v ahead", MaxAhead))
	}
	op.Key = key.String()
	a := &attempt{d: d, op: op, fingerprint: Fingerprint(op), owner: claimer.NewOwner()}
	return a.run(ctx)
}

// Status implements carobbend.OperationRunner.
func (d *Dispatcher) Status(ctx context.Context, key string) carobbend.OperationResult {
	out := carobbend.OperationResult{Key: key, Outcome: carobbend.OutcomeUnknown}
	k, err := ulid.ParseStrict(key)
	if err != nil {
		out.Detail = "the key must be a ULID: " + err.Error()
		return out
	}
	r := d.cfg.Claims.Lookup(ctx, k.String())
	switch r.Status {
	case claimer.StatusFinished:
		out = replay(r)
		out.Key = key
	case claimer.StatusReleased:
		out.Outcome, out.Detail = carobbend.OutcomeNotRun, "released without being sent"
	case claimer.StatusTaken:
		out.Detail = DetailInProgress
	case claimer.StatusExpired:
		out.Detail = DetailExpired
	case claimer.StatusAbsent:
		out.Detail = "no record of this key"
	default:
		out.Detail = r.Detail
	}
	return out
}

// Details of unknown outcomes.
const (
	DetailInProgress = "in progress"
	DetailExpired    = "the key is older than the records that are kept"
)

// Fingerprint identifies the content of an operation: its name, house, caller and body.
func Fingerprint(op carobbend.Operation) []byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(op.Name), []byte(op.House), []byte(op.Caller), op.Body} {
		h.Write(binary.AppendUvarint(nil, uint64(len(part))))
		h.Write(part)
	}
	return h.Sum(nil)[:fingerprintBytes]
}

// runRepeatable sends an operation that may run more than once, and retries it on other upstreams first.
func (d *Dispatcher) runRepeatable(ctx context.Context, op carobbend.Operation) carobbend.OperationResult {
	ids := d.cfg.Upstreams[op.Name]
	var avoid []carobbend.UpstreamID
	clean := true
	detail := "no upstream is available"
	for range len(ids) + 1 {
		id, ok := d.cfg.Balancer.Pick(time.Now(), ids, avoid)
		if !ok || ctx.Err() != nil {
			break
		}
		body, err := d.send(ctx, id, op)
		if err == nil {
			return carobbend.OperationResult{Outcome: carobbend.OutcomeDone, Body: body}
		}
		kind := carobbend.KindOf(err)
		clean = clean && neverRan(kind)
		detail = err.Error()
		if kind == carobbend.FailureCanceled || kind == carobbend.FailureDeadline {
			break
		}
		avoid = append(avoid, id)
		sleeper.Sleep(ctx, rand.N(retryWait))
	}
	if clean {
		return notRun(detail)
	}
	return unknown(detail)
}

// send sends once and tells the balancer.
func (d *Dispatcher) send(ctx context.Context, id carobbend.UpstreamID, op carobbend.Operation) ([]byte, error) {
	start := time.Now()
	d.cfg.Balancer.Sent(start, id)
	body, err := d.cfg.Sender.SendOperation(ctx, id, op)
	now := time.Now()
	kind := carobbend.KindOf(err)
	d.cfg.Balancer.Finished(now, id, now.Sub(start), kind, -1)
	if kind == carobbend.FailureLeaving {
		d.cfg.Balancer.Leaving(now, id, true)
	}
	return body, err
}

// neverRan reports whether a failure guarantees that the operation didn't run.
func neverRan(kind carobbend.FailureKind) bool {
	return kind == carobbend.FailureNotSent || kind == carobbend.FailureShed || kind == carobbend.FailureLeaving
}

func (d *Dispatcher) count(r carobbend.OperationResult) {
	switch r.Outcome {
	case carobbend.OutcomeDone:
		d.counts.done.Add(1)
	case carobbend.OutcomeNotRun:
		d.counts.notRun.Add(1)
	default:
		d.counts.unknown.Add(1)
	}
	if r.Replayed {
		d.counts.replayed.Add(1)
	}
	if r.Conflict {
		d.counts.conflicts.Add(1)
	}
}

func notRun(detail string) carobbend.OperationResult {
	return carobbend.OperationResult{Outcome: carobbend.OutcomeNotRun, Detail: detail}
}

func unknown(detail string) carobbend.OperationResult {
	return carobbend.OperationResult{Outcome: carobbend.OutcomeUnknown, Detail: detail}
}

func replay(r claimer.Result) carobbend.OperationResult {
	out := carobbend.OperationResult{Outcome: carobbend.OutcomeDone, Replayed: true}
	if len(r.Answer) == 0 {
		out.Detail = "the answer wasn't kept"
		return out
	}
	out.Body = r.Answer
	return out
}
