package dispatcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"carobbend.example/carobbend/sleeper"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/asserter"
	"carobbend.example/carobbend/claimer"
)

// attempt is one request for an operation that runs at most once.
type attempt struct {
	d           *Dispatcher
	op          carobbend.Operation
	fingerprint []byte
	owner       string
	// open says that a peer may still commit a claim of this attempt.
	open bool
	// written says that an upstream may have received a byte.
	written bool
}

// run claims the key, waits while another request holds it, and dispatches once it is owned.
func (a *attempt) run(ctx context.Context) carobbend.OperationResult {
	waited := false
	for wait := pollBase; ; wait = min(2*wait, pollMax) {
		r := a.d.cfg.Claims.Claim(ctx, a.op.Key, a.fingerprint, a.owner)
		a.open = a.open || r.Open || r.Status == claimer.StatusUnknown
		switch r.Status {
		case claimer.StatusOwned:
			return a.dispatch(ctx)
		case claimer.StatusFinished:
			return replay(r)
		case claimer.StatusConflict:
			out := a.notRun("the key was used before with another request")
			out.Conflict = true
			return out
		case claimer.StatusExpired:
			return unknown(DetailExpired)
		case claimer.StatusTaken:
			waited = true
		case claimer.StatusRefused:
			return a.giveUp(ctx, waited, "the claim was refused, nothing was sent for this request: "+r.Detail)
		default:
			return a.giveUp(ctx, waited, "the claim wasn't confirmed, nothing was sent for this request: "+r.Detail)
		}
		if !sleeper.Sleep(ctx, wait/2+rand.N(wait)) {
			return a.giveUp(ctx, true, "")
		}
	}
}

// giveUp ends an attempt that doesn't own the key. A claim that may still be committed is released, since it would
// block the key for later requests.
func (a *attempt) giveUp(ctx context.Context, waited bool, detail string) carobbend.OperationResult {
	if a.open {
		a.record(ctx, a.release)
	}
	if waited {
		return unknown(DetailInProgress)
	}
	if a.d.sent.has(a.op.Key) {
		return unknown("an earlier request with this key was sent and may have run")
	}
	return a.notRun(detail)
}

// dispatch sends the operation to one upstream. Another upstream is tried only where a failure guarantees that
// nothing ran. The operation goes on if the caller disconnects, so that its result is recorded.
func (a *attempt) dispatch(ctx context.Context) carobbend.OperationResult {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), a.op.Deadline)
	defer cancel()
	ids := a.d.cfg.Upstreams[a.op.Name]
	avoid := make([]carobbend.UpstreamID, 0, len(ids))
	detail := "no upstream is available"
	for range ids {
		id, ok := a.d.cfg.Balancer.Pick(time.Now(), ids, avoid)
		if !ok || slices.Contains(avoid, id) {
			break
		}
		// The process may have been paused since the claim. The claim alone doesn't permit a late write.
		if !time.Now().Before(a.op.Deadline) {
			detail = "the deadline passed before the operation was sent"
			break
		}
		asserter.Check(a.d.sent.mark(a.op.Key, a.owner), asserter.Dispatch, "key", a.op.Key, "owner", a.owner)
		a.written = true
		body, err := a.d.send(ctx, id, a.op)
		if err == nil {
			a.record(ctx, func(ctx context.Context) claimer.Result {
				return a.d.cfg.Claims.Finish(ctx, a.op.Key, a.fingerprint, a.owner, body)
			})
			return carobbend.OperationResult{Outcome: carobbend.OutcomeDone, Body: body}
		}
		kind := carobbend.KindOf(err)
		if !neverRan(kind) {
			return unknown(fmt.Sprintf("the operation was sent and may have run: %v", err))
		}
		a.written = false
		a.d.sent.clear(a.op.Key, a.owner)
		avoid, detail = append(avoid, id), err.Error()
	}
	a.record(ctx, a.release)
	return a.notRun(detail)
}

func (a *attempt) release(ctx context.Context) claimer.Result {
	return a.d.cfg.Claims.Release(ctx, a.op.Key, a.fingerprint, a.owner)
}

func (a *attempt) notRun(detail string) carobbend.OperationResult {
	if !asserter.Check(!a.written, asserter.NotRun, "key", a.op.Key, "owner", a.owner) {
		return unknown(detail)
	}
	return notRun(detail)
}

// record commits the end of the attempt in the background, since the caller's answer doesn't depend on it. It
// retries until the store confirms or the time is up.
func (a *attempt) record(ctx context.Context, commit func(context.Context) claimer.Result) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.d.cfg.RecordTimeout)
	a.d.recording.Go(func() {
		defer cancel()
		for wait := pollBase; commit(ctx).Temporary(); wait = min(2*wait, pollMax) {
			if !sleeper.Sleep(ctx, wait/2+rand.N(wait)) {
				a.d.counts.unrecorded.Add(1)
				return
			}
		}
	})
}
