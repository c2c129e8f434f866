package bencher

import (
	"sort"
	"sync"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/emulator"
)

// catalog is an instance's view of the layouts, polled from the upstreams and corrected by replies.
type catalog struct {
	mu      sync.Mutex
	index   string
	held    map[carobbend.UpstreamID][]emulator.Holding
	order   []carobbend.UpstreamID
	layouts []carobbend.Layout
}

var _ carobbend.Catalog = (*catalog)(nil)

func newCatalog(index string, ups []*emulator.Upstream) *catalog {
	c := &catalog{index: index, held: map[carobbend.UpstreamID][]emulator.Holding{}}
	for _, u := range ups {
		c.order = append(c.order, u.ID())
		c.held[u.ID()] = u.Holdings()
	}
	c.build()
	return c
}

// Layouts implements carobbend.Catalog.
func (c *catalog) Layouts(index string) []carobbend.Layout {
	c.mu.Lock()
	defer c.mu.Unlock()
	if index != c.index {
		return nil
	}
	return c.layouts
}

// polled takes over the status of an upstream.
func (c *catalog) polled(id carobbend.UpstreamID, held []emulator.Holding) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held[id] = held
	c.build()
}

// gone takes over a reply that says that a snapshot isn't held any more.
func (c *catalog) gone(id carobbend.UpstreamID, ref carobbend.ShardRef) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var held []emulator.Holding
	for _, h := range c.held[id] {
		if h.Snapshot != ref.Snapshot {
			held = append(held, h)
		}
	}
	c.held[id] = held
	c.build()
}

func (c *catalog) build() {
	found := map[carobbend.SnapshotID]carobbend.Layout{}
	for _, id := range c.order {
		for _, h := range c.held[id] {
			l, ok := found[h.Snapshot]
			if !ok {
				l = carobbend.Layout{
					Index: c.index, Snapshot: h.Snapshot, Replicas: make([][]carobbend.UpstreamID, h.Shards),
				}
				found[h.Snapshot] = l
			}
			for _, s := range h.Held {
				l.Replicas[s] = append(l.Replicas[s], id)
			}
		}
	}
	c.layouts = nil
	for _, l := range found {
		c.layouts = append(c.layouts, l)
	}
	sort.Slice(c.layouts, func(i, j int) bool { return c.layouts[i].Snapshot > c.layouts[j].Snapshot })
}
