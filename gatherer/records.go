package gatherer

import (
	"bytes"
	"slices"
)

// RecordSize is the size of a record in bytes. A shorter remainder of a part isn't a record.
const RecordSize = 16

// Merge returns the greatest n records of the parts in descending byte order. Equal records are all kept.
func Merge(n int, parts ...[]byte) []byte {
	s := NewTopK(n)
	for _, p := range parts {
		s.add(p)
	}
	return s.Bytes()
}

// TopK keeps the greatest records of a stream that is written to it in chunks.
type TopK struct {
	n int
	// heap is a min-heap of the records kept.
	heap [][]byte
	// partial is the start of a record whose remainder hasn't been written yet.
	partial []byte
}

// NewTopK returns a TopK that keeps the greatest n records.
func NewTopK(n int) *TopK { return &TopK{n: max(n, 0)} }

// Write implements io.Writer; it never fails. Records that are kept are copied.
func (s *TopK) Write(p []byte) (int, error) {
	written := len(p)
	if len(s.partial) > 0 {
		missing := min(RecordSize-len(s.partial), len(p))
		s.partial = append(s.partial, p[:missing]...)
		p = p[missing:]
		if len(s.partial) < RecordSize {
			return written, nil
		}
		s.add(s.partial)
		s.partial = nil
	}
	whole := len(p) - len(p)%RecordSize
	for rest := p[:whole]; len(rest) > 0; rest = rest[RecordSize:] {
		if record := rest[:RecordSize]; s.qualifies(record) {
			s.insert(bytes.Clone(record))
		}
	}
	s.partial = append(s.partial, p[whole:]...)
	return written, nil
}

// Bytes returns the records kept in descending order.
func (s *TopK) Bytes() []byte {
	if len(s.heap) == 0 {
		return nil
	}
	sorted := slices.Clone(s.heap)
	slices.SortFunc(sorted, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(sorted, nil)
}

// add offers the records of p without copying them; p must not change afterwards.
func (s *TopK) add(p []byte) {
	for ; len(p) >= RecordSize; p = p[RecordSize:] {
		if record := p[:RecordSize]; s.qualifies(record) {
			s.insert(record)
		}
	}
}

// qualifies reports whether a record is among the greatest n so far.
func (s *TopK) qualifies(record []byte) bool {
	return len(s.heap) < s.n || (s.n > 0 && bytes.Compare(record, s.heap[0]) > 0)
}

// insert adds a record that qualifies; if n records are kept already, it replaces the smallest.
func (s *TopK) insert(record []byte) {
	h := s.heap
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
		s.heap = h
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
