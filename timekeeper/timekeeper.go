// Package timekeeper measures how long the machine was suspended.
//
// While a machine is suspended, the monotonic clock stands still, and with it Go's timers, deadlines and time.Since.
// After a suspension a process therefore treats its state and the time left to its requests as if no time had passed.
// The kernel's boot-time clock includes suspensions; the difference between the two clocks grows by their duration.
//
// # Usage
//
//	before := timekeeper.Suspended()
//	// ...
//	if lost := timekeeper.Suspended() - before; lost > timekeeper.MinSuspension {
//		// the state is older, and each deadline closer, by lost
//	}
package timekeeper

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// MinSuspension is the shortest difference that counts as a suspension. Smaller ones occur without a suspension: the two
// clocks are read one after the other, and the process may wait for the processor in between.
const MinSuspension = 300 * time.Millisecond

// Suspended returns the total time for which the machine was suspended since it booted, or 0 if that is unknown.
func Suspended() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}

// SuspensionDetector detects suspensions between calls. The zero value is ready to use. It is safe for concurrent use.
type SuspensionDetector struct {
	// seen is the last recorded value of Suspended plus one; 0 means that there is none yet.
	seen atomic.Int64
}

// Detect takes the current value of Suspended and returns for how long the machine was suspended since the last
// detection, or 0 if that is shorter than MinSuspension. If several goroutines call it concurrently, one of them
// gets the suspension.
func (d *SuspensionDetector) Detect(suspended time.Duration) time.Duration {
	current := int64(suspended) + 1
	seen := d.seen.Load()
	if seen == 0 {
		d.seen.CompareAndSwap(0, current)
		return 0
	}
	lost := time.Duration(current - seen)
	if lost < MinSuspension || !d.seen.CompareAndSwap(seen, current) {
		return 0
	}
	return lost
}

// Boot returns the time since the machine booted, suspensions included. Differences between its values are also right for
// a process that was stopped or whose machine was suspended in between.
func Boot() time.Duration {
	var boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		// The clock exists on all supported kernels; without it, the monotonic clock is the closest one.
		return time.Since(processStart)
	}
	return time.Duration(boot.Nano())
}

var processStart = time.Now()
