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
	// outlierFactor is how far above the median of the other candidates a latency ejects an upstream.
	outlierFactor = 5
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
	b.findOutliers(now, staying)
	var out []*node
	for _, n := range staying {
		if now.Before(n.ejectedUntil) {
			out = append(out, n)
		} else if !n.ejectedUntil.IsZero() {
			n.ejectedUntil = time.Time{}
			failures := n.failures
			n.recover(now)
			n.failures = failures
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

// findOutliers ejects nodes whose latency is far above the median of the others.
func (b *Balancer) findOutliers(now time.Time, nodes []*node) {
	least := 0.0
	for _, n := range nodes {
		if n.samples >= minSamples && (least == 0 || n.latency < least) {
			least = n.latency
		}
	}
	for _, n := range nodes {
		if n.samples < minSamples || n.latency <= outlierFactor*least || now.Before(n.ejectedUntil) {
			continue
		}
		others := make([]*node, 0, len(nodes))
		for _, o := range nodes {
			if o != n && o.samples >= minSamples {
				others = append(others, o)
			}
		}
		if m := medianEstimate(others); m > 0 && n.latency > outlierFactor*m {
			n.eject(now, b.rng)
		}
	}
}

// medianEstimate returns the lower median of the observed latencies in nanoseconds, or 0.
func medianEstimate(nodes []*node) float64 {
	l := make([]float64, 0, len(nodes))
	for _, n := range nodes {
		if n.samples > 0 {
			l = append(l, n.latency)
		}
	}
	if len(l) == 0 {
		return 0
	}
	sort.Float64s(l)
	return l[(len(l)-1)/2]
}
