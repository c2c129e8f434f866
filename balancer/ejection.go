package balancer

import (
	"math/rand/v2"
	"sort"
	"time"
)

const (
	// slowStart is the time after first contact or recovery in which an upstream's share of requests grows.
	slowStart = 2 * time.Second
	// minRamp is the share at the start, so that there is something to learn from.
	minRamp = 0.1
	// maxFailures is the number of consecutive failures that ejects an upstream.
	maxFailures = 3
	// outlierFactor is how far above the median baseline of the other candidates a latency ejects an upstream, if it
	// is also slowerFactor times their median latency.
	outlierFactor = 4
	slowerFactor  = 2
	// minSamples is the number of observations before a latency can eject an upstream.
	minSamples = 3
	// ejectionBase and ejectionMax bound the back-off, which doubles from one ejection to the next.
	ejectionBase = time.Second
	ejectionMax  = 30 * time.Second
	// ejectionMemory is how long an upstream must do well before its back-off starts from the base again.
	ejectionMemory = time.Minute
)

// eject passes an upstream over for a back-off time with jitter.
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

// notEjected returns the nodes that are in use. At most half of the candidates are passed over, the last ejected ones
// first, so that one always remains.
func (b *Balancer) notEjected(now time.Time, staying []*node) []*node {
	if b.noEject || len(staying) < 2 {
		return staying
	}
	for _, n := range staying {
		if !n.ejectedUntil.IsZero() && !now.Before(n.ejectedUntil) {
			// What led to the ejection must not lead to the next one, before the upstream was asked again.
			n.ejectedUntil = time.Time{}
			failures := n.failures
			n.recover(now)
			n.failures = failures
		}
	}
	b.findOutliers(now, staying)
	var out []*node
	for _, n := range staying {
		if now.Before(n.ejectedUntil) {
			out = append(out, n)
		}
	}
	if len(out) == 0 {
		return staying
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ejectedAt.After(out[j].ejectedAt) })
	out = out[:min(len(out), len(staying)/2)]
	return keep(staying, func(n *node) bool {
		for _, o := range out {
			if o == n {
				return false
			}
		}
		return true
	})
}

// findOutliers ejects nodes whose latency is far above the others'. The others' baseline counts, since they slow down
// too when they take over the requests of a straggler.
func (b *Balancer) findOutliers(now time.Time, nodes []*node) {
	for _, n := range nodes {
		if n.samples < minSamples || now.Before(n.ejectedUntil) || !suspect(n, nodes) {
			continue
		}
		others := make([]*node, 0, len(nodes))
		for _, o := range nodes {
			if o != n && o.samples >= minSamples {
				others = append(others, o)
			}
		}
		latency := func(o *node) float64 { return o.latency }
		baseline := func(o *node) float64 { return o.baseline }
		if n.latency > outlierFactor*median(others, baseline) && n.latency > slowerFactor*median(others, latency) {
			n.eject(now, b.rng)
		}
	}
}

// suspect reports whether n may be an outlier; it spares the medians where no other node is much faster.
func suspect(n *node, nodes []*node) bool {
	for _, o := range nodes {
		if o != n && o.samples >= minSamples && n.latency > outlierFactor*o.baseline {
			return true
		}
	}
	return false
}

// medianEstimate returns the lower median of the observed latencies in nanoseconds, or 0.
func medianEstimate(nodes []*node) float64 {
	return median(nodes, func(n *node) float64 { return n.latency })
}

// median returns the lower median of what f returns for nodes with observations, or 0.
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
