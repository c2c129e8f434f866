package sender

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"carobbend.example/carobbend/connector"

	"carobbend.example/carobbend"
)

const (
	// DefaultMaxConns bounds the connections to one upstream.
	DefaultMaxConns = 4
	// DefaultMaxReplyBytes bounds the body of an upstream's reply.
	DefaultMaxReplyBytes = 1 << 20
	// DefaultIdleTimeout closes idle connections. It is short because an operation on a connection that went silent while
	// idle ends with an unknown outcome, whereas a new connection opens in about 1 ms.
	DefaultIdleTimeout = 2 * time.Second

	maxErrorBytes = 200
)

var (
	errUnknownUpstream = errors.New("no address is set for this upstream")
	errNotJSON         = errors.New("the answer isn't JSON")
	errTooLarge        = errors.New("the answer is too large")
	errMismatchedReply = errors.New("the answer belongs to another request")
)

// Sender writes operations over HTTP/1.1. It implements carobbend.OperationSender.
type Sender struct {
	addresses map[carobbend.UpstreamID]string
	transport *http.Transport
	maxReply  int64
}

// Option configures a Sender.
type Option func(*Sender)

// WithMaxConns bounds the connections to one upstream; further operations wait within their deadline.
func WithMaxConns(n int) Option {
	return func(s *Sender) { s.transport.MaxConnsPerHost, s.transport.MaxIdleConnsPerHost = n, n }
}

// WithIdleTimeout closes connections that are idle for d; 0 opens a connection for each operation.
func WithIdleTimeout(d time.Duration) Option {
	return func(s *Sender) { s.transport.IdleConnTimeout, s.transport.DisableKeepAlives = d, d == 0 }
}

// WithMaxReplyBytes bounds the body of an upstream's reply.
func WithMaxReplyBytes(n int64) Option { return func(s *Sender) { s.maxReply = n } }

// New returns a sender to upstreams at the given IP addresses and ports.
func New(addresses map[carobbend.UpstreamID]string, opts ...Option) *Sender {
	dialer := &net.Dialer{}
	s := &Sender{
		addresses: addresses,
		maxReply:  DefaultMaxReplyBytes,
		transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &conn{Conn: c}, nil
			},
			DisableCompression:     true,
			MaxResponseHeaderBytes: carobbend.MaxHeaderBytes,
			IdleConnTimeout:        DefaultIdleTimeout,
		},
	}
	WithMaxConns(DefaultMaxConns)(s)
	for _, o := range opts {
		o(s)
	}
	return s
}

// Close closes idle connections.
func (s *Sender) Close() { s.transport.CloseIdleConnections() }

// SendOperation implements carobbend.OperationSender.
func (s *Sender) SendOperation(ctx context.Context, id carobbend.UpstreamID, op carobbend.Operation) (json.RawMessage, error) {
	address, ok := s.addresses[id]
	if !ok {
		return nil, sendError(id, carobbend.FailureNotSent, errUnknownUpstream)
	}
	if !op.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, op.Deadline)
		defer cancel()
	}
	g := &writeGuard{deadline: op.Deadline}
	req, err := newRequest(ctx, address, op, g)
	if err != nil {
		return nil, sendError(id, carobbend.FailureNotSent, err)
	}
	// Client.Do would follow redirects, which send a second request.
	resp, err := s.transport.RoundTrip(req)
	if err != nil {
		if !g.stop() {
			return nil, sendError(id, carobbend.FailureNotSent, err)
		}
		return nil, sendError(id, contextFailure(ctx), err)
	}
	defer func() { _ = resp.Body.Close() }()
	return s.readReply(ctx, id, req.Header.Get(connector.HeaderRequestID), resp)
}

func newRequest(ctx context.Context, address string, op carobbend.Operation, g *writeGuard) (*http.Request, error) {
	body := op.Body
	if len(body) == 0 {
		// The transport may retry a request without a body.
		body = json.RawMessage("null")
	}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				c.setGuard(g)
			}
		},
	})
	target := url.URL{Scheme: "http", Host: address, Path: connector.OperationPrefix + op.Name}
	// The reader is wrapped, so that NewRequest sets no GetBody.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target.String(), io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(connector.HeaderRequestID, rand.Text())
	req.Header.Set(connector.HeaderOperationKey, op.Key)
	if !op.Deadline.IsZero() {
		ms := float64(time.Until(op.Deadline)) / float64(time.Millisecond)
		req.Header.Set(connector.HeaderDeadline, strconv.FormatFloat(ms, 'f', 3, 64))
	}
	return req, nil
}

// contextFailure returns the failure kind of a request that may have been written: deadline or canceled if ctx is done,
// broken otherwise.
func contextFailure(ctx context.Context) carobbend.FailureKind {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return carobbend.FailureDeadline
	case ctx.Err() != nil:
		return carobbend.FailureCanceled
	default:
		return carobbend.FailureBroken
	}
}

func (s *Sender) readReply(ctx context.Context, id carobbend.UpstreamID, requestID string, resp *http.Response) (json.RawMessage, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, s.maxReply+1))
	switch {
	case err != nil:
		return nil, sendError(id, contextFailure(ctx), err)
	case resp.Header.Get(connector.HeaderRequestID) != requestID:
		return nil, sendError(id, carobbend.FailureIdentity, errMismatchedReply)
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != "":
		kind := carobbend.FailureShed
		if resp.Header.Get(connector.HeaderUpstreamState) == connector.StateLeaving {
			kind = carobbend.FailureLeaving
		}
		return nil, sendError(id, kind, statusError(resp, body))
	case resp.StatusCode != http.StatusOK:
		return nil, sendError(id, carobbend.FailureBroken, statusError(resp, body))
	case int64(len(body)) > s.maxReply:
		return nil, sendError(id, carobbend.FailureBroken, errTooLarge)
	case len(body) > 0 && !json.Valid(body):
		return nil, sendError(id, carobbend.FailureBroken, errNotJSON)
	}
	return body, nil
}

func statusError(resp *http.Response, body []byte) error {
	return fmt.Errorf("status %s: %q", resp.Status, body[:min(len(body), maxErrorBytes)])
}

func sendError(id carobbend.UpstreamID, kind carobbend.FailureKind, err error) error {
	return &carobbend.SendError{Upstream: id, Kind: kind, Err: err}
}
