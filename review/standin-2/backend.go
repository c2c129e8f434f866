package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Backend is a stand-in for one backend. It serves one request at a time on a connection.
type Backend struct {
	ID, Service, Address string
	Born                 int64
	Store                *Store
	// Work is how long a request takes.
	Work time.Duration
	// Serve replaces the usual answer if it is not nil; it returns false to close the connection.
	Serve func(b *Backend, x *Exchange) bool

	listener net.Listener
	sequence atomic.Int64
	state    atomic.Value
	stop     chan struct{}
	once     sync.Once
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
}

// Exchange is one request at a backend.
type Exchange struct {
	Conn   net.Conn
	Reader *bufio.Reader
	Req    *http.Request
	ID     string
	At     time.Time
}

// Run is a request that a backend received.
type Run struct {
	Backend, Service, ID, Method, URI, Body, Tenant string
	At                                              time.Time
	Executed                                        bool
}

// Runs collects what all backends received.
type Runs struct {
	mu   sync.Mutex
	list []Run
}

// Add adds a run.
func (r *Runs) Add(x Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, x)
}

// All returns a copy.
func (r *Runs) All() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.list...)
}

var runs Runs

// NewBackend starts a backend on a free loopback port and registers it.
func NewBackend(s *Store, service, id string, work time.Duration) (*Backend, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Backend{
		ID: id, Service: service, Address: l.Addr().String(), Born: time.Now().UnixMilli(), Store: s, Work: work,
		listener: l, stop: make(chan struct{}), conns: map[net.Conn]struct{}{},
	}
	b.state.Store("ready")
	b.beat()
	go b.beats()
	go b.accept()
	return b, nil
}

// SetState announces a state.
func (b *Backend) SetState(state string) {
	b.state.Store(state)
	b.beat()
}

// Leave removes the entry; the backend goes on serving.
func (b *Backend) Leave() {
	b.once.Do(func() { close(b.stop) })
	b.Store.Delete("servers/" + b.ID)
}

// Close ends the backend.
func (b *Backend) Close() {
	b.once.Do(func() { close(b.stop) })
	b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		c.Close()
	}
}

func (b *Backend) beat() {
	b.Store.Put("servers/"+b.ID, map[string]any{
		"upstream": b.Service, "address": b.Address, "zone": "dyfed-a", "version": "v1", "capacity": 3,
		"state": b.state.Load(), "warmup_left_ms": 0, "sequence": b.sequence.Add(1), "born": b.Born,
	})
}

func (b *Backend) beats() {
	t := time.NewTicker(1200 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			b.beat()
		case <-b.stop:
			return
		}
	}
}

func (b *Backend) accept() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[c] = struct{}{}
		b.mu.Unlock()
		go b.serveConn(c)
	}
}

func (b *Backend) serveConn(c net.Conn) {
	defer func() {
		c.Close()
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		x := &Exchange{Conn: c, Reader: r, Req: req, ID: req.Header.Get("X-Request-Id"), At: time.Now()}
		if want := req.Header.Get("X-Target-Instance"); want != "" && want != b.ID {
			io.Copy(io.Discard, req.Body)
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\nX-Not-Executed: 1\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", b.ID, x.ID)
			continue
		}
		if serve := b.Serve; serve != nil {
			if !serve(b, x) {
				return
			}
			continue
		}
		if !b.Answer(x) {
			return
		}
	}
}

// Record notes a request that the backend received, and whether it ran it.
func (b *Backend) Record(x *Exchange, body []byte, executed bool) {
	runs.Add(Run{b.ID, b.Service, x.ID, x.Req.Method, x.Req.RequestURI, string(body), x.Req.Header.Get("X-Tenant"), x.At, executed})
}

// Answer runs a request and answers it in the usual way.
func (b *Backend) Answer(x *Exchange) bool {
	body, err := io.ReadAll(x.Req.Body)
	if err != nil {
		return false
	}
	if !b.waitWork(x) {
		// The connection closed, so the request is dropped.
		b.Record(x, body, false)
		return false
	}
	b.Record(x, body, true)
	_, err = x.Conn.Write(b.Reply(x, 200, "", b.Body(x)))
	return err == nil
}

// waitWork waits for the time that a request takes, and returns false at once if its connection closes.
func (b *Backend) waitWork(x *Exchange) bool {
	_ = x.Conn.SetReadDeadline(time.Now().Add(b.Work))
	defer x.Conn.SetReadDeadline(time.Time{})
	_, err := x.Reader.Peek(1)
	var ne net.Error
	if err == nil {
		time.Sleep(b.Work)
		return true
	}
	return errors.As(err, &ne) && ne.Timeout()
}

// Body is the answer to a request: records of 16 bytes.
func (b *Backend) Body(x *Exchange) []byte {
	var out []byte
	for i := range 5 {
		h := sha256.Sum256([]byte(b.Service + x.ID + strconv.Itoa(i)))
		out = append(out, h[:16]...)
	}
	return out
}

// Seal is the proof of a backend for an answer to a request.
func (b *Backend) Seal(id string) string {
	h := sha256.Sum256([]byte("seal" + b.ID + id))
	return fmt.Sprintf("%s.%x", b.ID, h[:6])
}

// Reply returns an answer with the backend's proof. Further header lines end with CRLF.
func (b *Backend) Reply(x *Exchange, status int, headers string, body []byte) []byte {
	var o bytes.Buffer
	fmt.Fprintf(&o, "HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Response-Seal: %s\r\nX-Server-Load: 1,0,3\r\n%sContent-Length: %d\r\n\r\n",
		status, http.StatusText(status), x.ID, b.Seal(x.ID), headers, len(body))
	o.Write(body)
	return o.Bytes()
}

// Config is what the operator writes.
type Config struct {
	Version  int
	Routes   []map[string]any
	Services []string
	MaxConns int
	Tenants  []map[string]any
}

// Put writes the config to the store.
func (c *Config) Put(s *Store) {
	var services []map[string]any
	for _, name := range c.Services {
		services = append(services, map[string]any{"name": name, "health_check": "/health", "max_connections": c.MaxConns, "protocol": "h1", "tls": false})
	}
	config := map[string]any{
		"version": c.Version, "routes": c.Routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	if len(c.Tenants) > 0 {
		config["tenants"] = c.Tenants
	}
	s.Put("op/config", config)
}

// Route returns a route of one service, or of several shards.
func Route(prefix, kind string, timeoutMS, targetMS, attempts int, services ...string) map[string]any {
	r := map[string]any{
		"name": "r" + strings.ReplaceAll(prefix, "/", "-"), "hostname": "leno12.example", "prefix": prefix, "route_type": kind,
		"timeout_ms": timeoutMS, "target_latency_ms": targetMS, "priority": 1, "max_attempts": attempts,
	}
	if len(services) == 1 {
		r["upstream"] = services[0]
	} else {
		r["fanout"], r["top_k"], r["min_coverage"] = services, 10, 0.89
	}
	return r
}
