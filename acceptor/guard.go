package acceptor

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"carobbend.example/carobbend/limiter"
	"carobbend.example/carobbend/logger"
)

const (
	// busyInterval is the time between two checks of all connections while some of them wait for bytes of a caller, and
	// calmInterval at other times, so that an instance in reserve is seldom woken.
	busyInterval = 50 * time.Millisecond
	calmInterval = 250 * time.Millisecond
	// maxStep bounds by how much one check advances the table's time, so that a pause of the process doesn't count as a
	// caller's delay.
	maxStep = 2 * calmInterval
	// acceptPause is the time between two attempts to take a place, and the first delay after an error of Accept;
	// maxAcceptPause is the longest delay.
	acceptPause    = 5 * time.Millisecond
	maxAcceptPause = time.Second
	// writePiece is the number of bytes that are written at a time, so that progress is noticed.
	writePiece = 16 << 10
	// refusalTimeout bounds the writing of a refusal, for which the send buffer has space.
	refusalTimeout = 50 * time.Millisecond
	// logInterval is the least time between two log lines of a guard.
	logInterval = time.Second
)

// Guard bounds what callers can make the process hold, by the decisions of a limiter.ConnTable. Run must be called.
type Guard struct {
	table *limiter.ConnTable
	log   logger.Logger
	// acceptErrors counts failed calls of Accept.
	acceptErrors atomic.Int64
	logged       map[limiter.CloseReason]int64
	loggedErrors int64

	mu sync.Mutex
	// advanced is when the time of the table was last advanced.
	advanced time.Time
}

// NewGuard returns a guard that applies the decisions of t.
func NewGuard(t *limiter.ConnTable) *Guard {
	return &Guard{table: t, log: logger.New("guard"), logged: map[limiter.CloseReason]int64{}, advanced: time.Now()}
}

// advance sets the time of the table.
func (g *Guard) advance(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Advance(min(max(now.Sub(g.advanced), 0), maxStep))
	g.advanced = now
}

// Run closes connections that are over a limit until ctx is done.
func (g *Guard) Run(ctx context.Context) error {
	t := time.NewTimer(calmInterval)
	defer t.Stop()
	var lastLog time.Time
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		now := time.Now()
		g.advance(now)
		due, busy := g.table.Due()
		for _, x := range due {
			x.Conn.Close()
		}
		if busy {
			t.Reset(busyInterval)
		} else {
			t.Reset(calmInterval)
		}
		if now.Sub(lastLog) >= logInterval && g.logCounts() {
			lastLog = now
		}
	}
}

// logCounts logs how many connections were closed since the last line, and reports whether there were any. The end of idle
// connections is usual and isn't logged.
func (g *Guard) logCounts() bool {
	var values []any
	for _, r := range limiter.CloseReasons {
		n := g.table.Count(r)
		if d := n - g.logged[r]; d > 0 && r != limiter.CloseIdleTimeout {
			values = append(values, string(r), d)
		}
		g.logged[r] = n
	}
	n := g.acceptErrors.Load()
	if d := n - g.loggedErrors; d > 0 {
		values = append(values, "accept-errors", d)
	}
	g.loggedErrors = n
	if len(values) == 0 {
		return false
	}
	g.log.Info("connections of callers closed", values...)
	return true
}

// Listener returns a listener whose connections are bounded by group. Accept waits for a place, and after errors that pass.
// phase is that of new connections.
func (g *Guard) Listener(l net.Listener, group *limiter.Group, phase limiter.Phase) net.Listener {
	return &guardedListener{Listener: l, guard: g, group: group, phase: phase, closed: make(chan struct{})}
}

// Server makes srv report the phases of its connections, which must come from Listener, and returns it. srv needs no time
// limits of its own for heads and idle connections.
func (g *Guard) Server(srv *http.Server) *http.Server {
	srv.Handler = guardedHandler{srv.Handler}
	state, connContext := srv.ConnState, srv.ConnContext
	srv.ConnState = func(c net.Conn, s http.ConnState) {
		if gc, ok := c.(*guardedConn); ok {
			gc.setState(s)
		}
		if state != nil {
			state(c, s)
		}
	}
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, guardKey{}, c)
	}
	return srv
}

type guardedListener struct {
	net.Listener
	guard     *Guard
	group     *limiter.Group
	phase     limiter.Phase
	closed    chan struct{}
	closeOnce sync.Once
}

