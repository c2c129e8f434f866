//go:build review3

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// pageItems is the number of items of one page of a range.
	pageItems = 500
	// storeDelay is the time that an answer takes.
	storeDelay = 4 * time.Millisecond
)

// item is a key of the store, or the removal of one in the history.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is the platform's metadata store as PROTOCOL.md describes it.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]*lease
	nextID   uint64
	changed  chan struct{}
	// watchLife is the time after which a watch that still waits is cut; 0 means never.
	watchLife time.Duration
	watchCuts int
	// before is called with each call of the system before it is served, and returns false for one that gets no answer.
	before func(r *http.Request) bool
}

func newStore() (*store, error) {
	s := &store{revision: 1, items: map[string]item{}, leases: map[uint64]*lease{}, nextID: 100, changed: make(chan struct{})}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	go s.expireLeases()
	return s, nil
}

func (s *store) expireLeases() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease removes a lease and its keys; s.mu is held.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
}

// put writes a key; s.mu is held.
func (s *store) put(key string, value []byte, leaseID uint64) {
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, it)
	s.notify()
}

// remove removes a key; s.mu is held.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write is a write of the operator or of a backend. It returns the time of the acknowledgement.
func (s *store) write(key string, v any) time.Time {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return s.writeBytes(key, b)
}

func (s *store) writeBytes(key string, b []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, b, 0)
	return time.Now()
}

// drop is the removal of a key by a backend or the platform.
func (s *store) drop(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
	return time.Now()
}

// count returns the number of keys under a prefix.
func (s *store) count(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}

// keys returns the keys of the store.
func (s *store) keys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for key := range s.items {
		out = append(out, key)
	}
	slices.Sort(out)
	return out
}

// cutWatches has watches cut that wait for longer than d.
func (s *store) cutWatches(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchLife = d
}

func (s *store) setBefore(f func(*http.Request) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.before = f
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	before := s.before
	s.mu.Unlock()
	if before != nil && !before(r) {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(storeDelay)
	switch q := r.URL.Query(); {
	case r.URL.Path == "/kv-key":
		s.mu.Lock()
		it, ok := s.items[q.Get("key")]
		s.mu.Unlock()
		if !ok {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
		reply(w, http.StatusOK, it)
	case r.URL.Path == "/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case r.URL.Path == "/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.serveWatch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case r.URL.Path == "/kv-txn":
		s.serveTxn(w, r)
	case r.URL.Path == "/kv-lease":
		var q struct {
			TTL int64 `json:"ttl_ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&q)
		s.mu.Lock()
		s.nextID++
		id, ttl := s.nextID, time.Duration(max(q.TTL, 1000))*time.Millisecond
		s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
		s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"), strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		id, _ := strconv.ParseUint(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:], 10, 64)
		s.mu.Lock()
		l := s.leases[id]
		if l != nil && r.Method == http.MethodDelete {
			s.endLease(id)
		} else if l != nil {
			l.expires = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if l == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
		reply(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
	default:
		reply(w, http.StatusNotFound, map[string]any{})
	}
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	rev := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageItems
	reply(w, http.StatusOK, map[string]any{"items": items[:min(len(items), pageItems)], "has_more": more, "current_rev": rev})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	t := time.NewTimer(wait)
	defer t.Stop()
	var cut <-chan time.Time
	s.mu.Lock()
	if s.watchLife > 0 && s.watchLife < wait {
		c := time.NewTimer(s.watchLife)
		defer c.Stop()
		cut = c.C
	}
	s.mu.Unlock()
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
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
		case <-cut:
			s.mu.Lock()
			s.watchCuts++
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		case <-t.C:
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var q struct {
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
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []item{}
	failed := false
	for _, e := range q.Expect {
		it, ok := s.items[e.Key]
		failed = failed || it.Revision != e.Revision
		if ok {
			current = append(current, it)
		}
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, x := range q.Writes {
		if reserved(x.Key) {
			reply(w, http.StatusForbidden, map[string]any{})
			return
		}
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	if slices.ContainsFunc(q.Remove, reserved) {
		reply(w, http.StatusForbidden, map[string]any{})
		return
	}
	for _, x := range q.Writes {
		s.put(x.Key, x.Value, x.Lease)
	}
	for _, key := range q.Remove {
		s.remove(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func reserved(key string) bool {
	return strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/")
}

func reply(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
