// Package settings reads the YAML settings of an instance and checks them completely before the instance opens a
// socket.
//
// Unknown keys are refused. Errors name the file, the line, the key and the expected value.
//
// # Usage
//
//	cfg, err := settings.Load("examples/bajio.yaml")
//	if err != nil {
//		// print err and exit with status 2; nothing was opened
//	}
package settings

import (
	"time"

	"carobbend.example/carobbend"
)

// Settings holds the settings of an instance that serves queries and operations.
type Settings struct {
	// Instance is the name of this instance, unique among all instances.
	Instance string `yaml:"instance" validate:"required"`
	// DataCentre is the data centre in which this instance runs.
	DataCentre carobbend.DataCentre `yaml:"data-centre" validate:"required"`
	// Listen holds the three listening addresses.
	Listen Listen `yaml:"listen"`
	// Admin configures the administration listener.
	Admin Admin `yaml:"admin"`
	// Callers lists the identities that may send requests.
	Callers []Caller `yaml:"callers" validate:"min=1,unique=Name,unique=Token,dive"`
	// Store configures access to the key-value service.
	Store Store `yaml:"store"`
	// InstanceList configures access to the platform's instance list.
	InstanceList InstanceList `yaml:"instance-list"`
	// Indexes lists the searchable indexes with their upstreams.
	Indexes []Index `yaml:"indexes" validate:"min=1,unique=Name,dive"`
	// Operations lists the operations with their upstreams.
	Operations []Operation `yaml:"operations" validate:"unique=Name,dive"`
	// Upstream holds what all upstream connections have in common.
	Upstream Upstream `yaml:"upstream"`
	// Queue bounds the admission queue.
	Queue Queue `yaml:"queue"`
	// Drain configures the graceful shutdown.
	Drain Drain `yaml:"drain"`
	// MemoryMB is the memory available to the process, in MB; 0 means no bound.
	MemoryMB int `yaml:"memory-mb" validate:"gte=0"`
	// MaxFDs is the number of descriptors available to the process; 0 means its limit at the start.
	MaxFDs int `yaml:"max-fds" validate:"gte=0"`
	// CallerLimits bound what callers can make the process hold.
	CallerLimits CallerLimits `yaml:"caller-limits"`
}

// Listen holds IP addresses with ports; port 0 picks a free port.
type Listen struct {
	Callers string `yaml:"callers" validate:"required,ip_port"`
	Admin   string `yaml:"admin" validate:"required,ip_port"`
	Peers   string `yaml:"peers" validate:"required,ip_port"`
	// RequestTimeout bounds the time to read a request with its body.
	RequestTimeout time.Duration `yaml:"request-timeout" validate:"gte=0"`
}

// Admin configures the administration listener.
type Admin struct {
	// Token authorizes administrative requests.
	Token string `yaml:"token" validate:"required,min=8"`
}

// Caller is an identity with its tenant.
type Caller struct {
	Name  string `yaml:"name" validate:"required"`
	House string `yaml:"house" validate:"required"`
	Token string `yaml:"token" validate:"required,min=8"`
}

// Store configures access to the key-value service.
type Store struct {
	// URL is the base address, for instance http://127.0.0.1:8500.
	URL string `yaml:"url" validate:"required,http_url"`
	// CallsPerSecond bounds the rate of calls of this instance.
	CallsPerSecond float64 `yaml:"calls-per-second" validate:"gte=0"`
	// Timeout bounds one call.
	Timeout time.Duration `yaml:"timeout" validate:"gte=0"`
}

// InstanceList configures access to the platform's instance list.
type InstanceList struct {
	// URL is the base address.
	URL string `yaml:"url" validate:"required,http_url"`
	// Service is the name under which instances are listed.
	Service string `yaml:"service"`
	// UpstreamService is the name under which upstreams are listed, by their ids.
	UpstreamService string `yaml:"upstream-service"`
	// Poll is the time between two reads.
	Poll time.Duration `yaml:"poll" validate:"gte=0"`
	// Lag is the longest time until the list shows a change.
	Lag time.Duration `yaml:"lag" validate:"gte=0"`
}

// Index is a searchable index.
type Index struct {
	Name string `yaml:"name" validate:"required"`
	// Slots is the number of requests that one upstream runs concurrently.
	Slots int `yaml:"slots" validate:"min=1"`
	// Connections is the number of connections that one upstream accepts from all instances.
	Connections int `yaml:"connections" validate:"min=1"`
	// Upstreams lists the replicas of all shards. Each replica reports which shard it holds.
	Upstreams []UpstreamAddress `yaml:"upstreams" validate:"min=1,unique=ID,dive"`
}

