package dispatcher

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oklog/ulid/v2"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/claimer"
	"carobbend.example/carobbend/emulator"
)

// Guards against a refusal that isn't one, and a send without a claim, while the store is down.
func TestStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore(emulator.WithDelay(2 * time.Millisecond))
		f := newFleet(store, 2)
		store.SetOutage(true)
		op := newOp(time.Second)
		wantOutcome(t, "at start", f.instances[0].Run(t.Context(), op), carobbend.OutcomeNotRun)
		wantExecutions(t, f, op.Key, 0)
		wantOutcome(t, "status", f.instances[0].Status(t.Context(), op.Key), carobbend.OutcomeUnknown)
		store.SetOutage(false)
		wantOutcome(t, "again", f.instances[1].Run(t.Context(), op), carobbend.OutcomeDone)
		f.drain(t)

		// The outage begins once the operation was sent: the caller gets its answer, the record follows later.
		op = newOp(time.Second)
		f.up.before = func(carobbend.Operation) carobbend.FailureKind {
			store.SetOutage(true)
			return carobbend.FailureNone
		}
		time.AfterFunc(3*time.Second, func() { store.SetOutage(false) })
		wantOutcome(t, "in the middle", f.instances[0].Run(t.Context(), op), carobbend.OutcomeDone)
		wantOutcome(t, "repeated while down", f.instances[0].Run(t.Context(), op), carobbend.OutcomeUnknown)
		f.drain(t)
		f.up.before = nil
		op.Deadline = time.Now().Add(time.Second)
		if r := f.instances[1].Run(t.Context(), op); !r.Replayed {
			t.Errorf("after the outage: got %+v, want the recorded result", r)
		}
		wantExecutions(t, f, op.Key, 1)
	})
}

// Guards against not-run for an operation that may have run, and against a retry of such an operation.
func TestSendFailures(t *testing.T) {
	type outcomes struct{ once, repeatable carobbend.Outcome }
	for kind, want := range map[carobbend.FailureKind]outcomes{
		carobbend.FailureNotSent:  {carobbend.OutcomeNotRun, carobbend.OutcomeNotRun},
		carobbend.FailureShed:     {carobbend.OutcomeNotRun, carobbend.OutcomeNotRun},
		carobbend.FailureLeaving:  {carobbend.OutcomeNotRun, carobbend.OutcomeNotRun},
		carobbend.FailureBroken:   {carobbend.OutcomeUnknown, carobbend.OutcomeUnknown},
		carobbend.FailureSilent:   {carobbend.OutcomeUnknown, carobbend.OutcomeUnknown},
		carobbend.FailureIdentity: {carobbend.OutcomeUnknown, carobbend.OutcomeUnknown},
		carobbend.FailureDeadline: {carobbend.OutcomeUnknown, carobbend.OutcomeUnknown},
		carobbend.FailureCanceled: {carobbend.OutcomeUnknown, carobbend.OutcomeUnknown},
	} {
		t.Run(string(kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(emulator.NewStore(), 2)
				failures := 0
				f.up.before = func(carobbend.Operation) carobbend.FailureKind {
					failures++
					return kind
				}
				op := newOp(time.Second)
				wantOutcome(t, "once", f.instances[0].Run(t.Context(), op), want.once)
				if sends := map[bool]int{true: 2, false: 1}[neverRan(kind)]; failures != sends {
					t.Errorf("sends: got %d, want %d", failures, sends)
				}
				f.drain(t)
				f.up.before = nil
				again := map[bool]carobbend.Outcome{true: carobbend.OutcomeDone, false: carobbend.OutcomeUnknown}[neverRan(kind)]
				if got, want := f.instances[1].Status(t.Context(), op.Key).Outcome, want.once; got != want {
					t.Errorf("status: got %q, want %q", got, want)
				}
				wantOutcome(t, "again", f.instances[1].Run(t.Context(), op), again)
				f.drain(t)

				repeatable := newOp(time.Second)
				repeatable.Name = "repeatable"
				wantOutcome(t, "repeatable", f.instances[0].Run(t.Context(), repeatable), carobbend.OutcomeDone)
				f.up.before = func(carobbend.Operation) carobbend.FailureKind { return kind }
				wantOutcome(t, "repeatable fails", f.instances[0].Run(t.Context(), repeatable), want.repeatable)
			})
		})
	}
}

// freezer is a process that stops for a while: neither its deadline nor its timers take effect meanwhile.
type freezer struct {
	Claims
	anyUpstream
	inClaim, inPick time.Duration
}

func (f *freezer) Claim(ctx context.Context, key string, fingerprint []byte, owner string) claimer.Result {
	r := f.Claims.Claim(ctx, key, fingerprint, owner)
	time.Sleep(f.inClaim)
	return r
}

