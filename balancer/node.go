package balancer

import (
	"math"
	"math/rand/v2"
	"time"

	"carobbend.example/carobbend"
)

const (
	// latencyWindow is the time constant of the smoothed latency.
	latencyWindow = 500 * time.Millisecond
	// minWeight and maxWeight bound the weight of one observation, whatever the time since the last one.
	minWeight = 0.05
	maxWeight = 0.3
	// baselineRise is the share of the difference by which the baseline follows a smoothed latency above it.
	baselineRise = 0.002
	// tieBand is the relative difference between two scores that counts as equal.
	tieBand = 0.15
	// penaltyWindow is the time constant with which the penalty of failures fades.
	penaltyWindow = 2 * time.Second
	// minPenalty and maxPenalty bound the penalty of a failure and the sum of penalties.
	minPenalty = 10 * time.Millisecond
	maxPenalty = time.Second
	// cutFactor scales the age of a request that was cut: it has lasted at least that long and wasn't near its end.
	cutFactor = 2
	// faultWindow is the time constant with which the share of failures is forgotten.
	faultWindow = 3 * time.Second
	// faultRise and faultFall are the weights of a failure and of a success in the share of failures: it rises within a
	// few requests and falls as slowly as the share that is left asks for.
	faultRise = 0.3
	faultFall = 0.15
	// faultFactor scales scores by the share of failures. An upstream that fails or sheds two in five requests while its
	// load is low is asked only where the others are about five times as slow.
	faultFactor = 8
	// restFactor bounds the latency, in reference latencies, that is expected of an upstream which was not asked for long.
	restFactor = 1.5
	// overdueFactor scales the baseline to the age at which a request in flight counts as overdue.
	overdueFactor = 2
	// shedPause is the time for which an upstream that shed a request is passed over. 20 ms sent all requests to the
	// other replicas in turns, which made those shed.
	shedPause = time.Millisecond
	// fullLoad is the load that a shed stands for: all slots and a queue of twice the slots are taken.
	fullLoad = 3
	// hintWindow is the time constant with which a reported load fades, hintLifetime the age at which it has no
	// influence left.
	hintWindow   = 100 * time.Millisecond
	hintLifetime = time.Second
	// busyLoad is the reported load at which an upstream is passed over for second requests, for busyWindow after the
	// report. One in busyTries tries ignores it, so that a wrong report can only postpone a request.
	busyLoad   = 2
	busyWindow = 20 * time.Millisecond
	busyTries  = 4
	// maxHint bounds the reported load, so that a wrong report changes a score by this factor plus 1 at most.
	maxHint = 1.5
)

const (
	// fullBacklog is the number of requests running and waiting per slot from which a new one would wait for longer than
	// it runs.
	fullBacklog = 2
	// backlogWindow is the age at which a reported load says nothing about the queue any more.
	backlogWindow = 200 * time.Millisecond
)

// openRequest is a request in flight; scale turns its age into that of a usual request.
type openRequest struct {
	started time.Time
	scale   float64
}

// node is what is known of one upstream.
type node struct {
	id       carobbend.UpstreamID
	inFlight int
	// open holds the requests in flight, oldest first.
	open []openRequest
	// latency is the smoothed latency in nanoseconds; 0 where none was observed.
	latency float64
	// baseline is the latency without load: it falls with the smoothed latency at once and rises slowly.
	baseline   float64
	samples    int
	observedAt time.Time
	penalty    float64
	penaltyAt  time.Time
	// fault is the smoothed share of requests that failed, or were shed for want of room; refused is that of requests
	// which were shed although the upstream reported room.
	fault     share
	refused   share
	shedUntil time.Time
	load      float64
	loadAt    time.Time
	// since is the time of the first contact or of the last recovery.
	since        time.Time
	leaving      bool
	leavingSince time.Time
	failures     int
	ejectedUntil time.Time
	ejections    int
	ejectedAt    time.Time
}

// score is the expected cost of one more request; unknown stands in for a latency that was never observed.
func (n *node) score(now time.Time, unknown float64, forget time.Duration, hint bool) float64 {
	s := float64(n.inFlight+1) * (n.expected(now, unknown, forget) + n.penaltyNow(now))
	if hint {
		s *= 1 + n.hint(now)
	}
	return s * (1 + faultFactor*(1-(1-n.fault.now(now))*(1-n.refused.now(now))))
}

// share is a smoothed share of requests, which is forgotten with time. The zero value is 0.
type share struct {
	value float64
	at    time.Time
}

func (s *share) now(now time.Time) float64 {
	if s.value == 0 {
		return 0
	}
	return s.value * math.Exp(-float64(now.Sub(s.at))/float64(faultWindow))
}

// count adds a request that belongs to the share, or one that doesn't.
func (s *share) count(now time.Time, belongs bool) {
	v := s.now(now)
	if belongs {
		v += faultRise * (1 - v)
	} else {
		v -= faultFall * v
	}
	s.value, s.at = v, now
}

// ended counts a request in the shares of failures.
func (n *node) ended(now time.Time, kind carobbend.FailureKind, load float64) {
	switch {
	case kind == carobbend.FailureNone:
		n.fault.count(now, false)
		n.refused.count(now, false)
	case kind == carobbend.FailureShed && HasRoom(load):
		n.refused.count(now, true)
	default:
		n.fault.count(now, true)
	}
}

// acceptance is the share of requests that the upstream takes although it sheds others at random. It undoes the different
// weights of faultRise and faultFall.
func (n *node) acceptance(now time.Time) float64 {
	r := n.refused.now(now)
	return 1 - r*faultFall/(faultRise-r*(faultRise-faultFall))
}

