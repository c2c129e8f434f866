package balancer

import (
	"math/rand/v2"
	"sort"
	"time"
)

const (
	// slowStart is the time after the first contact or a recovery during which an upstream's share of requests grows.
	slowStart = 2 * time.Second
	// minRamp is the share at the beginning of slow start, so that there are requests to observe.
	minRamp = 0.1
	// maxFailures is the number of consecutive failures that ejects an upstream.
	maxFailures = 3
	// An upstream is ejected if its latency exceeds outlierBaselineFactor times the median baseline of the other candidates
	// and also outlierMedianFactor times their median latency.
	outlierBaselineFactor = 4
	outlierMedianFactor   = 2
	// minSamples is the number of observations from which an upstream can be ejected as a latency outlier, or be compared with.
	minSamples = 3
	// ejectionBase and ejectionMax bound the back-off, which doubles with each ejection.
	ejectionBase = time.Second
	ejectionMax  = 30 * time.Second
	// ejectionResetAfter is the time after an ejection from which a success resets the back-off to the base.
	ejectionResetAfter = time.Minute
)

// eject takes an upstream out of use for a back-off time with jitter.
func (n *node) eject(now time.Time, rng *rand.Rand) {
	if now.Before(n.ejectedUntil) {
		return
	}
	d := min(ejectionBase<<min(n.ejections, 10), ejectionMax)
	d += time.Duration(rng.Float64() * 0.2 * float64(d))
	n.ejectedUntil, n.ejectedAt = now.Add(d), now
	n.ejections++
	n.failures = maxFailures - 1
}

// notEjected returns the nodes that aren't ejected. At most half of the nodes are left out, the last ejected ones first,
// so that one always remains.
func (b *Balancer) notEjected(now time.Time, nodes []*node) []*node {
	if b.noEject || len(nodes) < 2 {
		return nodes
	}
	for _, n := range nodes {
		if !n.ejectedUntil.IsZero() && !now.Before(n.ejectedUntil) {
			// The observations that led to this ejection must not cause the next one before the upstream gets a request.
			n.ejectedUntil = time.Time{}
			failures := n.failures
			n.reset(now)
			n.failures = failures
		}
	}
	b.findOutliers(now, nodes)
	var out []*node
	for _, n := range nodes {
		if now.Before(n.ejectedUntil) {
			out = append(out, n)
		}
	}
	if len(out) == 0 {
		return nodes
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ejectedAt.After(out[j].ejectedAt) })
	out = out[:min(len(out), len(nodes)/2)]
	return filter(nodes, func(n *node) bool {
		for _, o := range out {
			if o == n {
				return false
			}
		}
		return true
	})
}

// findOutliers ejects nodes whose latency is far above the others'. It compares with the others' baselines, since their
// latencies rise too when they take over the requests of a slow upstream. Nodes that fail or shed many requests can't take
// them over, so they are not compared with.
func (b *Balancer) findOutliers(now time.Time, nodes []*node) {
	for _, n := range nodes {
		if n.samples < minSamples || now.Before(n.ejectedUntil) || !mayBeOutlier(now, n, nodes) {
			continue
		}
		others := make([]*node, 0, len(nodes))
		for _, o := range nodes {
			if o != n && o.isComparable(now) {
				others = append(others, o)
			}
		}
		latency := func(o *node) float64 { return o.latency }
		baseline := func(o *node) float64 { return o.baseline }
		if n.latency > outlierBaselineFactor*median(others, baseline) && n.latency > outlierMedianFactor*median(others, latency) {
			n.eject(now, b.rng)
		}
	}
}

// mayBeOutlier is a cheap check before the medians are computed: it reports whether any other node is much faster than n.
func mayBeOutlier(now time.Time, n *node, nodes []*node) bool {
	for _, o := range nodes {
		if o != n && n.latency > outlierBaselineFactor*o.baseline && o.isComparable(now) {
			return true
		}
	}
	return false
}

// isComparable reports whether the node has been observed enough and serves enough requests to replace a slow one.
func (n *node) isComparable(now time.Time) bool {
	return n.samples >= minSamples && n.isReliable(now)
}

// medianLatency returns the lower median of the smoothed latencies in nanoseconds, or 0 without observations.
func medianLatency(nodes []*node) float64 {
	return median(nodes, func(n *node) float64 { return n.latency })
}

// median returns the lower median of f over the nodes with observations, or 0 if there are none.
func median(nodes []*node, f func(*node) float64) float64 {
	l := make([]float64, 0, len(nodes))
	for _, n := range nodes {
		if n.samples > 0 {
			l = append(l, f(n))
		}
	}
	if len(l) == 0 {
		return 0
	}
	sort.Float64s(l)
	return l[(len(l)-1)/2]
}
