package settings

import (
	"time"

	"carobbend.example/carobbend"
)

// Forward holds the settings of a forwarding instance, which serves callers by the routing in a platform's store.
type Forward struct {
	// Instance is the name of this instance, unique among all instances.
	Instance string `yaml:"instance" validate:"required"`
	// DataCentre is the data centre in which this instance runs.
	DataCentre carobbend.DataCentre `yaml:"data-centre" validate:"required"`
	// Listen holds the listening addresses.
	Listen ForwardListen `yaml:"listen"`
	// Store is the IP address and port of the platform's store.
	Store string `yaml:"store" validate:"required,ip_port"`
	// Lease is how long this instance stays in the list of instances after its last renewal.
	Lease time.Duration `yaml:"lease" validate:"gte=1000000000"`
	// StopGrace is the time from SIGTERM until the process is killed.
	StopGrace time.Duration `yaml:"stop-grace" validate:"gte=1000000000"`
	// Cores is the processor time available to the process, in cores; 0 means unknown.
	Cores float64 `yaml:"cores" validate:"gte=0"`
	// MemoryMB is the memory available to the process, in MB; 0 keeps the default of the Go runtime.
	MemoryMB int `yaml:"memory-mb" validate:"gte=0"`
	// DrainTime is the time after which nothing is sent to an upstream that announced that it is leaving.
	DrainTime time.Duration `yaml:"drain-time" validate:"gte=0"`
	// Warmup bounds the requests to cold upstreams.
	Warmup ForwardWarmup `yaml:"warmup"`
	// MaxFDs is the number of descriptors available to the process; 0 means its limit at the start.
	MaxFDs int `yaml:"max-fds" validate:"gte=0"`
	// CallerLimits bound what callers can make the process hold.
	CallerLimits CallerLimits `yaml:"caller-limits"`
	// ExtraLoad bounds hedges and retries.
	ExtraLoad ForwardExtraLoad `yaml:"extra-load"`
	// FirstStart says that the whole system starts for the first time, so that no callers wait for it yet.
	FirstStart bool `yaml:"first-start"`
	// Allotments bounds the requests of client accounts with a limit.
	Allotments ForwardAllotments `yaml:"allotments"`
	// ShareObservations says that this instance tells others what it observes of upstreams in trouble, and takes in what they
	// tell. It needs Listen.Peers.
	ShareObservations bool `yaml:"share-observations"`
	// UpstreamPace says how an upstream that has just started or recovered gets its part of the requests: PaceAdaptive, or at
	// once if it is empty.
	UpstreamPace string `yaml:"upstream-pace" validate:"omitempty,oneof=adaptive"`
}

// PaceAdaptive is the value of Forward.UpstreamPace with which the part grows with each good answer.
const PaceAdaptive = "adaptive"

// CallerLimits bound what callers can make a process hold, beside the limits of the routing.
type CallerLimits struct {
	// Connections is the greatest number of callers' connections, OtherConnections that of each other listener; 0 derives
	// them from memory and descriptors.
	Connections      int `yaml:"connections" validate:"gte=0"`
	OtherConnections int `yaml:"other-connections" validate:"gte=0"`
	// WriteTimeout is how long a caller may read no byte of an answer.
	WriteTimeout time.Duration `yaml:"write-timeout" validate:"gte=1000000000"`
	// BodyTimeout bounds the time for which a body arrives, beside the request's deadline.
	BodyTimeout time.Duration `yaml:"body-timeout" validate:"gte=1000000000"`
}

// ApplyDefaults sets the limits that were left out.
func (l *CallerLimits) ApplyDefaults() {
	orDefault(&l.WriteTimeout, defaultWriteTimeout)
	orDefault(&l.BodyTimeout, defaultBodyTimeout)
}

// ForwardListen holds IP addresses with ports.
type ForwardListen struct {
	Callers   string `yaml:"callers" validate:"required,ip_port"`
	Readiness string `yaml:"readiness" validate:"required,ip_port"`
	// Addresses serves callers that ask which instances to use.
	Addresses string `yaml:"addresses" validate:"required,ip_port"`
	// Peers serves requests of other instances; empty means that this instance neither sends nor serves any.
	Peers string `yaml:"peers" validate:"omitempty,ip_port"`
	// Metrics serves the metrics as text; empty means that they are not served.
	Metrics string `yaml:"metrics" validate:"omitempty,ip_port"`
}

// ForwardExtraLoad bounds the extra requests of all instances together, separately for each service.
type ForwardExtraLoad struct {
	// Ratio is the allowed number of extra requests per request, from 0 to 1.
	Ratio float64 `yaml:"ratio" validate:"gte=0,lte=1"`
	// Slack is the number of extra requests that are allowed in addition to Ratio.
	Slack int `yaml:"slack" validate:"gte=0"`
	// Window is the time over which extra requests are counted.
	Window time.Duration `yaml:"window" validate:"gte=1000000000"`
}

// ForwardAllotments bounds the requests of a client account in any window over all instances: the limit of the account in
// the routing, exceeded by at most a fraction of it and a number of requests.
type ForwardAllotments struct {
	// Window is the time over which requests are counted.
	Window time.Duration `yaml:"window" validate:"gte=1000000000"`
	// Overage is the fraction of the limit by which it may be exceeded.
	Overage float64 `yaml:"overage" validate:"gte=0,lte=1"`
	// Slack is the number of requests by which it may be exceeded beyond that.
	Slack float64 `yaml:"slack" validate:"gte=0"`
}

// ForwardWarmup bounds the requests that all instances together send to a cold upstream in any second: Overage times the rate
// that its service states, and Slack.
type ForwardWarmup struct {
	Overage float64 `yaml:"overage" validate:"gte=0"`
	Slack   float64 `yaml:"slack" validate:"gte=0"`
}

// Defaults of Forward.
const (
	defaultLease     = 2500 * time.Millisecond
	defaultStopGrace = 6 * time.Second
	// defaultDrainTime is the shortest drain time of the known deployments.
	defaultDrainTime   = 3 * time.Second
	defaultExtraWindow = 10 * time.Second

	defaultAllotmentWindow  = 5 * time.Second
	defaultAllotmentOverage = 0.1
	defaultAllotmentSlack   = 20
	// defaultWriteTimeout is longer than a caller that reads its answers lets one wait, also over a link that loses bytes.
	defaultWriteTimeout = 10 * time.Second
	// defaultBodyTimeout is longer than any request's deadline.
	defaultBodyTimeout = 40 * time.Second
)

// ApplyDefaults sets the fields that the file leaves out.
func (s *Forward) ApplyDefaults() {
	s.CallerLimits.ApplyDefaults()
	if s.Lease == 0 {
		s.Lease = defaultLease
	}
	if s.StopGrace == 0 {
		s.StopGrace = defaultStopGrace
	}
	if s.DrainTime == 0 {
		s.DrainTime = defaultDrainTime
	}
	if s.Warmup.Overage == 0 {
		s.Warmup.Overage = 1
	}
	if s.ExtraLoad.Window == 0 {
		s.ExtraLoad.Window = defaultExtraWindow
	}
	if s.Allotments == (ForwardAllotments{}) {
		s.Allotments = ForwardAllotments{defaultAllotmentWindow, defaultAllotmentOverage, defaultAllotmentSlack}
	}
}

func (s *Forward) check() error { return validate(s) }

// LoadForward reads and checks the settings file of a forwarding instance.
func LoadForward(file string) (*Forward, error) {
	b, err := read(file)
	if err != nil {
		return nil, err
	}
	s := &Forward{}
	if err := parse(file, b, s); err != nil {
		return nil, err
	}
	return s, nil
}
