package allotter

import (
	"math"
	"time"
)

const (
	// shortMemory, middleMemory and longMemory are the time constants of the averages of an account's request rate, the long one for
	// small accounts. A shorter average that differs by more than chance explains replaces the long one, so that parts follow a
	// surge and are given up soon after callers have left.
	shortMemory  = 700 * time.Millisecond
	middleMemory = 3 * time.Second
	longMemory   = 12 * time.Second
	// deviations is the number of standard deviations beyond which a difference isn't chance.
	deviations = 2.0
	// quietRequests is the number of requests that are expected at most in a time in which none came.
	quietRequests = 3.0
	// headroom multiplies the request rate for which parts are asked.
	headroom = 1.5
	// minDemand is the request rate a second below which no parts are asked for: small parts hold less than a token. Tokens are borrowed
	// instead.
	minDemand = 4.0
	// spareTokens and spareTime are the burst for which parts are asked: requests don't arrive evenly. Fewer tokens are asked for
	// than requests are expected within spareMemory.
	spareTokens = 2.0
	spareTime   = time.Second
	spareMemory = 6 * time.Second
)

// demand estimates the request rate of an account at this instance, refused requests included.
type demand struct {
	short, middle, long float64
	// quiet is the time since the last request.
	quiet time.Duration
}

// add counts the requests that arrived in a time.
func (d *demand) add(n int, elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	r := float64(n) / elapsed.Seconds()
	for _, x := range []struct {
		average *float64
		memory  time.Duration
	}{{&d.short, shortMemory}, {&d.middle, middleMemory}, {&d.long, longMemory}} {
		*x.average += (r - *x.average) * (1 - math.Exp(-elapsed.Seconds()/x.memory.Seconds()))
	}
	for _, x := range []struct {
		average float64
		memory  time.Duration
	}{{d.middle, middleMemory}, {d.short, shortMemory}} {
		chance := deviations * math.Sqrt(d.long/x.memory.Seconds())
		d.long = min(max(d.long, x.average-chance), x.average+chance)
	}
	if n > 0 {
		d.quiet = 0
		return
	}
	d.quiet += elapsed
	d.long = min(d.long, quietRequests/d.quiet.Seconds())
}

// rate returns the request rate to expect, a second.
func (d *demand) rate() float64 { return d.long }

// wanted returns the parts for which this instance has use.
func (x *account) wanted() int {
	r := x.demand.rate()
	if r < minDemand || x.rate <= 0 || x.removed > 0 {
		return 0
	}
	byRate := headroom * r / x.rate
	spare := min(spareTokens, r*spareMemory.Seconds()) + 2*math.Sqrt(r*spareTime.Seconds())
	byBurst := spare / max(x.burst, 1)
	return int(whole * min(max(byRate, byBurst), 1))
}

// idle reports whether the account has had no requests for long and holds no granted parts.
func (x *account) idle() bool {
	return x.arrived == 0 && x.demand.rate() < minDemand && x.aim == 0 && len(x.held) == 0 && x.refusedNow == 0
}

// pressed reports whether the tokens are about to run out.
func (x *account) pressed() bool { return x.refusedNow > 0 || x.level < 1+x.capacity()/8 }
