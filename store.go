package carobbend

import (
	"context"
	"errors"
	"time"
)

// Entry is one value in the store.
type Entry struct {
	Key   string
	Value []byte
	// Revision increases with each write; 0 means that the key doesn't exist.
	Revision uint64
}

// Store is the platform's key-value service. Each method is one call, which counts against the rate limits of the service.
type Store interface {
	// Get returns the entry; a missing key is an entry of revision 0 and no error.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes value if the key's revision is still revision; 0 creates the key only if it is absent.
	// It returns false if another write came first. After an error of kind StoreUnknown the write may have taken effect.
	CompareAndSwap(ctx context.Context, key string, value []byte, revision uint64) (bool, error)
	// Watch returns the entry as soon as its revision differs from revision, or unchanged after wait.
	Watch(ctx context.Context, key string, revision uint64, wait time.Duration) (Entry, error)
}

// StoreFailure classifies failed calls to the store.
type StoreFailure string

const (
	// StoreUnavailable says that the call didn't take effect.
	StoreUnavailable StoreFailure = "unavailable"
	// StoreLimited says that a rate limit refused the call; it didn't take effect.
	StoreLimited StoreFailure = "limited"
	// StoreUnknown says that the call may have taken effect.
	StoreUnknown StoreFailure = "unknown"
	// StoreCompacted says that the store no longer has the requested changes.
	StoreCompacted StoreFailure = "compacted"
	// StoreNotFound says that what the call refers to, for example a lease, doesn't exist.
	StoreNotFound StoreFailure = "not-found"
	// StoreUnusable says that the store replied to a read, but the reply is malformed, too long, or too long to be read in time.
	// The same call would be answered alike.
	StoreUnusable StoreFailure = "unusable"
)

// StoreError is the error of the methods of Store.
type StoreError struct {
	Op   string
	Key  string
	Kind StoreFailure
	Err  error
}

// Error implements error.
func (e *StoreError) Error() string {
	s := "store " + e.Op + " " + e.Key + ": " + string(e.Kind)
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *StoreError) Unwrap() error { return e.Err }

// StoreFailureOf returns the failure kind of a store error; errors of other types are StoreUnknown.
func StoreFailureOf(err error) StoreFailure {
	if err == nil {
		return ""
	}
	var e *StoreError
	if errors.As(err, &e) {
		return e.Kind
	}
	return StoreUnknown
}
