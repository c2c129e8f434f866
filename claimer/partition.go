package claimer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/encoder"
)

const (
	// retryBase and retryMax bound the back-off between rounds that failed, with full jitter.
	retryBase = 2 * time.Millisecond
	retryMax  = 200 * time.Millisecond
)

// partition commits requests in groups. At most one commit round runs at a time; requests that arrive meanwhile are
// queued for the next one.
type partition struct {
	c   *Claimer
	key string

	mu      sync.Mutex
	queue   []*pending
	running bool
	// wake ends the wait of a running commitLoop whose queued requests may all be delayed.
	wake chan struct{}

	// The fields below belong to the goroutine that runs commitLoop.
	value    *encoder.ClaimPartition
	revision uint64
	// cached says that value and revision were read from the store and not swapped since; they may be outdated.
	cached bool
	// readThisRound says that the value was read after the requests of the round were queued.
	readThisRound bool
	failures      int
}

// pending is a request that waits for its result. Its fields are guarded by partition.mu.
type pending struct {
	req    Request
	done   chan Result
	queued time.Time
	// due is the time at which the request is committed even if no claim arrived to share the swap.
	due time.Time
	// completed says that the request has its result or was withdrawn.
	completed bool
	// swapping says that a swap with this request is in flight.
	swapping bool
	// uncertain says that an earlier swap, made at revision uncertainAt or before, may have committed this request or
	// may still commit it.
	uncertain   bool
	uncertainAt uint64
}

// submit queues a request and waits for its result or the end of ctx.
func (p *partition) submit(ctx context.Context, req Request) Result {
	if ctx.Err() != nil {
		return Result{Status: StatusRefused, Detail: DetailWithdrawn}
	}
	w := &pending{req: req, done: make(chan Result, 1), queued: time.Now()}
	w.due = w.queued
	if req.Action != ActionClaim {
		w.due = w.due.Add(p.c.currentRecordDelay())
	}
	p.mu.Lock()
	p.queue = append(p.queue, w)
	if !p.running {
		p.running = true
		go p.commitLoop()
	} else if req.Action == ActionClaim {
		select {
		case p.wake <- struct{}{}:
		default:
		}
	}
	p.mu.Unlock()
	select {
	case r := <-w.done:
		return r
	case <-ctx.Done():
		return p.withdraw(w)
	}
}

func (p *partition) busy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running
}

// withdraw takes a request out of the queue. The result is StatusRefused only if no swap that contained the request can
// have taken effect.
func (p *partition) withdraw(w *pending) Result {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.completed {
		return <-w.done
	}
	w.completed = true
	if w.swapping || w.uncertain {
		return Result{Status: StatusUnknown, Detail: "the result of the swap isn't known"}
	}
	return Result{Status: StatusRefused, Detail: DetailWithdrawn}
}

// commitLoop runs commit rounds until no request is queued.
func (p *partition) commitLoop() {
	ctx := context.Background()
	for {
		p.readThisRound = false
		if !p.continueRunning() {
			return
		}
		if wait := p.untilDue(); wait > 0 {
			t := time.NewTimer(wait)
			select {
			case <-p.wake:
			case <-t.C:
			}
			t.Stop()
			continue
		}
		if p.waitForPacer() && p.commitRound(ctx) {
			p.failures = 0
			continue
		}
		if !p.continueRunning() {
			return
		}
		p.failures++
		limit := min(retryBase<<min(p.failures, 10), retryMax)
		time.Sleep(rand.N(limit))
	}
}

// continueRunning reports whether requests are queued; otherwise it marks commitLoop as ended.
func (p *partition) continueRunning() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeCompleted()
	p.running = len(p.queue) > 0
	if !p.running {
		p.failures = 0
	}
	return p.running
}

// untilDue returns the time until the first request is due.
func (p *partition) untilDue() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	var first time.Time
	for _, w := range p.queue {
		if first.IsZero() || w.due.Before(first) {
			first = w.due
		}
	}
	if first.IsZero() {
		return 0
	}
	return time.Until(first)
}

// waitForPacer waits until the pacer permits the next swap. If that would take longer than rateLimitWait, it refuses
// the claims that have waited that long and returns false.
func (p *partition) waitForPacer() bool {
	wait, ok := p.c.pacer.reserve(time.Now(), p.c.rateLimitWait)
	if !ok {
		p.rejectQueued(DetailStoreLimited)
		return false
	}
	if wait > 0 {
		time.Sleep(wait)
	}
	return true
}

func (p *partition) removeCompleted() {
	live := p.queue[:0]
	for _, w := range p.queue {
		if !w.completed {
			live = append(live, w)
		}
	}
	clear(p.queue[len(live):])
	p.queue = live
}

