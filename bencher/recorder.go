package bencher

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"carobbend.example/carobbend"
)

const (
	histMax    = time.Minute
	histDigits = 3
	// inTimeLimit is the latency up to which a complete answer counts as in time.
	inTimeLimit = carobbend.DefaultDeadline
)

// recorder aggregates the answers of one policy over all rounds.
type recorder struct {
	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	lag     *hdrhistogram.Histogram
	houses  map[string]*queryStats
	all     queryStats
	// The following counters add up over the rounds. primaryRequests and sends include the warm-up, since budget that
	// is deposited in the warm-up may be withdrawn later.
	primaryRequests int64
	sends           int64
	cutOff          int64
	toLeaving       int64
	violations      map[violation]int64
	missing         map[carobbend.MissingReason]int64
	refused         map[string]int64
}

// queryStats aggregates the queries of a house, or of all houses.
type queryStats struct {
	latency  *hdrhistogram.Histogram
	queries  int64
	notRun   int64
	complete int64
	inTime   int64
	coverage float64
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histMax.Microseconds(), histDigits)
}

func newRecorder() *recorder {
	return &recorder{
		latency: newHistogram(), lag: newHistogram(), houses: map[string]*queryStats{}, all: queryStats{latency: newHistogram()},
		violations: map[violation]int64{}, missing: map[carobbend.MissingReason]int64{}, refused: map[string]int64{},
	}
}

func (r *recorder) record(q carobbend.Query, a carobbend.Answer, latency, lag time.Duration, v violation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	recordTime(r.lag, lag)
	t := r.houses[q.House]
	if t == nil {
		t = &queryStats{latency: newHistogram()}
		r.houses[q.House] = t
	}
	t.add(a, latency)
	r.all.add(a, latency)
	if v != violationNone {
		r.violations[v]++
	}
	if a.Outcome == carobbend.OutcomeNotRun {
		r.refused[a.Detail]++
		return
	}
	for _, m := range a.Missing {
		r.missing[m.Reason]++
	}
}

func (t *queryStats) add(a carobbend.Answer, latency time.Duration) {
	t.queries++
	if a.Outcome == carobbend.OutcomeNotRun {
		t.notRun++
		return
	}
	recordTime(t.latency, latency)
	t.coverage += float64(a.Covered) / float64(a.Total)
	if a.Outcome == carobbend.OutcomeComplete {
		t.complete++
		if latency <= inTimeLimit {
			t.inTime++
		}
	}
}

func recordTime(h *hdrhistogram.Histogram, d time.Duration) {
	if err := h.RecordValue(min(max(d.Microseconds(), 1), histMax.Microseconds())); err != nil {
		panic(err) // the value was clamped to the range of the histogram
	}
}
