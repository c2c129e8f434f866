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
// refused because their deadline is short, or that come back before the queues are shorter.
func TestRetryAfter(t *testing.T) {
	const target = 60 * msec
	for _, tt := range []struct {
		name          string
		expected      []time.Duration
		untilDeadline time.Duration
		low, high     time.Duration
		ok            bool
	}{
		{"short deadline", []time.Duration{10 * msec, 70 * msec}, 300 * msec, 50 * msec, 100 * msec, true},
		{"long deadline", []time.Duration{10 * msec, 70 * msec}, 6000 * msec, 1000 * msec, 2000 * msec, true},
		{"long queue", []time.Duration{10 * msec, 300 * msec}, 300 * msec, 250 * msec, 250 * msec, true},
		{"no upstream", []time.Duration{10 * msec, time.Hour}, 300 * msec, maxRetryAfter, maxRetryAfter, true},
		{"no time for another attempt", []time.Duration{10 * msec, 70 * msec}, 80 * msec, 0, 0, false},
	} {
		for range 100 {
			got, ok := RetryAfter(tt.expected, 2, 50*msec, tt.untilDeadline, target)
			if ok != tt.ok || got < tt.low || got > tt.high {
				t.Errorf("%s: got %v, %v, want %v to %v, %v", tt.name, got, ok, tt.low, tt.high, tt.ok)
				break
			}
		}
	}
}
