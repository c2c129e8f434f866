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
	// MaxClockSkew is how far the time of a key may be ahead of this instance's clock. Without this limit, one caller with a
	// wrong clock could raise the floor of a claim partition, and new keys of all callers at or below it would count as expired.
	MaxClockSkew = 5 * time.Minute
	// DefaultTimeout is the time limit of an operation without a deadline.
	DefaultTimeout = 10 * time.Second
	// DefaultRecordTimeout is the time limit for recording the result of an operation in the store.
	DefaultRecordTimeout = 10 * time.Second

	// minPollWait and maxPollWait bound the exponential backoff of polls for a claim that another request holds, and of
	// retries to record a result or release.
	minPollWait = 10 * time.Millisecond
	maxPollWait = 500 * time.Millisecond
	// maxRetryWait bounds the random delay before a retry of an operation that isn't under at-most-once.
	maxRetryWait = 20 * time.Millisecond
	// fingerprintBytes is the length to which the SHA-256 hash is truncated.
	fingerprintBytes = 16
)

// Claims records which attempt may run an operation. *claimer.Claimer implements it.
type Claims interface {
	// Claim requests the exclusive right to run the operation.
	Claim(ctx context.Context, key string, fingerprint []byte, owner string) claimer.Result
	// Finish records that the operation is done, with its answer.
	Finish(ctx context.Context, key string, fingerprint []byte, owner string, answer []byte) claimer.Result
	// Release gives up the claim of an operation that was not run.
	Release(ctx context.Context, key string, fingerprint []byte, owner string) claimer.Result
	// Lookup returns the recorded state of a key.
	Lookup(ctx context.Context, key string) claimer.Result
}

// Config holds the dependencies and time limits of a Dispatcher. All fields except the durations are required.
type Config struct {
	Claims   Claims
	Sender   carobbend.OperationSender
	Balancer carobbend.Balancer
	Rules    carobbend.RulesSource
	// Upstreams lists the upstreams that serve an operation, by the operation's name.
	Upstreams map[string][]carobbend.UpstreamID
	// Timeout is the time limit of operations without a deadline; 0 means DefaultTimeout.
	Timeout time.Duration
	// RecordTimeout is the time limit for recording a result, which continues after Run has returned; 0 means
	// DefaultRecordTimeout.
	RecordTimeout time.Duration
}

// Dispatcher runs operations. It implements carobbend.OperationRunner.
type Dispatcher struct {
	cfg        Config
	recording  sync.WaitGroup
	counters   atomicCounters
	dispatched dispatchedKeys
}

type atomicCounters struct {
	done, notRun, unknown, replayed, conflicts, unrecorded atomic.Int64
}

// Counters holds the numbers of operations by outcome since the start of the dispatcher.
type Counters struct {
	Done, NotRun, Unknown, Replayed, Conflicts int64
	// Unrecorded counts results and releases that the store didn't confirm within the record timeout.
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

// Counters returns the current values.
func (d *Dispatcher) Counters() Counters {
	return Counters{
		Done: d.counters.done.Load(), NotRun: d.counters.notRun.Load(), Unknown: d.counters.unknown.Load(),
		Replayed: d.counters.replayed.Load(), Conflicts: d.counters.conflicts.Load(),
		Unrecorded: d.counters.unrecorded.Load(),
	}
}

// Drain waits until all results are recorded or their record timeouts have expired, or until ctx ends. It must be called
// after the last Run has returned.
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
	d.countOutcome(r)
	return r
}

func (d *Dispatcher) run(ctx context.Context, op carobbend.Operation) carobbend.OperationResult {
	rules := d.cfg.Rules.Rules()
	if rules == nil {
		return notRunResult("no rules in force")
	}
	if len(d.cfg.Upstreams[op.Name]) == 0 {
		return notRunResult(fmt.Sprintf("no upstream takes the operation %q", op.Name))
	}
	key, err := ulid.ParseStrict(op.Key)
	if err != nil {
		return notRunResult("the key must be a ULID: " + err.Error())
	}
	// Without rules in force it is unknown whether the operation may run twice, so it is treated as at-most-once.
	if rules.Version() > 0 && !rules.AtMostOnce(op.Name) {
		return d.runRepeatable(ctx, op)
	}
	if ulid.Time(key.Time()).After(time.Now().Add(MaxClockSkew)) {
		return notRunResult(fmt.Sprintf("the key's time is more than %v ahead", MaxClockSkew))
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
		out = replayedResult(r)
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

// Details of results with the outcome unknown.
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

// runRepeatable sends an operation that may run more than once. After a failure it retries, preferably on an upstream that
// wasn't tried. It returns not-run only if each failure guarantees that the operation didn't run.
func (d *Dispatcher) runRepeatable(ctx context.Context, op carobbend.Operation) carobbend.OperationResult {
	ids := d.cfg.Upstreams[op.Name]
	var avoid []carobbend.UpstreamID
	noneRan := true
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
		kind := carobbend.FailureKindOf(err)
		noneRan = noneRan && neverRan(kind)
		detail = err.Error()
		if kind == carobbend.FailureCanceled || kind == carobbend.FailureDeadline {
			break
		}
		avoid = append(avoid, id)
		sleeper.Sleep(ctx, rand.N(maxRetryWait))
	}
	if noneRan {
		return notRunResult(detail)
	}
	return unknownResult(detail)
}

// send sends the operation to an upstream once and reports the result to the balancer.
func (d *Dispatcher) send(ctx context.Context, id carobbend.UpstreamID, op carobbend.Operation) ([]byte, error) {
	start := time.Now()
	d.cfg.Balancer.Sent(start, id)
	body, err := d.cfg.Sender.SendOperation(ctx, id, op)
	now := time.Now()
	kind := carobbend.FailureKindOf(err)
	d.cfg.Balancer.Finished(now, id, now.Sub(start), kind, -1)
	if kind == carobbend.FailureLeaving {
		d.cfg.Balancer.SetLeaving(now, id, true)
	}
	return body, err
}

// neverRan reports whether a failure guarantees that the operation didn't run.
func neverRan(kind carobbend.FailureKind) bool {
	return kind == carobbend.FailureNotSent || kind == carobbend.FailureShed || kind == carobbend.FailureLeaving
}

func (d *Dispatcher) countOutcome(r carobbend.OperationResult) {
	switch r.Outcome {
	case carobbend.OutcomeDone:
		d.counters.done.Add(1)
	case carobbend.OutcomeNotRun:
		d.counters.notRun.Add(1)
	default:
		d.counters.unknown.Add(1)
	}
	if r.Replayed {
		d.counters.replayed.Add(1)
	}
	if r.Conflict {
		d.counters.conflicts.Add(1)
	}
}

func notRunResult(detail string) carobbend.OperationResult {
	return carobbend.OperationResult{Outcome: carobbend.OutcomeNotRun, Detail: detail}
}

func unknownResult(detail string) carobbend.OperationResult {
	return carobbend.OperationResult{Outcome: carobbend.OutcomeUnknown, Detail: detail}
}

func replayedResult(r claimer.Result) carobbend.OperationResult {
	out := carobbend.OperationResult{Outcome: carobbend.OutcomeDone, Replayed: true}
	if len(r.Answer) == 0 {
		out.Detail = "the answer wasn't kept"
		return out
	}
	out.Body = r.Answer
	return out
}
