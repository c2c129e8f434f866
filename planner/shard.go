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

// shard is the progress of one shard in the current plan.
type shard struct {
	replicas []carobbend.UpstreamID
	// tried lists the replicas asked; barred those that are leaving or lack the snapshot. A replica that shed may be
	// asked again by a retry, since a queue of some milliseconds may have drained meanwhile.
	tried, barred []carobbend.UpstreamID
	// wake is when the shard needs attention: a request without capacity, a retry or a hedge.
	wake time.Duration
	// newest is the last attempt, or -1.
	newest  int32
	open    int16
	gone    int16
	retries int8
	state   shardState
	seen    failureSet
}

// act sends what the shard needs now.
func (p *Planner) act(now time.Time, i int) {
	s := &p.shards[i]
	switch {
	case s.newest < 0:
		p.primary(now, i)
	case s.open > 0:
		p.hedge(now, i)
	default:
		p.retry(now, i)
	}
}

func (p *Planner) primary(now time.Time, i int) {
	s := &p.shards[i]
	id, ok := p.cfg.Balancer.Pick(now, s.replicas, nil)
	if !ok {
		p.waitForCapacity(s)
		return
	}
	p.earned++
	p.stats.Primaries++
	p.send(now, i, id, CausePrimary)
}

// hedge sends a further request to a replica that wasn't asked and didn't refuse.
func (p *Planner) hedge(now time.Time, i int) {
	s := &p.shards[i]
	if p.now < p.hedgeFrom {
		p.wakeAt(s, p.hedgeFrom)
		return
	}
	candidates := p.without(s.replicas, s.tried, s.barred)
	if len(candidates) == 0 {
		return
	}
	id, ok := p.cfg.Balancer.Pick(now, candidates, s.tried)
	if !ok {
		p.waitForCapacity(s)
		return
	}
	if !p.spend() {
		p.hedgeFrom = p.now + hedgePause
		p.wakeAt(s, p.hedgeFrom)
		return
	}
	p.stats.Hedges++
	p.send(now, i, id, CauseHedge)
}

func (p *Planner) retry(now time.Time, i int) {
	s := &p.shards[i]
	candidates := p.without(s.replicas, s.barred, nil)
	if len(candidates) == 0 {
		p.miss(i)
		return
	}
	id, ok := p.cfg.Balancer.Pick(now, candidates, s.tried)
	if !ok {
		p.waitForCapacity(s)
		return
	}
	s.retries++
	if !p.spend() {
		p.scheduleRetry(i)
		return
	}
	p.stats.Retries++
	p.send(now, i, id, CauseRetry)
}

func (p *Planner) spend() bool {
	if !p.mayExtra() || !p.cfg.Budget.Spend(p.cfg.Query.Index) {
		return false
	}
	p.paid++
	return true
}

// shardFailed waits for another open attempt of the shard, or retries, or gives the shard up.
func (p *Planner) shardFailed(i int, a *attempt, kind carobbend.FailureKind) {
	s := &p.shards[i]
	s.open--
	s.seen.add(kind)
	switch kind {
	case carobbend.FailureSnapshotGone:
		if !slices.Contains(s.barred, a.upstream) {
			s.gone++
		}
		s.barred = append(s.barred, a.upstream)
	case carobbend.FailureLeaving:
		s.barred = append(s.barred, a.upstream)
	default:
	}
	if s.open > 0 {
		return
	}
	if kind == carobbend.FailureCanceled || kind == carobbend.FailureDeadline {
		p.miss(i)
		return
	}
	p.scheduleRetry(i)
}

// scheduleRetry plans the next retry with full jitter, or gives the shard up.
func (p *Planner) scheduleRetry(i int) {
	s := &p.shards[i]
	at := p.now + p.jitter(retryWait<<s.retries)/2
	if !p.mayExtra() || s.retries >= maxRetries || at >= p.finishAt || p.allBarred(s) {
		p.miss(i)
		return
	}
	p.wakeAt(s, at)
}

func (p *Planner) allBarred(s *shard) bool {
	return len(p.without(s.replicas, s.barred, nil)) == 0
}

// miss gives a shard up.
func (p *Planner) miss(i int) {
	s := &p.shards[i]
	s.state = shardMissing
	s.wake = never
	p.pending--
	reason := s.reason()
	p.combiner.Miss(i, reason)
	if reason == carobbend.MissingSnapshotGone && !p.vanished && p.stats.Replans == 0 && p.gone(i) {
		p.vanished = true
	}
}

func (p *Planner) send(now time.Time, i int, id carobbend.UpstreamID, cause Cause) {
	s := &p.shards[i]
	n := len(p.attempts)
	a := attempt{
		id: p.requestID(i, n), upstream: id, sent: p.now, origin: p.now,
		shard: int32(i), previous: s.newest, plan: p.plan,
	}
	if cause == CauseHedge {
		a.origin = p.attempts[s.newest].origin
	}
	p.attempts = append(p.attempts, a)
	s.newest = int32(n)
	s.open++
	s.tried = append(s.tried, id)
	p.cfg.Balancer.Sent(now, id)
	p.effects.Sends = append(p.effects.Sends, Send{
		Attempt: n, Cause: cause, Upstream: id,
		Request: carobbend.ShardRequest{
			ID: a.id, Ref: p.ref(i), Text: p.cfg.Query.Text, Limit: p.limit, Deadline: p.started.Add(p.finishAt),
		},
	})
	if p.delay > 0 && p.mayExtra() && len(s.tried) < len(s.replicas) {
		p.wakeAt(s, p.now+p.delay)
	}
}

func (p *Planner) ref(i int) carobbend.ShardRef {
	return carobbend.ShardRef{
		Index: p.cfg.Query.Index, Snapshot: p.combiner.Snapshot(), Shard: i, Shards: len(p.shards),
	}
}

// requestID is unique for each attempt: query, shard and number of the attempt.
func (p *Planner) requestID(i, n int) string {
	var buf [64]byte
	b := append(buf[:0], p.cfg.Query.ID...)
	b = append(b, '-')
	b = strconv.AppendInt(b, int64(i), 10)
	b = append(b, '-')
	b = strconv.AppendInt(b, int64(n), 10)
	return string(b)
}

func (p *Planner) waitForCapacity(s *shard) {
	at := p.now + capacityWait/2 + p.jitter(capacityWait/2)
	p.wakeAt(s, at.Truncate(waitSlot)+waitSlot)
}

func (p *Planner) wakeAt(s *shard, at time.Duration) {
	s.wake = at
	p.next = min(p.next, at)
}

// jitter returns a random duration from 0 up to twice the mean.
func (p *Planner) jitter(mean time.Duration) time.Duration {
	return time.Duration(p.rng.Uint64() % uint64(2*mean))
}

// without returns the replicas that are in neither list; the result is valid until the next call.
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
