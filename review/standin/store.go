package main

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	historyTime = 20 * time.Second
	pageItems   = 500
	pageBytes   = 1 << 20
	answerDelay = 4 * time.Millisecond
)

// item is a key of the store, or in a watch its removal.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`

	at time.Time
}

type lease struct {
	ttl    time.Duration
	expiry time.Time
}

// store stands in for the platform's key-value store.
type store struct {
	rec     *record
	address string

	mu        sync.Mutex
	revision  uint64
	items     map[string]item
	history   []item
	compacted uint64
	leases    map[uint64]*lease
	nextLease uint64
	changed   chan struct{}
	// filter, if set, is called for each call; it returns true if it has handled the call itself.
	filter func(w http.ResponseWriter, r *http.Request) bool
}

func startStore(ctx context.Context, rec *record) (*store, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		rec: rec, address: l.Addr().String(), revision: 10, items: map[string]item{}, leases: map[uint64]*lease{},
		changed: make(chan struct{}), nextLease: 77000, compacted: 0,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.serveKey)
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	mux.HandleFunc("POST /kv-txn", s.serveTxn)
	mux.HandleFunc("POST /kv-lease", s.serveLease)
	mux.HandleFunc("POST /kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.serveLeaseEnd)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(answerDelay)
		s.mu.Lock()
		f := s.filter
		s.mu.Unlock()
		if f != nil && f(w, r) {
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = srv.Serve(l) }()
	go s.expire(ctx)
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	return s, nil
}

// setFilter replaces the filter of calls.
func (s *store) setFilter(f func(w http.ResponseWriter, r *http.Request) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.filter = f
}

// put writes a key as the operator or a backend and returns the revision.
func (s *store) put(key string, value any) uint64 {
	b, ok := value.([]byte)
	if !ok {
		var err error
		if b, err = json.Marshal(value); err != nil {
			panic(err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, b, 0)
	s.wake()
	return s.revision
}

// size returns the size of a value in bytes.
func (s *store) size(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.items[key].Value)
}

// remove deletes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.revision++
		s.delete(key)
		s.wake()
	}
}

func (s *store) write(key string, value []byte, lease uint64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease, at: time.Now()}
	s.items[key] = it
	s.history = append(s.history, it)
}

func (s *store) delete(key string) {
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true, at: time.Now()})
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond)
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.expiry) {
				s.end(id)
			}
		}
		for len(s.history) > 0 && now.Sub(s.history[0].at) > historyTime {
			s.compacted = s.history[0].Revision
			s.history = s.history[1:]
		}
		s.mu.Unlock()
	}
}

// end ends a lease and removes its keys.
func (s *store) end(id uint64) {
	delete(s.leases, id)
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if s.items[key].Lease == id {
			s.revision++
			s.delete(key)
		}
	}
	s.wake()
}

func reply(w http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	rev := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]uint64{"current_rev": rev})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		Current uint64 `json:"current_rev"`
	}{it, rev})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	page := struct {
		Items   []item `json:"items"`
		HasMore bool   `json:"has_more"`
		Current uint64 `json:"current_rev"`
	}{Items: []item{}}
	s.mu.Lock()
	size := 0
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		it := s.items[key]
		if len(page.Items) > 0 && (len(page.Items) >= pageItems || size+len(it.Value) > pageBytes) {
			page.HasMore = true
			break
		}
		page.Items = append(page.Items, it)
		size += len(it.Value)
	}
	page.Current = s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, page)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.compacted {
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]uint64{"current_rev": s.revision})
			return
		}
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		rev, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": rev})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
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
	if json.NewDecoder(r.Body).Decode(&req) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range req.Expect {
		if s.items[x.Key].Revision != x.Revision {
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[x.Key]}})
			return
		}
	}
	for _, x := range req.Writes {
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, ok := s.leases[x.Lease]; x.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, x := range req.Writes {
		s.write(x.Key, x.Value, x.Lease)
	}
	for _, key := range req.Remove {
		s.delete(key)
	}
	s.wake()
	reply(w, http.StatusOK, map[string]uint64{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var req struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&req) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	ttl := time.Duration(max(req.TTL, 1000)) * time.Millisecond
	s.leases[s.nextLease] = &lease{ttl: ttl, expiry: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.nextLease, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expiry = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.end(id)
	reply(w, http.StatusOK, struct{}{})
}
