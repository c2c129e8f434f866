package dispatcher

import "sync"

// maxSentKeys bounds the keys remembered for the check that a key is dispatched once in this process.
const maxSentKeys = 1 << 14

// sentKeys remembers the latest dispatched keys. The zero value is ready for use.
type sentKeys struct {
	mu     sync.Mutex
	owners map[string]string
	ring   []string
	next   int
}

// mark records a dispatch and returns false if the key was dispatched before and not cleared since.
func (s *sentKeys) mark(key, owner string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.owners[key]; ok {
		return false
	}
	if s.owners == nil {
		s.owners = make(map[string]string)
	}
	s.owners[key] = owner
	if len(s.ring) < maxSentKeys {
		s.ring = append(s.ring, key)
		return true
	}
	delete(s.owners, s.ring[s.next])
	s.ring[s.next] = key
	s.next = (s.next + 1) % maxSentKeys
	return true
}

// has reports whether the key was dispatched and not cleared since.
func (s *sentKeys) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.owners[key]
	return ok
}

// clear forgets a dispatch that provably wrote nothing.
func (s *sentKeys) clear(key, owner string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owners[key] == owner {
		delete(s.owners, key)
	}
}
