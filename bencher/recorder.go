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
	// target is the time within which a complete answer counts as in time.
	target = carobbend.DefaultDeadline
)

// recorder collects the answers under one policy over all rounds.
type recorder struct {
	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	lag     *hdrhistogram.Histogram
	houses  map[string]*tally
	all     tally
	// primaries counts the shards of the answers; sends, cutOff and leaving are added for each round.
	primaries int64
	sends     int64
	cutOff    int64
	leaving   int64
	wrong     map[wrongness]int64
	missing   map[carobbend.MissingReason]int64
	refused   map[string]int64
}

// tally counts the queries of a house.
type tally struct {
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
		latency: newHistogram(), lag: newHistogram(), houses: map[string]*tally{}, all: tally{latency: newHistogram()},
		wrong: map[wrongness]int64{}, missing: map[carobbend.MissingReason]int64{}, refused: map[string]int64{},
	}
}

func (r *recorder) record(q carobbend.Query, a carobbend.Answer, latency, lag time.Duration, w wrongness) {
	r.mu.Lock()
	defer r.mu.Unlock()
	recordTime(r.lag, lag)
	t := r.houses[q.House]
	if t == nil {
		t = &tally{latency: newHistogram()}
		r.houses[q.House] = t
	}
	t.add(a, latency)
	r.all.add(a, latency)
	if w != wrongNone {
		r.wrong[w]++
	}
	if a.Outcome == carobbend.OutcomeNotRun {
		r.refused[a.Detail]++
		return
	}
	r.primaries += int64(a.Total)
	for _, m := range a.Missing {
		r.missing[m.Reason]++
	}
}

func (t *tally) add(a carobbend.Answer, latency time.Duration) {
	t.queries++
	if a.Outcome == carobbend.OutcomeNotRun {
		t.notRun++
		return
	}
	recordTime(t.latency, latency)
	t.coverage += float64(a.Covered) / float64(a.Total)
	if a.Outcome == carobbend.OutcomeComplete {
		t.complete++
		if latency <= target {
			t.inTime++
		}
	}
}

func recordTime(h *hdrhistogram.Histogram, d time.Duration) {
	if err := h.RecordValue(min(max(d.Microseconds(), 1), histMax.Microseconds())); err != nil {
		panic(err) // the value was clamped to the range of the histogram
	}
}
