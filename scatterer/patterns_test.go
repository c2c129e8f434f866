package scatterer_test

import (
	"testing"
	"time"
)

// shedding is the pattern in which upstreams shed three fifths of their requests at random for some seconds although they have
// capacity. The queries need five sixths of the capacity of one replica of each shard.
var shedding = pattern{
	rate: 200, serviceTime: 12500 * time.Microsecond, target: 120 * time.Millisecond, attempts: 3,
	extraRatio: 0.19, extraSlack: 44,
}

// play plays a pattern with three seeds and fails the test if less than want of the queries are answered in time.
func play(t *testing.T, p pattern, want float64) {
	t.Helper()
	for seed := range uint64(3) {
		s := newSimulation(p, seed)
		got := s.run()
		t.Logf("seed %d: in time %.2f, refused %d of %d, extra %d and shed %d of %d", seed, got, s.refused, s.queries, s.extra, s.shed, s.requests)
		if got < want {
			t.Errorf("seed %d: got %.2f of the queries in time, want at least %.2f", seed, got, want)
		}
	}
}

// TestRandomSheds guards against queries that are refused, or lost after two sheds, although the upstreams that shed at random
// have capacity. Three of ten shards have no other upstream. First attempts alone complete 0.35 of the queries; one retry each
// for a fifth of these attempts, spent where it completes a query, raises that to 0.6.
func TestRandomSheds(t *testing.T) {
	p := shedding
	p.instances = 1
	p.replicas = func(int) int { return 2 }
	p.sheds = func(shard, replica int) bool { return shard < 3 || replica > 0 }
	play(t, p, 0.5)
}

// TestShedsBesideHealthyReplicas guards against a healthy replica that is ejected as a latency outlier after a pause, so that
// all of its requests go to the ones that shed. One dispatcher that sees all queues sheds an eighth of the requests and
// answers 0.99 of the queries in time.
func TestShedsBesideHealthyReplicas(t *testing.T) {
	p := shedding
	p.instances = 6
	p.replicas = func(int) int { return 3 }
	p.sheds = func(_, replica int) bool { return replica > 0 }
	p.pause, p.pauseInterval = 150*time.Millisecond, 3600*time.Millisecond
	play(t, p, 0.9)
}

// TestPausesUnderLoad guards against replicas that are ejected after a pause, so that the others are overloaded: both replicas of
// each shard pause in turn for a twenty-fourth of the time, and the queries need 0.63 of their capacity. Only as many queries
// may be late as arrive during the pauses of one replica.
func TestPausesUnderLoad(t *testing.T) {
	p := pattern{
		instances: 6, rate: 300, serviceTime: 12500 * time.Microsecond, target: 120 * time.Millisecond, attempts: 3,
		extraRatio: 0.19, extraSlack: 44,
		replicas: func(int) int { return 2 },
		sheds:    func(int, int) bool { return false },
		pause:    150 * time.Millisecond, pauseInterval: 3600 * time.Millisecond,
	}
	play(t, p, 1-p.pause.Seconds()/p.pauseInterval.Seconds())
}

// TestOverloadOfSingleReplicaShards guards against an overload of a tenth that makes nearly all queries late: four of ten shards
// have a single replica left, and without admission control their queues grow until every query is late.
func TestOverloadOfSingleReplicaShards(t *testing.T) {
	const overload = 1.1
	p := pattern{
		instances: 1, serviceTime: 20 * time.Millisecond, target: 100 * time.Millisecond, attempts: 1,
		replicas: func(shard int) int {
			if shard < 4 {
				return 1
			}
			return 3
		},
		sheds: func(int, int) bool { return false },
	}
	p.rate = overload * defaultSlots / p.serviceTime.Seconds()
	play(t, p, 0.7)
	p.withoutAdmission = true
	for seed := range uint64(3) {
		if got := newSimulation(p, seed).run(); got > 0.5 {
			t.Errorf("seed %d: got %.2f in time without admission control, want at most half, or the load is no overload", seed, got)
		}
	}
}
