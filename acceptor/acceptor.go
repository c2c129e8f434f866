// Package acceptor serves HTTP on a listener and stops without cutting off a request that it has accepted.
//
// http.Server.Shutdown drops a request that it reads after the call, and Close also drops running requests. An
// Acceptor stops accepting connections, waits until the accepted requests are answered, and then closes the server.
// A lack of descriptors doesn't end it.
//
// # Usage
//
//	a := acceptor.New(listener, &http.Server{Handler: h})
//	go a.Serve()
//	a.Close(200 * time.Millisecond)
//
// A Guard bounds what the callers of one or more listeners can make the process hold:
//
//	g := acceptor.NewGuard(table)
//	go g.Run(ctx)
//	a := acceptor.New(g.Listener(listener, callers, limiter.PhaseIdle), g.Server(&http.Server{Handler: h}))
package acceptor

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// quietPeriod is how long no connection may have a pending request before the server is closed.
	quietPeriod = 20 * time.Millisecond
	// pollInterval is the time between two checks for pending requests.
	pollInterval = time.Millisecond
)

// Acceptor serves one listener. It is safe for concurrent use.
type Acceptor struct {
	listener net.Listener
	server   *http.Server

	mu      sync.Mutex
	closing bool
	// pending holds the connections that have a request without an answer, or may have one: new connections count
	// until they have been idle once, since their first request may not have been read yet.
	pending map[net.Conn]struct{}
}

// New returns an acceptor for a listener, with the retries of Retry. It chains to the ConnState hook of the server if there is one.
func New(l net.Listener, srv *http.Server) *Acceptor {
	a := &Acceptor{listener: Retry(l), server: srv, pending: map[net.Conn]struct{}{}}
	next := srv.ConnState
	srv.ConnState = func(c net.Conn, s http.ConnState) {
		a.trackConn(c, s)
		if next != nil {
			next(c, s)
		}
	}
	return a
}

// Serve serves until Close is called and then returns nil; otherwise it returns the error that ended the server.
func (a *Acceptor) Serve() error {
	err := a.server.Serve(a.listener)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closing {
		return nil
	}
	return err
}

// Close stops accepting connections, waits at most limit until no connection has had a pending request for
// quietPeriod, and closes the server. It reports whether no connection counted as pending at the end.
func (a *Acceptor) Close(limit time.Duration) bool {
	a.mu.Lock()
	a.closing = true
	a.mu.Unlock()
	// Errors are ignored: neither the listener nor the connections are used again.
	_ = a.listener.Close()
	defer func() { _ = a.server.Close() }()
	began := time.Now()
	for quietSince := began; time.Since(quietSince) < quietPeriod; time.Sleep(pollInterval) {
		if a.pendingCount() > 0 {
			quietSince = time.Now()
		}
		if time.Since(began) >= limit {
			return a.pendingCount() == 0
		}
	}
	return true
}

// trackConn updates pending when a connection changes its state.
func (a *Acceptor) trackConn(c net.Conn, s http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s == http.StateNew || s == http.StateActive {
		a.pending[c] = struct{}{}
	} else {
		delete(a.pending, c)
	}
}

// pendingCount returns the number of connections that have, or may have, a request without an answer.
func (a *Acceptor) pendingCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.pending)
}
