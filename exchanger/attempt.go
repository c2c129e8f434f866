package exchanger

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"carobbend.example/carobbend"
)

// StatusMisdirected is the status with which another upstream under the target's address refuses.
const StatusMisdirected = http.StatusMisdirectedRequest

const (
	// maxSkipped is the number of replies to other requests that are skipped before a connection is given up.
	maxSkipped = 2
	// inlineBody is the size in bytes up to which a body is written before the reply is read. Longer ones are written
	// at the same time, since an upstream may reply before it has read them.
	inlineBody = 4096
	// maxBuffered is the size in bytes up to which a reply's body is read whole.
	maxBuffered = 1 << 20
)

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
}

// Reply is a complete reply.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// NotRun says that the upstream states that it didn't run the request.
	NotRun bool
	// Load is the reported load; valid if HasLoad.
	Load    Load
	HasLoad bool
}

// Load is what an upstream reports of itself.
type Load struct {
	Running, Waiting, Slots int
	// Slowness is the time that work takes now over the usual time, 1 where it isn't reported.
	Slowness float64
}

// Utilization returns running and waiting requests per slot.
func (l Load) Utilization() float64 {
	return float64(l.Running+l.Waiting) / float64(max(l.Slots, 1))
}

// Attempt is one request to one upstream.
type Attempt struct {
	x      *Exchanger
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	conn     *conn
	canceled bool
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
	c := a.conn
	a.mu.Unlock()
	a.cancel()
	if c != nil {
		c.close()
	}
}

// own makes Cancel close c, or returns false where Cancel came first.
func (a *Attempt) own(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = c
	return !a.canceled || c == nil
}

// Do sends the request and returns the whole reply. An error is an *Error: not-sent says that no byte was written,
// canceled that Cancel ended it, deadline that the request's time was over, identity that only replies to other
// requests came, and broken that the connection or the reply broke.
func (a *Attempt) Do(t Target, r *Request) (*Reply, error) {
	defer a.cancel()
	p := a.x.pool(t)
	ctx, cancel := context.WithDeadline(a.ctx, r.Deadline)
	defer cancel()
	if err := p.acquire(ctx, t.MaxConns); err != nil {
		return nil, a.fail("acquire", carobbend.FailureNotSent, err)
	}
	c := p.takeIdle(time.Now())
	if c == nil {
		var err error
		if c, err = p.dial(ctx); err != nil {
			p.release(nil, false)
			return nil, a.fail("dial", carobbend.FailureNotSent, err)
		}
	}
	if !a.own(c) {
		p.release(c, false)
		return nil, a.fail("send", carobbend.FailureNotSent, context.Canceled)
	}
	reply, reusable, err := a.exchange(c, t, r)
	a.own(nil)
	p.release(c, reusable && err == nil)
	return reply, err
}

// exchange writes the request and reads its reply.
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
	reply, reusable, err := a.read(c, r)
	if err != nil {
		return nil, false, err
	}
	select {
	case werr := <-written:
		reusable = reusable && werr == nil
	default:
		// The upstream replied before it read the whole body. Nothing else may follow on this connection.
		reusable = false
	}
	return reply, reusable, nil
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

// read reads replies until one belongs to the request.
func (a *Attempt) read(c *conn, r *Request) (*Reply, bool, error) {
	clean := true
	for range maxSkipped + 1 {
		m, err := readMessage(c.r, r.Method)
		if err != nil {
			return nil, false, a.fail("read reply", carobbend.FailureBroken, err)
		}
		if m.status < http.StatusOK {
			continue
		}
		if id := m.header.Get(a.x.headers.RequestID); id != "" && id != r.ID {
			clean = false
			continue
		}
		reply := &Reply{Status: m.status, Header: m.header, Body: m.body}
		reply.NotRun = m.header.Get(a.x.headers.NotRun) != "" || m.status == StatusMisdirected
		reply.Load, reply.HasLoad = parseLoad(m.header.Get(a.x.headers.Load))
		reusable := clean && m.reusable && c.r.Buffered() == 0
		if reusable {
			c.idleUntil = time.Now().Add(idleTime(m.header.Get("Keep-Alive")))
		}
		return reply, reusable, nil
	}
	return nil, false, a.fail("read reply", carobbend.FailureIdentity, errForeignReply)
}

var (
	errForeignReply = errors.New("only replies to other requests arrived")
	errLongReply    = errors.New("the reply is longer than allowed")
)

// message is a reply as it was read.
type message struct {
	status int
	header http.Header
	body   []byte
	// reusable says that the connection stays open after it.
	reusable bool
}

// readMessage reads a reply with its whole body.
func readMessage(r *bufio.Reader, method string) (message, error) {
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return message{}, err
	}
	// The body is read to its end, so closing it can't fail.
	defer func() { _ = resp.Body.Close() }()
	m := message{status: resp.StatusCode, header: resp.Header}
	m.reusable = !resp.Close && (resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0)
	m.body, err = readBody(resp)
	return m, err
}

func readBody(resp *http.Response) ([]byte, error) {
	if resp.ContentLength > maxBuffered {
		return nil, errLongReply
	}
	if resp.ContentLength >= 0 {
		b := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, b)
		return b, err
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxBuffered+1))
	if err == nil && len(b) > maxBuffered {
		err = errLongReply
	}
	return b, err
}

// fail returns the error of this package for err. A cancel counts as such at any time, since it says nothing about the
// upstream; the request's deadline only where something was written, since before, the request certainly didn't run.
func (a *Attempt) fail(op string, kind carobbend.FailureKind, err error) error {
	var ne net.Error
	switch {
	case a.ctx.Err() != nil:
		kind = carobbend.FailureCanceled
	case kind == carobbend.FailureNotSent:
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &ne) && ne.Timeout():
		kind = carobbend.FailureDeadline
	}
	return &Error{Op: op, Kind: kind, Err: errorx.Decorate(err, "exchange")}
}

// parseLoad reads "running,waiting,slots" and a fourth figure, the slowness in percent.
func parseLoad(s string) (Load, bool) {
	if s == "" {
		return Load{}, false
	}
	var n [4]int
	n[3] = 100
	parts := strings.Split(s, ",")
	if len(parts) < 3 {
		return Load{}, false
	}
	for i, p := range parts[:min(len(parts), 4)] {
		v, err := strconv.Atoi(strings.TrimSpace(p))
		if err != nil || v < 0 {
			return Load{}, false
		}
		n[i] = v
	}
	return Load{Running: n[0], Waiting: n[1], Slots: n[2], Slowness: float64(n[3]) / 100}, true
}

// idleTime returns how long a connection may be idle, from the value of a Keep-Alive header.
func idleTime(s string) time.Duration {
	for f := range strings.SplitSeq(s, ",") {
		v, ok := strings.CutPrefix(strings.TrimSpace(f), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(v); err == nil && n >= 0 {
			return max(time.Duration(n)*time.Second-idleMargin, 0)
		}
	}
	return defaultIdle
}
