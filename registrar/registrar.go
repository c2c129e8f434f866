// Package registrar keeps a set of records that is read from a store, across outages of that store.
//
// Records are added and removed with the entries of the store. During an outage, entries expire although their owners
// are alive; the owners rewrite them soon after it ends. Removals that are seen during an outage or shortly after it
// are therefore deferred for a grace period, and cancelled if the entry is back by then.
//
// Upstreams adds the rules by which an upstream is identified.
//
// The package does no I/O and reads no clock; all times are passed in. A Registry is safe for concurrent use.
//
// # Usage
//
//	r := registrar.New[carobbend.UpstreamRecord](2 * time.Second)
//	r.Put(id, record)
//	r.Remove(now, id)
//	r.StoreLost(now)     // the store does not answer
//	r.StoreRegained(now) // the store answers again
//	removed := r.Expire(now)
package registrar

import (
	"sync"
	"time"
)

// Registry maps keys to records of type T.
type Registry[T any] struct {
	grace time.Duration

	mu      sync.Mutex
	records map[string]T
	// heldUntil maps the keys with a deferred removal to the time at which it takes effect. The time is zero during
	// an outage; the end of the outage sets it.
	heldUntil map[string]time.Time
	storeLost bool
	// graceEnd is the end of the grace period after the last outage. Later removals take effect at once.
	graceEnd time.Time
}

// New returns an empty registry that defers removals for grace after the end of an outage.
func New[T any](grace time.Duration) *Registry[T] {
	return &Registry[T]{grace: grace, records: map[string]T{}, heldUntil: map[string]time.Time{}}
}

// Put adds or replaces a record and cancels a deferred removal of it.
func (r *Registry[T]) Put(key string, record T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records[key] = record
	delete(r.heldUntil, key)
}

// Remove removes a record and returns true. During an outage or the grace period after it, Remove defers the removal
// and returns false.
func (r *Registry[T]) Remove(now time.Time, key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.remove(now, key)
}

func (r *Registry[T]) remove(now time.Time, key string) bool {
	if _, ok := r.records[key]; !ok {
		return false
	}
	switch {
	case r.storeLost:
		r.heldUntil[key] = time.Time{}
	case now.Before(r.graceEnd):
		if _, ok := r.heldUntil[key]; !ok {
			r.heldUntil[key] = r.graceEnd
		}
	default:
		delete(r.records, key)
		delete(r.heldUntil, key)
		return true
	}
	return false
}

// Replace takes the full list of the store: records that it lacks are removed as by Remove. It returns the keys that
// were removed at once.
func (r *Registry[T]) Replace(now time.Time, records map[string]T) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var removed []string
	for k := range r.records {
		if _, ok := records[k]; !ok && r.remove(now, k) {
			removed = append(removed, k)
		}
	}
	for k, record := range records {
		r.records[k] = record
		delete(r.heldUntil, k)
	}
	return removed
}

// StoreLost records the start of an outage.
func (r *Registry[T]) StoreLost(time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeLost = true
}

// StoreRegained records the end of an outage and starts the grace period.
func (r *Registry[T]) StoreRegained(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.storeLost {
		return
	}
	r.storeLost = false
	r.graceEnd = now.Add(r.grace)
	for k := range r.heldUntil {
		r.heldUntil[k] = r.graceEnd
	}
}

// Expire removes the records whose deferred removal is due, and returns their keys.
func (r *Registry[T]) Expire(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.storeLost {
		return nil
	}
	var removed []string
	for k, at := range r.heldUntil {
		if !at.IsZero() && !now.Before(at) {
			delete(r.records, k)
			delete(r.heldUntil, k)
			removed = append(removed, k)
		}
	}
	return removed
}

// All returns the records by key, including those with a deferred removal.
func (r *Registry[T]) All() map[string]T {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]T, len(r.records))
	for k, v := range r.records {
		out[k] = v
	}
	return out
}

// Get returns the record of a key, also one with a deferred removal.
func (r *Registry[T]) Get(key string) (T, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record, ok := r.records[key]
	return record, ok
}

// Defer removes the record of a key at a time, or as Remove does if that is later.
func (r *Registry[T]) Defer(key string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.records[key]; !ok {
		return
	}
	switch {
	case r.storeLost:
		until = time.Time{}
	case until.Before(r.graceEnd):
		until = r.graceEnd
	}
	r.heldUntil[key] = until
}

// Len returns the number of records, including those with a deferred removal.
func (r *Registry[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.records)
}

// HeldRemovals returns the number of deferred removals.
func (r *Registry[T]) HeldRemovals() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.heldUntil)
}
