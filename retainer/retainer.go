// Package retainer keeps state by names that others choose and change, such as those of routes and services. Without it, a process
// that runs for long would hold the state of each name that it ever saw.
//
// # Usage
//
//	var latencies retainer.Map[string, mean]
//	latencies.Ensure(route.Name).add(latency)
//	latencies.Retain(func(name string, _ *mean) bool { return routing.Has(name) })
package retainer

import "cmp"

// defaultBound bounds the entries of a Map that sets no bound. Routings grow by some 1,400 routes at a time.
const defaultBound = 8192

// Map holds entries by name. Names beyond its bound share one entry. The zero value is empty; it isn't safe for concurrent use.
type Map[K comparable, V any] struct {
	bound   int
	entries map[K]*V
	shared  *V
}

// New returns an empty Map of at most bound entries, for those that take much memory.
func New[K comparable, V any](bound int) Map[K, V] { return Map[K, V]{bound: bound} }

// isFull reports whether new names get no entry of their own.
func (m *Map[K, V]) isFull() bool { return len(m.entries) >= cmp.Or(m.bound, defaultBound) }

// Get returns the entry of a name, or nil.
func (m *Map[K, V]) Get(name K) *V {
	if v := m.entries[name]; v != nil {
		return v
	}
	if m.isFull() {
		return m.shared
	}
	return nil
}

// Ensure returns the entry of a name, which is the zero value for a new one.
func (m *Map[K, V]) Ensure(name K) *V {
	if v := m.entries[name]; v != nil {
		return v
	}
	if m.isFull() {
		if m.shared == nil {
			m.shared = new(V)
		}
		return m.shared
	}
	if m.entries == nil {
		m.entries = map[K]*V{}
	}
	v := new(V)
	m.entries[name] = v
	return v
}

// Retain drops the entries for which keep returns false, and the shared one once there is room again.
func (m *Map[K, V]) Retain(keep func(K, *V) bool) {
	for name, v := range m.entries {
		if !keep(name, v) {
			delete(m.entries, name)
		}
	}
	if !m.isFull() {
		m.shared = nil
	}
}

// Len returns the number of names that have an entry of their own.
func (m *Map[K, V]) Len() int { return len(m.entries) }
