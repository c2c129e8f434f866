package connector

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"carobbend.example/carobbend"
)

var (
	errUnknownUpstream = errors.New("upstream not in the settings")
	errNoProgress      = errors.New("no reply byte within the progress time-out")
	errMismatchedReply = errors.New("request id mismatch in the reply")
	errOversized       = errors.New("reply body exceeds 1 MiB")
)

// attempt is one request in flight.
type attempt struct {
	p            *pool
	start        time.Time
	conn         atomic.Pointer[net.Conn]
	wrote        atomic.Bool
	replyStarted atomic.Bool
	// reused says that the connection was used before; a new connection raises no suspicion.
	reused atomic.Bool
	// suspected says that this request raised a suspicion.
	suspected atomic.Bool
}

// Send implements carobbend.Upstreams.
func (c *Connector) Send(ctx context.Context, id carobbend.UpstreamID, req carobbend.ShardRequest) (carobbend.ShardReply, error) {
	p, ok := c.pools[id]
	if !ok {
		return carobbend.ShardReply{}, sendError(id, carobbend.FailureNotSent, errUnknownUpstream)
	}
	if !p.acquireRequest() {
		return carobbend.ShardReply{}, sendError(id, carobbend.FailureNotSent, errShareExhausted)
	}
	defer p.releaseRequest()
	reply, err := c.sendSearch(ctx, p, req)
	if carobbend.FailureKindOf(err) == carobbend.FailureSnapshotGone {
		c.catalog.Denied(time.Now(), id, req.Ref)
	}
	return reply, err
}

func (c *Connector) sendSearch(parent context.Context, p *pool, req carobbend.ShardRequest) (carobbend.ShardReply, error) {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	a := &attempt{p: p, start: time.Now()}
	suspicion := time.AfterFunc(p.suspicionAge(), func() {
		if a.reused.Load() && !a.replyStarted.Load() && p.suspect(a.start, time.Now()) {
			a.suspected.Store(true)
		}
	})
	defer suspicion.Stop()
	progress := time.AfterFunc(c.progressTimeout, func() {
		if !a.replyStarted.Load() {
			cancel(errNoProgress)
		}
	})
	defer progress.Stop()

	httpReq, err := newSearch(httptrace.WithClientTrace(ctx, a.trace()), p, req)
	if err != nil {
		return carobbend.ShardReply{}, sendError(p.up.ID, carobbend.FailureNotSent, err)
	}
	resp, err := p.transport.RoundTrip(httpReq)
	if err != nil {
		return carobbend.ShardReply{}, a.classifyError(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	return c.readReply(ctx, a, req, resp)
}

func (a *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			nc := info.Conn
			a.conn.Store(&nc)
			a.reused.Store(info.Reused)
		},
		WroteHeaders: func() { a.wrote.Store(true) },
		GotFirstResponseByte: func() {
			a.replyStarted.Store(true)
			a.p.observeLatency(time.Since(a.start))
			if a.suspected.Load() {
				a.p.recordSuspicion(false)
			}
		},
	}
}

func newSearch(ctx context.Context, p *pool, req carobbend.ShardRequest) (*http.Request, error) {
	body, err := json.Marshal(SearchBody{Index: req.Ref.Index, Text: req.Text, Limit: req.Limit})
	if err != nil {
		return nil, errorx.Decorate(err, "encode search")
	}
	url := "http://" + p.up.Address + ShardPrefix + strconv.Itoa(req.Ref.Shard) + SearchSuffix
	// The reader is wrapped so that NewRequest sets no GetBody: the transport must not resend the request, since that retry
	// would not count against the extra-load budget.
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, errorx.Decorate(err, "build search")
	}
	r.ContentLength = int64(len(body))
	h := r.Header
	h["Content-Type"] = []string{"application/json"}
	h[HeaderRequestID] = []string{req.ID}
	h[HeaderSnapshot] = []string{strconv.FormatUint(uint64(req.Ref.Snapshot), 10)}
	h[HeaderShards] = []string{strconv.Itoa(req.Ref.Shards)}
	if !req.Deadline.IsZero() {
		ms := float64(time.Until(req.Deadline)) / float64(time.Millisecond)
		h[HeaderDeadline] = []string{strconv.FormatFloat(ms, 'f', 3, 64)}
	}
	return r, nil
}

