package combiner

import (
	"cmp"
	"slices"
	"strings"

	"carobbend.example/carobbend"
)

// minBufferLen is the minimum number of buffered entries before a compaction. It keeps sorts rare for small limits.
const minBufferLen = 64

// entry is an item and its shard.
type entry struct {
	item  carobbend.Item
	shard int
}

// compareRank orders by score descending, then by key, then by shard, so that the result doesn't depend on the order in
// which replies arrive. A score of NaN ranks last.
func compareRank(a, b entry) int {
	return cmp.Or(
		cmp.Compare(b.item.Score, a.item.Score),
		strings.Compare(a.item.Key, b.item.Key),
		cmp.Compare(a.shard, b.shard),
	)
}

// compareKey orders by key, then by rank, so that the best entry of each key comes first.
func compareKey(a, b entry) int {
	if n := strings.Compare(a.item.Key, b.item.Key); n != 0 {
		return n
	}
	return compareRank(a, b)
}

// topK keeps the best entries with distinct keys. It buffers entries, and whenever the buffer is full, removes duplicate
// keys and all entries beyond the limit.
type topK struct {
	limit int
	buf   []entry
	// minScore is the score of the lowest-ranked entry after the last compaction that left limit entries.
	minScore    float64
	hasMinScore bool
}

func (t *topK) add(it *carobbend.Item, shard int) {
	// An entry with a score equal to minScore may still rank higher by its key.
	if t.hasMinScore && cmp.Less(it.Score, t.minScore) {
		return
	}
	t.buf = append(t.buf, entry{item: *it, shard: shard})
	if len(t.buf) >= max(4*t.limit, minBufferLen) {
		t.compact()
	}
}

func (t *topK) compact() {
	slices.SortFunc(t.buf, compareKey)
	t.buf = slices.CompactFunc(t.buf, func(a, b entry) bool { return a.item.Key == b.item.Key })
	slices.SortFunc(t.buf, compareRank)
	if len(t.buf) >= t.limit {
		clear(t.buf[t.limit:])
		t.buf = t.buf[:t.limit]
		t.minScore, t.hasMinScore = t.buf[t.limit-1].item.Score, true
	}
}

func (t *topK) items() []carobbend.Item {
	t.compact()
	out := make([]carobbend.Item, len(t.buf))
	for i := range t.buf {
		out[i] = t.buf[i].item
	}
	return out
}
