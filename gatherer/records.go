package gatherer

import (
	"bytes"
	"slices"
)

// RecordSize is the size of a record in bytes. A shorter remainder of a part isn't a record.
const RecordSize = 16

// Merge returns the greatest n records of the parts, greatest first, compared byte by byte; equal records all count.
func Merge(n int, parts ...[]byte) []byte {
	s := NewSelector(n)
	for _, p := range parts {
		s.add(p)
	}
	return s.Bytes()
}

// Selector keeps the greatest records of one part that is written to it piece by piece.
type Selector struct {
	n int
	// best is a heap with the smallest record at its root.
	best [][]byte
	// begun is the beginning of a record whose end hasn't been written yet.
	begun []byte
}

// NewSelector returns a Selector that keeps the greatest n records.
func NewSelector(n int) *Selector { return &Selector{n: max(n, 0)} }

// Write implements io.Writer; it never fails. The bytes of records that are kept are copied.
func (s *Selector) Write(p []byte) (int, error) {
	written := len(p)
	if len(s.begun) > 0 {
		missing := min(RecordSize-len(s.begun), len(p))
		s.begun = append(s.begun, p[:missing]...)
		p = p[missing:]
		if len(s.begun) < RecordSize {
			return written, nil
		}
		s.add(s.begun)
		s.begun = nil
	}
	whole := len(p) - len(p)%RecordSize
	for rest := p[:whole]; len(rest) > 0; rest = rest[RecordSize:] {
		if record := rest[:RecordSize]; s.wants(record) {
			s.offer(bytes.Clone(record))
		}
	}
	s.begun = append(s.begun, p[whole:]...)
	return written, nil
}

// Bytes returns the records that were kept, greatest first.
func (s *Selector) Bytes() []byte {
	if len(s.best) == 0 {
		return nil
	}
	sorted := slices.Clone(s.best)
	slices.SortFunc(sorted, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(sorted, nil)
}

// add takes the records of a part without copying them; the part must not change.
func (s *Selector) add(p []byte) {
	for ; len(p) >= RecordSize; p = p[RecordSize:] {
		if record := p[:RecordSize]; s.wants(record) {
			s.offer(record)
		}
	}
}

// wants reports whether a record is among the greatest so far.
func (s *Selector) wants(record []byte) bool {
	return len(s.best) < s.n || (s.n > 0 && bytes.Compare(record, s.best[0]) > 0)
}

// offer adds a record that is among the greatest, in place of the smallest where there are n already.
func (s *Selector) offer(record []byte) {
	h := s.best
	if len(h) < s.n {
		h = append(h, record)
		for i := len(h) - 1; i > 0; {
			parent := (i - 1) / 2
			if bytes.Compare(h[i], h[parent]) >= 0 {
				break
			}
			h[i], h[parent] = h[parent], h[i]
			i = parent
		}
		s.best = h
		return
	}
	h[0] = record
	for i := 0; ; {
		child := 2*i + 1
		if child >= len(h) {
			break
		}
		if child+1 < len(h) && bytes.Compare(h[child+1], h[child]) < 0 {
			child++
		}
		if bytes.Compare(h[i], h[child]) <= 0 {
			break
		}
		h[i], h[child] = h[child], h[i]
		i = child
	}
}
