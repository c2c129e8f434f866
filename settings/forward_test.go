package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const forwardFile = `instance: edge-1
data-centre: leon
listen:
  callers: 127.0.0.1:7100
  readiness: 127.0.0.1:7101
  addresses: 127.0.0.1:7102
store: 127.0.0.1:8500
cores: 0.4
extra-load:
  ratio: 0.2
  slack: 52
`

// TestForward guards against a forwarding instance that starts with invalid settings, and against errors that locate
// the wrong line.
func TestForward(t *testing.T) {
	for _, c := range []struct {
		name     string
		old, new string
		key      string
		line     int
	}{
		{"valid", "", "", "", 0},
		{"unknown key", "cores:", "colours:", "", 8},
		{"wrong type", "slack: 52", "slack: many", "", 11},
		{"missing", "instance: edge-1", "instance: \"\"", "instance", 1},
		{"name in place of an address", "127.0.0.1:8500", "store.example:80", "store", 7},
		{"peers without a port", "  addresses: 127.0.0.1:7102", "  addresses: 127.0.0.1:7102\n  peers: 127.0.0.1", "listen.peers", 7},
		{"unknown pace", "cores: 0.4", "upstream-pace: quick", "upstream-pace", 8},
		{"out of range", "ratio: 0.2", "ratio: 2", "extra-load.ratio", 10},
		{"short window", "  slack: 52", "  slack: 52\n  window: 5ns", "extra-load.window", 12},
		{"negative descriptors", "cores: 0.4", "max-fds: -1", "max-fds", 8},
		{"negative connections", "cores: 0.4", "caller-limits: {connections: -1}", "caller-limits.connections", 8},
		{"short write time-out", "cores: 0.4", "caller-limits: {write-timeout: 5ms}", "caller-limits.write-timeout", 8},
		{"negative", "cores: 0.4", "cores: -1", "cores", 8},
		{"negative slack for cold upstreams", "cores: 0.4", "warmup:\n  slack: -1", "warmup.slack", 9},
		{"negative drain time", "cores: 0.4", "drain-time: -1s", "drain-time", 8},
		{"allotments", "cores: 0.4", "cores: 0.4\nallotments:\n  window: 5s\n  overage: 0.1\n  slack: 20", "", 0},
		{"allotments without a window", "cores: 0.4", "cores: 0.4\nallotments:\n  slack: 20", "allotments.window", 10},
		{"negative overage", "cores: 0.4", "cores: 0.4\nallotments:\n  window: 5s\n  overage: -1", "allotments.overage", 11},
	} {
		t.Run(c.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "f.yaml")
			if err := os.WriteFile(file, []byte(strings.Replace(forwardFile, c.old, c.new, 1)), 0o600); err != nil {
				t.Fatal(err)
			}
			got, err := LoadForward(file)
			if c.line == 0 {
				if got != nil && got.ShareObservations {
					t.Error("got observations shared by default, want not")
				}
				if err != nil || got.Lease != 2500*time.Millisecond || got.StopGrace != 6*time.Second || got.ExtraLoad.Window != 10*time.Second ||
					got.DrainTime != 3*time.Second || got.Allotments != (ForwardAllotments{5 * time.Second, 0.1, 20}) || got.Warmup.Overage != 1 {
					t.Errorf("got %+v, %v, want the defaults", got, err)
				}
				return
			}
			var e *Error
			if !errors.As(err, &e) || e.Line != c.line || e.Key != c.key {
				t.Errorf("got %v, want an error at line %d, key %q", err, c.line, c.key)
			}
		})
	}
}
