package planner

import (
	"slices"
	"strconv"
	"time"

	"carobbend.example/carobbend"
)

type shardState uint8

const (
	shardPending shardState = iota
	shardCovered
	shardMissing
)

// shard is the state of one shard in the current plan.
type shard struct {
	replicas []carobbend.UpstreamID
	// tried lists the replicas that were sent a request; excluded lists those that are leaving or lack the snapshot. A
	// replica that shed a request may receive a retry, since a queue of some milliseconds may have drained by then.
	tried, excluded []carobbend.UpstreamID
	// wakeAt is when sendNext is due: for a request that found no capacity, a retry or a hedge.
	wakeAt time.Duration
	// lastAttempt is the number of the latest attempt, or -1.
	lastAttempt             int32
	openAttempts            int16
	replicasWithoutSnapshot int16
	retries                 int8
	state                   shardState
	failures                failureSet
}

// sendNext sends the primary request if there was none yet, a hedge if an attempt is in flight, and a retry otherwise.
func (p *Planner) sendNext(now time.Time, i int) {
	s := &p.shards[i]
	switch {
	case s.lastAttempt < 0:
		p.sendPrimary(now, i)
	case s.openAttempts > 0:
		p.sendHedge(now, i)
	default:
		p.sendRetry(now, i)
	}
}

func (p *Planner) sendPrimary(now time.Time, i int) {
	s := &p.shards[i]
	id, ok := p.cfg.Balancer.Pick(now, s.replicas, nil)
	if !ok {
		p.waitForCapacity(s)
		return
	}
	p.uncreditedPrimaries++
	p.stats.Primaries++
	p.send(now, i, id, CausePrimary)
}

// sendHedge sends an additional request to a replica that was neither tried nor excluded. It does nothing if there is no
// such replica, and postpones the hedge if no replica has capacity or the budget denies it.
func (p *Planner) sendHedge(now time.Time, i int) {
	s := &p.shards[i]
	if p.elapsed < p.hedgeResumeAt {
		p.scheduleWake(s, p.hedgeResumeAt)
		return
	}
	candidates := p.without(s.replicas, s.tried, s.excluded)
	if len(candidates) == 0 {
		return
	}
	id, ok := p.cfg.Balancer.Pick(now, candidates, s.tried)
	if !ok {
		p.waitForCapacity(s)
		return
	}
	if !p.tryWithdraw() {
		p.hedgeResumeAt = p.elapsed + hedgeBackoff
		p.scheduleWake(s, p.hedgeResumeAt)
		return
	}
	p.stats.Hedges++
	p.send(now, i, id, CauseHedge)
}

// sendRetry sends a request to a replica that isn't excluded, preferably one that wasn't tried. A retry that the budget
// denies counts towards maxRetries.
func (p *Planner) sendRetry(now time.Time, i int) {
	s := &p.shards[i]
	candidates := p.without(s.replicas, s.excluded, nil)
	if len(candidates) == 0 {
		p.markMissing(i)
		return
	}
	id, ok := p.cfg.Balancer.Pick(now, candidates, s.tried)
	if !ok {
		p.waitForCapacity(s)
		return
	}
	s.retries++
	if !p.tryWithdraw() {
		p.scheduleRetry(i)
		return
	}
	p.stats.Retries++
	p.send(now, i, id, CauseRetry)
}

// tryWithdraw takes one hedge or retry from the budget and reports whether it was granted.
func (p *Planner) tryWithdraw() bool {
	if !p.extraLoadAllowed() || !p.cfg.Budget.TryWithdraw(p.cfg.Query.Index) {
		return false
	}
	p.withdrawals++
	return true
}

// handleShardFailure records the failure of an attempt. If no other attempt of the shard is in flight, it schedules a
// retry or marks the shard as missing.
func (p *Planner) handleShardFailure(i int, a *attempt, kind carobbend.FailureKind) {
	s := &p.shards[i]
	s.openAttempts--
	s.failures.add(kind)
	switch kind {
	case carobbend.FailureSnapshotGone:
		if !slices.Contains(s.excluded, a.upstream) {
			s.replicasWithoutSnapshot++
		}
		s.excluded = append(s.excluded, a.upstream)
	case carobbend.FailureLeaving:
		s.excluded = append(s.excluded, a.upstream)
	default:
	}
	if s.openAttempts > 0 {
		return
	}
	if kind == carobbend.FailureCanceled || kind == carobbend.FailureDeadline {
		p.markMissing(i)
		return
	}
	p.scheduleRetry(i)
}

