//go:build review3

package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// backendConfig is how a backend behaves, in the figures of a deployment's sheet.
type backendConfig struct {
	id, service, zone   string
	slots, queue, conns int
	work                time.Duration
}

// arrival is a request that a backend received.
type arrival struct {
	id, backend string
	at          time.Time
	// authorization and tenant are the headers of these names.
	authorization, tenant string
	// ran says that the backend began to work on it.
	ran bool
}

// backend is a backend as PROTOCOL.md describes it.
type backend struct {
	backendConfig
	address  string
	store    *store
	record   *record
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	running  int
	waiters  []chan struct{}
	open     int
	arrivals []arrival
	sequence int64
	born     int64
	state    string
	// factor multiplies the work.
	factor  float64
	leaving atomic.Bool
	ended   chan struct{}
}

func startBackend(s *store, rec *record, cfg backendConfig) (*backend, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{
		backendConfig: cfg, address: l.Addr().String(), store: s, record: rec, listener: l, born: time.Now().UnixMilli(),
		state: "ready", factor: 1,
	}
	b.server = &http.Server{Handler: b, ConnState: b.countConn}
	go func() { _ = b.server.Serve(l) }()
	b.announce()
	return b, nil
}

// countConn resets the connections beyond the limit.
func (b *backend) countConn(c net.Conn, state http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch state {
	case http.StateNew:
		b.open++
		if b.open > b.conns {
			b.record.add("backend %s resets a connection beyond its %d", b.id, b.conns)
			if tc, ok := c.(*net.TCPConn); ok {
				_ = tc.SetLinger(0)
			}
			_ = c.Close()
		}
	case http.StateClosed:
		b.open--
	default:
	}
}

// announce writes the entry and returns the time of the acknowledgement.
func (b *backend) announce() time.Time {
	b.mu.Lock()
	b.sequence++
	v := map[string]any{
		"upstream": b.service, "address": b.address, "zone": b.zone, "version": "1", "capacity": b.slots, "state": b.state,
		"warmup_left_ms": 0, "sequence": b.sequence, "born": b.born,
	}
	b.mu.Unlock()
	return b.store.write("servers/"+b.id, v)
}

// drain announces that the backend is leaving, and returns the time of the acknowledgement. It serves on.
func (b *backend) drain() time.Time {
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
	b.leaving.Store(true)
	return b.announce()
}

// leaveSilently removes the entry without the state draining, and returns the time of the acknowledgement. It serves on.
func (b *backend) leaveSilently() time.Time {
	b.leaving.Store(true)
	return b.store.drop("servers/" + b.id)
}

// end ends the backend and removes its entry.
func (b *backend) end() {
	_ = b.server.Close()
	b.store.drop("servers/" + b.id)
}

func (b *backend) setFactor(f float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.factor = f
}

func (b *backend) load() string {
	return fmt.Sprintf("%d,%d,%d", b.running, len(b.waiters), b.slots)
}

// acquire takes a slot, or waits for one in the queue. It returns false if the queue is full or the time is over.
func (b *backend) acquire(r *http.Request, left time.Duration) bool {
	b.mu.Lock()
	if b.running < b.slots {
		b.running++
		b.mu.Unlock()
		return true
	}
	if len(b.waiters) >= b.queue {
		b.mu.Unlock()
		return false
	}
	w := make(chan struct{})
	b.waiters = append(b.waiters, w)
	b.mu.Unlock()
	t := time.NewTimer(left)
	defer t.Stop()
	select {
	case <-w:
		return true
	case <-t.C:
	case <-r.Context().Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, o := range b.waiters {
		if o == w {
			b.waiters = append(b.waiters[:i], b.waiters[i+1:]...)
			return false
		}
	}
	b.freeSlot()
	return false
}

// freeSlot passes a slot to the first waiter; b.mu is held.
func (b *backend) freeSlot() {
	if len(b.waiters) > 0 {
		close(b.waiters[0])
		b.waiters = b.waiters[1:]
		return
	}
	b.running--
}

func (b *backend) notRun(w http.ResponseWriter, status int, id string) {
	h := w.Header()
	h.Set("X-Not-Executed", "1")
	h.Set("X-Request-Id", id)
	h.Set("X-Instance-Id", b.id)
	b.mu.Lock()
	h.Set("X-Server-Load", b.load())
	b.mu.Unlock()
	b.note(w)
	w.WriteHeader(status)
}

// note adds what a backend that leaves says in all its answers.
func (b *backend) note(w http.ResponseWriter) {
	if b.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
}

// seal is the proof of an answer.
func (b *backend) seal(id string, status int, body []byte) string {
	sum := sha256.Sum256([]byte(fmt.Sprintf("%s %s %d %x", b.service, id, status, body)))
	return hex.EncodeToString(sum[:8])
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	id := r.Header.Get("X-Request-Id")
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", b.id)
		return
	}
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != b.id {
		b.notRun(w, http.StatusMisdirectedRequest, id)
		return
	}
	b.mu.Lock()
	n := len(b.arrivals)
	b.arrivals = append(b.arrivals, arrival{
		id: id, backend: b.id, at: at, authorization: r.Header.Get("Authorization"), tenant: r.Header.Get("X-Tenant"),
	})
	b.mu.Unlock()
	_, _ = io.Copy(io.Discard, r.Body)
	left := 30 * time.Second
	if ms, err := strconv.ParseFloat(r.Header.Get("X-Request-Deadline"), 64); err == nil {
		left = time.Duration(ms * float64(time.Millisecond))
	}
	deadline := at.Add(left)
	if !b.acquire(r, left) {
		b.notRun(w, http.StatusServiceUnavailable, id)
		return
	}
	b.mu.Lock()
	b.arrivals[n].ran = true
	work := time.Duration(float64(b.work) * b.factor)
	b.mu.Unlock()
	status := http.StatusOK
	if d := time.Until(deadline); work > d {
		work, status = d, http.StatusGatewayTimeout
	}
	t := time.NewTimer(work)
	select {
	case <-t.C:
	case <-r.Context().Done():
		t.Stop()
	}
	b.mu.Lock()
	b.freeSlot()
	load := b.load()
	b.mu.Unlock()
	body := []byte("answer of " + b.id + " to " + id)
	h := w.Header()
	h.Set("X-Request-Id", id)
	h.Set("X-Response-Seal", b.seal(id, status, body))
	h.Set("X-Server-Load", load)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	b.note(w)
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// received returns the requests that arrived so far.
func (b *backend) received() []arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]arrival(nil), b.arrivals...)
}
