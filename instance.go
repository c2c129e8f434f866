package carobbend

import "time"

// DataCentre is the name of the data centre of an instance or upstream.
type DataCentre string

// Instance is one process of the query tier as other instances and callers see it.
type Instance struct {
	// Name is unique among the live instances.
	Name string `json:"name"`
	// Incarnation is a ULID made at each start; a later start under the same name has a greater one.
	Incarnation string `json:"incarnation,omitempty"`
	// DataCentre is where the instance runs.
	DataCentre DataCentre `json:"data-centre"`
	// CallerAddress is the IP address and port for callers.
	CallerAddress string `json:"caller-address"`
	// PeerAddress is the IP address and port for other instances.
	PeerAddress string `json:"peer-address"`
	// Leaving says that the instance is shutting down and will soon accept no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Load is the share of its capacity in use, from 0 to 1.
	Load float64 `json:"load,omitempty"`
	// Capacity is the processor time that the instance may use, in cores; 0 means that it isn't known.
	Capacity float64 `json:"capacity,omitempty"`
	// Busy says that the instance needs others to take over some of its callers.
	Busy bool `json:"busy,omitempty"`
	// RulesVersion is the version of the rule file in force there.
	RulesVersion uint64 `json:"rules-version,omitempty"`
	// Sequence increases with each change that the instance announces within one incarnation.
	Sequence uint64 `json:"-"`
	// Ready says that the instance has rules in force and may be named to callers.
	Ready bool `json:"ready,omitempty"`
}

// Members is an instance's view of all instances.
type Members interface {
	// Self returns this instance.
	Self() Instance
	// Live returns the live instances, this one included, ordered by name. Leaving ones are marked.
	Live() []Instance
	// Preferred returns the live, non-leaving instances in rendezvous order for a key, at most n.
	Preferred(key string, n int) []Instance
}

// Addresses is the answer to a caller that asks which instances to use.
type Addresses struct {
	// Addresses holds IP addresses with ports, best first.
	Addresses []string `json:"addresses"`
	// ValidFor is how long the caller may keep the answer.
	ValidFor time.Duration `json:"valid-for-ns"`
}
