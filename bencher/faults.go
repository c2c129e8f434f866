package bencher

import (
	"context"
	"math"
	"time"

	"carobbend.example/carobbend/sleeper"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/emulator"
)

// inject schedules the faults of a scenario over a round. It returns at once; each fault runs in its own goroutine.
func (tb *testbed) inject(ctx context.Context, faults []fault, round time.Duration) {
	scale := func(f float64) time.Duration { return time.Duration(f * float64(round)) }
	for _, f := range faults {
		targets := tb.targets(f)
		for n, i := range targets {
			at, length := scale(f.at+float64(n)*f.interval), scale(f.duration)
			tb.wait.Go(func() {
				if sleeper.Sleep(ctx, at) {
					tb.apply(ctx, f, i, length)
				}
			})
		}
	}
}

// targets returns the indexes of the upstreams or instances that a fault affects.
func (tb *testbed) targets(f fault) []int {
	count := len(tb.ups)
	if f.kind == faultReplace {
		count = instances
	}
	var out []int
	for i := f.offset; i < count; i += max(f.step, 1) {
		out = append(out, i)
	}
	return out
}

func (tb *testbed) apply(ctx context.Context, f fault, i int, length time.Duration) {
	switch f.kind {
	case faultReplace:
		tb.replace(ctx, i)
		return
	case faultSilence:
		tb.silence(tb.ups[i].ID())
		return
	case faultDrain:
		tb.drain(ctx, tb.ups[i], length)
		return
	default:
	}
	u := tb.ups[i]
	switch f.kind {
	case faultSlow:
		u.SetSlow(f.value)
	case faultFail:
		u.SetFailing(true)
	case faultReportLoad:
		u.SetReportedLoad(true, f.value)
	case faultAddSnapshot:
		u.Hold(emulator.Holding{
			Index: tb.dep.index, Snapshot: carobbend.SnapshotID(f.value), Shards: f.shards, Held: tb.dep.heldShards(i, f.shards),
		})
	case faultDropSnapshot:
		u.Drop(tb.dep.index, carobbend.SnapshotID(f.value))
	case faultRestart:
		u.SetFailing(true)
		if sleeper.Sleep(ctx, downTime) {
			u.Restart()
			u.SetFailing(false)
		}
	default:
	}
}

func (tb *testbed) silence(id carobbend.UpstreamID) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, in := range tb.instances {
		in.transport.pools[id].silence()
	}
}

// drain makes an upstream leave, stop after drainTime and come back. Requests that run or wait on it when it stops count
// as cut off.
func (tb *testbed) drain(ctx context.Context, u *emulator.Upstream, length time.Duration) {
	u.SetLeaving(true)
	tb.wait.Go(func() { tb.notifyLeaving(ctx, u.ID(), true) })
	if !sleeper.Sleep(ctx, drainTime) {
		return
	}
	tb.cutOff.Add(int64(math.Round(u.Load() * float64(tb.dep.slots))))
	u.SetFailing(true)
	if sleeper.Sleep(ctx, length-drainTime) {
		u.SetFailing(false)
		u.SetLeaving(false)
		tb.notifyLeaving(ctx, u.ID(), false)
	}
}
