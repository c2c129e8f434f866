// Package storeclient calls the platform's key-value service and its instance list over the Consul HTTP API.
//
// Calls are counted by kind, capped by a token bucket, bounded by a time-out, and backed off with full jitter after
// failures. The back-off is shared by all calls of a client: while it lasts, calls fail at once, and after it a single
// call probes the store, so that the end of an outage causes no burst of calls.
//
// Errors are of type *carobbend.StoreError. A write that fails after a byte of it may have been written is
// carobbend.StoreUnknown; it is never sent twice.
//
// # Usage
//
//	store := storeclient.New("http://127.0.0.1:8500", storeclient.WithRate(40))
//	defer store.Close()
//	entry, err := store.Get(ctx, "carobbend/rules")
package storeclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"carobbend.example/carobbend"
)

const (
	// DefaultTimeout bounds one call; a watch has its wait in addition.
	DefaultTimeout = 500 * time.Millisecond
	// DefaultRate is the greatest number of calls a second of one client.
	DefaultRate = 40.0
	// MaxValueBytes is the greatest size of a value that the store accepts.
	MaxValueBytes = 1 << 20

	kvPrefix    = "/v1/kv/"
	indexHeader = "X-Consul-Index"
	// maxReplyBytes is enough for a value of MaxValueBytes in base64 with its JSON envelope.
	maxReplyBytes = 2 << 20
	maxErrorBytes = 256
)

const (
	opGet   = "get"
	opSwap  = "compare-and-swap"
	opWatch = "watch"
)

// Calls counts the calls of a client by kind.
type Calls struct {
	// Gets, Swaps and Watches count the calls that were sent, failed ones included.
	Gets, Swaps, Watches int64
	// Lists counts the calls to the instance list.
	Lists int64
	// Limited counts the calls refused by the client's rate limit; they were not sent.
	Limited int64
	// BackedOff counts the calls refused during a back-off; they were not sent.
	BackedOff int64
	// Failed counts the sent calls without a usable reply.
	Failed int64
}

type counters struct {
	gets, swaps, watches, lists, limited, backedOff, failed atomic.Int64
}

// Client implements carobbend.Store. It is safe for concurrent use.
type Client struct {
	t *transport
	// absentIndex maps a key to the Consul index at which it was last seen missing. A watch of a missing key needs it, since
	// Consul doesn't wait for index 0.
	absentIndex sync.Map
}

// New returns a client of the store at a base address like http://127.0.0.1:8500. It opens no connection.
func New(baseURL string, opts ...Option) *Client {
	return &Client{t: newTransport(baseURL, opts)}
}

// Close closes the idle connections.
func (c *Client) Close() { c.t.http.CloseIdleConnections() }

// Calls returns the numbers of calls since the client was created.
func (c *Client) Calls() Calls { return c.t.calls() }

type kvEntry struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
}

// Get implements carobbend.Store.
func (c *Client) Get(ctx context.Context, key string) (carobbend.Entry, error) {
	return c.read(ctx, opGet, key, nil, 0, &c.t.count.gets)
}

// Watch implements carobbend.Store. While the client recovers from a failure it returns the entry without waiting,
// since a waiting call would be the probe and block the others.
func (c *Client) Watch(ctx context.Context, key string, revision uint64, wait time.Duration) (carobbend.Entry, error) {
	if c.t.breaker.failing() {
		return c.read(ctx, opWatch, key, nil, 0, &c.t.count.watches)
	}
	index := strconv.FormatUint(revision, 10)
	if last, ok := c.absentIndex.Load(key); ok && revision == 0 {
		index = fmt.Sprint(last)
	}
	q := url.Values{"index": {index}, "wait": {wait.String()}}
	// Consul adds up to a sixteenth of the wait at random.
	return c.read(ctx, opWatch, key, q, wait+wait/16, &c.t.count.watches)
}

func (c *Client) read(ctx context.Context, op, key string, q url.Values, wait time.Duration, n *atomic.Int64) (carobbend.Entry, error) {
	rep, err := c.t.call(ctx, request{op: op, key: key, method: http.MethodGet, path: kvPath(key), query: q, wait: wait, count: n})
	if err != nil {
		return carobbend.Entry{}, err
	}
	if rep.status == http.StatusNotFound {
		if rep.index != "" {
			c.absentIndex.Store(key, rep.index)
		}
		return carobbend.Entry{Key: key}, nil
	}
	var entries []kvEntry
	if err := json.Unmarshal(rep.body, &entries); err != nil {
		return carobbend.Entry{}, storeError(op, key, carobbend.StoreUnavailable, fmt.Errorf("reply: expected a list of entries: %w", err))
	}
	if n := len(entries); n != 1 {
		return carobbend.Entry{}, storeError(op, key, carobbend.StoreUnavailable, fmt.Errorf("reply: got %d entries, expected one", n))
	}
	return carobbend.Entry{Key: key, Value: entries[0].Value, Revision: entries[0].ModifyIndex}, nil
}

// CompareAndSwap implements carobbend.Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, revision uint64) (bool, error) {
	if len(value) > MaxValueBytes {
		return false, storeError(opSwap, key, carobbend.StoreUnavailable, fmt.Errorf("value of %d bytes: expected at most %d", len(value), MaxValueBytes))
	}
	q := url.Values{"cas": {strconv.FormatUint(revision, 10)}}
	rep, err := c.t.call(ctx, request{op: opSwap, key: key, method: http.MethodPut, path: kvPath(key), query: q, body: value, count: &c.t.count.swaps})
	if err != nil {
		return false, err
	}
	switch string(bytes.TrimSpace(rep.body)) {
	case "true":
		return true, nil
	case "false":
		return false, nil
	default:
		return false, storeError(opSwap, key, carobbend.StoreUnknown, fmt.Errorf("reply with status %d: expected true or false", rep.status))
	}
}

// kvPath escapes the parts of a key and keeps its slashes.
func kvPath(key string) string {
	parts := strings.Split(key, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return kvPrefix + strings.Join(parts, "/")
}

func storeError(op, key string, kind carobbend.StoreFailure, err error) error {
	return &carobbend.StoreError{Op: op, Key: key, Kind: kind, Err: err}
}

// oneShotReader hides the type of a reader, so that net/http can't rewind the body and resend the request.
type oneShotReader struct{ io.Reader }
