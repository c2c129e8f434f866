package emulator

import (
	"encoding/json"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// Service is one registration in the instance list, in the fields of the Consul agent API.
type Service struct {
	ID      string
	Name    string
	Address string
	Port    int
	Meta    map[string]string
}

type listRecord struct {
	service Service
	leaving bool
	expires time.Time
}

type listVersion struct {
	at      time.Time
	records map[string]listRecord
}

// List is an instance list whose readers see its state with a lag. The zero value has no lag and no expiry.
type List struct {
	mu      sync.Mutex
	lag     time.Duration
	ttl     time.Duration
	records map[string]listRecord
	history []listVersion
}

// ListOption configures a List.
type ListOption func(*List)

// WithLag sets the time until readers see a change.
func WithLag(d time.Duration) ListOption { return func(l *List) { l.lag = d } }

// WithTTL drops services whose check isn't renewed for d.
func WithTTL(d time.Duration) ListOption { return func(l *List) { l.ttl = d } }

// NewList returns an empty list.
func NewList(opts ...ListOption) *List {
	l := &List{}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Register adds or replaces a service.
func (l *List) Register(s Service) {
	l.change(func(m map[string]listRecord) { m[s.ID] = listRecord{service: s, expires: l.expiry()} })
}

// PassCheck renews a service's check.
func (l *List) PassCheck(id string) {
	l.change(func(m map[string]listRecord) {
		if r, ok := m[id]; ok {
			r.expires = l.expiry()
			m[id] = r
		}
	})
}

// SetLeaving sets or clears the mark of a service as leaving.
func (l *List) SetLeaving(id string, leaving bool) {
	l.change(func(m map[string]listRecord) {
		if r, ok := m[id]; ok {
			r.leaving = leaving
			m[id] = r
		}
	})
}

// Deregister removes a service.
func (l *List) Deregister(id string) {
	l.change(func(m map[string]listRecord) { delete(m, id) })
}

func (l *List) expiry() time.Time {
	if l.ttl <= 0 {
		return time.Time{}
	}
	return time.Now().Add(l.ttl)
}

func (l *List) change(f func(map[string]listRecord)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := make(map[string]listRecord, len(l.records)+1)
	for k, v := range l.records {
		next[k] = v
	}
	f(next)
	l.records = next
	l.history = append(l.history, listVersion{at: time.Now(), records: next})
	l.pruneLocked(time.Now())
}

// pruneLocked drops versions that no reader can see any more.
func (l *List) pruneLocked(now time.Time) {
	for len(l.history) > 1 && !l.history[1].at.After(now.Add(-l.lag)) {
		l.history = l.history[1:]
	}
}

type listEntry struct {
	service Service
	leaving bool
}

func (l *List) visible(name string) []listEntry {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pruneLocked(now)
	if len(l.history) == 0 || l.history[0].at.After(now.Add(-l.lag)) {
		return nil
	}
	var out []listEntry
	for _, r := range l.history[0].records {
		expired := !r.expires.IsZero() && now.Add(-l.lag).After(r.expires)
		if r.service.Name == name && !expired {
			out = append(out, listEntry{service: r.service, leaving: r.leaving})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].service.ID < out[j].service.ID })
	return out
}

type healthCheck struct {
	CheckID string
	Status  string
}

type healthEntry struct {
	Service healthService
	Checks  []healthCheck
}

type healthService struct {
	ID      string
	Service string
	Address string
	Port    int
	Meta    map[string]string
}

const (
	healthPrefix      = "/v1/health/service/"
	registerPath      = "/v1/agent/service/register"
	deregisterPrefix  = "/v1/agent/service/deregister/"
	maintenancePrefix = "/v1/agent/service/maintenance/"
	passPrefix        = "/v1/agent/check/pass/service:"
	maintenanceCheck  = "_service_maintenance:"
)

// ServeHTTP serves the list over the Consul agent and health HTTP API; a service in maintenance is leaving.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	if name, ok := strings.CutPrefix(path, healthPrefix); ok {
		l.serveHealth(w, name)
		return
	}
	if r.Method != http.MethodPut {
		http.Error(w, "expected PUT", http.StatusMethodNotAllowed)
		return
	}
	if path == registerPath {
		l.serveRegister(w, r)
		return
	}
	if id, ok := strings.CutPrefix(path, passPrefix); ok {
		l.PassCheck(id)
		return
	}
	if id, ok := strings.CutPrefix(path, maintenancePrefix); ok {
		l.SetLeaving(id, r.URL.Query().Get("enable") == "true")
		return
	}
	if id, ok := strings.CutPrefix(path, deregisterPrefix); ok {
		l.Deregister(id)
		return
	}
	http.NotFound(w, r)
}

func (l *List) serveHealth(w http.ResponseWriter, name string) {
	visible := l.visible(name)
	entries := make([]healthEntry, 0, len(visible))
	for _, e := range visible {
		s := e.service
		h := healthEntry{Service: healthService{ID: s.ID, Service: s.Name, Address: s.Address, Port: s.Port, Meta: s.Meta}}
		h.Checks = append(h.Checks, healthCheck{CheckID: "service:" + s.ID, Status: "passing"})
		if e.leaving {
			h.Checks = append(h.Checks, healthCheck{CheckID: maintenanceCheck + s.ID, Status: "critical"})
		}
		entries = append(entries, h)
	}
	writeJSON(w, entries)
}

func (l *List) serveRegister(w http.ResponseWriter, r *http.Request) {
	var s Service
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxValueBytes)).Decode(&s); err != nil || s.ID == "" || s.Name == "" {
		http.Error(w, "expected a service with ID and Name", http.StatusBadRequest)
		return
	}
	l.Register(s)
}
