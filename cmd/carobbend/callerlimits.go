package main

import (
	"runtime/debug"

	"golang.org/x/sys/unix"

	"carobbend.example/carobbend/limiter"
	"carobbend.example/carobbend/logger"
	"carobbend.example/carobbend/settings"
)

// memoryLimitFraction is the fraction of the memory that is set as the runtime's soft memory limit, near which it collects
// garbage more often.
const memoryLimitFraction = 0.6

// setMemoryLimit sets the runtime's soft memory limit; 0 keeps the runtime's default.
func setMemoryLimit(memoryMB int) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(memoryMB) * (1 << 20)))
	}
}

// newConnTable returns the account of a process and the table of its connections.
func newConnTable(memoryMB, fds int, l settings.CallerLimits) (limiter.Account, *limiter.ConnTable) {
	a := limiter.NewAccount(int64(memoryMB)<<20, maxFDs(fds))
	if l.Connections > 0 {
		a.Connections = l.Connections
	}
	if l.OtherConnections > 0 {
		a.OtherConnections = l.OtherConnections
	}
	return a, limiter.NewConnTable(a, limiter.Times{Write: l.WriteTimeout, Body: l.BodyTimeout})
}

// maxFDs returns the number of descriptors that the process may open, or the least of that and a stated number; 0 means that
// neither is known.
func maxFDs(stated int) int {
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil {
		logger.New("instance").Error(err, "the limit on descriptors isn't known")
		return stated
	}
	const unlimited = 1 << 20
	n := int(min(l.Cur, unlimited))
	if stated > 0 {
		n = min(n, stated)
	}
	return n
}
