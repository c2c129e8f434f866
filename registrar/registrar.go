// Package registrar keeps a list that is learned from a store with outages.
//
// Records appear and vanish with the entries of the store. While the store is away, entries lapse although their owners
// live; the owners write them again soon after its return. Removals that are seen during an outage or shortly after it
// are therefore held back for a grace period and dropped if the entry is back by then.
//
// The package does no I/O and reads no clock; all times are passed in. A Registry is safe for concurrent use.
//
// # Usage
//
//	r := registrar.New[carobbend.UpstreamRecord](2 * time.Second)
//	r.Put(id, record)
//	r.Remove(now, id)
//	r.Lost(now)     // the store doesn't answer
//	r.Regained(now) // it does again
//	gone := r.Expire(now)
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
	// held maps the keys whose removal is held back to the time at which it takes effect; the return of the store sets
	// it anew.
	held map[string]time.Time
	away bool
	// trustedAt is the time from which removals take effect at once.
	trustedAt time.Time
}

// New returns an empty registry; removals are held back for grace after the store's return.
func New[T any](grace time.Duration) *Registry[T] {
	return &Registry[T]{grace: grace, records: map[string]T{}, held: map[string]time.Time{}}
}

// Put adds or replaces a record.
func (r *Registry[T]) Put(key string, record T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records[key] = record
	delete(r.held, key)
}

// Remove drops a record and returns true, or holds the removal back and returns false.
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
	case r.away:
		r.held[key] = time.Time{}
	case now.Before(r.trustedAt):
		if _, ok := r.held[key]; !ok {
			r.held[key] = r.trustedAt
		}
	default:
		delete(r.records, key)
		delete(r.held, key)
		return true
	}
	return false
}

// Replace takes the whole list of the store: what it doesn't hold is removed as by Remove. It returns the keys that
// were dropped at once.
func (r *Registry[T]) Replace(now time.Time, records map[string]T) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var gone []string
	for k := range r.records {
		if _, ok := records[k]; !ok && r.remove(now, k) {
			gone = append(gone, k)
		}
	}
	for k, record := range records {
		r.records[k] = record
		delete(r.held, k)
	}
	return gone
}

// Lost records that the store doesn't answer.
func (r *Registry[T]) Lost(time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.away = true
}

// Regained records that the store answers again.
func (r *Registry[T]) Regained(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.away {
		return
	}
	r.away = false
	r.trustedAt = now.Add(r.grace)
	for k := range r.held {
		r.held[k] = r.trustedAt
	}
}

// Expire drops the records whose removal was held back long enough and returns their keys.
func (r *Registry[T]) Expire(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.away {
		return nil
	}
	var gone []string
	for k, at := range r.held {
		if !at.IsZero() && !now.Before(at) {
			delete(r.records, k)
			delete(r.held, k)
			gone = append(gone, k)
		}
	}
	return gone
}

// All returns the records by key, those with a held removal included.
func (r *Registry[T]) All() map[string]T {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]T, len(r.records))
	for k, v := range r.records {
		out[k] = v
	}
	return out
}

// Held returns the number of removals that are held back.
func (r *Registry[T]) Held() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.held)
}
