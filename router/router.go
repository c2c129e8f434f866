// Package router finds the route of a request.
//
// A Table is built from one version of the routing and not modified afterwards, so a request that keeps its table sees one
// version throughout. A Router holds the current table and only accepts higher versions.
//
// # Usage
//
//	var r router.Router
//	r.Apply(routing)
//	t := r.Table()
//	route, ok := t.Find("shop.example", "/search/stools")
//	if ok && len(route.Shards) == 0 {
//		service := route.Choose()
//	}
package router

import (
	"net"
	"strings"
	"sync"
	"sync/atomic"

	"carobbend.example/carobbend"
)

// Router holds the current table. The zero value has none.
type Router struct {
	mu    sync.Mutex
	table atomic.Pointer[Table]
	// suspended is the table that Suspend dropped.
	suspended *Table
}

// Apply replaces the table if the routing has a higher version than the current one, and reports whether it did. After Suspend,
// the version that was dropped is accepted, too.
func (r *Router) Apply(routing *carobbend.Routing) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.table.Load()
	if old != nil && routing.Version <= old.version {
		return false
	}
	if r.suspended != nil {
		if routing.Version < r.suspended.version {
			return false
		}
		old, r.suspended = r.suspended, nil
	}
	r.table.Store(newTable(routing, old))
	return true
}

// Suspend drops the current table, since it is no longer kept up to date. Versions never go back: the next table has at least
// the version of the dropped one.
func (r *Router) Suspend() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.table.Swap(nil); t != nil {
		r.suspended = t
	}
}

// Table returns the current table, nil before the first Apply and after Suspend.
func (r *Router) Table() *Table { return r.table.Load() }

// Table is one version of the routes.
type Table struct {
	version  uint64
	hosts    map[string]*host
	services map[string]carobbend.Service
	limits   carobbend.CallerLimits
	accounts accounts
}

// host holds the routes of one host by prefix.
type host struct {
	byPrefix map[string]*Route
	// longest is the length of the longest prefix in bytes.
	longest int
}

// Version returns the version of the routing.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the limits per caller.
func (t *Table) Limits() carobbend.CallerLimits { return t.limits }

// Service returns the service with the given name.
func (t *Table) Service(name string) (carobbend.Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Find returns the route whose prefix is the longest one that matches the path. The path is the undecoded path of the
// request without its query. Prefixes end at slashes, so the cost grows with the number of slashes in the path and not with
// the number of routes.
func (t *Table) Find(hostname, path string) (*Route, bool) {
	h := t.hosts[canonicalHost(hostname)]
	if h == nil {
		return nil, false
	}
	p := path[:min(len(path), h.longest)]
	for {
		i := strings.LastIndexByte(p, '/')
		if i < 0 {
			return nil, false
		}
		if r := h.byPrefix[p[:i+1]]; r != nil {
			return r, true
		}
		p = p[:i]
	}
}

func newTable(routing *carobbend.Routing, old *Table) *Table {
	t := &Table{
		version:  routing.Version,
		hosts:    make(map[string]*host),
		services: make(map[string]carobbend.Service, len(routing.Services)),
		limits:   routing.Limits,
		accounts: newAccounts(routing),
	}
	for _, s := range routing.Services {
		t.services[s.Name] = s
	}
	for i := range routing.Routes {
		r := &Route{Route: routing.Routes[i]}
		name := canonicalHost(r.Host)
		h := t.hosts[name]
		if h == nil {
			h = &host{byPrefix: make(map[string]*Route)}
			t.hosts[name] = h
		}
		r.inheritCredit(old)
		h.byPrefix[r.Prefix] = r
		h.longest = max(h.longest, len(r.Prefix))
	}
	return t
}

// canonicalHost returns a host name in lower case without port and trailing dot.
func canonicalHost(s string) string {
	if strings.IndexByte(s, ':') >= 0 {
		if h, _, err := net.SplitHostPort(s); err == nil {
			s = h
		}
	}
	return strings.ToLower(strings.TrimSuffix(s, "."))
}
