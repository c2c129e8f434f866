package bencher

import (
	"context"
	"math"
	"time"

	"carobbend.example/carobbend/sleeper"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/emulator"
)

// inject applies the faults of a scenario over a round and returns when all are applied or ctx is done.
func (w *world) inject(ctx context.Context, faults []fault, round time.Duration) {
	part := func(f float64) time.Duration { return time.Duration(f * float64(round)) }
	for _, f := range faults {
		targets := w.targets(f)
		for n, i := range targets {
			at, length := part(f.at+float64(n)*f.each), part(f.length)
			w.wait.Go(func() {
				if sleeper.Sleep(ctx, at) {
					w.apply(ctx, f, i, length)
				}
			})
		}
	}
}

func (w *world) targets(f fault) []int {
	most := len(w.ups)
	if f.kind == faultReplace {
		most = instances
	}
	var out []int
	for i := f.offset; i < most; i += max(f.step, 1) {
		out = append(out, i)
	}
	return out
}

func (w *world) apply(ctx context.Context, f fault, i int, length time.Duration) {
	switch f.kind {
	case faultReplace:
		w.replace(ctx, i)
		return
	case faultSilence:
		w.silence(w.ups[i].ID())
		return
	case faultDrain:
		w.drain(ctx, w.ups[i], length)
		return
	default:
	}
	u := w.ups[i]
	switch f.kind {
	case faultSlow:
		u.SetSlow(f.value)
	case faultFail:
		u.SetFailing(true)
	case faultLie:
		u.SetLie(true, f.value)
	case faultHold:
		u.Hold(emulator.Holding{
			Index: w.dep.index, Snapshot: carobbend.SnapshotID(f.value), Shards: f.shards, Held: w.dep.held(i, f.shards),
		})
	case faultDrop:
		u.Drop(w.dep.index, carobbend.SnapshotID(f.value))
	case faultRestart:
		u.SetFailing(true)
		if sleeper.Sleep(ctx, downTime) {
			u.Restart()
			u.SetFailing(false)
		}
	default:
	}
}

func (w *world) silence(id carobbend.UpstreamID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, in := range w.instances {
		in.wire.pools[id].silence()
	}
}

// drain lets an upstream leave; requests that run or wait there when it stops are cut off.
func (w *world) drain(ctx context.Context, u *emulator.Upstream, length time.Duration) {
	u.SetLeaving(true)
	w.wait.Go(func() { w.listed(ctx, u.ID(), true) })
	if !sleeper.Sleep(ctx, drainTime) {
		return
	}
	w.cutOff.Add(int64(math.Round(u.Load() * float64(w.dep.slots))))
	u.SetFailing(true)
	if sleeper.Sleep(ctx, length-drainTime) {
		u.SetFailing(false)
		u.SetLeaving(false)
		w.listed(ctx, u.ID(), false)
	}
}
