package balancer

import (
	"math"
	"time"

	"carobbend.example/carobbend"
)

const (
	// peerWeight is the weight of an observation of another instance compared with one of this instance, which saw it itself and
	// from its own place in the network.
	peerWeight = 0.5
	// evidenceTimeConstant is the time constant with which the number of recent observations decays.
	evidenceTimeConstant = time.Second
	// maxPeerAge is the age of the last report of an upstream at which what others reported has lost its value, so that an
	// upstream which nobody asks any more is tried again.
	maxPeerAge = 3 * time.Second
	// peerPrior is the number of good observations that is assumed in addition to those reported: a single shed request that
	// one instance reports says little.
	peerPrior = 1
	// slowLatencyFactor, in reference latencies, is the latency from which an observation is trouble worth reporting.
	slowLatencyFactor = 3
	// minSlowTime is the time from the first to the last report of a slow upstream from which the reported latency counts. A pause
	// of 200 ms is over when others read of it, and the queue that it left drains within some 100 ms.
	minSlowTime = 300 * time.Millisecond
	// questionTime is the time after the last trouble of an upstream for which its good observations are reported, too: without
	// them, the others couldn't tell a share of failures, nor its end.
	questionTime = 2 * time.Second
	// minOwnEvidence is the weight of this instance's own observations of an upstream if they are old.
	minOwnEvidence = 0.25
)

// Observation is what an instance observed of one upstream since its last report.
type Observation struct {
	Upstream carobbend.UpstreamID
	// Served, Shed and Failed are numbers of requests; Shed holds those that were shed although the upstream reported capacity.
	Served, Shed, Failed int
	// Full is the number of those in Served whose replies reported no free slot.
	Full int
	// Overdue is the number of requests that take longer than expected, in flight or canceled.
	Overdue int
	// Latency is the mean latency of the requests in Served and of those in Overdue so far, in latencies that are usual for
	// their kind.
	Latency float64
}

// IsTrouble reports whether the observation holds anything but requests served in a usual time.
func (o Observation) IsTrouble() bool {
	return o.Shed > 0 || o.Failed > 0 || o.Overdue > 0 || (o.Served > 0 && o.Latency >= slowLatencyFactor)
}

// unreported counts observations since the last report.
type unreported struct {
	served, shed, failed int
	// full is the number of those in served whose replies reported no free slot.
	full int
	// abandoned is the number of requests that were canceled after a slow time.
	abandoned int
	// latency is the sum of the latencies of the requests served and abandoned, in reference latencies.
	latency float64
	// slow says that one of them was slow.
	slow bool
}

// evidence is a decaying number of observations.
type evidence struct {
	n  float64
	at time.Time
}

func (e evidence) current(now time.Time) float64 {
	if e.n == 0 {
		return 0
	}
	return e.n * math.Exp(-float64(now.Sub(e.at))/float64(evidenceTimeConstant))
}

func (e *evidence) add(now time.Time, n float64) { e.n, e.at = e.current(now)+n, now }

// peerView is what other instances reported of one upstream. The zero value holds nothing.
type peerView struct {
	served, shed, failed, latencyCount, latencySum float64
	at                                             time.Time
	// slowSince and slowAt are the times of the first and the last report of a slow upstream after the last one of a usual
	// latency.
	slowSince, slowAt time.Time
}

// isSlow reports whether others found the upstream slow for longer than a pause takes.
func (v *peerView) isSlow() bool { return v.slowAt.Sub(v.slowSince) >= minSlowTime }

// record adds the counts of an observation to the decaying ones.
func (v *peerView) record(now time.Time, o Observation) {
	if d := now.Sub(v.at); !v.at.IsZero() {
		f := math.Exp(-float64(d) / float64(evidenceTimeConstant))
		v.served, v.shed, v.failed, v.latencyCount, v.latencySum = v.served*f, v.shed*f, v.failed*f, v.latencyCount*f, v.latencySum*f
	}
	v.served += float64(o.Served)
	v.shed += float64(o.Shed)
	v.failed += float64(o.Failed)
	if n := float64(o.Served + o.Overdue); n > 0 && o.Latency > 0 {
		switch {
		case o.Latency < slowLatencyFactor:
			v.slowSince, v.slowAt = time.Time{}, time.Time{}
		case v.slowSince.IsZero():
			v.slowSince, v.slowAt = now, now
		default:
			v.slowAt = now
		}
		v.latencyCount += n
		v.latencySum += n * o.Latency
	}
	v.at = now
}

// decay returns the factors by which the number of reported observations and their value have decayed.
func (v *peerView) decay(now time.Time) (evidence, value float64) {
	if v.at.IsZero() {
		return 0, 0
	}
	age := float64(now.Sub(v.at))
	return math.Exp(-age / float64(evidenceTimeConstant)), max(1-age/float64(maxPeerAge), 0)
}

