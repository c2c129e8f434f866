package carobbend

import (
	"context"
	"time"
)

// Feed reads routing, upstreams and instances from a platform's store, as a listing and as the changes after it. An error
// is a *StoreError; its kind compacted says that the store no longer has the changes after a revision.
type Feed interface {
	// List returns everything in scope as of a revision.
	List(ctx context.Context, scope FeedScope) (Listing, error)
	// Changes waits until something in scope changed after the revision, at most wait, and returns the changes and the
	// revision to continue from.
	Changes(ctx context.Context, scope FeedScope, after uint64, wait time.Duration) ([]FeedChange, uint64, error)
}

// StaleFeed is a Feed that also offers a stale listing, at a lower cost for the store.
type StaleFeed interface {
	Feed
	// ListStale is like List, but the listing may be seconds old.
	ListStale(ctx context.Context, scope FeedScope) (Listing, error)
}

// FeedScope is the part of a Feed that an instance follows.
type FeedScope int

const (
	// ScopeAll covers routing, upstreams and instances.
	ScopeAll FeedScope = iota
	// ScopeInstances covers only the list of instances, for an instance in reserve.
	ScopeInstances
)

// Listing is the whole content of a Feed.
type Listing struct {
	Revision uint64
	// Routing is nil if the store holds none yet.
	Routing   *Routing
	Upstreams map[string]UpstreamRecord
	Instances map[string]Instance
	// Evacuated holds the data centres whose upstreams must not be sent to.
	Evacuated []DataCentre
	// UnusableUpstreams and UnusableInstances name the entries that can't be decoded. The last valid one stays in force.
	UnusableUpstreams []string
	UnusableInstances []string
	// AllotmentOwners is nil if the store holds no such record.
	AllotmentOwners *AllotmentOwners
}

// FeedChange is one change; exactly one of its fields is set.
type FeedChange struct {
	Routing  *Routing
	Upstream *UpstreamRecord
	Instance *Instance
	// AllotmentOwners is a new record of the owners of allotments.
	AllotmentOwners *AllotmentOwners
	// RemovedUpstream and RemovedInstance name entries that were removed.
	RemovedUpstream string
	RemovedInstance string
	// Evacuated names a data centre to whose upstreams nothing may be sent, EvacuationEnded one for which this has ended.
	Evacuated, EvacuationEnded DataCentre
	// UnusableUpstream and UnusableInstance name entries that were replaced by one that can't be decoded.
	UnusableUpstream string
	UnusableInstance string
}

// Enrolment registers an instance in the list of instances under a lease. An error is a *StoreError; its kind not-found
// says that the lease has ended.
type Enrolment interface {
	// Announce writes the instance under a lease that expires unless it is renewed within ttl. It may be repeated.
	Announce(ctx context.Context, self Instance, ttl time.Duration) error
	// Renew extends the lease.
	Renew(ctx context.Context) error
	// Withdraw ends the lease, which removes the instance at once.
	Withdraw(ctx context.Context) error
}

// AllotmentOwners is the record of the instances that own the allotments of all client accounts.
type AllotmentOwners struct {
	// Epoch rises by 1 with each record.
	Epoch uint64 `json:"epoch"`
	// Owners are names of instances. Former are the owners of the epoch before, empty in the first one.
	Owners []string `json:"owners"`
	Former []string `json:"former,omitempty"`
	// Revision is that of the entry in the store, 0 if there is none.
	Revision uint64 `json:"-"`
}

// AllotmentStore writes the record of owners. An error is a *StoreError.
type AllotmentStore interface {
	// WriteOwners writes the record if the entry's revision is still that of the record; 0 means that there is none. Its kind
	// unavailable says that another write came first or that the call took no effect.
	WriteOwners(ctx context.Context, record AllotmentOwners) error
}
