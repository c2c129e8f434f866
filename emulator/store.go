package emulator

import (
	"context"
	"errors"
	"sync"
	"time"

	"carobbend.example/carobbend/sleeper"

	"golang.org/x/time/rate"

	"carobbend.example/carobbend"
)

// MaxValueBytes is the size of the largest value that the store accepts.
const MaxValueBytes = 1 << 20

var (
	errOutage    = errors.New("the store is down")
	errRate      = errors.New("rate limit exceeded")
	errLostReply = errors.New("the reply was lost after the write")
	errTooLarge  = errors.New("the value is larger than 1 MiB")
)

// StoreCalls counts the calls that a store received, including refused ones.
type StoreCalls struct {
	Reads  int64
	Writes int64
	// Watches counts blocking reads; each counts once, however long it waits.
	Watches int64
}

// Store is an in-memory key-value store with compare-and-swap, watches and fault injection. The zero value has no faults
// or limits. It implements carobbend.Store.
type Store struct {
	mu            sync.Mutex
	entries       map[string]carobbend.Entry
	revision      uint64
	changed       chan struct{}
	outage        bool
	delay         time.Duration
	repliesToLose int
	readLimiter   *rate.Limiter
	writeLimiter  *rate.Limiter
	calls         StoreCalls
}

// StoreOption configures a Store.
type StoreOption func(*Store)

// WithRates limits reads and writes per second; a burst of a tenth of a second's calls is allowed.
func WithRates(reads, writes float64) StoreOption {
	return func(s *Store) {
		s.readLimiter = rate.NewLimiter(rate.Limit(reads), int(reads/10)+1)
		s.writeLimiter = rate.NewLimiter(rate.Limit(writes), int(writes/10)+1)
	}
}

// WithDelay delays each call.
func WithDelay(d time.Duration) StoreOption {
	return func(s *Store) { s.delay = d }
}

// NewStore returns an empty store.
func NewStore(opts ...StoreOption) *Store {
	s := &Store{}
	for _, o := range opts {
		o(s)
	}
	return s
}

// SetOutage starts or ends an outage, in which all calls fail without effect.
func (s *Store) SetOutage(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = down
	s.wakeLocked()
}

// SetDelay changes the delay of each call.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// LoseReplies makes the next n writes take effect but report an unknown result.
func (s *Store) LoseReplies(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.repliesToLose = n
}

// Calls returns the calls received so far.
func (s *Store) Calls() StoreCalls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Get implements carobbend.Store.
func (s *Store) Get(ctx context.Context, key string) (carobbend.Entry, error) {
	if err := s.wait(ctx, "get", key); err != nil {
		return carobbend.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Reads++
	if err := s.refusalLocked("get", key, s.readLimiter); err != nil {
		return carobbend.Entry{}, err
	}
	return s.entryLocked(key), nil
}

// CompareAndSwap implements carobbend.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, value []byte, revision uint64) (bool, error) {
	if err := s.wait(ctx, "compare-and-swap", key); err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Writes++
	if err := s.refusalLocked("compare-and-swap", key, s.writeLimiter); err != nil {
		return false, err
	}
	if len(value) > MaxValueBytes {
		return false, storeError("compare-and-swap", key, carobbend.StoreUnavailable, errTooLarge)
	}
	swapped := s.entryLocked(key).Revision == revision
	if swapped {
		s.putLocked(key, value)
	}
	if s.repliesToLose > 0 {
		s.repliesToLose--
		return false, storeError("compare-and-swap", key, carobbend.StoreUnknown, errLostReply)
	}
	return swapped, nil
}

// Watch implements carobbend.Store.
func (s *Store) Watch(ctx context.Context, key string, revision uint64, wait time.Duration) (carobbend.Entry, error) {
	if err := s.wait(ctx, "watch", key); err != nil {
		return carobbend.Entry{}, err
	}
	s.mu.Lock()
	s.calls.Watches++
	s.mu.Unlock()
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		if err := s.refusalLocked("watch", key, nil); err != nil {
			s.mu.Unlock()
			return carobbend.Entry{}, err
		}
		e, changed := s.entryLocked(key), s.changedLocked()
		s.mu.Unlock()
		if e.Revision != revision {
			return e, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return e, nil
		case <-ctx.Done():
			return carobbend.Entry{}, storeError("watch", key, carobbend.StoreUnavailable, ctx.Err())
		}
	}
}

func (s *Store) wait(ctx context.Context, op, key string) error {
	s.mu.Lock()
	d := s.delay
	s.mu.Unlock()
	if !sleeper.Sleep(ctx, d) {
		return storeError(op, key, carobbend.StoreUnavailable, ctx.Err())
	}
	return nil
}

func (s *Store) refusalLocked(op, key string, limit *rate.Limiter) error {
	if s.outage {
		return storeError(op, key, carobbend.StoreUnavailable, errOutage)
	}
	if limit != nil && !limit.Allow() {
		return storeError(op, key, carobbend.StoreLimited, errRate)
	}
	return nil
}

func (s *Store) entryLocked(key string) carobbend.Entry {
	e, ok := s.entries[key]
	if !ok {
		return carobbend.Entry{Key: key}
	}
	return e
}

func (s *Store) putLocked(key string, value []byte) {
	if s.entries == nil {
		s.entries = map[string]carobbend.Entry{}
	}
	s.revision++
	s.entries[key] = carobbend.Entry{Key: key, Value: append([]byte(nil), value...), Revision: s.revision}
	s.wakeLocked()
}

func (s *Store) changedLocked() <-chan struct{} {
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

func (s *Store) wakeLocked() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

func storeError(op, key string, kind carobbend.StoreFailure, err error) error {
	return &carobbend.StoreError{Op: op, Key: key, Kind: kind, Err: err}
}
