package balancer

import (
	"math"
	"math/rand/v2"
	"time"

	"carobbend.example/carobbend"
)

const (
	// minWindow is the number of requests that all instances together send a paced upstream at first in one interval: as many as
	// it has slots on the deployments of today.
	minWindow = 4
	// fullPace is the number of good answers in a row after which an upstream gets its full part. An answer in less than
	// slowLatencyFactor usual latencies from an upstream with a free slot is good; a shed, failed or slow request takes one back.
	fullPace = 3
	// paceInterval is the interval in reference latencies, unless the answers of the upstream take longer. Its first answers take
	// longer than usual while its caches are cold.
	paceInterval = 4
	// freeLoad is the reported load, in requests per slot, below which an upstream has a free slot.
	freeLoad = 1
)

// pace is how much of its part an upstream gets by its answers. The zero value is the full part.
type pace struct {
	// lacking is the number of good answers that the upstream lacks for its full part, from 0 to fullPace.
	lacking int
}

// isFull reports whether the upstream gets its full part.
func (p pace) isFull() bool { return p.lacking == 0 }

// start begins with the smallest part.
func (p *pace) start() { p.lacking = fullPace }

// record adds numbers of good answers and of shed, failed and slow requests.
func (p *pace) record(good, bad int) { p.lacking = min(max(p.lacking-good+bad, 0), fullPace) }

// window is the number of requests that all instances may send in one interval.
func (p pace) window() float64 { return minWindow * math.Exp2(float64(fullPace-p.lacking)) }

// recordPace adds a request's end to the pace of the upstream; latency is in reference latencies.
func (n *node) recordPace(kind carobbend.FailureKind, latency, load float64) {
	switch {
	case kind == carobbend.FailureNone && latency < slowLatencyFactor:
		if load < freeLoad {
			n.pace.record(1, 0)
		}
	case kind == carobbend.FailureCanceled && latency < slowLatencyFactor:
	case kind == carobbend.FailureShed && HasCapacity(load) && n.pace.isFull():
		// An upstream that sheds at random serves the others at their usual pace.
	default:
		n.pace.record(0, 1)
	}
}

// recordPeerPace adds what another instance observed to the pace of the upstream.
func (n *node) recordPeerPace(o Observation) {
	good, bad := max(o.Served-o.Full, 0), o.Failed+o.Overdue
	if o.Latency >= slowLatencyFactor {
		good, bad = 0, bad+o.Served
	}
	if !n.pace.isFull() {
		bad += o.Shed
	}
	n.pace.record(good, bad)
}

// pacer limits what all instances together send to upstreams that have just started, recovered or failed. It needs no
// agreement: each instance offers a paced upstream for a part of its requests, such that all instances send it a given number in
// an interval if their load is alike. The rates of requests are taken from the candidates.
type pacer struct {
	// instances returns the number of instances that share the load.
	instances func() int
}

// filter returns the candidates without those whose pace doesn't allow a request now. If no candidate with its full part is
// reliable and responsive, all are returned: the load exceeds what is left, and the part of the paced ones is needed.
func (p pacer) filter(now time.Time, nodes []*node, decay time.Duration, rng *rand.Rand) []*node {
	paced, rate := false, 0.0
	others := false
	for _, n := range nodes {
		rate = max(rate, n.picks.current(now)/evidenceTimeConstant.Seconds())
		switch {
		case !n.pace.isFull():
			paced = true
		case n.isReliable(now) && n.isResponsive(now, decay):
			others = true
		}
	}
	if !paced || !others {
		return nodes
	}
	instances := float64(max(p.instances(), 1))
	return prefer(nodes, func(n *node) bool {
		if n.pace.isFull() {
			return true
		}
		interval := max(paceInterval*float64(referenceLatency), n.expectedLatency(now, 0, decay))
		// The number of requests for which all instances would consider the upstream in one interval, at least one each, since all
		// may discover it at once.
		requests := max(instances*rate*interval/float64(time.Second), instances)
		window := n.pace.window()
		if window >= requests {
			return true
		}
		return float64(n.inFlight) < max(window/instances, 1) && rng.Float64() < window/requests
	})
}
