// Package acceptor serves HTTP on a listener and ends without cutting off a request that it has accepted.
//
// http.Server.Shutdown drops a request that it reads after the call, and Close drops those that run, too. An Acceptor
// accepts no more connections, lets those that wait for an answer have it, and then closes the server.
//
// # Usage
//
//	a := acceptor.New(listener, &http.Server{Handler: h})
//	go a.Serve()
//	a.Close(200 * time.Millisecond)
package acceptor

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// quietTime is the time without a connection that waits for an answer after which a server is closed.
	quietTime = 20 * time.Millisecond
	// look is the time between two looks at the connections.
	look = time.Millisecond
)

// Acceptor serves one listener. It is safe for concurrent use.
type Acceptor struct {
	listener net.Listener
	server   *http.Server

	mu      sync.Mutex
	closing bool
	// busy are the connections that wait for an answer, or may do so: new ones count until their first request was read.
	busy map[net.Conn]struct{}
}

// New returns an acceptor of a listener; a ConnState of the server is called, too.
func New(l net.Listener, srv *http.Server) *Acceptor {
	a := &Acceptor{listener: l, server: srv, busy: map[net.Conn]struct{}{}}
	next := srv.ConnState
	srv.ConnState = func(c net.Conn, s http.ConnState) {
		a.changed(c, s)
		if next != nil {
			next(c, s)
		}
	}
	return a
}

// Serve serves until Close, and returns nil then, or the error that ended the listener before.
func (a *Acceptor) Serve() error {
	err := a.server.Serve(a.listener)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closing {
		return nil
	}
	return err
}

// Close accepts no more connections and closes those that are open once they are quiet, or when the limit is over. It
// reports whether they were.
func (a *Acceptor) Close(limit time.Duration) bool {
	a.mu.Lock()
	a.closing = true
	a.mu.Unlock()
	// The listener and the connections aren't used again; nothing is left to be done about an error.
	_ = a.listener.Close()
	defer func() { _ = a.server.Close() }()
	began := time.Now()
	for quietSince := began; time.Since(quietSince) < quietTime; time.Sleep(look) {
		if a.waiting() > 0 {
			quietSince = time.Now()
		}
		if time.Since(began) >= limit {
			return a.waiting() == 0
		}
	}
	return true
}

func (a *Acceptor) changed(c net.Conn, s http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s == http.StateNew || s == http.StateActive {
		a.busy[c] = struct{}{}
	} else {
		delete(a.busy, c)
	}
}

// waiting returns the number of connections that may wait for an answer.
func (a *Acceptor) waiting() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.busy)
}
