package exchanger

import (
	"errors"
	"io"
)

var (
	errLongHead    = errors.New("the head of the reply is longer than allowed")
	errManyLines   = errors.New("the head of the reply has more lines than allowed")
	errManyInterim = errors.New("more interim replies arrived than allowed")
	errLongBody    = errors.New("the body of the reply is longer than allowed")
)

// isOversized reports whether a reply exceeded a bound.
func isOversized(err error) bool {
	return errors.Is(err, errLongHead) || errors.Is(err, errManyLines) || errors.Is(err, errManyInterim) ||
		errors.Is(err, errLongBody)
}

// wire bounds what is read from a connection: the bytes and lines of a reply's heads, and the bytes of its body with all
// framing. An upstream in trouble may send without end, and neither net/http's parser nor a deadline bounds the memory
// that this takes.
type wire struct {
	r    io.Reader
	left int64
	// err is returned once nothing is left.
	err error
	// exceeded is the bound that ended the reading; parsers hide it behind errors of their own.
	exceeded error
	// inHead says that lines are counted, up to the empty line that ends a head.
	inHead bool
	lines  int
	// length is the length of the current line so far, without its end.
	length int
}

// expectHeads starts the heads of a reply, interim ones included.
func (w *wire) expectHeads() { w.left, w.err = maxHeadBytes, errLongHead }

// expectHead starts one head.
func (w *wire) expectHead() { w.inHead, w.lines, w.length = true, 0, 0 }

// expectBody starts a body of at most n bytes with its framing.
func (w *wire) expectBody(n int64) { w.inHead, w.left, w.err = false, n, errLongBody }

// Read implements io.Reader.
func (w *wire) Read(p []byte) (int, error) {
	if w.left <= 0 {
		w.exceeded = w.err
		return 0, w.err
	}
	if int64(len(p)) > w.left {
		p = p[:w.left]
	}
	n, err := w.r.Read(p)
	w.left -= int64(n)
	if w.inHead && !w.count(p[:n]) {
		w.exceeded = errManyLines
		return 0, errManyLines
	}
	return n, err
}

// count counts the lines of a head and returns false where there are too many.
func (w *wire) count(b []byte) bool {
	for _, c := range b {
		switch {
		case c == '\n' && w.length == 0 && w.lines > 0:
			w.inHead = false
			return true
		case c == '\n':
			w.length = 0
			w.lines++
		case c != '\r':
			w.length++
		}
	}
	return w.lines <= maxHeadLines
}
