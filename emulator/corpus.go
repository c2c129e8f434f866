package emulator

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"

	"carobbend.example/carobbend"
)

// CorpusItems is the number of items that each index holds in each snapshot.
const CorpusItems = 400

// itemData states the origin of an item, so that a check can detect an answer that mixes snapshots or layouts.
type itemData struct {
	Index    string               `json:"index"`
	Snapshot carobbend.SnapshotID `json:"snapshot"`
	Shard    int                  `json:"shard"`
	Shards   int                  `json:"shards"`
}

// SnapshotOf returns the snapshot that an item of an emulated upstream comes from, or 0.
func SnapshotOf(it carobbend.Item) carobbend.SnapshotID {
	var d itemData
	if err := json.Unmarshal(it.Data, &d); err != nil {
		return 0
	}
	return d.Snapshot
}

// ShardItems returns the best items of one shard, best first. The score of an item depends on the index, snapshot and text,
// but not on the number of shards.
func ShardItems(ref carobbend.ShardRef, text string, limit int) []carobbend.Item {
	if ref.Shards <= 0 {
		return nil
	}
	data, err := json.Marshal(itemData{Index: ref.Index, Snapshot: ref.Snapshot, Shard: ref.Shard, Shards: ref.Shards})
	if err != nil {
		return nil
	}
	items := make([]carobbend.Item, 0, CorpusItems/ref.Shards+1)
	for n := ref.Shard; n < CorpusItems; n += ref.Shards {
		items = append(items, carobbend.Item{Key: fmt.Sprintf("%s-%d", ref.Index, n), Score: score(ref, text, n), Data: data})
	}
	return topItems(items, limit)
}

// ExpectedItems returns the best items over all shards except the missing ones.
func ExpectedItems(ref carobbend.ShardRef, text string, limit int, missing map[int]bool) []carobbend.Item {
	var all []carobbend.Item
	for ref.Shard = 0; ref.Shard < ref.Shards; ref.Shard++ {
		if !missing[ref.Shard] {
			all = append(all, ShardItems(ref, text, limit)...)
		}
	}
	return topItems(all, limit)
}

func topItems(items []carobbend.Item, limit int) []carobbend.Item {
	sort.Slice(items, func(i, j int) bool {
		if items[i].Score != items[j].Score {
			return items[i].Score > items[j].Score
		}
		return items[i].Key < items[j].Key
	})
	return items[:min(limit, len(items))]
}

func score(ref carobbend.ShardRef, text string, n int) float64 {
	b := make([]byte, 0, len(ref.Index)+len(text)+16)
	b = append(b, ref.Index...)
	b = append(b, text...)
	b = binary.LittleEndian.AppendUint64(b, uint64(ref.Snapshot))
	b = binary.LittleEndian.AppendUint64(b, uint64(n))
	return float64(xxhash.Sum64(b)%1_000_000) / 1_000_000
}
