package settings

import (
	"time"

	"carobbend.example/carobbend"
)

// Forward holds what an instance learns at its start that serves callers by the routing of a platform's store.
type Forward struct {
	// Instance is the name of this instance, unique among all instances.
	Instance string `yaml:"instance" validate:"required"`
	// DataCentre is where this instance runs.
	DataCentre carobbend.DataCentre `yaml:"data-centre" validate:"required"`
	// Listen holds the listening addresses.
	Listen ForwardListen `yaml:"listen"`
	// Store is the IP address and port of the platform's store.
	Store string `yaml:"store" validate:"required,ip_port"`
	// Lease is how long this instance stays in the list of instances without a renewal.
	Lease time.Duration `yaml:"lease" validate:"gte=1000000000"`
	// StopGrace is the time from SIGTERM until the process is killed.
	StopGrace time.Duration `yaml:"stop-grace" validate:"gte=1000000000"`
	// Cores is the processor time that the process may use, in cores; 0 means that it isn't known.
	Cores float64 `yaml:"cores" validate:"gte=0"`
	// MemoryMB is the memory of the process in MB; 0 leaves the runtime's default.
	MemoryMB int `yaml:"memory-mb" validate:"gte=0"`
	// ExtraLoad bounds hedges and retries.
	ExtraLoad ForwardExtraLoad `yaml:"extra-load"`
}

// ForwardListen holds IP addresses with ports.
type ForwardListen struct {
	Callers   string `yaml:"callers" validate:"required,ip_port"`
	Readiness string `yaml:"readiness" validate:"required,ip_port"`
	// Addresses is where callers ask which instances to use.
	Addresses string `yaml:"addresses" validate:"required,ip_port"`
	// Peers is where other instances ask for what this one knows; empty means that it neither asks nor is asked.
	Peers string `yaml:"peers" validate:"omitempty,ip_port"`
	// Metrics serves metrics as text; empty means none.
	Metrics string `yaml:"metrics" validate:"omitempty,ip_port"`
}

// ForwardExtraLoad is the bound that all instances share, for each service.
type ForwardExtraLoad struct {
	// Ratio is the number of extra requests for each request, from 0 to 1.
	Ratio float64 `yaml:"ratio" validate:"gte=0,lte=1"`
	// Slack is the number of extra requests that are allowed besides.
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

// ApplyDefaults fills fields that the file leaves out.
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
