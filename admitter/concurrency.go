package admitter

import (
	"time"

	"carobbend.example/carobbend/estimator"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// defaultLimit, defaultMin and defaultMax are the initial, minimum and maximum limit of queries that run at a time.
	defaultLimit = 8
	defaultMin   = 2
	defaultMax   = 256
	// slowFactor scales the limit when the smoothed service time indicates congestion.
	slowFactor = 0.9
	// lostWeight is the part by which an answer that lost all its shards to overload lowers the limit. One that lost
	// a few lowers it in proportion, since a single overloaded shard gains little from fewer queries.
	lostWeight = 0.5
	// congestedRatio is the ratio of the smoothed service time to the baseline above which the service counts as congested.
	congestedRatio = 4
	// smoothingWeight is the weight of one service time in the smoothed one.
	smoothingWeight = 0.1
	// baselineRise is the weight with which the baseline follows a smoothed service time above it.
	baselineRise = 0.001
	// usedRatio is the ratio of the limit to the running queries up to which the limit counts as used and grows.
	usedRatio = 2
	// growth divided by the limit is the increase of the limit by a query that finishes while the limit is used.
	growth = 0.05
	// serviceWindow is the number of service times in each of the two histograms of the quantile.
	serviceWindow = 256
	// requiredQuantile is the quantile, in percent, of the service times that a query must have left before its deadline.
	// With the median, half of the queries started last would miss their deadline.
	requiredQuantile = 90
	// initialServiceTime is the service time assumed before the first observation.
	initialServiceTime = 10 * time.Millisecond
	maxService         = time.Minute
)

// concurrency is the adaptive limit of running queries (additive increase, multiplicative decrease).
type concurrency struct {
	value    float64
	minLimit float64
	maxLimit float64
	// service is the service time in nanoseconds.
	service      estimator.Baseline
	required     time.Duration
	services     *hdrhistogram.WindowedHistogram
	observations int
	nextDecrease time.Time
}

func newConcurrency(start, least, most int) concurrency {
	return concurrency{
		value: float64(max(start, 1)), minLimit: float64(max(least, 1)), maxLimit: float64(max(most, least, 1)),
		required: initialServiceTime,
		service:  estimator.NewBaseline(smoothingWeight, baselineRise),
		services: hdrhistogram.NewWindowed(2, 1, maxService.Microseconds(), 2),
	}
}

func (c *concurrency) current() int { return int(c.value) }

// requiredTime returns the service time that a query must have left before its deadline (see requiredQuantile).
func (c *concurrency) requiredTime() time.Duration { return c.required }

// mean returns the smoothed service time, initialServiceTime before the first observation.
func (c *concurrency) mean() time.Duration {
	if c.service.Smoothed() == 0 {
		return initialServiceTime
	}
	return time.Duration(c.service.Smoothed())
}

func (c *concurrency) finished(now time.Time, service time.Duration, used bool) {
	c.observe(service)
	if c.service.Smoothed() > congestedRatio*c.service.BaselineLevel() {
		c.decrease(now, slowFactor)
		return
	}
	if used {
		c.value = min(c.value+growth/c.value, c.maxLimit)
	}
}

func (c *concurrency) observe(service time.Duration) {
	v := min(max(service.Microseconds(), 1), maxService.Microseconds())
	if err := c.services.Current.RecordValue(v); err == nil {
		if c.observations++; c.observations%(serviceWindow/8) == 0 {
			c.required = time.Duration(c.services.Merge().ValueAtQuantile(requiredQuantile)) * time.Microsecond
		}
		if c.observations%serviceWindow == 0 {
			c.services.Rotate()
		}
	}
	c.service.Observe(float64(service))
}

// decrease scales the limit at most once per required service time, so that one congestion isn't counted several times.
func (c *concurrency) decrease(now time.Time, factor float64) {
	if now.Before(c.nextDecrease) {
		return
	}
	c.nextDecrease = now.Add(c.required)
	c.value = max(c.value*factor, c.minLimit)
}