// expected is the latency that a request has now.
func (n *node) expected(now time.Time, unknown float64, forget time.Duration) float64 {
	return max(n.estimate(now, unknown, forget), n.overdue(now))
}

func (n *node) estimate(now time.Time, unknown float64, forget time.Duration) float64 {
	if n.samples == 0 {
		return unknown
	}
	if forget == 0 {
		return n.latency
	}
	// A baseline that was learned in bad times alone says nothing about better ones.
	rest := min(n.baseline, restFactor*float64(referenceLatency))
	if n.latency <= rest || n.inFlight > 0 {
		// One request at a time finds out whether a slow upstream has recovered.
		return n.latency
	}
	return rest + (n.latency-rest)*math.Exp(-float64(now.Sub(n.observedAt))/float64(forget))
}

// backlog is the reported number of requests per slot, which fades as it ages.
func (n *node) backlog(now time.Time) float64 {
	age := now.Sub(n.loadAt)
	if n.loadAt.IsZero() || age < 0 || age >= backlogWindow {
		return 0
	}
	return n.load * (1 - float64(age)/float64(backlogWindow))
}

// overdue is what the requests in flight say about the latency: the one that has lasted longest isn't near its end.
// Ages that are usual say nothing.
func (n *node) overdue(now time.Time) float64 {
	age := 0.0
	for _, o := range n.open {
		age = max(age, float64(now.Sub(o.started))*o.scale)
	}
	if n.samples > 0 && age < overdueFactor*n.baseline {
		return 0
	}
	return cutFactor * age
}

// closed forgets the request in flight that was started nearest to the given time.
func (n *node) closed(started time.Time) {
	if len(n.open) == 0 {
		return
	}
	best := 0
	for i := range n.open {
		if n.open[i].started.Sub(started).Abs() < n.open[best].started.Sub(started).Abs() {
			best = i
		}
	}
	n.open = append(n.open[:best], n.open[best+1:]...)
}

// hint is the reported load, which fades to 0 as it ages.
func (n *node) hint(now time.Time) float64 {
	age := now.Sub(n.loadAt)
	if n.loadAt.IsZero() || age < 0 || age >= hintLifetime {
		return 0
	}
	return min(max(n.load, 0), maxHint) * math.Exp(-float64(age)/float64(hintWindow))
}

// busy reports whether a second request to the node would only wait.
func (n *node) busy(now time.Time) bool {
	return n.load >= busyLoad && !n.loadAt.IsZero() && now.Sub(n.loadAt) < busyWindow
}

func (n *node) penaltyNow(now time.Time) float64 {
	if n.penalty == 0 {
		return 0
	}
	return n.penalty * math.Exp(-float64(now.Sub(n.penaltyAt))/float64(penaltyWindow))
}

func (n *node) succeeded(now time.Time, latency time.Duration) {
	n.failures = 0
	n.observe(now, float64(latency))
	if n.ejections > 0 && now.Sub(n.ejectedAt) > ejectionMemory {
		n.ejections = 0
	}
}

// cut learns from a request without a reply, which can only raise the estimate.
func (n *node) cut(now time.Time, age time.Duration) {
	l := float64(age) * cutFactor
	if n.samples == 0 {
		// A failure at once isn't a fast reply.
		l = max(l, float64(referenceLatency))
	}
	if l > n.latency {
		n.observe(now, l)
	}
}

func (n *node) observe(now time.Time, latency float64) {
	if n.samples == 0 {
		n.latency, n.baseline = latency, latency
	} else {
		w := 1 - math.Exp(-float64(now.Sub(n.observedAt))/float64(latencyWindow))
		w = min(max(w, minWeight), maxWeight)
		n.latency += w * (latency - n.latency)
	}
	if n.latency < n.baseline {
		n.baseline = n.latency
	} else {
		n.baseline += baselineRise * (n.latency - n.baseline)
	}
	n.samples++
	n.observedAt = now
}

func (n *node) failed(now time.Time, rng *rand.Rand) {
	n.failures++
	n.addPenalty(now)
	if n.failures >= maxFailures {
		n.eject(now, rng)
	}
}

// HasRoom reports whether an upstream that reports this load, in requests per slot, could take another request. A negative
// load was not reported.
func HasRoom(load float64) bool { return load >= 0 && load < fullBacklog }

// shed records a refusal. Where the upstream reports room, the refusal says nothing about its queue.
func (n *node) shed(now time.Time, load float64) {
	n.failures = 0
	n.shedUntil = now.Add(shedPause)
	if !HasRoom(load) {
		n.load, n.loadAt = fullLoad, now
	}
}

func (n *node) addPenalty(now time.Time) {
	p := n.penaltyNow(now) + max(n.latency, float64(minPenalty))
	n.penalty, n.penaltyAt = min(p, float64(maxPenalty)), now
}

func (n *node) setLeaving(now time.Time, leaving bool) {
	if leaving == n.leaving {
		return
	}
	n.leaving = leaving
	if leaving {
		n.leavingSince = now
		return
	}
	n.recover(now)
}

// recover starts afresh after an absence.
func (n *node) recover(now time.Time) {
	n.since = now
	n.samples, n.latency = 0, 0
	n.failures = 0
	n.penalty = 0
}

// ramp is the share of its requests that a node gets during slow start, from minRamp to 1.
func (n *node) ramp(now time.Time) float64 {
	age := now.Sub(n.since)
	if age >= slowStart {
		return 1
	}
	return max(minRamp, float64(age)/float64(slowStart))
}