// commitRound reads the partition where needed and commits all queued requests with one swap. It returns false if
// commitLoop should back off before the next round.
func (p *partition) commitRound(ctx context.Context) bool {
	if !p.cached && !p.load(ctx) {
		return false
	}
	batch, reqs := p.startSwap()
	next, results := Apply(p.value, reqs, p.c.bounds)
	if next == p.value {
		if !p.readThisRound && !allPermanent(results) {
			p.cached = false
			p.requeue(batch)
			return true
		}
		p.completeBatch(batch, results)
		return true
	}
	value, err := proto.Marshal(next)
	if err != nil {
		p.rejectQueued(DetailBadValue)
		return false
	}
	swapped, err := p.c.swap(ctx, p.key, value, p.revision)
	p.cached = false
	if err == nil {
		p.c.pacer.recordAccepted()
	}
	switch {
	case err == nil && swapped:
		p.completeBatch(batch, results)
		if _, ok := p.c.preferred(p.key); ok {
			// The swap doesn't return the new revision. Reading it now saves the next request this wait.
			p.refreshCache(ctx)
		}
		return true
	case err == nil:
		p.c.counters.conflicts.Add(1)
		p.requeue(batch)
		return false
	case carobbend.StoreFailureOf(err) == carobbend.StoreUnknown:
		p.c.counters.lost.Add(1)
		p.requeueUncertain(batch)
		return false
	default:
		p.requeue(batch)
		p.rejectQueued(p.failureDetail(err))
		return false
	}
}

// allPermanent reports whether all results stay true whatever was committed since the partition was read.
func allPermanent(results []Result) bool {
	for _, r := range results {
		if r.Status != StatusFinished && r.Status != StatusExpired && r.Status != StatusOwned {
			return false
		}
	}
	return true
}

// failureDetail returns the detail for a store call that had no effect, and slows the pacer if the store refused the
// call because of its rate limit.
func (p *partition) failureDetail(err error) string {
	if carobbend.StoreFailureOf(err) == carobbend.StoreLimited {
		p.c.pacer.recordLimited(time.Now())
		return DetailStoreLimited
	}
	return DetailStoreDown
}

// load reads the partition from the store; if that fails, requests that were in no swap are refused.
func (p *partition) load(ctx context.Context) bool {
	e, err := p.c.get(ctx, p.key)
	if err != nil {
		p.rejectQueued(p.failureDetail(err))
		return false
	}
	value := &encoder.ClaimPartition{}
	if err := proto.Unmarshal(e.Value, value); err != nil {
		p.rejectQueued(DetailBadValue)
		return false
	}
	p.value, p.revision, p.cached, p.readThisRound = value, e.Revision, true, true
	p.resolveUncertain()
	return true
}

// refreshCache reads the partition for the next round; a failure leaves the cache empty, so that the next round reads it.
func (p *partition) refreshCache(ctx context.Context) {
	e, err := p.c.get(ctx, p.key)
	if err != nil {
		return
	}
	value := &encoder.ClaimPartition{}
	if proto.Unmarshal(e.Value, value) == nil {
		p.value, p.revision, p.cached = value, e.Revision, true
	}
}

// resolveUncertain clears the mark of requests whose swap can no longer take effect: the partition has a later revision
// than the swap was made at, and it holds no record of the request's key.
func (p *partition) resolveUncertain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.queue {
		if !w.uncertain || p.revision <= w.uncertainAt {
			continue
		}
		if Find(p.value, w.req.Key).Status == StatusAbsent {
			w.uncertain = false
		}
	}
}

// startSwap returns the queued requests and marks them as part of the swap in flight.
func (p *partition) startSwap() ([]*pending, []Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeCompleted()
	batch := append([]*pending(nil), p.queue...)
	reqs := make([]Request, len(batch))
	for i, w := range batch {
		w.swapping = true
		reqs[i] = w.req
	}
	return batch, reqs
}

// requeue returns requests to the queue after a swap that didn't take effect.
func (p *partition) requeue(batch []*pending) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range batch {
		w.swapping = false
	}
}

// requeueUncertain returns requests to the queue after a swap that may have taken effect.
func (p *partition) requeueUncertain(batch []*pending) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range batch {
		w.swapping, w.uncertain, w.uncertainAt = false, true, max(w.uncertainAt, p.revision)
	}
}

func (p *partition) completeBatch(batch []*pending, results []Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, w := range batch {
		p.complete(w, results[i])
	}
}

// rejectQueued refuses the requests that were in no swap; the others wait for a read that shows whether they were
// committed. When the store's rate limit was reached, claims are kept for rateLimitWait, and a finish or release until
// its context ends.
func (p *partition) rejectQueued(detail string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, w := range p.queue {
		mayWait := detail == DetailStoreLimited && (w.req.Action != ActionClaim || now.Sub(w.queued) < p.c.rateLimitWait)
		if !w.uncertain && !mayWait {
			p.complete(w, Result{Status: StatusRefused, Detail: detail})
		}
	}
}

func (p *partition) complete(w *pending, r Result) {
	if w.completed {
		return
	}
	w.completed = true
	w.done <- r
}
