package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in for the platform's metadata store.
type Store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]*item
	leases   map[uint64]*lease
	nextID   uint64
	history  []event
	changed  chan struct{}
	addr     string
	srv      *http.Server
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

type event struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

// NewStore starts a store on a free loopback port.
func NewStore() (*Store, error) {
	s := &Store{revision: 1, items: map[string]*item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.key)
	mux.HandleFunc("GET /kv-range", s.listRange)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	s.srv = &http.Server{Handler: mux}
	go s.srv.Serve(l)
	go s.expire()
	return s, nil
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if v != nil {
		json.NewEncoder(w).Encode(v)
	}
}

// Put writes a key as the operator or a backend does.
func (s *Store) Put(key string, value any) {
	b, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, b, 0)
	s.wake()
}

// Delete removes a key as a backend that leaves does.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.revision++
		s.remove(key)
		s.wake()
	}
}

func (s *Store) set(key string, value []byte, lease uint64) {
	it := s.items[key]
	if it == nil {
		it = &item{Key: key, Created: s.revision}
		s.items[key] = it
	}
	it.Value, it.Lease, it.Revision = value, lease, s.revision
	s.history = append(s.history, event{Key: key, Value: value, Revision: s.revision, Created: it.Created, Lease: lease})
}

func (s *Store) remove(key string) {
	delete(s.items, key)
	s.history = append(s.history, event{Key: key, Revision: s.revision, Deleted: true})
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) expire() {
	for {
		time.Sleep(50 * time.Millisecond)
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.until) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for k, it := range s.items {
		if it.Lease == id {
			keys = append(keys, k)
		}
	}
	if len(keys) > 0 {
		s.revision++
		for _, k := range keys {
			s.remove(k)
		}
		s.wake()
	}
}

func (s *Store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it := s.items[r.URL.Query().Get("key")]
	if it == nil {
		reply(w, 404, map[string]any{"current_rev": s.revision})
		return
	}
	reply(w, 200, map[string]any{
		"key": it.Key, "value": it.Value, "revision": it.Revision, "created": it.Created, "lease": it.Lease, "current_rev": s.revision,
	})
}

func (s *Store) listRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix, after := q.Get("prefix"), q.Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	more := len(keys) > 500
	keys = keys[:min(len(keys), 500)]
	items := make([]item, 0, len(keys))
	for _, k := range keys {
		items = append(items, *s.items[k])
	}
	reply(w, 200, map[string]any{"items": items, "has_more": more, "current_rev": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix := q.Get("prefix")
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(min(ms, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		current, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, 200, map[string]any{"events": events, "current_rev": current})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, 200, map[string]any{"events": events, "current_rev": current})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expect"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
		Remove []string `json:"remove"`
	}
	b, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(b, &req) != nil {
		reply(w, 400, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range req.Writes {
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			reply(w, 403, nil)
			return
		}
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			reply(w, 404, nil)
			return
		}
	}
	for _, e := range req.Expect {
		revision := uint64(0)
		if it := s.items[e.Key]; it != nil {
			revision = it.Revision
		}
		if revision != e.Revision {
			reply(w, 412, map[string]any{"items": []item{}})
			return
		}
	}
	s.revision++
	for _, x := range req.Writes {
		s.set(x.Key, x.Value, x.Lease)
	}
	for _, k := range req.Remove {
		if s.items[k] != nil {
			s.remove(k)
		}
	}
	s.wake()
	reply(w, 200, map[string]any{"revision": s.revision})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var req struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&req) != nil {
		reply(w, 400, nil)
		return
	}
	ttl := time.Duration(min(max(req.TTL, 1000), 600000)) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	id := 77000 + s.nextID
	s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
	reply(w, 200, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, 404, nil)
		return
	}
	l.until = time.Now().Add(l.ttl)
	reply(w, 200, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *Store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		reply(w, 404, nil)
		return
	}
	s.endLease(id)
	reply(w, 200, map[string]any{})
}
