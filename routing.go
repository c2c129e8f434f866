package carobbend

import (
	"slices"
	"time"
)

// Routing is one version of the operators' routing of requests. It is immutable once it was published.
type Routing struct {
	// Version orders routings; an instance never returns to a lower version.
	Version uint64
	// Routes are in no order.
	Routes []Route
	// Services are the services to which the routes refer.
	Services []Service
	// KeysRequired says that requests need a key of a client account, except on public routes. Without any account, only public
	// routes are served then.
	KeysRequired bool
	// Accounts are the client accounts. A routing that has some requires keys, too.
	Accounts []Account
	// Limits bound what a caller may send.
	Limits CallerLimits
}

// RoutePriority as the priority of an account leaves its requests the priority of their routes.
const RoutePriority = -1

// Account is a client account, on whose behalf callers send requests.
type Account struct {
	// Name is unique among the accounts.
	Name string
	// Keys are the keys by which callers prove that they act for the account. They must not be logged.
	Keys []string
	// Priority is the rank of the account's requests, 0 first, or RoutePriority.
	Priority int
	// Rate is the number of requests a second that the account may send through all instances together, and Burst the
	// number beyond that at once. A rate of 0 means no limit.
	Rate, Burst float64
}

// String returns the account's name. It keeps the keys out of formatted output.
func (a Account) String() string { return a.Name }

// GoString is String for the verb %#v.
func (a Account) GoString() string { return a.Name }

// Limited reports whether the rate of the account's requests is limited.
func (a Account) Limited() bool { return a.Rate > 0 }

// Route describes how requests to one host and path prefix are handled.
type Route struct {
	// Name is used in logs.
	Name string
	// Host is compared without regard to case and port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Repeatable says that a request may be executed more than once.
	Repeatable bool
	// Attempts is the greatest number of upstreams that may run one request, for each shard.
	Attempts int
	// Timeout is the time after which a caller has its final answer; 0 means no bound.
	Timeout time.Duration
	// Target is the latency within which an answer has its full value; 0 means none.
	Target time.Duration
	// Priority is the rank of the route's requests, 0 first.
	Priority int
	// Public says that a request needs no key of an account.
	Public bool
	// Split holds the services that share the requests of a route without shards.
	Split []WeightedService
	// Shards holds one service for each shard; requests are sent to all of them.
	Shards []string
	// Records is the number of records in the answer, merged from all shards.
	Records int
	// MinCoverage is the least share of shards of an answer, from 0 to 1.
	MinCoverage float64
	// Regions names the regions whose upstreams may serve the route's requests; empty means any.
	Regions []string
}

// HasCommonRegion reports whether one region may serve all routes. Neither upstreams nor instances state their region, so Regions is
// kept only by a deployment that lies within such a region.
func (r *Routing) HasCommonRegion() bool {
	var common []string
	limited := false
	for i := range r.Routes {
		switch regions := r.Routes[i].Regions; {
		case len(regions) == 0:
		case !limited:
			common, limited = slices.Clone(regions), true
		default:
			common = slices.DeleteFunc(common, func(s string) bool { return !slices.Contains(regions, s) })
		}
	}
	return !limited || len(common) > 0
}

// ServiceNames returns the names of the services that the routing lists or that its routes refer to.
func (r *Routing) ServiceNames() map[string]bool {
	names := make(map[string]bool, len(r.Services))
	for i := range r.Services {
		names[r.Services[i].Name] = true
	}
	for i := range r.Routes {
		for _, s := range r.Routes[i].Shards {
			names[s] = true
		}
		for _, s := range r.Routes[i].Split {
			names[s.Service] = true
		}
	}
	return names
}

// WeightedService is one service of a split.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name string
	// MaxConns is the number of connections that each upstream accepts from all instances together.
	MaxConns int
	// WarmupTime is how long an upstream is cold after its start, WarmupRate the number of requests a second that all instances
	// together should send to a cold one; 0 means no bound.
	WarmupTime time.Duration
	WarmupRate float64
}

// CallerLimits bound what a caller may send; 0 means no bound.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// UpstreamRecord is the record by which an upstream announces itself.
type UpstreamRecord struct {
	ID         UpstreamID
	Service    string
	Address    string
	DataCentre DataCentre
	// Leaving says that the upstream takes no new work.
	Leaving bool
	// Slots is the number of requests that it runs at a time.
	Slots int
	// StartedMs is the start of the process in Unix milliseconds, 0 where unknown. Another value under the same id means
	// a new process, which doesn't know the requests of the old one.
	StartedMs int64
	// Sequence increases with the entries that one process writes.
	Sequence int64
	// WarmupLeft is the time for which the upstream is still cold, as of the entry.
	WarmupLeft time.Duration
}
