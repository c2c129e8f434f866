package main

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"carobbend.example/carobbend/sleeper"
	"carobbend.example/carobbend/timekeeper"
)

const (
	// loadRound is the time between two looks at the processor time, loadWeight the weight of the newest.
	loadRound  = time.Second
	loadWeight = 0.3
	// busyAbove and busyBelow are the parts of the processor time at which an instance becomes busy and stops being so.
	busyAbove = 0.6
	busyBelow = 0.4
)

// woken asks the store anew after the machine was suspended: a watch that waits may never be answered, and the entry in the
// list of instances may have lapsed.
func (x *forwardInstance) woken(lost time.Duration) {
	x.log.Info("woken", "suspended-ms", lost.Milliseconds())
	x.relay.Doubt()
	x.follower.Check()
	if x.active.Load() && !x.isDraining() {
		x.enroller.Missing()
	}
}

// watchLoad announces whether this instance is busy, so that instances in reserve take over some callers. It also notices
// suspensions.
func (x *forwardInstance) watchLoad(ctx context.Context) error {
	var load loadMeter
	busy := false
	for sleeper.Sleep(ctx, loadRound) {
		if lost := x.suspension.Woken(timekeeper.Suspended()); lost > 0 {
			x.woken(lost)
		}
		if x.cfg.Cores == 0 {
			continue
		}
		part := load.round(time.Now(), processorTime()) / x.cfg.Cores
		now := busy
		if part > busyAbove {
			now = true
		} else if part < busyBelow {
			now = false
		}
		if now != busy && x.active.Load() && !x.isDraining() {
			busy = now
			x.log.Info("load changed", "busy", busy, "processor-part", fmt.Sprintf("%.2f", part))
			self := x.self
			self.Busy = busy
			x.enroller.Update(self)
		}
	}
	return ctx.Err()
}

// loadMeter smooths the processor time of the process.
type loadMeter struct {
	at   time.Time
	used time.Duration
	mean float64
}

// round returns the smoothed number of cores in use.
func (m *loadMeter) round(now time.Time, used time.Duration) float64 {
	if !m.at.IsZero() && now.After(m.at) {
		m.mean += loadWeight * (float64(used-m.used)/float64(now.Sub(m.at)) - m.mean)
	}
	m.at, m.used = now, used
	return m.mean
}

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var r unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