// Operation is an operation with the upstreams that execute it.
type Operation struct {
	Name        string            `yaml:"name" validate:"required"`
	Slots       int               `yaml:"slots" validate:"min=1"`
	Connections int               `yaml:"connections" validate:"min=1"`
	Upstreams   []UpstreamAddress `yaml:"upstreams" validate:"min=1,unique=ID,dive"`
}

// UpstreamAddress locates one upstream.
type UpstreamAddress struct {
	ID         carobbend.UpstreamID `yaml:"id" validate:"required"`
	Address    string               `yaml:"address" validate:"required,ip_port"`
	DataCentre carobbend.DataCentre `yaml:"data-centre"`
}

// Upstream holds what all upstream connections have in common.
type Upstream struct {
	// Protocol is http1 or h2c.
	Protocol string `yaml:"protocol" validate:"omitempty,oneof=http1 h2c"`
	// ConnectTimeout bounds the time to open a connection.
	ConnectTimeout time.Duration `yaml:"connect-timeout" validate:"gte=0"`
	// ProgressTimeout is how long a connection with requests in flight may receive no byte.
	ProgressTimeout time.Duration `yaml:"progress-timeout" validate:"gte=0"`
	// StatusPoll is the time between two reads of an upstream's status.
	StatusPoll time.Duration `yaml:"status-poll" validate:"gte=0"`
}

// Queue bounds the admission queue.
type Queue struct {
	// Length is the number of queries that may wait per house.
	Length int `yaml:"length" validate:"gte=0"`
	// Concurrency is the number of queries that may run concurrently.
	Concurrency int `yaml:"concurrency" validate:"gte=0"`
}

// Drain configures the graceful shutdown.
type Drain struct {
	// AddressValidity is how long callers keep an answer with addresses.
	AddressValidity time.Duration `yaml:"address-validity" validate:"gte=0"`
	// Limit bounds the time to finish requests in flight, counted from when new work is refused.
	Limit time.Duration `yaml:"limit" validate:"gte=0"`
}

// Defaults for keys that are left out.
const (
	DefaultStoreCallsPerSecond = 40
	DefaultStoreTimeout        = 500 * time.Millisecond
	DefaultInstanceService     = "carobbend"
	DefaultUpstreamService     = "upstreams"
	DefaultListPoll            = time.Second
	DefaultListLag             = 3 * time.Second
	DefaultProtocol            = "http1"
	DefaultConnectTimeout      = 250 * time.Millisecond
	DefaultProgressTimeout     = 300 * time.Millisecond
	DefaultStatusPoll          = 1500 * time.Millisecond
	DefaultQueueLength         = 64
	DefaultQueueConcurrency    = 64
	DefaultAddressValidity     = 10 * time.Second
	DefaultRequestTimeout      = 30 * time.Second
	DefaultDrainLimit          = 10 * time.Second
)

// orDefault sets v to d if v has its zero value.
func orDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// ApplyDefaults sets the keys that were left out.
func (s *Settings) ApplyDefaults() {
	orDefault(&s.Listen.RequestTimeout, DefaultRequestTimeout)
	orDefault(&s.Store.CallsPerSecond, DefaultStoreCallsPerSecond)
	orDefault(&s.Store.Timeout, DefaultStoreTimeout)
	orDefault(&s.InstanceList.Service, DefaultInstanceService)
	orDefault(&s.InstanceList.UpstreamService, DefaultUpstreamService)
	orDefault(&s.InstanceList.Poll, DefaultListPoll)
	orDefault(&s.InstanceList.Lag, DefaultListLag)
	orDefault(&s.Upstream.Protocol, DefaultProtocol)
	orDefault(&s.Upstream.ConnectTimeout, DefaultConnectTimeout)
	orDefault(&s.Upstream.ProgressTimeout, DefaultProgressTimeout)
	orDefault(&s.Upstream.StatusPoll, DefaultStatusPoll)
	orDefault(&s.Queue.Length, DefaultQueueLength)
	orDefault(&s.Queue.Concurrency, DefaultQueueConcurrency)
	orDefault(&s.Drain.AddressValidity, DefaultAddressValidity)
	orDefault(&s.Drain.Limit, DefaultDrainLimit)
	s.CallerLimits.ApplyDefaults()
}
