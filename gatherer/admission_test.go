package gatherer

import (
	"slices"
	"testing"
	"time"
)

const msec = time.Millisecond

// TestAdmitLeavesOutLateShards guards against requests to shards that are expected to be late, and against leaving out more
// shards than the answer can do without.
func TestAdmitLeavesOutLateShards(t *testing.T) {
	var g AdmissionControl
	expected := []time.Duration{20 * msec, 400 * msec, 30 * msec, 200 * msec, 10 * msec}
	for _, c := range []struct {
		need int
		skip []int
		ok   bool
	}{
		{3, []int{1, 3}, true},
		{4, nil, false},
		{2, []int{1, 3}, true},
	} {
		g.lastAdmitted = start
		skip, ok := g.Admit(start, expected, 100*msec, c.need)
		if !slices.Equal(skip, c.skip) || ok != c.ok {
			t.Errorf("need %d: got %v, %v, want %v, %v", c.need, skip, ok, c.skip, c.ok)
		}
	}
}

// TestAdmissionProbesDuringOverload guards against a route that is refused for good: after a restart during an overload, the
// instances of one data centre refused every query, since without admitted queries none could observe that the overload was
// over.
func TestAdmissionProbesDuringOverload(t *testing.T) {
	var g AdmissionControl
	expected := []time.Duration{time.Second, time.Second}
	admitted := 0
	for ms := range 1000 {
		if _, ok := g.Admit(at(ms), expected, 100*msec, 2); ok {
			admitted++
		}
	}
	if admitted != 20 {
		t.Errorf("admitted in a second of refusals: got %d queries, want 20", admitted)
	}
}

// TestRetryAfter guards against refused callers that come back too late for an answer within their deadline, that are never
// refused because their deadline is short, that come back together, or that come back before the queues are shorter.
func TestRetryAfter(t *testing.T) {
	const target = 60 * msec
	for _, tt := range []struct {
		name                    string
		lateness, untilDeadline time.Duration
		low, high               time.Duration
		ok                      bool
	}{
		{"short deadline", 20 * msec, 300 * msec, 50 * msec, 100 * msec, true},
		{"long deadline", 20 * msec, 3000 * msec, 500 * msec, 1000 * msec, true},
		{"long queue", 250 * msec, 300 * msec, 250 * msec, 250 * msec, true},
		{"no upstream", time.Hour, 300 * msec, maxRetryAfter, maxRetryAfter, true},
		{"no time for another attempt", 20 * msec, 80 * msec, 0, 0, false},
	} {
		for jitter, want := range map[float64]time.Duration{0: tt.high, 1: tt.low} {
			if got, ok := RetryAfter(tt.lateness, tt.untilDeadline, target, jitter); got != want || ok != tt.ok {
				t.Errorf("%s, jitter %v: got %v, %v, want %v, %v", tt.name, jitter, got, ok, want, tt.ok)
			}
		}
	}
}

// TestLateness guards against a lateness that counts shards which the answer can do without.
func TestLateness(t *testing.T) {
	expected := []time.Duration{300 * msec, 10 * msec, 70 * msec}
	if got, want := Lateness(expected, 50*msec, 2), 20*msec; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}
