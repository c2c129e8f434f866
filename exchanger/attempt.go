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

// StatusMisdirected is the status with which another upstream under the target's address refuses.
const StatusMisdirected = http.StatusMisdirectedRequest

// inlineBody is the size in bytes up to which a body is written before the reply is read. Longer ones are written at the
// same time, since an upstream may reply before it has read them.
const inlineBody = 4096

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

// KindOf returns the kind of an error of this package, FailureNone for nil.
func KindOf(err error) carobbend.FailureKind {
	if err == nil {
		return carobbend.FailureNone
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return carobbend.FailureBroken
}

// Request is what is sent; it is not modified and may be shared by attempts.
type Request struct {
	Method string
	// URI is the request target as the caller sent it.
	URI  string
	Host string
	// ID is the value of Headers.RequestID.
	ID string
	// Header holds the lines to pass on, each "Name: value\r\n", without those that this package sets.
	Header []byte
	Body   []byte
	// HasBody says that the request has a body, which may be empty. It is sent with its length however it came.
	HasBody bool
	// Deadline is the time at which the reply is of no use.
	Deadline time.Time
	// Asleep returns how much of the time until Deadline passed unnoticed while the machine was suspended; nil means none.
	Asleep func() time.Duration
	// Reduce returns what takes the place of a long body; nil leaves the rest of one to be read from Reply.Rest.
	Reduce func() Reducer
}

// overslept reports whether the deadline passed while the machine was suspended.
func (r *Request) overslept() bool {
	if r.Asleep == nil {
		return false
	}
	lost := r.Asleep()
	return lost >= timekeeper.Least && time.Until(r.Deadline) < lost
}

// Attempt is one request to one upstream.
type Attempt struct {
	x      *Exchanger
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	conn     *conn
	canceled bool
	// handedOver says that the reply's reader gives the connection back, and no longer Do.
	handedOver bool
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
	c, handedOver := a.conn, a.handedOver
	a.mu.Unlock()
	a.cancel()
	switch {
	case handedOver:
		a.finish(false)
	case c != nil:
		c.close()
	}
}

// own makes Cancel close c, or returns false where Cancel came first.
func (a *Attempt) own(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.canceled {
		return false
	}
	a.conn = c
	return true
}

// handOver leaves the connection to the reader of the reply's rest, or returns false where the attempt was canceled.
func (a *Attempt) handOver() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.handedOver = !a.canceled
	return a.handedOver
}

// finish gives the attempt's connection back, once.
func (a *Attempt) finish(reusable bool) {
	a.mu.Lock()
	c := a.conn
	a.conn = nil
	a.mu.Unlock()
	if c != nil {
		c.pool.release(c, reusable)
		a.cancel()
	}
}

// Do sends the request and returns the reply, whose Rest has to be read to its end or closed where it isn't nil. An error
// is an *Error: not-sent says that no byte was written, canceled that Cancel ended it, deadline that the request's time
// was over, identity that only replies to other requests came, oversized that the reply exceeded a bound, and broken that the
// connection or the reply broke.
func (a *Attempt) Do(t Target, r *Request) (*Reply, error) {
	reply, err := a.do(t, r)
	if err != nil || reply.Rest == nil {
		a.cancel()
	}
	return reply, err
}

func (a *Attempt) do(t Target, r *Request) (*Reply, error) {
	p := a.x.pool(t)
	ctx, cancel := context.WithDeadline(a.ctx, r.Deadline)
	defer cancel()
	waited, err := p.acquire(ctx, t.MaxConns)
	if err != nil {
		return nil, a.fail("acquire", carobbend.FailureNotSent, err)
	}
	c := p.takeIdle(time.Now())
	if c == nil {
		if c, err = p.dial(ctx); err != nil {
			p.release(nil, false)
			return nil, a.fail("dial", carobbend.FailureNotSent, err)
		}
	}
	// Waiting for a connection and opening one are where time passes before a request is sent.
	if (c.served == 0 || waited) && r.overslept() {
		p.release(c, c.served > 0)
		return nil, a.fail("send", carobbend.FailureNotSent, context.DeadlineExceeded)
	}
	if !a.own(c) {
		p.release(c, false)
		return nil, a.fail("send", carobbend.FailureNotSent, context.Canceled)
	}
	reply, reusable, err := a.exchange(c, t, r)
	if err != nil || reply.Rest == nil {
		a.finish(reusable)
		return reply, err
	}
	if !a.handOver() {
		a.finish(false)
		return nil, a.fail("read reply", carobbend.FailureCanceled, context.Canceled)
	}
	return reply, nil
}

