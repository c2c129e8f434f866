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
	// cpuSampleInterval is the interval between samples of the processor time, cpuSmoothing the weight of a new sample in the
	// moving average.
	cpuSampleInterval = time.Second
	cpuSmoothing      = 0.3
	// busyThreshold and notBusyThreshold are the CPU utilizations above which an instance becomes busy and below which it
	// stops being busy.
	busyThreshold    = 0.6
	notBusyThreshold = 0.4
)

// onResume renews what this instance knows of the store after the machine was suspended: a pending watch may never be
// answered, and the instance's entry in the list may have expired.
func (x *forwardInstance) onResume(lost time.Duration) {
	x.log.Info("resumed after suspension", "suspended-ms", lost.Milliseconds())
	x.relay.Invalidate()
	x.follower.Probe()
	if x.active.Load() && !x.isDraining() {
		x.enroller.Reannounce()
	}
}

// monitorLoad announces whether this instance is busy, so that instances in reserve take over some callers. It also detects
// suspensions of the machine.
func (x *forwardInstance) monitorLoad(ctx context.Context) error {
	var load cpuMeter
	busy := false
	for sleeper.Sleep(ctx, cpuSampleInterval) {
		if lost := x.suspensionDetector.Detect(timekeeper.Suspended()); lost > 0 {
			x.onResume(lost)
		}
		x.retireIfLeftOut(ctx, time.Now())
		if x.cfg.Cores == 0 {
			continue
		}
		utilization := load.sample(time.Now(), cpuTime()) / x.cfg.Cores
		now := busy
		if utilization > busyThreshold {
			now = true
		} else if utilization < notBusyThreshold {
			now = false
		}
		if now != busy && x.active.Load() && !x.isDraining() {
			busy = now
			x.log.Info("load changed", "busy", busy, "processor-part", fmt.Sprintf("%.2f", utilization))
			self := x.self
			self.Busy = busy
			x.enroller.Update(self)
		}
	}
	return ctx.Err()
}

// cpuMeter keeps a moving average of the cores that the process uses.
type cpuMeter struct {
	sampledAt time.Time
	used      time.Duration
	mean      float64
}

// sample records the processor time used until now and returns the average number of cores in use.
func (m *cpuMeter) sample(now time.Time, used time.Duration) float64 {
	if !m.sampledAt.IsZero() && now.After(m.sampledAt) {
		m.mean += cpuSmoothing * (float64(used-m.used)/float64(now.Sub(m.sampledAt)) - m.mean)
	}
	m.sampledAt, m.used = now, used
	return m.mean
}

// cpuTime returns the user and system time that the process has used, or 0 if it can't be read.
func cpuTime() time.Duration {
	var r unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
