package storeclient

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"carobbend.example/carobbend/sleeper"

	"golang.org/x/time/rate"

	"carobbend.example/carobbend"
)

const (
	// maxRateWait is how long a call may wait for the token bucket before it fails as limited.
	maxRateWait     = 25 * time.Millisecond
	idleTimeout     = 30 * time.Second
	maxIdle         = 8
	keepAlivePeriod = 5 * time.Second
)

var (
	errBackOff     = errors.New("backing off after failed calls")
	errRateLimited = errors.New("the rate cap of this instance is reached")
)

// Option configures a Client or a List.
type Option func(*config)

type config struct {
	timeout time.Duration
	rate    float64
	backOff [2]time.Duration
	dial    func(ctx context.Context, network, address string) (net.Conn, error)
}

// WithTimeout bounds one call; a watch has its wait in addition.
func WithTimeout(d time.Duration) Option { return func(c *config) { c.timeout = d } }

// WithRate limits the calls a second; bursts of one second's calls are allowed.
func WithRate(perSecond float64) Option { return func(c *config) { c.rate = perSecond } }

// WithBackOff sets the bounds of the random wait after the first failure and after many.
func WithBackOff(first, most time.Duration) Option {
	return func(c *config) { c.backOff = [2]time.Duration{first, most} }
}

// WithDial replaces the function that opens connections; it is for tests.
func WithDial(f func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(c *config) { c.dial = f }
}

type transport struct {
	base    string
	timeout time.Duration
	http    *http.Transport
	limiter *rate.Limiter
	breaker *breaker
	count   counters
}

func newTransport(base string, opts []Option) *transport {
	c := config{timeout: DefaultTimeout, rate: DefaultRate, backOff: [2]time.Duration{DefaultFirstBackOff, DefaultMaxBackOff}}
	c.dial = (&net.Dialer{KeepAlive: keepAlivePeriod}).DialContext
	for _, o := range opts {
		o(&c)
	}
	t := &transport{base: strings.TrimSuffix(base, "/"), timeout: c.timeout}
	t.limiter = rate.NewLimiter(rate.Limit(c.rate), max(1, int(c.rate)))
	t.breaker = newBreaker(c.backOff[0], c.backOff[1], c.timeout)
	t.http = &http.Transport{
		DisableCompression:     true,
		MaxResponseHeaderBytes: carobbend.MaxHeaderBytes,
		MaxIdleConnsPerHost:    maxIdle,
		IdleConnTimeout:        idleTimeout,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := c.dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: conn}, nil
		},
	}
	return t
}

func (t *transport) calls() Calls {
	c := &t.count
	return Calls{
		Gets: c.gets.Load(), Swaps: c.swaps.Load(), Watches: c.watches.Load(), Lists: c.lists.Load(),
		Limited: c.limited.Load(), BackedOff: c.backedOff.Load(), Failed: c.failed.Load(),
	}
}

type request struct {
	op, key      string
	method, path string
	query        url.Values
	body         []byte
	// wait is the time for which the server may delay the reply to a watch.
	wait  time.Duration
	count *atomic.Int64
}

type reply struct {
	status int
	// index is the X-Consul-Index of the reply.
	index string
	body  []byte
}

func (t *transport) call(ctx context.Context, q request) (reply, error) {
	probe, err := t.admit(ctx, q)
	if err != nil {
		return reply{}, err
	}
	q.count.Add(1)
	cctx, cancel := context.WithTimeout(ctx, q.wait+t.timeout)
	defer cancel()
	rep, kind, err := t.send(cctx, q)
	if err == nil {
		t.breaker.recordSuccess()
		return rep, nil
	}
	t.count.failed.Add(1)
	switch {
	case rep.status >= 400 && rep.status < 500 && rep.status != http.StatusTooManyRequests:
		// The server is available and refused only this call.
		t.breaker.recordSuccess()
	case ctx.Err() != nil:
		// The caller canceled; that says nothing about the store.
		t.breaker.cancelProbe(probe)
	default:
		t.breaker.recordFailure(time.Now(), probe)
	}
	return reply{}, storeError(q.op, q.key, kind, err)
}

