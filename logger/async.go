package logger

import (
	"io"
	"sync/atomic"
)

const (
	// asyncLines is the number of lines that wait for the output at most.
	asyncLines = 1024
	// asyncBatch is the size in bytes up to which waiting lines are written together.
	asyncBatch = 16 << 10
)

// Async is a writer that never blocks: lines wait in a bounded buffer, and those that find it full are dropped and
// counted.
type Async struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewAsync returns a writer to w, which is written by one goroutine until Close.
func NewAsync(w io.Writer) *Async {
	a := &Async{lines: make(chan []byte, asyncLines), done: make(chan struct{})}
	go a.run(w)
	return a
}

// Write takes a copy of one line; it always succeeds.
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

// Close writes what waits. Nothing may be written afterwards.
func (a *Async) Close() {
	close(a.lines)
	<-a.done
}

func (a *Async) run(w io.Writer) {
	defer close(a.done)
	for b := range a.lines {
		for len(b) < asyncBatch {
			more, ok := a.next()
			if !ok {
				break
			}
			b = append(b, more...)
		}
		// There is no other place to report that the log can't be written.
		_, _ = w.Write(b)
	}
}

// next returns a line that waits already.
func (a *Async) next() ([]byte, bool) {
	select {
	case b, ok := <-a.lines:
		return b, ok
	default:
		return nil, false
	}
}
