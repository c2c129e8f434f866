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

var errTraceTooLarge = errors.New("the trace is too large")

// Recording is the state of a Tracer since the last call of Start.
type Recording struct {
	Index string `json:"index"`
	// Queries is the number of queries to record, and Waiting how many of them have not started.
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

// Tracer records the next queries of an index on request. The zero value records nothing until Start. It implements
// executor.Recorder and is safe for concurrent use.
type Tracer struct {
	// waiting is the number of queries that are still to be recorded; while it is 0, Record costs one atomic load.
	waiting atomic.Int64

	mu      sync.Mutex
	current *recording
}

var _ executor.Recorder = (*Tracer)(nil)

// recording is the state of one recording. Queries keep a pointer to theirs, so that those that end after a new Start
// don't count in the new recording.
type recording struct {
	index   string
	queries int
	dropped int
	traces  []RecordedTrace
}

// Start begins a recording of the next queries of an index, at most MaxTraces, and discards the previous recording.
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
func (t *Tracer) Record(cfg planner.Config) executor.StateMachine {
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
	q.Recorder = NewRecorder(&q.buf, cfg)
	return q
}

// tracedQuery records one query up to its answer; later events go to the planner unrecorded.
type tracedQuery struct {
	*Recorder
	tracer    *Tracer
	recording *recording
	id        string
	buf       boundedBuffer
	started   bool
	finished  bool
}

// Handle implements executor.StateMachine.
func (q *tracedQuery) Handle(now time.Time, ev planner.Event) *planner.Effects {
	if q.finished {
		return q.planner.Handle(now, ev)
	}
	if q.started = q.started || ev.Kind == planner.EventStart; !q.started {
		// The query ended before its start event, and a trace must begin with that event.
		q.finish("")
		return q.planner.Handle(now, ev)
	}
	fx := q.Recorder.Handle(now, ev)
	if fx.Answer != nil {
		q.finish(fx.Answer.Outcome)
	}
	return fx
}

// finish ends the recording of the query and keeps its trace. A trace without an outcome or with a write error is
// dropped.
func (q *tracedQuery) finish(outcome carobbend.Outcome) {
	q.finished = true
	err := q.Close()
	q.tracer.mu.Lock()
	defer q.tracer.mu.Unlock()
	if err != nil || outcome == "" {
		q.recording.dropped++
	} else {
		q.recording.traces = append(q.recording.traces, RecordedTrace{QueryID: q.id, Outcome: outcome, Trace: q.buf.b.String()})
	}
	q.buf.b = bytes.Buffer{}
}

// boundedBuffer is a buffer that discards its content and fails when a write exceeds MaxTraceBytes.
type boundedBuffer struct{ b bytes.Buffer }

// Write implements io.Writer.
func (t *boundedBuffer) Write(p []byte) (int, error) {
	if t.b.Len()+len(p) > MaxTraceBytes {
		t.b = bytes.Buffer{}
		return 0, errTraceTooLarge
	}
	return t.b.Write(p)
}
