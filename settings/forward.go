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
	// ExtraLoad bounds hedges and retries.
	ExtraLoad ForwardExtraLoad `yaml:"extra-load"`
	// ShareObservations says that this instance tells others what it observes of upstreams in trouble, and takes in what they
	// tell. It needs Listen.Peers.
	ShareObservations bool `yaml:"share-observations"`
	// UpstreamPace says how an upstream that has just started or recovered gets its part of the requests: PaceAdaptive, or at
	// once if it is empty.
	UpstreamPace string `yaml:"upstream-pace" validate:"omitempty,oneof=adaptive"`
}

// PaceAdaptive is the value of Forward.UpstreamPace with which the part grows with each good answer.
const PaceAdaptive = "adaptive"

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

// Defaults of Forward.
const (
	defaultLease       = 2500 * time.Millisecond
	defaultStopGrace   = 6 * time.Second
	defaultExtraWindow = 10 * time.Second
)

// ApplyDefaults sets the fields that the file leaves out.
func (s *Forward) ApplyDefaults() {
	if s.Lease == 0 {
		s.Lease = defaultLease
	}
	if s.StopGrace == 0 {
		s.StopGrace = defaultStopGrace
	}
	if s.ExtraLoad.Window == 0 {
		s.ExtraLoad.Window = defaultExtraWindow
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
