package logger

import (
	"io"
	"sync/atomic"
)

const (
	// asyncQueueLines is the greatest number of lines that are queued for the output.
	asyncQueueLines = 1024
	// asyncBatchBytes is the size up to which queued lines are joined into one write.
	asyncBatchBytes = 16 << 10
)

// Async is a writer that never blocks. Lines are queued; those that find the queue full are dropped and counted.
type Async struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewAsync returns a writer whose lines are written to w by one goroutine until Close is called.
func NewAsync(w io.Writer) *Async {
	a := &Async{lines: make(chan []byte, asyncQueueLines), done: make(chan struct{})}
	go a.run(w)
	return a
}

// Write queues a copy of one line. It never returns an error.
func (a *Async) Write(b []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), b...):
	default:
		a.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns the number of lines that were dropped.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

// Close writes the queued lines and stops the goroutine. Write must not be called afterwards.
func (a *Async) Close() {
	close(a.lines)
	<-a.done
}

func (a *Async) run(w io.Writer) {
	defer close(a.done)
	for b := range a.lines {
		for len(b) < asyncBatchBytes {
			more, ok := a.nextQueued()
			if !ok {
				break
			}
			b = append(b, more...)
		}
		// The error is ignored: a failure to write the log can be reported nowhere else.
		_, _ = w.Write(b)
	}
}

// nextQueued returns a queued line, or false if there is none.
func (a *Async) nextQueued() ([]byte, bool) {
	select {
	case b, ok := <-a.lines:
		return b, ok
	default:
		return nil, false
	}
}
