package exchanger

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/timekeeper"
)

// StatusMisdirected is the status with which an upstream refuses a request that names another upstream.
const StatusMisdirected = http.StatusMisdirectedRequest

// maxInlineBody is the size in bytes up to which a body is written before the reply is read. Longer ones are written
// concurrently, since an upstream may reply before it has read them.
const maxInlineBody = 4096

var errNotPermitted = errors.New("the upstream must not be sent to at the moment")

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind carobbend.FailureKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// FailureKindOf returns the kind of an error of this package, FailureNone for nil and FailureBroken for other errors.
func FailureKindOf(err error) carobbend.FailureKind {
	if err == nil {
		return carobbend.FailureNone
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return carobbend.FailureBroken
}

// Request is a request to send. It is not modified and may be shared by attempts.
type Request struct {
	Method string
	// URI is the request target as the caller sent it.
	URI  string
	Host string
	// ID is the value of Headers.RequestID.
	ID string
	// Header holds the encoded header lines to forward, each "Name: value\r\n", without those that this package sets.
	Header []byte
	Body   []byte
	// HasBody says that the request has a body, which may be empty. It is always sent with a Content-Length.
	HasBody bool
	// Deadline is the time from which the reply is of no use.
	Deadline time.Time
	// SuspendedTime returns how long the machine was suspended since Deadline was set, which time.Until(Deadline) doesn't
	// include; nil means never.
	SuspendedTime func() time.Duration
	// Reduce returns a Reducer for a long body. If it is nil, the remainder of a long body is read from Reply.Remainder.
	Reduce func() Reducer
}

// expiredDuringSuspend reports whether the deadline passed while the machine was suspended.
func (r *Request) expiredDuringSuspend() bool {
	if r.SuspendedTime == nil {
		return false
	}
	suspended := r.SuspendedTime()
	return suspended >= timekeeper.MinSuspension && time.Until(r.Deadline) < suspended
}

// Attempt is one request to one upstream.
type Attempt struct {
	x      *Exchanger
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	conn     *conn
	canceled bool
	// readerOwnsConn says that the reader of Reply.Remainder releases the connection instead of Do.
	readerOwnsConn bool
}

// Attempt returns an attempt that ends with ctx or Cancel.
func (x *Exchanger) Attempt(ctx context.Context) *Attempt {
	a := &Attempt{x: x}
	a.ctx, a.cancel = context.WithCancel(ctx)
	return a
}

// Cancel ends the attempt; closing the connection makes the upstream stop its work.
func (a *Attempt) Cancel() {
	a.mu.Lock()
	a.canceled = true
	c, ownedByReader := a.conn, a.readerOwnsConn
	a.mu.Unlock()
	a.cancel()
	switch {
	case ownedByReader:
		a.releaseConn(false)
	case c != nil:
		c.close()
	}
}

// bindConn lets Cancel close c. It returns false if the attempt is already canceled.
func (a *Attempt) bindConn(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.canceled {
		return false
	}
	a.conn = c
	return true
}

// transferToReader leaves the release of the connection to the reader of Reply.Remainder. It returns false if the attempt is
// already canceled.
func (a *Attempt) transferToReader() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readerOwnsConn = !a.canceled
	return a.readerOwnsConn
}

// releaseConn returns the attempt's connection to its pool. Further calls do nothing.
func (a *Attempt) releaseConn(reusable bool) {
	a.mu.Lock()
	c := a.conn
	a.conn = nil
	a.mu.Unlock()
	if c != nil {
		c.pool.release(c, reusable)
		a.cancel()
	}
}

// Do sends the request and returns the reply. If its Remainder isn't nil, the caller reads it to the end or closes it. An error
// is an *Error whose kind is one of: not-sent, no byte was written; restricted, the same, since Target.Usable or
// Target.Permit denied it, or the upstream was removed; canceled, Cancel was called; deadline, the request's deadline passed;
// identity, only replies to other requests arrived; oversized, the reply exceeded a bound; broken, the connection failed, or the
// reply was incomplete or malformed.
func (a *Attempt) Do(t Target, r *Request) (*Reply, error) {
	reply, err := a.do(t, r)
	if err != nil || reply.Remainder == nil {
		a.cancel()
	}
	return reply, err
}

