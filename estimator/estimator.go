// Package estimator tracks a smoothed latency and its baseline, i.e. the latency without congestion.
//
// # Usage
//
//	b := estimator.NewBaseline(0.1, 0.002)
//	b.Observe(float64(latency))
//	congested := b.Smoothed() > 2*b.BaselineLevel()
package estimator

// Baseline holds an exponentially smoothed value and its baseline, which follows a falling value at once and a rising one
// slowly. The zero value has weights of 0 and keeps the first observation.
type Baseline struct {
	weight, rise float64
	smoothed     float64
	baseline     float64
}

// NewBaseline returns a Baseline. weight is the weight of an observation in the smoothed value, rise the weight with which
// the baseline follows a smoothed value above it.
func NewBaseline(weight, rise float64) Baseline { return Baseline{weight: weight, rise: rise} }

// Observe adds an observation, which must be positive.
func (b *Baseline) Observe(v float64) {
	if b.smoothed == 0 {
		b.smoothed, b.baseline = v, v
		return
	}
	b.smoothed += b.weight * (v - b.smoothed)
	if b.smoothed < b.baseline {
		b.baseline = b.smoothed
		return
	}
	b.baseline += b.rise * (b.smoothed - b.baseline)
}

// Smoothed returns the smoothed value, 0 before the first observation.
func (b *Baseline) Smoothed() float64 { return b.smoothed }

// BaselineLevel returns the baseline, 0 before the first observation.
func (b *Baseline) BaselineLevel() float64 { return b.baseline }
