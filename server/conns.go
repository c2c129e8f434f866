package server

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// connTracker records the last state change of each open connection of callers.
type connTracker struct {
	mu    sync.Mutex
	conns map[net.Conn]time.Time
}

// connState is an http.Server.ConnState hook.
func (t *connTracker) connState(c net.Conn, s http.ConnState) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns == nil {
		t.conns = map[net.Conn]time.Time{}
	}
	switch s {
	case http.StateNew, http.StateActive, http.StateIdle:
		t.conns[c] = now
	case http.StateHijacked, http.StateClosed:
		delete(t.conns, c)
	}
}

// open returns the number of connections and the time of the latest state change of an open one.
func (t *connTracker) open() (n int, lastUse time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, at := range t.conns {
		if at.After(lastUse) {
			lastUse = at
		}
	}
	return len(t.conns), lastUse
}
