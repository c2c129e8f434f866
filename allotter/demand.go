package allotter

import (
	"math"
	"time"
)

const (
	// shortMemory and longMemory are the time constants of the two averages of an account's request rate. The short one
	// follows a surge, the long one keeps parts that are used now and then.
	shortMemory = 700 * time.Millisecond
	longMemory  = 12 * time.Second
	// headroom multiplies the request rate for which parts are asked.
	headroom = 1.35
	// minDemand is the request rate a second below which no parts are asked for.
	minDemand = 0.02
	// spareTokens and spareTime are the burst for which parts are asked: requests don't arrive evenly.
	spareTokens = 2.0
	spareTime   = time.Second
)

// demand estimates the request rate of an account at this instance, refused requests included.
type demand struct {
	short, long float64
}

// add counts the requests that arrived in a time.
func (d *demand) add(n int, elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	r := float64(n) / elapsed.Seconds()
	d.short += (r - d.short) * (1 - math.Exp(-elapsed.Seconds()/shortMemory.Seconds()))
	d.long += (r - d.long) * (1 - math.Exp(-elapsed.Seconds()/longMemory.Seconds()))
}

// rate returns the request rate to expect, a second.
func (d *demand) rate() float64 {
	// A few requests within the short memory say little about the rate.
	noise := 2 * math.Sqrt(d.long/shortMemory.Seconds())
	return max(d.long, d.short-noise)
}

// wanted returns the parts for which this instance has use.
func (x *account) wanted() int {
	r := x.demand.rate()
	if r < minDemand || x.rate <= 0 || x.removed > 0 {
		return 0
	}
	byRate := headroom * r / x.rate
	byBurst := (spareTokens + 2*math.Sqrt(r*spareTime.Seconds())) / max(x.burst, 1)
	return int(whole * min(max(byRate, byBurst), 1))
}

// pressed reports whether the tokens are about to run out.
func (x *account) pressed() bool { return x.refusedNow > 0 || x.level < 1+x.capacity()/8 }