// Close implements net.Listener.
func (l *guardedListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Accept implements net.Listener. While there is no place, callers wait in the kernel's queue.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		worst, ok := l.group.Take()
		if ok {
			break
		}
		if worst.Conn != nil {
			worst.Conn.Close()
		} else if !l.pause(acceptPause) {
			return nil, net.ErrClosed
		}
	}
	for delay := acceptPause; ; delay = min(2*delay, maxAcceptPause) {
		c, err := l.Listener.Accept()
		if err == nil {
			l.guard.advance(time.Now())
			gc := &guardedConn{Conn: c}
			gc.entry = l.group.Add(l.phase, func() {
				// An error means that it is closed already.
				_ = c.Close()
			})
			return gc, nil
		}
		if !isTemporary(err) {
			l.group.GiveBack()
			return nil, err
		}
		l.guard.acceptErrors.Add(1)
		if worst := l.group.Worst(); worst.Conn != nil {
			worst.Conn.Close()
		}
		if !l.pause(delay) {
			l.group.GiveBack()
			return nil, net.ErrClosed
		}
	}
}

// pause waits, and reports whether the listener is open.
func (l *guardedListener) pause(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-l.closed:
		return false
	}
}

// guardedConn reports what arrives on a connection and what is written.
type guardedConn struct {
	net.Conn
	entry *limiter.Conn
	// refused is set once a refusal was written; nothing is read or written afterwards.
	refused atomic.Bool
}

// NetConn returns the connection that the guard wraps.
func (c *guardedConn) NetConn() net.Conn { return c.Conn }

// setState follows the states of net/http: a connection is active once a head was read, and idle after an answer.
func (c *guardedConn) setState(s http.ConnState) {
	switch s {
	case http.StateActive:
		c.entry.Enter(limiter.PhaseServe)
	case http.StateIdle:
		c.entry.Enter(limiter.PhaseIdle)
	default:
	}
}

// Read implements net.Conn.
func (c *guardedConn) Read(b []byte) (int, error) {
	if c.refused.Load() {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	lines := 0
	if c.entry.InHead() {
		lines = bytes.Count(b[:n], []byte{'\n'})
	}
	if reason := c.entry.Received(n, lines); reason != limiter.CloseNone {
		c.refuse(reason)
		return 0, io.EOF
	}
	return n, err
}

// refuse answers a request whose head isn't read to its end, which therefore doesn't run, and ends the connection.
func (c *guardedConn) refuse(reason limiter.CloseReason) {
	answer := "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.100\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	if reason == limiter.CloseLongHead {
		answer = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	}
	c.refused.Store(true)
	// Errors mean that the caller left; the connection is closed in any case.
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.WriteString(c.Conn, answer)
}

// Write implements net.Conn.
func (c *guardedConn) Write(b []byte) (int, error) {
	if c.refused.Load() {
		return 0, io.ErrClosedPipe
	}
	written := 0
	for {
		c.entry.Writing()
		n, err := c.Conn.Write(b[written:min(written+writePiece, len(b))])
		c.entry.Written()
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// Close implements net.Conn.
func (c *guardedConn) Close() error {
	c.entry.Remove()
	return c.Conn.Close()
}

type guardKey struct{}

// guardedHandler reports when the body of a request arrives, and when the server reads what the handler left of it.
type guardedHandler struct{ next http.Handler }

// ServeHTTP implements http.Handler.
func (h guardedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(guardKey{}).(*guardedConn)
	if !ok || r.ContentLength == 0 {
		h.next.ServeHTTP(w, r)
		return
	}
	// The server decides by the type of the body in its own request whether the rest is read, so a copy is changed.
	watched := *r
	body := &guardedBody{ReadCloser: r.Body, entry: c.entry}
	watched.Body = body
	c.entry.Enter(limiter.PhaseBody)
	h.next.ServeHTTP(w, &watched)
	if !body.ended.Load() {
		c.entry.Enter(limiter.PhaseDiscard)
	}
}

// guardedBody reports the end of a body.
type guardedBody struct {
	io.ReadCloser
	entry *limiter.Conn
	ended atomic.Bool
}

// Read implements io.Reader.
func (b *guardedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	// After any other error the server reads on when the handler returns.
	if errors.Is(err, io.EOF) && !b.ended.Swap(true) {
		b.entry.Enter(limiter.PhaseServe)
	}
	return n, err
}