// blend returns the mean of an own rate and of the rate that peers reported, weighted by the numbers of observations. reported
// is the number of observations among total that raise the rate.
func (n *node) blend(now time.Time, own *decayingRate, reported, total float64) float64 {
	r := own.current(now)
	evidence, value := n.peers.decay(now)
	if w := peerWeight * total * evidence; w > 0 {
		share := reported / (total + peerPrior) * value
		// The smoothed rate of an upstream that fails this share of its requests, see shareOf.
		rate := rateRiseWeight * share / (rateFallWeight + share*(rateRiseWeight-rateFallWeight))
		ownWeight := max(n.own.current(now), minOwnEvidence)
		r = (ownWeight*r + w*rate) / (ownWeight + w)
	}
	return r
}

// currentFailureRate is the rate of requests that failed, as this instance and others observed it, or were shed for lack of
// capacity, as this instance did. What others report only raises it, since they say nothing about such sheds.
func (n *node) currentFailureRate(now time.Time) float64 {
	own := n.failureRate.current(now)
	return max(own, n.blend(now, &n.failureRate, n.peers.failed, n.peers.served+n.peers.shed+n.peers.failed))
}

// currentShedRate is the rate of requests shed although the upstream has capacity, as this instance and others observed it.
func (n *node) currentShedRate(now time.Time) float64 {
	return n.blend(now, &n.unloadedShedRate, n.peers.shed, n.peers.served+n.peers.shed)
}

// blendLatency returns the mean of an own latency estimate and of what peers reported, weighted by the numbers of observations.
func (n *node) blendLatency(now time.Time, own float64) float64 {
	evidence, value := n.peers.decay(now)
	w := peerWeight * n.peers.latencyCount * evidence
	if w == 0 || !n.peers.isSlow() {
		return own
	}
	reported := n.peers.latencySum / n.peers.latencyCount * float64(referenceLatency)
	if n.samples == 0 {
		return max(own, reported*value)
	}
	if reported > own {
		reported = own + value*(reported-own)
	}
	ownWeight := max(n.own.current(now), minOwnEvidence)
	return (ownWeight*own + w*reported) / (ownWeight + w)
}

// isReported reports whether the reports of others keep requests away from the upstream.
func (n *node) isReported(now time.Time) bool {
	evidence, value := n.peers.decay(now)
	return evidence*value > 0 && !n.isReliable(now)
}

// count adds a finished request to the observations that will be reported; latency is normalized.
func (n *node) count(now time.Time, kind carobbend.FailureKind, latency time.Duration, load float64) {
	l := float64(latency) / float64(referenceLatency)
	if kind == carobbend.FailureCanceled {
		if l >= slowLatencyFactor {
			n.own.add(now, 1)
			n.unreported.abandoned++
			n.unreported.latency += incompleteLatencyFactor * l
		}
		return
	}
	n.own.add(now, 1)
	switch {
	case kind == carobbend.FailureNone:
		n.unreported.served++
		if load >= freeLoad {
			n.unreported.full++
		}
		n.unreported.latency += l
		n.unreported.slow = n.unreported.slow || l >= slowLatencyFactor
	case kind == carobbend.FailureShed && HasCapacity(load):
		n.unreported.shed++
	case kind == carobbend.FailureShed:
		// Its queue is full at this moment, which has passed when others read it.
	default:
		n.unreported.failed++
	}
}

// overdue returns the number of requests in flight that take longer than slowLatencyFactor reference latencies, and the sum of
// their estimated latencies in reference latencies.
func (n *node) overdue(now time.Time) (count int, sum float64) {
	for _, o := range n.open {
		if l := float64(now.Sub(o.started)) * o.scale / float64(referenceLatency); l >= slowLatencyFactor {
			count++
			sum += incompleteLatencyFactor * l
		}
	}
	return count, sum
}

// TakeObservations appends to buf what was observed since the last call of the upstreams that are in question, and returns it.
// An upstream is in question while this instance or another one observes trouble, for questionTime after that, and while it
// gets less than its full part (WithPace). It is for
// instances whose reports RecordPeerObservations takes in.
func (b *Balancer) TakeObservations(now time.Time, buf []Observation) []Observation {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, n := range b.nodes {
		u := n.unreported
		overdue, overdueLatency := n.overdue(now)
		overdue += u.abandoned
		n.unreported = unreported{}
		if u.served+u.shed+u.failed+overdue == 0 {
			continue
		}
		if u.shed+u.failed+overdue > 0 || u.slow {
			n.inQuestionUntil = now.Add(questionTime)
		}
		if !now.Before(n.inQuestionUntil) && (b.pacer == nil || n.pace.isFull()) {
			continue
		}
		o := Observation{Upstream: id, Served: u.served, Full: u.full, Shed: u.shed, Failed: u.failed, Overdue: overdue}
		if k := u.served + overdue; k > 0 {
			o.Latency = (u.latency + overdueLatency) / float64(k)
		}
		buf = append(buf, o)
	}
	return buf
}

// RecordPeerObservations takes in what another instance observed. It weighs less than own observations and loses its weight with
// time, so that a wrong report can delay a request but never exclude an upstream for long.
func (b *Balancer) RecordPeerObservations(now time.Time, observations []Observation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, o := range observations {
		n := b.node(now, o.Upstream)
		n.peers.record(now, o)
		if b.pacer != nil {
			n.recordPeerPace(o)
		}
		if o.IsTrouble() {
			n.inQuestionUntil = now.Add(questionTime)
		}
	}
}
