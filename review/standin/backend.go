package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeat     = 1200 * time.Millisecond
	slots         = 6
	queueLength   = 8
	maxConns      = 96
	backendZone   = "leon"
	bootedVersion = "1"
)

// run is a request that a backend began to work on.
type run struct {
	backend, service, id, method, uri, body string
	at                                      time.Time
}

// backend stands in for a backend. It follows the protocol page.
type backend struct {
	rec                  *record
	store                *store
	id, service, address string
	born                 int64
	work                 time.Duration
	// answer, if set, writes the answer to a request that ran.
	answer func(w http.ResponseWriter, r *http.Request, body []byte)
	// onRun is called for each request that runs.
	onRun func(run)

	srv      *http.Server
	running  atomic.Int64
	waiting  atomic.Int64
	slot     chan struct{}
	mu       sync.Mutex
	state    string
	sequence int64
	gone     bool
}

func startBackend(ctx context.Context, rec *record, s *store, id, service string, work time.Duration, setup func(*backend)) (*backend, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{
		rec: rec, store: s, id: id, service: service, address: l.Addr().String(), born: time.Now().UnixMilli(), work: work,
		slot: make(chan struct{}, slots), state: "ready",
	}
	if setup != nil {
		setup(b)
	}
	b.srv = &http.Server{Handler: b}
	go func() { _ = b.srv.Serve(l) }()
	b.beat()
	go func() {
		for ctx.Err() == nil {
			time.Sleep(heartbeat)
			b.beat()
		}
	}()
	context.AfterFunc(ctx, func() { _ = b.srv.Close() })
	return b, nil
}

// beat writes the entry of the backend.
func (b *backend) beat() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.gone {
		return
	}
	b.sequence++
	b.store.put("servers/"+b.id, map[string]any{
		"upstream": b.service, "address": b.address, "zone": backendZone, "version": bootedVersion, "capacity": slots,
		"state": b.state, "warmup_left_ms": 0, "sequence": b.sequence, "born": b.born,
	})
}

// awaitBeat waits for the next heartbeat.
func (b *backend) awaitBeat() {
	b.mu.Lock()
	last := b.sequence
	b.mu.Unlock()
	for end := time.Now().Add(2 * heartbeat); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		b.mu.Lock()
		beaten := b.sequence > last
		b.mu.Unlock()
		if beaten {
			return
		}
	}
}

// leave removes the entry of a backend that never reports draining. The backend serves on.
func (b *backend) leave() {
	b.mu.Lock()
	b.gone = true
	b.mu.Unlock()
	b.store.remove("servers/" + b.id)
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get("X-Request-Id")
	if id != "" {
		h.Set("X-Request-Id", id)
	}
	h.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", b.running.Load(), b.waiting.Load(), slots))
	switch {
	case r.URL.Path == "/health":
		h.Set("X-Instance-Id", b.id)
		return
	case id == "":
		b.refuse(w, http.StatusBadRequest)
		return
	case r.Header.Get("X-Target-Instance") != "" && r.Header.Get("X-Target-Instance") != b.id:
		b.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if b.waiting.Add(1) > queueLength+slots {
		b.waiting.Add(-1)
		b.refuse(w, http.StatusServiceUnavailable)
		return
	}
	select {
	case b.slot <- struct{}{}:
	case <-r.Context().Done():
		b.waiting.Add(-1)
		return
	}
	b.waiting.Add(-1)
	b.running.Add(1)
	defer func() {
		b.running.Add(-1)
		<-b.slot
	}()
	if b.onRun != nil {
		b.onRun(run{b.id, b.service, id, r.Method, r.RequestURI, string(body), time.Now()})
	}
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
		return
	}
	h.Set("X-Response-Seal", seal(b.id, id))
	h.Set("Keep-Alive", "timeout=10")
	if b.answer != nil {
		b.answer(w, r, body)
		return
	}
	text := answerOf(b.service, id)
	h.Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

func (b *backend) refuse(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

// seal returns the proof of an answer.
func seal(backend, id string) string { return backend + "." + id }

// answerOf returns the body of a backend's answer.
func answerOf(service, id string) string { return "answer of " + service + " to " + id + "\n" }
