package logger

import "sync"

// maxOnce bounds the memory of a Once. Keys may come from other systems.
const maxOnce = 4096

// Once tells which lines were not logged yet. The zero value is ready for use; it is safe for concurrent use.
type Once struct {
	mu   sync.Mutex
	seen map[string]struct{}
}

// First reports whether it is called for the first time with a key. After maxOnce keys it returns false for all others.
func (o *Once) First(key string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.seen[key]; ok || len(o.seen) >= maxOnce {
		return false
	}
	if o.seen == nil {
		o.seen = map[string]struct{}{}
	}
	o.seen[key] = struct{}{}
	return true
}
