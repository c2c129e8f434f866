package replayer

import (
	"bytes"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/executor"
	"carobbend.example/carobbend/planner"
)

const (
	// MaxTraces bounds the queries of one recording.
	MaxTraces = 32
	// MaxTraceBytes bounds one trace, so that a recording takes at most 16 MiB; longer traces are dropped.
	MaxTraceBytes = 512 << 10
)

var errTraceSize = errors.New("the trace is too large")

// Recording is the state of a Tracer.
type Recording struct {
	Index string `json:"index"`
	// Queries is the number of queries asked for, and Waiting how many of them have not started.
	Queries int `json:"queries"`
	Waiting int `json:"waiting"`
	// Dropped counts queries whose trace was longer than MaxTraceBytes or that were canceled before they started.
	Dropped int             `json:"dropped"`
	Traces  []RecordedTrace `json:"traces"`
}

// RecordedTrace is the trace of one query.
type RecordedTrace struct {
	QueryID string            `json:"query-id"`
	Outcome carobbend.Outcome `json:"outcome"`
	// Trace is the content of a trace file as Parse reads it.
	Trace string `json:"trace"`
}

// Tracer records the next queries of an index on request. The zero value records nothing. It implements
// executor.Recorder and is safe for concurrent use.
type Tracer struct {
	// waiting is the number of queries that are still to be recorded; while it is 0, a query costs one load.
	waiting atomic.Int64

	mu      sync.Mutex
	current *recording
}

var _ executor.Recorder = (*Tracer)(nil)

// recording is what Start began; queries of an earlier one no longer count.
type recording struct {
	index   string
	queries int
	dropped int
	traces  []RecordedTrace
}

// Start records the next queries of an index, at most MaxTraces, and drops what was recorded before.
func (t *Tracer) Start(index string, queries int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	queries = min(max(queries, 0), MaxTraces)
	t.current = &recording{index: index, queries: queries}
	t.waiting.Store(int64(queries))
}

// Recording returns the traces of the queries that have finished since Start, in the order of their answers.
func (t *Tracer) Recording() Recording {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := Recording{Traces: []RecordedTrace{}}
	if c := t.current; c != nil {
		out.Index, out.Queries, out.Dropped = c.index, c.queries, c.dropped
		out.Waiting = int(t.waiting.Load())
		out.Traces = append(out.Traces, c.traces...)
	}
	return out
}

// Record implements executor.Recorder.
func (t *Tracer) Record(cfg planner.Config) executor.Machine {
	if t.waiting.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.waiting.Load() == 0 || t.current.index != cfg.Query.Index {
		return nil
	}
	t.waiting.Add(-1)
	q := &tracedQuery{tracer: t, recording: t.current, id: cfg.Query.ID}
	q.Recorder = NewRecorder(&q.text, cfg)
	return q
}

// tracedQuery records one query up to its answer; what arrives later only reaches the planner.
type tracedQuery struct {
	*Recorder
	tracer    *Tracer
	recording *recording
	id        string
	text      traceText
	started   bool
	ended     bool
}

// Handle implements executor.Machine.
func (q *tracedQuery) Handle(now time.Time, ev planner.Event) *planner.Effects {
	if q.ended {
		return q.planner.Handle(now, ev)
	}
	if q.started = q.started || ev.Kind == planner.EventStart; !q.started {
		// A trace begins with its start.
		q.end("")
		return q.planner.Handle(now, ev)
	}
	fx := q.Recorder.Handle(now, ev)
	if fx.Answer != nil {
		q.end(fx.Answer.Outcome)
	}
	return fx
}

// end keeps the trace; without an outcome it is dropped.
func (q *tracedQuery) end(outcome carobbend.Outcome) {
	q.ended = true
	err := q.Close()
	q.tracer.mu.Lock()
	defer q.tracer.mu.Unlock()
	if err != nil || outcome == "" {
		q.recording.dropped++
	} else {
		q.recording.traces = append(q.recording.traces, RecordedTrace{QueryID: q.id, Outcome: outcome, Trace: q.text.b.String()})
	}
	q.text.b = bytes.Buffer{}
}

// traceText refuses what exceeds MaxTraceBytes.
type traceText struct{ b bytes.Buffer }

// Write implements io.Writer.
func (t *traceText) Write(p []byte) (int, error) {
	if t.b.Len()+len(p) > MaxTraceBytes {
		t.b = bytes.Buffer{}
		return 0, errTraceSize
	}
	return t.b.Write(p)
}
