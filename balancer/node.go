package balancer

import (
	"math"
	"math/rand/v2"
	"time"

	"carobbend.example/carobbend"
)

const (
	// latencyTimeConstant is the time constant of the smoothed latency.
	latencyTimeConstant = 500 * time.Millisecond
	// minWeight and maxWeight bound the weight of one observation, whatever the time since the last one.
	minWeight = 0.05
	maxWeight = 0.3
	// baselineRise is the weight with which the baseline follows a smoothed latency above it.
	baselineRise = 0.002
	// tieTolerance is the relative difference between two scores that counts as equal.
	tieTolerance = 0.15
	// penaltyTimeConstant is the time constant with which the penalty of failures decays.
	penaltyTimeConstant = 2 * time.Second
	// minPenalty and maxPenalty bound the penalty of a failure and the sum of penalties.
	minPenalty = 10 * time.Millisecond
	maxPenalty = time.Second
	// incompleteLatencyFactor scales the age of a request that ended without a reply, or has none yet, to an estimate of its
	// latency: the age is a lower bound, and the request wasn't near its end.
	incompleteLatencyFactor = 2
	// rateTimeConstant is the time constant with which failure rates decay.
	rateTimeConstant = 3 * time.Second
	// rateRiseWeight and rateFallWeight are the weights of a failure and of a success in a failure rate: it rises within a
	// few requests and falls more slowly, in proportion to its value.
	rateRiseWeight = 0.3
	rateFallWeight = 0.15
	// failureRateFactor scales scores by the failure rate. An upstream that fails or sheds two in five requests while its
	// load is low is chosen only if the others are about five times as slow.
	failureRateFactor = 8
	// maxIdleLatencyFactor bounds, in reference latencies, the value to which the latency estimate of an idle upstream decays.
	maxIdleLatencyFactor = 1.5
	// overdueFactor scales the baseline to the age from which a request in flight counts as overdue.
	overdueFactor = 2
	// shedBackoff is the time for which an upstream that shed a request is avoided, with WithInFlightLatency by retries and
	// hedges only. With 20 ms, all requests move from one replica to the next, and each of them sheds in turn.
	shedBackoff = time.Millisecond
	// assumedShedLoad is the load assumed after a shed request: all slots and a queue of twice the slots are taken.
	assumedShedLoad = 3
	// loadTimeConstant is the time constant with which a reported load decays in the score; from maxLoadAge it is ignored.
	loadTimeConstant = 100 * time.Millisecond
	maxLoadAge       = time.Second
	// busyLoad is the reported load from which an upstream gets no retries and hedges, for maxBusyAge after the report.
	// One in busyProbeRatio picks ignores it, so that a wrong report can only delay a request.
	busyLoad       = 2
	maxBusyAge     = 20 * time.Millisecond
	busyProbeRatio = 4
	// maxDecayedLoad bounds the reported load, so that a wrong report changes a score at most by this value plus 1 as a factor.
	maxDecayedLoad = 1.5
)

const (
	// fullBacklog is the number of requests running and waiting per slot from which a new one waits for longer than it
	// runs.
	fullBacklog = 2
	// maxReliableLatency, in reference latencies, is the expected latency up to which an upstream that serves its requests is
	// preferred to others that shed or fail many. Beyond it the load exceeds its capacity, and the others' part is needed.
	maxReliableLatency = 1.5
	// maxBacklogAge is the age from which a reported load says nothing about the queue.
	maxBacklogAge = 200 * time.Millisecond
)

// inFlightRequest is a request in flight; scale normalizes its age to referenceLatency.
type inFlightRequest struct {
	started time.Time
	scale   float64
}

