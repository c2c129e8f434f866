package gatherer

import (
	"bytes"
	"slices"
)

// RecordSize is the size of a record in bytes. A shorter remainder of a part isn't a record.
const RecordSize = 16

// Merge returns the greatest n records of the parts, greatest first, compared byte by byte; equal records all count.
func Merge(n int, parts ...[]byte) []byte {
	if n <= 0 {
		return nil
	}
	// best is a heap with the smallest record at its root.
	best := make([][]byte, 0, n)
	for _, p := range parts {
		for len(p) >= RecordSize {
			best = offer(best, n, p[:RecordSize])
			p = p[RecordSize:]
		}
	}
	slices.SortFunc(best, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(best, nil)
}

func offer(h [][]byte, n int, record []byte) [][]byte {
	if len(h) < n {
		h = append(h, record)
		for i := len(h) - 1; i > 0; {
			parent := (i - 1) / 2
			if bytes.Compare(h[i], h[parent]) >= 0 {
				break
			}
			h[i], h[parent] = h[parent], h[i]
			i = parent
		}
		return h
	}
	if bytes.Compare(record, h[0]) <= 0 {
		return h
	}
	h[0] = record
	for i := 0; ; {
		child := 2*i + 1
		if child >= n {
			break
		}
		if child+1 < n && bytes.Compare(h[child+1], h[child]) < 0 {
			child++
		}
		if bytes.Compare(h[i], h[child]) <= 0 {
			break
		}
		h[i], h[child] = h[child], h[i]
		i = child
	}
	return h
}
