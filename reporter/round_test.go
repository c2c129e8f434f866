package reporter

import (
	"fmt"
	"testing"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/balancer"
)

// BenchmarkRound measures the processor time of a round with ten upstreams in trouble among all.
func BenchmarkRound(b *testing.B) {
	for _, n := range []int{108, 5100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			x := balancer.New(balancer.WithInFlightLatency(), balancer.WithAllCandidates(), balancer.WithoutSlowStart())
			c := newCore(23, n)
			now := epoch
			for i := range n {
				x.End(now, x.Begin(now, carobbend.UpstreamID(fmt.Sprintf("u%d", i)), 0), carobbend.FailureNone, 0)
			}
			for b.Loop() {
				now = now.Add(Interval)
				for i := range 10 {
					x.End(now, x.Begin(now.Add(-time.Millisecond), carobbend.UpstreamID(fmt.Sprintf("u%d", i)), 0), carobbend.FailureBroken, -1)
				}
				if r := c.Next(now, x.TakeObservations(now, nil)); r != nil {
					x.RecordPeerObservations(now, c.Receive("i0004", r))
				}
			}
		})
	}
}
