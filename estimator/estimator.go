// Package estimator follows a varying latency and the level it returns to when nothing is congested.
//
// # Usage
//
//	b := estimator.NewBaseline(0.1, 0.002)
//	b.Observe(float64(latency))
//	congested := b.Recent() > 2*b.Level()
package estimator

// Baseline holds a smoothed value and its baseline, which falls with the value at once and rises slowly. The zero value
// keeps the first observation.
type Baseline struct {
	weight, rise float64
	recent       float64
	level        float64
}

// NewBaseline returns a baseline; weight is the part of one observation in the smoothed value, rise the part of the
// difference by which the baseline follows a smoothed value above it.
func NewBaseline(weight, rise float64) Baseline { return Baseline{weight: weight, rise: rise} }

// Observe takes one positive value.
func (b *Baseline) Observe(v float64) {
	if b.recent == 0 {
		b.recent, b.level = v, v
		return
	}
	b.recent += b.weight * (v - b.recent)
	if b.recent < b.level {
		b.level = b.recent
		return
	}
	b.level += b.rise * (b.recent - b.level)
}

// Recent returns the smoothed value, 0 before the first observation.
func (b *Baseline) Recent() float64 { return b.recent }

// Level returns the baseline, 0 before the first observation.
func (b *Baseline) Level() float64 { return b.level }