func (f *freezer) Pick(now time.Time, ids, avoid []carobbend.UpstreamID) (carobbend.UpstreamID, bool) {
	time.Sleep(f.inPick)
	return f.anyUpstream.Pick(now, ids, avoid)
}

// Guards against a late write by an instance that was paused across its claim or right before the send.
func TestFrozenInstance(t *testing.T) {
	for _, tt := range []struct {
		name            string
		inClaim, inPick time.Duration
	}{{"in the claim", 2 * time.Second, 0}, {"before the send", 0, 2 * time.Second}} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(emulator.NewStore(), 1)
				d := f.instances[0]
				z := &freezer{Claims: d.cfg.Claims, inClaim: tt.inClaim, inPick: tt.inPick}
				d.cfg.Claims, d.cfg.Balancer = z, z
				sent := 0
				f.up.before = func(carobbend.Operation) carobbend.FailureKind {
					sent++
					return carobbend.FailureNone
				}
				wantOutcome(t, "woken", d.Run(t.Context(), newOp(time.Second)), carobbend.OutcomeNotRun)
				if sent != 0 {
					t.Errorf("writes after the deadline: got %d, want 0", sent)
				}
				f.drain(t)
			})
		})
	}
}

// Guards against a write, and against a claim that blocks the key, when the store answers the claim after the
// deadline.
func TestClaimAnsweredLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore(emulator.WithDelay(800 * time.Millisecond))
		f := newFleet(store, 1)
		op := newOp(time.Second)
		wantOutcome(t, "late", f.instances[0].Run(t.Context(), op), carobbend.OutcomeNotRun)
		f.drain(t)
		wantExecutions(t, f, op.Key, 0)
		store.SetDelay(0)
		op.Deadline = time.Now().Add(time.Second)
		wantOutcome(t, "again", f.instances[0].Run(t.Context(), op), carobbend.OutcomeDone)
		f.drain(t)
	})
}

// Guards against a second execution, or a false not-run, after an instance was killed at any step of an operation
// while its caller retries through others.
func TestKilledAtEachStep(t *testing.T) {
	for killAt, survived := 1, false; !survived; killAt++ {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(emulator.NewStore(emulator.WithDelay(2*time.Millisecond)), 3, claimer.WithPeerTimeout(50*time.Millisecond))
			f.lives[0].killAt = killAt
			op := newOp(300 * time.Millisecond)
			go f.instances[0].Run(t.Context(), op)
			time.Sleep(time.Second)
			survived = !f.lives[0].dead()
			for i, d := range f.instances[1:] {
				op.Deadline = time.Now().Add(time.Second)
				if r := d.Run(t.Context(), op); r.Outcome == carobbend.OutcomeNotRun {
					t.Errorf("killed at step %d, retry %d: got not-run (%s)", killAt, i, r.Detail)
				} else if r.Outcome == carobbend.OutcomeDone {
					wantExecutions(t, f, op.Key, 1)
				}
			}
			if got := f.up.executions(op.Key); got > 1 {
				t.Errorf("killed at step %d: got %d executions, want at most 1", killAt, got)
			}
			time.Sleep(time.Minute) // goroutines of the dead instance end at their timeouts
		})
	}
}

// Guards against a run of a key that may have run and was dropped since, and against a full partition that drops
// the very claim it grants.
func TestKeyBelowFloor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(emulator.NewStore(), 2, claimer.WithPartitions(1), claimer.WithBounds(claimer.Bounds{Claims: 4, Bytes: 1 << 20}))
		start := time.Now()
		run := func(minute int) carobbend.OperationResult {
			op := newOp(time.Second)
			at := start.Add(time.Duration(minute)*time.Minute - time.Hour)
			op.Key = ulid.MustNew(ulid.Timestamp(at), nil).String()
			r := f.instances[minute%2].Run(t.Context(), op)
			f.drain(t)
			return r
		}
		for _, tt := range []struct {
			minute int
			want   carobbend.Outcome
		}{
			{2, carobbend.OutcomeDone},
			{3, carobbend.OutcomeDone},
			{4, carobbend.OutcomeDone},
			{5, carobbend.OutcomeDone},
			{1, carobbend.OutcomeNotRun}, // the partition is full of later keys
			{6, carobbend.OutcomeDone},   // drops 2
			{2, carobbend.OutcomeUnknown},
			{1, carobbend.OutcomeUnknown},
			{3, carobbend.OutcomeDone}, // replayed
		} {
			if r := run(tt.minute); r.Outcome != tt.want {
				t.Errorf("key of minute %d: got %q (%s), want %q", tt.minute, r.Outcome, r.Detail, tt.want)
			}
		}
		for _, n := range f.up.runs {
			if len(n) != 1 {
				t.Errorf("executions of a key: got %d, want 1", len(n))
			}
		}
	})
}
