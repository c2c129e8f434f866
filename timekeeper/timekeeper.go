// Package timekeeper measures how long the machine was suspended.
//
// While a machine is suspended, the steady clock stands still, and with it Go's timers, deadlines and time.Since. A process
// that wakes up takes what it believed, and the time that its callers left it, for as fresh as before. The kernel's
// boot-time clock counts that time; the difference of the two clocks grows by it.
//
// # Usage
//
//	before := timekeeper.Suspended()
//	// ...
//	if lost := timekeeper.Suspended() - before; lost > timekeeper.Least {
//		// everything is older, and every deadline nearer, by lost
//	}
package timekeeper

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Least is the shortest difference that is taken for a suspension. The clocks are read one after the other, and a process
// may wait for the processor between the two.
const Least = 300 * time.Millisecond

// Suspended returns for how long the machine was suspended since its start, or 0 where that isn't known.
func Suspended() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}

// Watch notices suspensions between calls. The zero value is ready to use; it is safe for concurrent use.
type Watch struct {
	// seen is the value of Suspended at the last call, plus one so that 0 stands for none.
	seen atomic.Int64
}

// Woken takes the current value of Suspended and returns for how long the machine was suspended since the last call, or 0
// where it wasn't. Of several callers at a time, one is told.
func (w *Watch) Woken(suspended time.Duration) time.Duration {
	current := int64(suspended) + 1
	seen := w.seen.Load()
	if seen == 0 {
		w.seen.CompareAndSwap(0, current)
		return 0
	}
	lost := time.Duration(current - seen)
	if lost < Least || !w.seen.CompareAndSwap(seen, current) {
		return 0
	}
	return lost
}
