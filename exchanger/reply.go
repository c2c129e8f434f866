package exchanger

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"carobbend.example/carobbend"
)

const (
	// maxHeaderBytes bounds the heads of a reply and its interim replies together, maxHeadLines each head.
	maxHeaderBytes = carobbend.MaxHeaderBytes
	maxHeadLines   = 256
	// maxStatus is the first number above those that HTTP defines as statuses.
	maxStatus = 600
	// maxInterim is the number of interim replies (1xx) before a reply.
	maxInterim = 5
	// maxMismatched is the number of replies to other requests that are skipped before the attempt fails.
	maxMismatched = 2
	// maxMismatchedBytes bounds the body of a reply that is skipped.
	maxMismatchedBytes = 1 << 20
	// maxBufferedBody is the size in bytes up to which a body is returned completely in Reply.Body; maxUnreducedBody is the
	// size up to which a body isn't reduced although Request.Reduce is set.
	maxBufferedBody  = 32 << 10
	maxUnreducedBody = 4 << 10
	// defaultMaxReply bounds the body of a reply in bytes, including chunked framing.
	defaultMaxReply = 64 << 20
)

var (
	errMismatchedReply = errors.New("request id mismatch: received only replies to other requests")
	errInvalidStatus   = errors.New("the status is not one of a reply")
)

// Reducer reads a body as a stream and keeps only the parts that are needed.
type Reducer interface {
	io.Writer
	// Bytes returns the parts that were kept.
	Bytes() []byte
}

// Reply is a reply with its complete head. Its body is Body, followed by Remainder if that isn't nil.
type Reply struct {
	Status int
	Header http.Header
	// Body is the complete body, its beginning if Remainder isn't nil, or what the Reducer kept of it.
	Body []byte
	// Remainder is the remainder of a long body. Its Read fails if the body is truncated. It holds the connection until it is
	// read to the end or closed.
	Remainder io.ReadCloser
	// Length is the length of the complete body, -1 if the upstream didn't state it.
	Length int64
	// NotRun says that the upstream reports that it didn't run the request.
	NotRun bool
	// Load is the reported load; valid if HasLoad.
	Load    Load
	HasLoad bool
}

// Load is the load report of an upstream.
type Load struct {
	Running, Waiting, Slots int
	// ServiceTimeRatio is the ratio of the current to the usual service time, 1 if it isn't reported.
	ServiceTimeRatio float64
}

// Utilization returns the number of running and waiting requests per slot.
func (l Load) Utilization() float64 {
	return (float64(l.Running) + float64(l.Waiting)) / float64(max(l.Slots, 1))
}

// message is a reply whose body may not have been read yet.
type message struct {
	*http.Response
	// persistent says that the connection can stay open after the body.
	persistent bool
}

// readHead reads the head of a reply and skips interim replies before it.
func (c *conn) readHead(method string) (message, error) {
	c.bounded.startHeads()
	for range maxInterim + 1 {
		c.bounded.startHead()
		//nolint:bodyclose // The body is read to its end later, or the connection is closed.
		resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
		if err != nil {
			return message{}, cmp.Or(c.bounded.exceededErr, err)
		}
		if !isStatus(resp.StatusCode) {
			return message{}, fmt.Errorf("%w: %d", errInvalidStatus, resp.StatusCode)
		}
		if resp.StatusCode >= http.StatusOK {
			framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
			return message{Response: resp, persistent: !resp.Close && framed}, nil
		}
	}
	return message{}, errManyInterim
}

// isStatus reports whether a status is one that HTTP defines for a reply. http.ReadResponse accepts any number. A switch to another
// protocol is none, since no request asks for it.
func isStatus(status int) bool {
	return status >= http.StatusContinue && status < maxStatus && status != http.StatusSwitchingProtocols
}

// discard reads and discards the body of a reply to another request.
func (c *conn) discard(m message) error {
	c.bounded.startBody(maxMismatchedBytes)
	_, err := io.Copy(io.Discard, m.Body)
	return err
}

// readBody reads the body of a reply, or the beginning of one that is longer than maxBufferedBody; complete says which.
func (c *conn) readBody(m message, r *Request, limit int64) (body []byte, complete bool, err error) {
	if m.ContentLength > limit {
		return nil, false, errLongBody
	}
	if m.Body == http.NoBody {
		// A reply to HEAD states the length of a body that it doesn't have.
		return nil, true, nil
	}
	c.bounded.startBody(limit)
	keep := int64(maxBufferedBody)
	if r.Reduce != nil {
		keep = maxUnreducedBody
	}
	if m.ContentLength >= 0 && m.ContentLength <= keep {
		body = make([]byte, m.ContentLength)
		_, err = io.ReadFull(m.Body, body)
		return body, true, err
	}
	body, err = io.ReadAll(io.LimitReader(m.Body, keep+1))
	if err != nil || int64(len(body)) <= keep {
		return body, true, err
	}
	if r.Reduce == nil {
		return body, false, nil
	}
	reduced := r.Reduce()
	if _, err = reduced.Write(body); err == nil {
		_, err = io.Copy(reduced, m.Body)
	}
	return reduced.Bytes(), true, err
}

// remainder is the remainder of a long body. It releases the attempt's connection when it is closed or read to its end.
type remainder struct {
	io.Reader
	attempt *Attempt
	// reusable reports, after the end of the body, whether the connection may be reused.
	reusable func() bool
}

// Read implements io.Reader.
func (b *remainder) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		b.attempt.releaseConn(errors.Is(err, io.EOF) && b.reusable())
	}
	return n, err
}

// Close implements io.Closer.
func (b *remainder) Close() error {
	b.attempt.releaseConn(false)
	return nil
}

// reply returns the reply of a message to a request that names the given upstream, without its body.
func (x *Exchanger) reply(m message, id carobbend.UpstreamID) *Reply {
	r := &Reply{Status: m.StatusCode, Header: m.Header, Length: m.ContentLength}
	identity := m.Header.Get(x.headers.Identity)
	// An address may belong to another upstream by now, which doesn't run requests that name the former one.
	misdirected := m.StatusCode == StatusMisdirected && identity != "" && identity != string(id)
	r.NotRun = misdirected || m.Header.Get(x.headers.NotRun) != ""
	r.Load, r.HasLoad = parseLoad(m.Header.Get(x.headers.Load))
	return r
}

// finishReply records the end of a reply and reports whether no bytes follow it.
func (c *conn) finishReply(m message) bool {
	c.served++
	c.idleUntil = time.Now().Add(parseIdleTimeout(m.Header.Get("Keep-Alive")))
	return c.r.Buffered() == 0
}

// matchesRequest reports whether a reply belongs to the request. A reply without an id is accepted only on a new
// connection; on a reused one it may be a late duplicate of an earlier reply.
func (x *Exchanger) matchesRequest(h http.Header, r *Request, c *conn) bool {
	id := h.Get(x.headers.RequestID)
	return id == r.ID || (id == "" && c.served == 0)
}

// parseLoad parses "running,waiting,slots" and an optional fourth number, the service time ratio in percent.
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
	return Load{Running: n[0], Waiting: n[1], Slots: n[2], ServiceTimeRatio: float64(n[3]) / 100}, true
}

// parseIdleTimeout returns how long a connection may be idle, from the timeout of a Keep-Alive header.
func parseIdleTimeout(s string) time.Duration {
	for f := range strings.SplitSeq(s, ",") {
		v, ok := strings.CutPrefix(strings.TrimSpace(f), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(v); err == nil && n >= 0 {
			return max(time.Duration(n)*time.Second-idleMargin, 0)
		}
	}
	return defaultIdleTimeout
}
