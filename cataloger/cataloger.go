// Package cataloger learns which upstream holds which shard of which snapshot. It does no I/O: it is fed with status
// reports and with replies, which outweigh the reports, since these lag.
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
	// maxShards bounds the layout that a status may claim.
	maxShards = 1 << 16
	// goneHold is how long a reply that denies a shard outweighs later status reports, which lag.
	goneHold = 5 * time.Second
	// failedPolls is the number of status reads that fail in a row before an upstream's shards are dropped.
	failedPolls = 3
)

type layouts map[string][]carobbend.Layout

type goneKey struct {
	id  carobbend.UpstreamID
	ref carobbend.ShardRef
}

// Cataloger implements carobbend.Catalog. The zero value is ready to use, also by several goroutines at a time.
type Cataloger struct {
	current atomic.Pointer[layouts]

	mu       sync.Mutex
	holdings map[carobbend.UpstreamID][]carobbend.Holding
	failures map[carobbend.UpstreamID]int
	gone     map[goneKey]time.Time
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

// StatusRead records a status report.
func (c *Cataloger) StatusRead(now time.Time, id carobbend.UpstreamID, hs []carobbend.Holding) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holdings == nil {
		c.holdings = map[carobbend.UpstreamID][]carobbend.Holding{}
		c.failures = map[carobbend.UpstreamID]int{}
		c.gone = map[goneKey]time.Time{}
	}
	changed := c.expireGoneLocked(now) || !slices.EqualFunc(c.holdings[id], hs, equalHolding)
	c.holdings[id], c.failures[id] = hs, 0
	if changed {
		c.rebuildLocked()
	}
}

// StatusFailed records a status read that failed.
func (c *Cataloger) StatusFailed(id carobbend.UpstreamID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.holdings[id]) == 0 {
		return
	}
	c.failures[id]++
	if c.failures[id] >= failedPolls {
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
	key := goneKey{id: id, ref: ref}
	_, known := c.gone[key]
	c.gone[key] = now
	if !known {
		c.rebuildLocked()
	}
}

func (c *Cataloger) expireGoneLocked(now time.Time) bool {
	expired := false
	for k, at := range c.gone {
		if now.Sub(at) > goneHold {
			delete(c.gone, k)
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
			c.addLocked(byKey, id, h)
		}
	}
	next := layouts{}
	for k, replicas := range byKey {
		next[k.index] = append(next[k.index], carobbend.Layout{Index: k.index, Snapshot: k.snapshot, Replicas: replicas})
	}
	for _, ls := range next {
		sort.Slice(ls, func(i, j int) bool { return newer(ls[i], ls[j]) })
	}
	c.current.Store(&next)
}

// newer orders layouts by snapshot; of two layouts that claim one snapshot the better covered one comes first.
func newer(a, b carobbend.Layout) bool {
	if a.Snapshot != b.Snapshot {
		return a.Snapshot > b.Snapshot
	}
	if a.Available() != b.Available() {
		return a.Available() > b.Available()
	}
	return a.Shards() < b.Shards()
}

func (c *Cataloger) addLocked(byKey map[layoutKey][][]carobbend.UpstreamID, id carobbend.UpstreamID, h carobbend.Holding) {
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
		if _, denied := c.gone[goneKey{id: id, ref: ref}]; !denied {
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
