package dispatcher

import "sync"

// maxDispatchedKeys limits the keys kept to check that this process dispatches each key at most once, and to tell a repeated
// request that an earlier one was sent.
const maxDispatchedKeys = 1 << 14

// dispatchedKeys is a bounded set of the most recently dispatched keys and their owners. The zero value is an empty set.
type dispatchedKeys struct {
	mu sync.Mutex
	// slots holds the slot of each key in the ring.
	slots map[string]int
	ring  []dispatchedKey
	next  int
}

// dispatchedKey is a key with the owner that dispatched it. The zero value is the slot of a removed key.
type dispatchedKey struct {
	key, owner string
}

// add records a dispatch. It returns false if the key was dispatched before and not removed since.
func (s *dispatchedKeys) add(key, owner string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.slots[key]; ok {
		return false
	}
	if s.slots == nil {
		s.slots = make(map[string]int)
	}
	if len(s.ring) < maxDispatchedKeys {
		s.ring = append(s.ring, dispatchedKey{})
	}
	if oldest := s.ring[s.next]; oldest != (dispatchedKey{}) {
		delete(s.slots, oldest.key)
	}
	s.ring[s.next] = dispatchedKey{key, owner}
	s.slots[key] = s.next
	s.next = (s.next + 1) % maxDispatchedKeys
	return true
}

// has reports whether the key was dispatched and not removed since.
func (s *dispatchedKeys) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.slots[key]
	return ok
}

// remove deletes the key if owner dispatched it. It is called when the failure guarantees that the operation didn't run.
func (s *dispatchedKeys) remove(key, owner string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i, ok := s.slots[key]; ok && s.ring[i].owner == owner {
		s.ring[i] = dispatchedKey{}
		delete(s.slots, key)
	}
}
