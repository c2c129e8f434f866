package bencher

import (
	"sync"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/emulator"
)

// violation is the property that an incorrect answer violates.
type violation string

const (
	violationNone     violation = ""
	violationIdentity violation = "identity"
	violationCoverage violation = "coverage"
	violationSnapshot violation = "snapshot"
)

// checker verifies answers against the data of the upstreams. It caches the expected items of complete answers.
type checker struct {
	mu       sync.Mutex
	expected map[expectedKey][]carobbend.Item
}

type expectedKey struct {
	ref  carobbend.ShardRef
	text string
}

func newChecker() *checker { return &checker{expected: map[expectedKey][]carobbend.Item{}} }

// check returns the first property that an answer violates: the identity of its query, the coverage that it states, or
// a single snapshot for all items.
func (c *checker) check(q carobbend.Query, a carobbend.Answer) violation {
	if a.QueryID != q.ID || a.Index != q.Index {
		return violationIdentity
	}
	if a.Outcome == carobbend.OutcomeNotRun {
		return violationNone
	}
	complete := a.Outcome == carobbend.OutcomeComplete
	if a.Covered+len(a.Missing) != a.Total || complete != (a.Covered == a.Total) {
		return violationCoverage
	}
	for _, it := range a.Items {
		if emulator.SnapshotOf(it) != a.Snapshot {
			return violationSnapshot
		}
	}
	want := c.expectedItems(q, a)
	if len(want) != len(a.Items) {
		return violationCoverage
	}
	for i := range want {
		if want[i].Key != a.Items[i].Key {
			return violationCoverage
		}
	}
	return violationNone
}

func (c *checker) expectedItems(q carobbend.Query, a carobbend.Answer) []carobbend.Item {
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
