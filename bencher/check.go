package bencher

import (
	"sync"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/emulator"
)

// wrongness says in what way an answer is wrong.
type wrongness string

const (
	wrongNone     wrongness = ""
	wrongIdentity wrongness = "identity"
	wrongCoverage wrongness = "coverage"
	wrongSnapshot wrongness = "snapshot"
)

// checker compares answers with what the upstreams hold.
type checker struct {
	mu       sync.Mutex
	expected map[expectedKey][]carobbend.Item
}

type expectedKey struct {
	ref  carobbend.ShardRef
	text string
}

func newChecker() *checker { return &checker{expected: map[expectedKey][]carobbend.Item{}} }

// wrong returns in what way an answer doesn't fit its query.
func (c *checker) wrong(q carobbend.Query, a carobbend.Answer) wrongness {
	if a.QueryID != q.ID || a.Index != q.Index {
		return wrongIdentity
	}
	if a.Outcome == carobbend.OutcomeNotRun {
		return wrongNone
	}
	complete := a.Outcome == carobbend.OutcomeComplete
	if a.Covered+len(a.Missing) != a.Total || complete != (a.Covered == a.Total) {
		return wrongCoverage
	}
	for _, it := range a.Items {
		if emulator.SnapshotOf(it) != a.Snapshot {
			return wrongSnapshot
		}
	}
	want := c.items(q, a)
	if len(want) != len(a.Items) {
		return wrongCoverage
	}
	for i := range want {
		if want[i].Key != a.Items[i].Key {
			return wrongCoverage
		}
	}
	return wrongNone
}

func (c *checker) items(q carobbend.Query, a carobbend.Answer) []carobbend.Item {
	ref := carobbend.ShardRef{Index: a.Index, Snapshot: a.Snapshot, Shards: a.Total}
	if len(a.Missing) > 0 {
		missing := map[int]bool{}
		for _, m := range a.Missing {
			missing[m.Shard] = true
		}
		return emulator.ExpectedItems(ref, q.Text, q.Limit, missing)
	}
	k := expectedKey{ref: ref, text: q.Text}
	c.mu.Lock()
	defer c.mu.Unlock()
	if items, ok := c.expected[k]; ok {
		return items
	}
	items := emulator.ExpectedItems(ref, q.Text, q.Limit, nil)
	c.expected[k] = items
	return items
}