// admit refuses calls during a back-off and over the rate limit, for which it waits at most maxRateWait. Refused calls
// were not sent. The ticket is that of the breaker.
func (t *transport) admit(ctx context.Context, q request) (ticket, error) {
	probe, ok := t.breaker.allow(time.Now())
	if !ok {
		t.count.backedOff.Add(1)
		return 0, storeError(q.op, q.key, carobbend.StoreUnavailable, errBackOff)
	}
	res := t.limiter.Reserve()
	d := res.Delay()
	if !res.OK() || d > maxRateWait {
		res.Cancel()
		t.breaker.cancelProbe(probe)
		t.count.limited.Add(1)
		return 0, storeError(q.op, q.key, carobbend.StoreLimited, errRateLimited)
	}
	if d > 0 && !sleeper.Sleep(ctx, d) {
		res.Cancel()
		t.breaker.cancelProbe(probe)
		return 0, storeError(q.op, q.key, carobbend.StoreUnavailable, ctx.Err())
	}
	return probe, nil
}

func (t *transport) send(ctx context.Context, q request) (reply, carobbend.StoreFailure, error) {
	var track writeTracker
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: track.gotConn})
	u := t.base + q.path
	if len(q.query) > 0 {
		u += "?" + q.query.Encode()
	}
	var body io.Reader
	if q.body != nil {
		body = oneShotReader{bytes.NewReader(q.body)}
	}
	req, err := http.NewRequestWithContext(ctx, q.method, u, body)
	if err != nil {
		return reply{}, carobbend.StoreUnavailable, err
	}
	if q.body != nil {
		req.ContentLength = int64(len(q.body))
	}
	res, err := t.http.RoundTrip(req)
	if err != nil {
		return reply{}, track.failureKind(q.method), err
	}
	b, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes+1))
	if cerr := res.Body.Close(); err == nil {
		err = cerr
	}
	if err == nil && len(b) > maxReplyBytes {
		err = fmt.Errorf("reply: expected at most %d bytes", maxReplyBytes)
	}
	if err != nil {
		return reply{}, failureForMethod(q.method), err
	}
	if kind, err := statusError(q.method, res.StatusCode, b); err != nil {
		return reply{status: res.StatusCode}, kind, err
	}
	return reply{status: res.StatusCode, index: res.Header.Get(indexHeader), body: b}, "", nil
}

// statusError classifies a reply. After a refusal by 4xx or 503 a write didn't take effect; after any other error status
// it may have.
func statusError(method string, status int, body []byte) (carobbend.StoreFailure, error) {
	switch {
	case status >= 200 && status < 300:
		return "", nil
	case status == http.StatusNotFound && method == http.MethodGet:
		return "", nil
	}
	err := fmt.Errorf("status %d: %s", status, bytes.TrimSpace(body[:min(len(body), maxErrorBytes)]))
	switch {
	case status == http.StatusTooManyRequests:
		return carobbend.StoreLimited, err
	case status >= 400 && status < 500, status == http.StatusServiceUnavailable:
		return carobbend.StoreUnavailable, err
	default:
		return failureForMethod(method), err
	}
}

// failureForMethod returns the kind of a failure after which the request may have been executed.
func failureForMethod(method string) carobbend.StoreFailure {
	if method == http.MethodGet {
		return carobbend.StoreUnavailable
	}
	return carobbend.StoreUnknown
}

// writeTracker records the connections that net/http used for a request, and their numbers of writes before it.
type writeTracker struct {
	mu           sync.Mutex
	conns        []net.Conn
	writesBefore []int64
}

func (t *writeTracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns = append(t.conns, info.Conn)
	var mark int64
	if c, ok := info.Conn.(*trackedConn); ok {
		mark = c.writes()
	}
	t.writesBefore = append(t.writesBefore, mark)
}

// failureKind returns StoreUnavailable for a write only if no byte of it was sent, and prevents further writes on its
// connections.
func (t *writeTracker) failureKind(method string) carobbend.StoreFailure {
	if method == http.MethodGet {
		return carobbend.StoreUnavailable
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	kind := carobbend.StoreUnavailable
	for i, conn := range t.conns {
		c, ok := conn.(*trackedConn)
		if !ok || c.blockWrites() != t.writesBefore[i] {
			kind = carobbend.StoreUnknown
		}
	}
	return kind
}

// trackedConn counts writes. After a failed request its writes are blocked, since net/http may still be about to write.
type trackedConn struct {
	net.Conn
	mu         sync.Mutex
	writeCount int64
	blocked    bool
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.blocked {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writeCount++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *trackedConn) writes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeCount
}

func (c *trackedConn) blockWrites() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked = true
	return c.writeCount
}