func (a *Attempt) do(t Target, r *Request) (*Reply, error) {
	p := a.x.pool(t)
	ctx, cancel := context.WithDeadline(a.ctx, r.Deadline)
	defer cancel()
	waited, err := p.acquire(ctx, t.MaxConns, t.Usable)
	if err != nil {
		kind := carobbend.FailureNotSent
		if errors.Is(err, errNotPermitted) {
			kind = carobbend.FailureRestricted
		}
		return nil, a.wrapError("acquire", kind, err)
	}
	c := p.takeIdle(time.Now())
	if c == nil {
		if c, err = p.dial(ctx); err != nil {
			p.release(nil, false)
			return nil, a.wrapError("dial", carobbend.FailureNotSent, err)
		}
	}
	// Before a request is sent, time passes only while it waits for a connection or opens one.
	if (c.served == 0 || waited) && r.expiredDuringSuspend() {
		p.release(c, c.served > 0)
		return nil, a.wrapError("send", carobbend.FailureNotSent, context.DeadlineExceeded)
	}
	if !a.bindConn(c) {
		p.release(c, false)
		return nil, a.wrapError("send", carobbend.FailureNotSent, context.Canceled)
	}
	reply, reusable, err := a.exchange(c, t, r)
	if err != nil || reply.Remainder == nil {
		a.releaseConn(reusable)
		return reply, err
	}
	if !a.transferToReader() {
		a.releaseConn(false)
		return nil, a.wrapError("read reply", carobbend.FailureCanceled, context.Canceled)
	}
	return reply, nil
}

// exchange writes the request and reads its reply; it reports whether the connection can be used again.
func (a *Attempt) exchange(c *conn, t Target, r *Request) (*Reply, bool, error) {
	left := time.Until(r.Deadline)
	if left < time.Millisecond {
		return nil, true, a.wrapError("send", carobbend.FailureNotSent, context.DeadlineExceeded)
	}
	if err := c.SetDeadline(r.Deadline); err != nil {
		return nil, false, a.wrapError("send", carobbend.FailureNotSent, err)
	}
	if t.Permit != nil && !t.Permit() {
		return nil, true, a.wrapError("send", carobbend.FailureRestricted, errNotPermitted)
	}
	written, err := a.write(c, t, r, left)
	if err != nil {
		return nil, false, err
	}
	m, clean, err := a.readHead(c, r)
	if err != nil {
		return nil, false, err
	}
	if t.Observe != nil && m.StatusCode != StatusMisdirected {
		t.Observe(a.x.notice(m))
	}
	reusable := func() bool {
		select {
		case <-written.done:
			return clean && written.err == nil && m.persistent && c.finishReply(m)
		default:
			// The upstream replied before it read the whole body, so the connection can't be reused.
			return false
		}
	}
	reply := a.x.reply(m, t.ID)
	body, complete, err := c.readBody(m, r, a.x.maxReply)
	if err != nil {
		return nil, false, a.wrapError("read reply", carobbend.FailureBroken, err)
	}
	reply.Body = body
	if !complete {
		reply.Remainder = &remainder{Reader: m.Body, attempt: a, reusable: reusable}
		return reply, false, nil
	}
	return reply, reusable(), nil
}

// write sends the head and a short body at once and a long body in the background.
func (a *Attempt) write(c *conn, t Target, r *Request, left time.Duration) (*bodyWrite, error) {
	head := a.x.requestHead(t, r, left)
	inline := len(r.Body) <= maxInlineBody
	if inline {
		head = append(head, r.Body...)
	}
	n, err := c.Write(head)
	putBuffer(head)
	if err != nil {
		kind := carobbend.FailureBroken
		if n == 0 {
			kind = carobbend.FailureNotSent
		}
		return nil, a.wrapError("write", kind, err)
	}
	written := &bodyWrite{done: make(chan struct{})}
	c.bodyWrite = written
	if inline {
		close(written.done)
		return written, nil
	}
	go func() {
		defer close(written.done)
		_, written.err = c.Write(r.Body)
	}()
	return written, nil
}

// readHead reads replies until one belongs to the request, and returns it with its body unread. It reports whether that
// was the first reply read.
func (a *Attempt) readHead(c *conn, r *Request) (message, bool, error) {
	for skipped := range maxMismatched + 1 {
		m, err := c.readHead(r.Method)
		if err != nil {
			return message{}, false, a.wrapError("read reply", carobbend.FailureBroken, err)
		}
		if a.x.matchesRequest(m.Header, r, c) {
			return m, skipped == 0, nil
		}
		if err := c.discard(m); err != nil {
			return message{}, false, a.wrapError("read reply", carobbend.FailureIdentity, errorx.Decorate(errMismatchedReply, "%v", err))
		}
	}
	return message{}, false, a.wrapError("read reply", carobbend.FailureIdentity, errMismatchedReply)
}

// wrapError wraps err in an *Error. After Cancel the kind is always canceled, since a cancel says nothing about the
// upstream. A passed deadline keeps the kind not-sent if nothing was written, since then the request didn't run.
func (a *Attempt) wrapError(op string, kind carobbend.FailureKind, err error) error {
	var ne net.Error
	switch {
	case a.ctx.Err() != nil:
		kind = carobbend.FailureCanceled
	case kind == carobbend.FailureNotSent, kind == carobbend.FailureRestricted:
	case isOversized(err):
		kind = carobbend.FailureOversized
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &ne) && ne.Timeout():
		kind = carobbend.FailureDeadline
	}
	return &Error{Op: op, Kind: kind, Err: errorx.Decorate(err, "exchange")}
}