// node is the state of one upstream.
type node struct {
	id       carobbend.UpstreamID
	inFlight int
	// open holds the requests in flight, oldest first.
	open []inFlightRequest
	// latency is the smoothed latency in nanoseconds; 0 before the first observation.
	latency float64
	// baseline estimates the latency without load: it follows a falling latency at once and a rising one slowly.
	baseline   float64
	samples    int
	observedAt time.Time
	penalty    float64
	penaltyAt  time.Time
	// failureRate is the rate of requests that failed or were shed for lack of capacity; unloadedShedRate is that of requests
	// shed although the upstream reported capacity.
	failureRate      decayingRate
	unloadedShedRate decayingRate
	shedUntil        time.Time
	load             float64
	loadAt           time.Time
	// activeSince is the time of the first contact or of the last recovery, at which slow start begins.
	activeSince  time.Time
	leaving      bool
	leavingSince time.Time
	failures     int
	ejectedUntil time.Time
	ejections    int
	ejectedAt    time.Time
	// own is the number of recent own observations, peers what other instances reported, and unreported what they will be told.
	own             evidence
	peers           peerView
	unreported      unreported
	inQuestionUntil time.Time
	// picks is the number of recent choices for which the upstream was a candidate.
	picks evidence
	pace  pace
}

// score is the expected cost of one more request; unknown is the latency assumed before the first observation.
func (n *node) score(now time.Time, unknown float64, decay time.Duration, useLoad bool) float64 {
	s := float64(n.inFlight+1) * (n.expectedLatency(now, unknown, decay) + n.decayedPenalty(now))
	if useLoad {
		s *= 1 + n.decayedLoad(now)
	}
	return s * (1 + failureRateFactor*(1-(1-n.currentFailureRate(now))*(1-n.currentShedRate(now))))
}

// decayingRate is a smoothed share of requests that decays over time. The zero value is a rate of 0.
type decayingRate struct {
	rate      float64
	updatedAt time.Time
}

func (s *decayingRate) current(now time.Time) float64 {
	if s.rate == 0 {
		return 0
	}
	return s.rate * math.Exp(-float64(now.Sub(s.updatedAt))/float64(rateTimeConstant))
}

// record adds a request; counts says whether it raises the rate.
func (s *decayingRate) record(now time.Time, counts bool) {
	v := s.current(now)
	if counts {
		v += rateRiseWeight * (1 - v)
	} else {
		v -= rateFallWeight * v
	}
	s.rate, s.updatedAt = v, now
}

// shareOf estimates the share of requests that raised a rate. It corrects the bias that the different values of rateRiseWeight
// and rateFallWeight cause.
func shareOf(r float64) float64 {
	return r * rateFallWeight / (rateRiseWeight - r*(rateRiseWeight-rateFallWeight))
}

// recordOutcome updates the failure rates with a request's result.
func (n *node) recordOutcome(now time.Time, kind carobbend.FailureKind, load float64) {
	switch {
	case kind == carobbend.FailureNone:
		n.failureRate.record(now, false)
		n.unloadedShedRate.record(now, false)
	case kind == carobbend.FailureShed && HasCapacity(load):
		n.unloadedShedRate.record(now, true)
	default:
		n.failureRate.record(now, true)
	}
}

// acceptanceRate is the share of requests that the upstream doesn't shed while it has capacity.
func (n *node) acceptanceRate(now time.Time) float64 { return 1 - shareOf(n.currentShedRate(now)) }

// successRate is the share of requests that the upstream neither sheds nor fails.
func (n *node) successRate(now time.Time) float64 {
	return n.acceptanceRate(now) * (1 - shareOf(n.currentFailureRate(now)))
}

// isReliable reports whether the upstream serves nearly all of its requests.
func (n *node) isReliable(now time.Time) bool { return n.successRate(now) >= HealthyRate }

// isResponsive reports whether the upstream has a short queue and a low expected latency.
func (n *node) isResponsive(now time.Time, decay time.Duration) bool {
	return n.backlog(now) < fullBacklog && n.expectedLatency(now, 0, decay) < maxReliableLatency*float64(referenceLatency)
}

// expectedLatency is the larger of the decayed estimate and of what the requests in flight show.
func (n *node) expectedLatency(now time.Time, unknown float64, decay time.Duration) float64 {
	return max(n.decayedLatency(now, unknown, decay), n.inFlightLatency(now))
}

func (n *node) decayedLatency(now time.Time, unknown float64, decay time.Duration) float64 {
	return n.blendLatency(now, n.ownLatency(now, unknown, decay))
}

