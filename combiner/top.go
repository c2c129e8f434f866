package combiner

import (
	"cmp"
	"slices"
	"strings"

	"carobbend.example/carobbend"
)

// minBuffer keeps sorts rare for small limits.
const minBuffer = 64

// entry is an item with the shard that it came from.
type entry struct {
	item  carobbend.Item
	shard int
}

// compareRank orders by score descending, then key, then shard, so that the result doesn't depend on the order of
// arrival. A score that is not a number ranks last.
func compareRank(a, b entry) int {
	return cmp.Or(
		cmp.Compare(b.item.Score, a.item.Score),
		strings.Compare(a.item.Key, b.item.Key),
		cmp.Compare(a.shard, b.shard),
	)
}

func compareKey(a, b entry) int {
	if n := strings.Compare(a.item.Key, b.item.Key); n != 0 {
		return n
	}
	return compareRank(a, b)
}

// top keeps the best entries with distinct keys. Entries gather in a buffer, and when it is full, duplicates and
// all entries beyond the limit are removed at once.
type top struct {
	limit int
	buf   []entry
	// floor is the score of the last entry kept when the buffer was compacted with limit entries or more.
	floor    float64
	hasFloor bool
}

func (t *top) add(it *carobbend.Item, shard int) {
	// An entry with the floor's score may still rank higher by key.
	if t.hasFloor && cmp.Less(it.Score, t.floor) {
		return
	}
	t.buf = append(t.buf, entry{item: *it, shard: shard})
	if len(t.buf) >= max(4*t.limit, minBuffer) {
		t.compact()
	}
}

func (t *top) compact() {
	slices.SortFunc(t.buf, compareKey)
	t.buf = slices.CompactFunc(t.buf, func(a, b entry) bool { return a.item.Key == b.item.Key })
	slices.SortFunc(t.buf, compareRank)
	if len(t.buf) >= t.limit {
		clear(t.buf[t.limit:])
		t.buf = t.buf[:t.limit]
		t.floor, t.hasFloor = t.buf[t.limit-1].item.Score, true
	}
}

func (t *top) items() []carobbend.Item {
	t.compact()
	out := make([]carobbend.Item, len(t.buf))
	for i := range t.buf {
		out[i] = t.buf[i].item
	}
	return out
}