// exchange writes the request and reads its reply; it reports whether the connection can be used again.
func (a *Attempt) exchange(c *conn, t Target, r *Request) (*Reply, bool, error) {
	left := time.Until(r.Deadline)
	if left < time.Millisecond {
		return nil, true, a.fail("send", carobbend.FailureNotSent, context.DeadlineExceeded)
	}
	if err := c.SetDeadline(r.Deadline); err != nil {
		return nil, false, a.fail("send", carobbend.FailureNotSent, err)
	}
	written, err := a.write(c, t, r, left)
	if err != nil {
		return nil, false, err
	}
	m, clean, err := a.readHead(c, r)
	if err != nil {
		return nil, false, err
	}
	reusable := func() bool {
		select {
		case werr := <-written:
			return clean && werr == nil && m.persistent && c.endReply(m)
		default:
			// The upstream replied before it read the whole body. Nothing else may follow on this connection.
			return false
		}
	}
	reply := a.x.reply(m)
	body, whole, err := c.readBody(m, r, a.x.maxReply)
	if err != nil {
		return nil, false, a.fail("read reply", carobbend.FailureBroken, err)
	}
	reply.Body = body
	if !whole {
		reply.Rest = &rest{Reader: m.Body, attempt: a, reusable: reusable}
		return reply, false, nil
	}
	return reply, reusable(), nil
}

// write sends the head and a short body at once and a long body in the background; the channel receives its result.
func (a *Attempt) write(c *conn, t Target, r *Request, left time.Duration) (<-chan error, error) {
	head := a.x.head(t, r, left)
	inline := len(r.Body) <= inlineBody
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
		return nil, a.fail("write", kind, err)
	}
	written := make(chan error, 1)
	if inline {
		written <- nil
		return written, nil
	}
	go func() {
		_, err := c.Write(r.Body)
		written <- err
	}()
	return written, nil
}

// readHead reads replies until one belongs to the request, and returns it with its body unread. It reports whether it
// came first.
func (a *Attempt) readHead(c *conn, r *Request) (message, bool, error) {
	for skipped := range maxSkipped + 1 {
		m, err := c.readHead(r.Method)
		if err != nil {
			return message{}, false, a.fail("read reply", carobbend.FailureBroken, err)
		}
		if a.x.isOwn(m.Header, r, c) {
			return m, skipped == 0, nil
		}
		if err := c.skip(m); err != nil {
			return message{}, false, a.fail("read reply", carobbend.FailureIdentity, errorx.Decorate(errForeignReply, "%v", err))
		}
	}
	return message{}, false, a.fail("read reply", carobbend.FailureIdentity, errForeignReply)
}

// fail returns the error of this package for err. A cancel counts as such at any time, since it says nothing about the
// upstream; the request's deadline only where something was written, since before, the request certainly didn't run.
func (a *Attempt) fail(op string, kind carobbend.FailureKind, err error) error {
	var ne net.Error
	switch {
	case a.ctx.Err() != nil:
		kind = carobbend.FailureCanceled
	case kind == carobbend.FailureNotSent:
	case isOversized(err):
		kind = carobbend.FailureOversized
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &ne) && ne.Timeout():
		kind = carobbend.FailureDeadline
	}
	return &Error{Op: op, Kind: kind, Err: errorx.Decorate(err, "exchange")}
}
