package exchanger

import (
	"errors"
	"io"
)

var (
	errLongHead    = errors.New("reply head exceeds the size limit")
	errManyLines   = errors.New("reply head exceeds the line limit")
	errManyInterim = errors.New("too many interim replies")
	errLongBody    = errors.New("reply body exceeds the size limit")
)

// isOversized reports whether a reply exceeded a bound.
func isOversized(err error) bool {
	return errors.Is(err, errLongHead) || errors.Is(err, errManyLines) || errors.Is(err, errManyInterim) ||
		errors.Is(err, errLongBody)
}

// boundedReader bounds what is read from a connection: the bytes and lines of a reply's heads, and the bytes of its body
// including framing. A faulty upstream may send without end, and neither net/http's parser nor a deadline bounds the
// memory that this takes.
type boundedReader struct {
	r         io.Reader
	remaining int64
	// limitErr is returned when remaining is used up.
	limitErr error
	// exceededErr is the error of the bound that was exceeded; parsers may replace it by errors of their own.
	exceededErr error
	// inHead says that a head is being read, whose lines are counted up to the empty line at its end.
	inHead bool
	lines  int
	// lineLength is the length of the current line so far, without its line break.
	lineLength int
}

// startHeads sets the byte limit for the heads of a reply, including interim replies.
func (w *boundedReader) startHeads() { w.remaining, w.limitErr = maxHeaderBytes, errLongHead }

// startHead starts counting the lines of one head.
func (w *boundedReader) startHead() { w.inHead, w.lines, w.lineLength = true, 0, 0 }

// startBody sets the byte limit for a body, including its framing.
func (w *boundedReader) startBody(n int64) { w.inHead, w.remaining, w.limitErr = false, n, errLongBody }

// Read implements io.Reader.
func (w *boundedReader) Read(p []byte) (int, error) {
	if w.remaining <= 0 {
		w.exceededErr = w.limitErr
		return 0, w.limitErr
	}
	if int64(len(p)) > w.remaining {
		p = p[:w.remaining]
	}
	n, err := w.r.Read(p)
	w.remaining -= int64(n)
	if w.inHead && !w.countLines(p[:n]) {
		w.exceededErr = errManyLines
		return 0, errManyLines
	}
	return n, err
}

// countLines counts the lines of a head and returns false if there are too many.
func (w *boundedReader) countLines(b []byte) bool {
	for _, c := range b {
		switch {
		case c == '\n' && w.lineLength == 0 && w.lines > 0:
			w.inHead = false
			return true
		case c == '\n':
			w.lineLength = 0
			w.lines++
		case c != '\r':
			w.lineLength++
		}
	}
	return w.lines <= maxHeadLines
}
