// Package cataloger tracks which upstream holds which shard of which snapshot. It does no I/O: its caller passes in status
// reports and replies that deny a shard. A denial takes precedence over the status reports, since these lag.
//
// # Usage
//
//	var c cataloger.Cataloger
//	c.StatusRead(now, "upstream-1", holdings)
//	c.Denied(now, "upstream-1", ref) // a reply said that the shard isn't held
//	layouts := c.Layouts("sales-desk")
package cataloger

import (
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"carobbend.example/carobbend"
)

const (
	// maxShards bounds the number of shards that a status report may state for a snapshot.
	maxShards = 1 << 16
	// denialTTL is how long a reply that denies a shard takes precedence over later status reports, which lag.
	denialTTL = 5 * time.Second
	// maxFailedPolls is the number of consecutive failed status reads after which an upstream's shards are dropped.
	maxFailedPolls = 3
)

type layouts map[string][]carobbend.Layout

type denialKey struct {
	id  carobbend.UpstreamID
	ref carobbend.ShardRef
}

// Cataloger implements carobbend.Catalog. The zero value is ready to use and safe for concurrent use.
type Cataloger struct {
	current atomic.Pointer[layouts]

	mu       sync.Mutex
	holdings map[carobbend.UpstreamID][]carobbend.Holding
	failures map[carobbend.UpstreamID]int
	denials  map[denialKey]time.Time
}

var _ carobbend.Catalog = (*Cataloger)(nil)

// Layouts implements carobbend.Catalog.
func (c *Cataloger) Layouts(index string) []carobbend.Layout {
	m := c.current.Load()
	if m == nil {
		return nil
	}
	return (*m)[index]
}

// StatusRead records a status report: the holdings of an upstream.
func (c *Cataloger) StatusRead(now time.Time, id carobbend.UpstreamID, hs []carobbend.Holding) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holdings == nil {
		c.holdings = map[carobbend.UpstreamID][]carobbend.Holding{}
		c.failures = map[carobbend.UpstreamID]int{}
		c.denials = map[denialKey]time.Time{}
	}
	changed := c.expireDenialsLocked(now) || !slices.EqualFunc(c.holdings[id], hs, equalHolding)
	c.holdings[id], c.failures[id] = hs, 0
	if changed {
		c.rebuildLocked()
	}
}

// StatusFailed records a failed status read; after maxFailedPolls in a row the upstream's holdings are dropped.
func (c *Cataloger) StatusFailed(id carobbend.UpstreamID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.holdings[id]) == 0 {
		return
	}
	c.failures[id]++
	if c.failures[id] >= maxFailedPolls {
		delete(c.holdings, id)
		c.rebuildLocked()
	}
}

// Denied records that an upstream replied that it doesn't hold a shard.
func (c *Cataloger) Denied(now time.Time, id carobbend.UpstreamID, ref carobbend.ShardRef) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holdings == nil {
		return
	}
	key := denialKey{id: id, ref: ref}
	_, known := c.denials[key]
	c.denials[key] = now
	if !known {
		c.rebuildLocked()
	}
}

func (c *Cataloger) expireDenialsLocked(now time.Time) bool {
	expired := false
	for k, at := range c.denials {
		if now.Sub(at) > denialTTL {
			delete(c.denials, k)
			expired = true
		}
	}
	return expired
}

type layoutKey struct {
	index    string
	snapshot carobbend.SnapshotID
	shards   int
}

func (c *Cataloger) rebuildLocked() {
	byKey := map[layoutKey][][]carobbend.UpstreamID{}
	for _, id := range sortedIDs(c.holdings) {
		for _, h := range c.holdings[id] {
			c.addHoldingLocked(byKey, id, h)
		}
	}
	next := layouts{}
	for k, replicas := range byKey {
		next[k.index] = append(next[k.index], carobbend.Layout{Index: k.index, Snapshot: k.snapshot, Replicas: replicas})
	}
	for _, ls := range next {
		sort.Slice(ls, func(i, j int) bool { return precedes(ls[i], ls[j]) })
	}
	c.current.Store(&next)
}

// precedes orders layouts by snapshot; of two layouts of one snapshot that differ in their number of shards, the one with
// more available shards comes first.
func precedes(a, b carobbend.Layout) bool {
	if a.Snapshot != b.Snapshot {
		return a.Snapshot > b.Snapshot
	}
	if a.Available() != b.Available() {
		return a.Available() > b.Available()
	}
	return a.Shards() < b.Shards()
}

func (c *Cataloger) addHoldingLocked(byKey map[layoutKey][][]carobbend.UpstreamID, id carobbend.UpstreamID, h carobbend.Holding) {
	if h.Shards <= 0 || h.Shards > maxShards || h.Snapshot == 0 {
		return
	}
	key := layoutKey{index: h.Index, snapshot: h.Snapshot, shards: h.Shards}
	replicas, ok := byKey[key]
	if !ok {
		replicas = make([][]carobbend.UpstreamID, h.Shards)
		byKey[key] = replicas
	}
	for _, s := range h.Held {
		if s < 0 || s >= h.Shards {
			continue
		}
		ref := carobbend.ShardRef{Index: h.Index, Snapshot: h.Snapshot, Shard: s, Shards: h.Shards}
		if _, denied := c.denials[denialKey{id: id, ref: ref}]; !denied {
			replicas[s] = append(replicas[s], id)
		}
	}
}

func sortedIDs(m map[carobbend.UpstreamID][]carobbend.Holding) []carobbend.UpstreamID {
	ids := make([]carobbend.UpstreamID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func equalHolding(a, b carobbend.Holding) bool {
	return a.Index == b.Index && a.Snapshot == b.Snapshot && a.Shards == b.Shards && slices.Equal(a.Held, b.Held)
}
