package admitter

import (
	"time"

	"carobbend.example/carobbend/estimator"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// defaultLimit, defaultLeast and defaultMost bound the queries that run at a time.
	defaultLimit = 8
	defaultLeast = 2
	defaultMost  = 256
	// slowFactor scales the limit when queries take too long.
	slowFactor = 0.9
	// lostWeight is the part by which an answer that lost all its shards to overload lowers the limit. One that lost
	// a few lowers it in proportion, since a single overloaded shard gains little from fewer queries.
	lostWeight = 0.5
	// congestedRatio is the recent service time over the baseline that counts as congestion.
	congestedRatio = 4
	// recentWeight is the weight of one service time in the recent mean.
	recentWeight = 0.1
	// baselineRise is the share of the difference by which the baseline follows a recent mean above it.
	baselineRise = 0.001
	// usedRatio is the limit over the running queries up to which the limit counts as used and grows.
	usedRatio = 2
	// growth over the limit is what a query that finished while the limit is used adds to it.
	growth = 0.05
	// serviceWindow is the number of service times in each of the two histograms of the quantile.
	serviceWindow = 256
	// dueQuantile is the quantile, in percent, of the service times that a query must have left before its deadline.
	// At the median half of the queries started last would run in vain.
	dueQuantile = 90
	// firstDue is the service time assumed before any was observed.
	firstDue   = 10 * time.Millisecond
	maxService = time.Minute
)

// concurrency is the adaptive limit of running queries.
type concurrency struct {
	value float64
	least float64
	most  float64
	// service is the service time in nanoseconds.
	service  estimator.Baseline
	due      time.Duration
	services *hdrhistogram.WindowedHistogram
	seen     int
	nextCut  time.Time
}

func newConcurrency(start, least, most int) concurrency {
	return concurrency{
		value: float64(max(start, 1)), least: float64(max(least, 1)), most: float64(max(most, least, 1)),
		due:      firstDue,
		service:  estimator.NewBaseline(recentWeight, baselineRise),
		services: hdrhistogram.NewWindowed(2, 1, maxService.Microseconds(), 2),
	}
}

func (c *concurrency) now() int { return int(c.value) }

// allowance returns the service time that most queries don't exceed.
func (c *concurrency) allowance() time.Duration { return c.due }

// mean returns the recent mean service time.
func (c *concurrency) mean() time.Duration {
	if c.service.Recent() == 0 {
		return firstDue
	}
	return time.Duration(c.service.Recent())
}

func (c *concurrency) finished(now time.Time, service time.Duration, used bool) {
	c.learn(service)
	if c.service.Recent() > congestedRatio*c.service.Level() {
		c.decrease(now, slowFactor)
		return
	}
	if used {
		c.value = min(c.value+growth/c.value, c.most)
	}
}

func (c *concurrency) learn(service time.Duration) {
	v := min(max(service.Microseconds(), 1), maxService.Microseconds())
	if err := c.services.Current.RecordValue(v); err == nil {
		if c.seen++; c.seen%(serviceWindow/8) == 0 {
			c.due = time.Duration(c.services.Merge().ValueAtQuantile(dueQuantile)) * time.Microsecond
		}
		if c.seen%serviceWindow == 0 {
			c.services.Rotate()
		}
	}
	c.service.Observe(float64(service))
}

// decrease scales the limit once per service time, so that one congestion isn't counted several times.
func (c *concurrency) decrease(now time.Time, factor float64) {
	if now.Before(c.nextCut) {
		return
	}
	c.nextCut = now.Add(c.due)
	c.value = max(c.value*factor, c.least)
}
