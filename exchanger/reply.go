package exchanger

import (
	"cmp"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"carobbend.example/carobbend"
)

const (
	// maxHeadBytes and maxHeadLines bound the heads of a reply, interim replies included.
	maxHeadBytes = carobbend.MaxHeadBytes
	maxHeadLines = 256
	// maxInterim is the number of interim replies (1xx) before a reply.
	maxInterim = 5
	// maxSkipped is the number of replies to other requests that are skipped before a connection is given up.
	maxSkipped = 2
	// maxSkippedBytes bounds the body of a reply that is skipped.
	maxSkippedBytes = 1 << 20
	// wholeBody is the size in bytes up to which a body is returned whole; wholeReduced that up to which a body isn't
	// reduced although Request.Reduce is set.
	wholeBody    = 32 << 10
	wholeReduced = 4 << 10
	// defaultMaxReply bounds the body of a reply in bytes, with all framing.
	defaultMaxReply = 64 << 20
)

var errForeignReply = errors.New("only replies to other requests arrived")

// Reducer takes a body in pieces and keeps what is wanted of it.
type Reducer interface {
	io.Writer
	// Bytes returns what was kept.
	Bytes() []byte
}

// Reply is a reply with its whole head. Its body is Body, followed by Rest where that isn't nil.
type Reply struct {
	Status int
	Header http.Header
	// Body is the whole body, its beginning where Rest isn't nil, or what Request.Reduce kept of it.
	Body []byte
	// Rest is the remainder of a long body. It fails where the body ends early. Its reader closes it; until then it holds
	// the connection.
	Rest io.ReadCloser
	// Length is the length of the whole body, -1 where the upstream didn't state it.
	Length int64
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
	return (float64(l.Running) + float64(l.Waiting)) / float64(max(l.Slots, 1))
}

// message is a reply whose body may not have been read yet.
type message struct {
	*http.Response
	// persistent says that the connection stays open after the body.
	persistent bool
}

// readHead reads the head of a reply, after interim ones.
func (c *conn) readHead(method string) (message, error) {
	c.wire.expectHeads()
	for range maxInterim + 1 {
		c.wire.expectHead()
		//nolint:bodyclose // The body is read to its end later, or the connection is closed.
		resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
		if err != nil {
			return message{}, cmp.Or(c.wire.exceeded, err)
		}
		if resp.StatusCode >= http.StatusOK {
			framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
			return message{Response: resp, persistent: !resp.Close && framed}, nil
		}
	}
	return message{}, errManyInterim
}

// skip reads and drops the body of a reply to another request.
func (c *conn) skip(m message) error {
	c.wire.expectBody(maxSkippedBytes)
	_, err := io.Copy(io.Discard, m.Body)
	return err
}

// readBody reads the body of a reply, or the beginning of one that is longer than wholeBody; whole says which.
func (c *conn) readBody(m message, r *Request, limit int64) (body []byte, whole bool, err error) {
	if m.ContentLength > limit {
		return nil, false, errLongBody
	}
	if m.Body == http.NoBody {
		// A reply to HEAD states the length of a body that doesn't follow.
		return nil, true, nil
	}
	c.wire.expectBody(limit)
	keep := int64(wholeBody)
	if r.Reduce != nil {
		keep = wholeReduced
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

// rest is the remainder of a long body. It ends its attempt when it is closed or was read to its end.
type rest struct {
	io.Reader
	attempt *Attempt
	// reusable says whether the connection may be used again after the end of the body.
	reusable func() bool
}

// Read implements io.Reader.
func (b *rest) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		b.attempt.finish(errors.Is(err, io.EOF) && b.reusable())
	}
	return n, err
}

// Close implements io.Closer.
func (b *rest) Close() error {
	b.attempt.finish(false)
	return nil
}

// reply returns the reply of a message without its body.
func (x *Exchanger) reply(m message) *Reply {
	r := &Reply{Status: m.StatusCode, Header: m.Header, Length: m.ContentLength}
	r.NotRun = m.Header.Get(x.headers.NotRun) != "" || m.StatusCode == StatusMisdirected
	r.Load, r.HasLoad = parseLoad(m.Header.Get(x.headers.Load))
	return r
}

// endReply records the end of a reply and reports whether nothing follows it.
func (c *conn) endReply(m message) bool {
	c.served++
	c.idleUntil = time.Now().Add(idleTime(m.Header.Get("Keep-Alive")))
	return c.r.Buffered() == 0
}

// isOwn reports whether a reply belongs to the request. On a connection that was used before, a reply without an id may
// be a late copy of an earlier one.
func (x *Exchanger) isOwn(h http.Header, r *Request, c *conn) bool {
	id := h.Get(x.headers.RequestID)
	return id == r.ID || (id == "" && c.served == 0)
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