// scheduleRetry schedules the next retry with full jitter, or marks the shard as missing if no retry is possible.
func (p *Planner) scheduleRetry(i int) {
	s := &p.shards[i]
	at := p.elapsed + p.jitter(retryBackoffBase<<s.retries)/2
	if !p.extraLoadAllowed() || s.retries >= maxRetries || at >= p.finishAt || p.allExcluded(s) {
		p.markMissing(i)
		return
	}
	p.scheduleWake(s, at)
}

func (p *Planner) allExcluded(s *shard) bool {
	return len(p.without(s.replicas, s.excluded, nil)) == 0
}

// markMissing gives up on a shard, and requests a replan if the pinned snapshot is gone for it.
func (p *Planner) markMissing(i int) {
	s := &p.shards[i]
	s.state = shardMissing
	s.wakeAt = never
	p.pendingShards--
	reason := s.reason()
	p.combiner.MarkMissing(i, reason)
	if reason == carobbend.MissingSnapshotGone && !p.replanPending && p.stats.Replans == 0 && p.snapshotGone(i) {
		p.replanPending = true
	}
}

func (p *Planner) send(now time.Time, i int, id carobbend.UpstreamID, cause Cause) {
	s := &p.shards[i]
	n := len(p.attempts)
	a := attempt{
		id: p.requestID(i, n), upstream: id, sentAt: p.elapsed, firstSentAt: p.elapsed,
		shard: int32(i), previous: s.lastAttempt, plan: p.plan,
	}
	if cause == CauseHedge {
		a.firstSentAt = p.attempts[s.lastAttempt].firstSentAt
	}
	p.attempts = append(p.attempts, a)
	s.lastAttempt = int32(n)
	s.openAttempts++
	s.tried = append(s.tried, id)
	p.cfg.Balancer.Sent(now, id)
	p.effects.Sends = append(p.effects.Sends, Send{
		Attempt: n, Cause: cause, Upstream: id,
		Request: carobbend.ShardRequest{
			ID: a.id, Ref: p.ref(i), Text: p.cfg.Query.Text, Limit: p.limit, Deadline: p.started.Add(p.finishAt),
		},
	})
	if p.hedgeDelay > 0 && p.extraLoadAllowed() && len(s.tried) < len(s.replicas) {
		p.scheduleWake(s, p.elapsed+p.hedgeDelay)
	}
}

func (p *Planner) ref(i int) carobbend.ShardRef {
	return carobbend.ShardRef{
		Index: p.cfg.Query.Index, Snapshot: p.combiner.Snapshot(), Shard: i, Shards: len(p.shards),
	}
}

// requestID returns an ID that is unique to the attempt, made of the query ID, the shard and the attempt number.
func (p *Planner) requestID(i, n int) string {
	var buf [64]byte
	b := append(buf[:0], p.cfg.Query.ID...)
	b = append(b, '-')
	b = strconv.AppendInt(b, int64(i), 10)
	b = append(b, '-')
	b = strconv.AppendInt(b, int64(n), 10)
	return string(b)
}

// waitForCapacity wakes the shard after a random delay, rounded up so that waiting shards share a timer.
func (p *Planner) waitForCapacity(s *shard) {
	at := p.elapsed + meanCapacityWait/2 + p.jitter(meanCapacityWait/2)
	p.scheduleWake(s, at.Truncate(capacityWaitGranularity)+capacityWaitGranularity)
}

func (p *Planner) scheduleWake(s *shard, at time.Duration) {
	s.wakeAt = at
	p.nextTimer = min(p.nextTimer, at)
}

// jitter returns a random duration in [0, 2*mean).
func (p *Planner) jitter(mean time.Duration) time.Duration {
	return time.Duration(p.rng.Uint64() % uint64(2*mean))
}

// without returns the replicas that are neither in a nor in b. The result is valid until the next call.
func (p *Planner) without(replicas, a, b []carobbend.UpstreamID) []carobbend.UpstreamID {
	if len(a) == 0 && len(b) == 0 {
		return replicas
	}
	p.scratch = p.scratch[:0]
	for _, id := range replicas {
		if !slices.Contains(a, id) && !slices.Contains(b, id) {
			p.scratch = append(p.scratch, id)
		}
	}
	return p.scratch
}