func (c *Connector) readReply(ctx context.Context, a *attempt, req carobbend.ShardRequest, resp *http.Response) (carobbend.ShardReply, error) {
	id := a.p.up.ID
	leaving := resp.Header.Get(HeaderUpstreamState) == StateLeaving
	a.p.setReportedLeaving(time.Now(), leaving)
	if got := resp.Header.Get(HeaderRequestID); got != req.ID && resp.StatusCode != http.StatusBadRequest {
		c.mismatched.Add(1)
		a.closeConn()
		return carobbend.ShardReply{}, sendError(id, carobbend.FailureIdentity, fmt.Errorf("%w: got %q, want %q", errMismatchedReply, got, req.ID))
	}
	if resp.StatusCode != http.StatusOK {
		return carobbend.ShardReply{}, classifyStatus(id, resp, leaving)
	}
	body, err := readBody(resp)
	if err != nil {
		return carobbend.ShardReply{}, a.classifyError(ctx, err)
	}
	var sr SearchReply
	if err := json.Unmarshal(body, &sr); err != nil {
		return carobbend.ShardReply{}, sendError(id, carobbend.FailureBroken, errorx.Decorate(err, "decode reply"))
	}
	ref, err := parseRef(req.Ref.Index, resp.Header)
	if err != nil {
		return carobbend.ShardReply{}, sendError(id, carobbend.FailureBroken, err)
	}
	return carobbend.ShardReply{ID: req.ID, Ref: ref, Items: sr.Items, Load: parseLoad(resp.Header), Leaving: leaving}, nil
}

// readBody reads the complete body. The transport returns an error if it is shorter than its Content-Length.
func readBody(resp *http.Response) ([]byte, error) {
	if resp.ContentLength > MaxBodyBytes {
		return nil, errOversized
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxBodyBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > MaxBodyBytes {
		return nil, errOversized
	}
	return body, nil
}

// parseRef returns the shard that the headers of a reply name.
func parseRef(index string, h http.Header) (carobbend.ShardRef, error) {
	snapshot, err := strconv.ParseUint(h.Get(HeaderSnapshot), 10, 64)
	if err != nil {
		return carobbend.ShardRef{}, errorx.Decorate(err, "reply header %s", HeaderSnapshot)
	}
	shard, err := strconv.Atoi(h.Get(HeaderShard))
	if err != nil {
		return carobbend.ShardRef{}, errorx.Decorate(err, "reply header %s", HeaderShard)
	}
	shards, err := strconv.Atoi(h.Get(HeaderShards))
	if err != nil {
		return carobbend.ShardRef{}, errorx.Decorate(err, "reply header %s", HeaderShards)
	}
	return carobbend.ShardRef{Index: index, Snapshot: carobbend.SnapshotID(snapshot), Shard: shard, Shards: shards}, nil
}

// parseLoad returns the utilization of an ORCA load report, or -1 if there is none.
func parseLoad(h http.Header) float64 {
	report, ok := strings.CutPrefix(h.Get(HeaderLoad), "TEXT ")
	if !ok {
		return -1
	}
	for _, field := range strings.Split(report, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "application_utilization=")
		if !ok {
			continue
		}
		if f, err := strconv.ParseFloat(value, 64); err == nil && f >= 0 {
			return f
		}
	}
	return -1
}

func classifyStatus(id carobbend.UpstreamID, resp *http.Response, leaving bool) error {
	err := fmt.Errorf("status %d", resp.StatusCode)
	// Up to 4096 bytes of the body are read, so that the connection can be reused.
	if _, cerr := io.CopyN(io.Discard, resp.Body, 4096); cerr != nil && !errors.Is(cerr, io.EOF) {
		err = errors.Join(err, cerr)
	}
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable && leaving:
		return sendError(id, carobbend.FailureLeaving, err)
	case resp.StatusCode == http.StatusServiceUnavailable, resp.StatusCode == http.StatusTooManyRequests:
		return sendError(id, carobbend.FailureShed, err)
	case resp.StatusCode == http.StatusGone:
		return sendError(id, carobbend.FailureSnapshotGone, err)
	case resp.StatusCode == http.StatusGatewayTimeout:
		return sendError(id, carobbend.FailureDeadline, err)
	default:
		return sendError(id, carobbend.FailureBroken, err)
	}
}

// classifyError returns a SendError whose kind follows from the context's cause and from whether the request was written.
func (a *attempt) classifyError(ctx context.Context, err error) error {
	id := a.p.up.ID
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errNoProgress):
		a.p.recordSuspicion(true)
		return sendError(id, carobbend.FailureSilent, cause)
	case errors.Is(cause, context.DeadlineExceeded):
		return sendError(id, carobbend.FailureDeadline, err)
	case cause != nil:
		return sendError(id, carobbend.FailureCanceled, err)
	case !a.wrote.Load():
		return sendError(id, carobbend.FailureNotSent, err)
	default:
		return sendError(id, carobbend.FailureBroken, err)
	}
}

func (a *attempt) closeConn() {
	if nc := a.conn.Load(); nc != nil {
		_ = (*nc).Close()
	}
}

func sendError(id carobbend.UpstreamID, kind carobbend.FailureKind, err error) error {
	return &carobbend.SendError{Upstream: id, Kind: kind, Err: err}
}
