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

// attempt is one request for an operation under the rule at-most-once.
type attempt struct {
	d           *Dispatcher
	op          carobbend.Operation
	fingerprint []byte
	owner       string
	// claimMayCommit is set when a peer may still commit a claim of this attempt.
	claimMayCommit bool
	// maybeWritten is set while an upstream may have received a byte.
	maybeWritten bool
}

// run claims the key and dispatches the operation once it owns the key. While another request holds the claim, it polls.
func (a *attempt) run(ctx context.Context) carobbend.OperationResult {
	waited := false
	for wait := minPollWait; ; wait = min(2*wait, maxPollWait) {
		r := a.d.cfg.Claims.Claim(ctx, a.op.Key, a.fingerprint, a.owner)
		a.claimMayCommit = a.claimMayCommit || r.PeerMayCommit || r.Status == claimer.StatusUnknown
		switch r.Status {
		case claimer.StatusOwned:
			return a.dispatch(ctx)
		case claimer.StatusFinished:
			return replayedResult(r)
		case claimer.StatusConflict:
			out := a.notRunUnlessWritten("the key was used before with another request")
			out.Conflict = true
			return out
		case claimer.StatusExpired:
			return unknownResult(DetailExpired)
		case claimer.StatusTaken:
			waited = true
		case claimer.StatusRefused:
			return a.endWithoutClaim(ctx, waited, "the claim was refused, nothing was sent for this request: "+r.Detail)
		default:
			return a.endWithoutClaim(ctx, waited, "the claim wasn't confirmed, nothing was sent for this request: "+r.Detail)
		}
		if !sleeper.Sleep(ctx, wait/2+rand.N(wait)) {
			return a.endWithoutClaim(ctx, true, "")
		}
	}
}

// endWithoutClaim returns the result of an attempt that doesn't own the key. It releases a claim that may still be
// committed, since that would block the key for later requests.
func (a *attempt) endWithoutClaim(ctx context.Context, waited bool, detail string) carobbend.OperationResult {
	if a.claimMayCommit {
		a.recordInBackground(ctx, a.release)
	}
	if waited {
		return unknownResult(DetailInProgress)
	}
	if a.d.dispatched.has(a.op.Key) {
		return unknownResult("an earlier request with this key was sent and may have run")
	}
	return a.notRunUnlessWritten(detail)
}

// dispatch sends the operation to an upstream, and to another one only if the failure guarantees that nothing ran. It
// continues if the caller disconnects, so that the result is recorded.
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
		// The process may have been paused since the claim, and a claim doesn't permit a write after the deadline.
		if !time.Now().Before(a.op.Deadline) {
			detail = "the deadline passed before the operation was sent"
			break
		}
		asserter.Check(a.d.dispatched.add(a.op.Key, a.owner), asserter.Dispatch, "key", a.op.Key, "owner", a.owner)
		a.maybeWritten = true
		body, err := a.d.send(ctx, id, a.op)
		if err == nil {
			a.recordInBackground(ctx, func(ctx context.Context) claimer.Result {
				return a.d.cfg.Claims.Finish(ctx, a.op.Key, a.fingerprint, a.owner, body)
			})
			return carobbend.OperationResult{Outcome: carobbend.OutcomeDone, Body: body}
		}
		kind := carobbend.FailureKindOf(err)
		if !neverRan(kind) {
			return unknownResult(fmt.Sprintf("the operation was sent and may have run: %v", err))
		}
		a.maybeWritten = false
		a.d.dispatched.remove(a.op.Key, a.owner)
		avoid, detail = append(avoid, id), err.Error()
	}
	a.recordInBackground(ctx, a.release)
	return a.notRunUnlessWritten(detail)
}

func (a *attempt) release(ctx context.Context) claimer.Result {
	return a.d.cfg.Claims.Release(ctx, a.op.Key, a.fingerprint, a.owner)
}

// notRunUnlessWritten returns the outcome not-run. It asserts that no upstream may have received a byte, and returns
// unknown if one may.
func (a *attempt) notRunUnlessWritten(detail string) carobbend.OperationResult {
	if !asserter.Check(!a.maybeWritten, asserter.NotRun, "key", a.op.Key, "owner", a.owner) {
		return unknownResult(detail)
	}
	return notRunResult(detail)
}

// recordInBackground commits a finish or release in the background, since the caller's answer doesn't depend on it. It
// retries until the store gives a final reply or the record timeout expires.
func (a *attempt) recordInBackground(ctx context.Context, commit func(context.Context) claimer.Result) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.d.cfg.RecordTimeout)
	a.d.recording.Go(func() {
		defer cancel()
		for wait := minPollWait; commit(ctx).Temporary(); wait = min(2*wait, maxPollWait) {
			if !sleeper.Sleep(ctx, wait/2+rand.N(wait)) {
				a.d.counters.unrecorded.Add(1)
				return
			}
		}
	})
}