// ownLatency is the estimate from this instance's own observations.
func (n *node) ownLatency(now time.Time, unknown float64, decay time.Duration) float64 {
	if n.samples == 0 {
		return unknown
	}
	if decay == 0 {
		return n.latency
	}
	// If all observations come from a slow period, the baseline is too high; the bound corrects that.
	idleLatency := min(n.baseline, maxIdleLatencyFactor*float64(referenceLatency))
	if n.latency <= idleLatency || n.inFlight > 0 {
		// The estimate doesn't decay during a request, so only one at a time probes whether a slow upstream has recovered.
		return n.latency
	}
	return idleLatency + (n.latency-idleLatency)*math.Exp(-float64(now.Sub(n.observedAt))/float64(decay))
}

// backlog is the reported number of requests per slot, which falls linearly to 0 at maxBacklogAge.
func (n *node) backlog(now time.Time) float64 {
	age := now.Sub(n.loadAt)
	if n.loadAt.IsZero() || age < 0 || age >= maxBacklogAge {
		return 0
	}
	return n.load * (1 - float64(age)/float64(maxBacklogAge))
}

// inFlightLatency estimates the latency from the oldest request in flight, which is assumed not to be near its end. It is
// 0 unless that request is overdue.
func (n *node) inFlightLatency(now time.Time) float64 {
	age := 0.0
	for _, o := range n.open {
		age = max(age, float64(now.Sub(o.started))*o.scale)
	}
	if n.samples > 0 && age < overdueFactor*n.baseline {
		return 0
	}
	return incompleteLatencyFactor * age
}

// removeRequest removes the request in flight whose start is nearest to the given time.
func (n *node) removeRequest(started time.Time) {
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

// decayedLoad is the reported load, bounded and decaying to 0 with its age.
func (n *node) decayedLoad(now time.Time) float64 {
	age := now.Sub(n.loadAt)
	if n.loadAt.IsZero() || age < 0 || age >= maxLoadAge {
		return 0
	}
	return min(max(n.load, 0), maxDecayedLoad) * math.Exp(-float64(age)/float64(loadTimeConstant))
}

// busy reports whether a retry or hedge to the node would only queue.
func (n *node) busy(now time.Time) bool {
	return n.load >= busyLoad && !n.loadAt.IsZero() && now.Sub(n.loadAt) < maxBusyAge
}

func (n *node) decayedPenalty(now time.Time) float64 {
	if n.penalty == 0 {
		return 0
	}
	return n.penalty * math.Exp(-float64(now.Sub(n.penaltyAt))/float64(penaltyTimeConstant))
}

func (n *node) succeeded(now time.Time, latency time.Duration) {
	n.failures = 0
	n.observe(now, float64(latency))
	if n.ejections > 0 && now.Sub(n.ejectedAt) > ejectionResetAfter {
		n.ejections = 0
	}
}

// observeIncomplete observes a request that ended without a reply, which can only raise the latency estimate.
func (n *node) observeIncomplete(now time.Time, age time.Duration) {
	l := float64(age) * incompleteLatencyFactor
	if n.samples == 0 {
		// An immediate failure is no evidence of a low latency.
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
		w := 1 - math.Exp(-float64(now.Sub(n.observedAt))/float64(latencyTimeConstant))
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

// HasCapacity reports whether an upstream with this reported load, in requests per slot, has capacity for another request.
// Negative means that no load was reported.
func HasCapacity(load float64) bool { return load >= 0 && load < fullBacklog }

// shed records a shed request. If the upstream reports capacity, this says nothing about its queue.
func (n *node) shed(now time.Time, load float64) {
	n.failures = 0
	n.shedUntil = now.Add(shedBackoff)
	if !HasCapacity(load) {
		n.load, n.loadAt = assumedShedLoad, now
	}
}

func (n *node) addPenalty(now time.Time) {
	p := n.decayedPenalty(now) + max(n.latency, float64(minPenalty))
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
	n.reset(now)
}

// reset drops the smoothed latency, the consecutive failures and the penalty, and restarts slow start after a recovery.
func (n *node) reset(now time.Time) {
	n.activeSince = now
	n.samples, n.latency = 0, 0
	n.failures = 0
	n.penalty = 0
}

// ramp is the share of requests that a node gets during slow start, from minRamp to 1.
func (n *node) ramp(now time.Time) float64 {
	age := now.Sub(n.activeSince)
	if age >= slowStart {
		return 1
	}
	return max(minRamp, float64(age)/float64(slowStart))
}
