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

// partition commits requests in groups. At most one round runs at a time; requests that arrive meanwhile queue
// for the next one.
type partition struct {
	c   *Claimer
	key string

	mu      sync.Mutex
	queue   []*pending
	running bool
	// wake ends the wait of a running partition whose requests may all be delayed.
	wake chan struct{}

	// The fields below belong to the running round.
	value    *encoder.ClaimPartition
	revision uint64
	// known says that value and revision were read from the store and not swapped since; they may be outdated.
	known bool
	// fresh says that the value was read after the requests of the round were queued.
	fresh    bool
	failures int
}

// pending is a request that waits for its result. Its fields are guarded by partition.mu.
type pending struct {
	req    Request
	done   chan Result
	queued time.Time
	// due is the time by which the request is committed, alone if need be.
	due time.Time
	// ended says that the request was settled or withdrawn.
	ended bool
	// swapping says that a swap with this request is in flight.
	swapping bool
	// exposed says that an earlier swap, made at revision exposedAt or before, may have committed this request or
	// may still.
	exposed   bool
	exposedAt uint64
}

// submit queues a request and waits for its result or the end of ctx.
func (p *partition) submit(ctx context.Context, req Request) Result {
	if ctx.Err() != nil {
		return Result{Status: StatusRefused, Detail: DetailWithdrawn}
	}
	w := &pending{req: req, done: make(chan Result, 1), queued: time.Now()}
	w.due = w.queued
	if req.Action != ActionClaim {
		w.due = w.due.Add(p.c.delay())
	}
	p.mu.Lock()
	p.queue = append(p.queue, w)
	if !p.running {
		p.running = true
		go p.run()
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

// withdraw takes a request out of the queue. It is refused only if no swap that held it can have taken effect.
func (p *partition) withdraw(w *pending) Result {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.ended {
		return <-w.done
	}
	w.ended = true
	if w.swapping || w.exposed {
		return Result{Status: StatusUnknown, Detail: "the result of the swap isn't known"}
	}
	return Result{Status: StatusRefused, Detail: DetailWithdrawn}
}

// run makes rounds until no request is left.
func (p *partition) run() {
	ctx := context.Background()
	for {
		p.fresh = false
		if !p.waiting() {
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
		if p.turn() && p.round(ctx) {
			p.failures = 0
			continue
		}
		if !p.waiting() {
			return
		}
		p.failures++
		limit := min(retryBase<<min(p.failures, 10), retryMax)
		time.Sleep(rand.N(limit))
	}
}

// waiting reports whether requests are queued, and ends the run otherwise.
func (p *partition) waiting() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trim()
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

// turn waits for the partition's turn to swap. It returns false, and refuses claims, where that takes too long.
func (p *partition) turn() bool {
	wait, ok := p.c.pacer.reserve(time.Now(), p.c.patience)
	if !ok {
		p.refuse(DetailStoreLimited)
		return false
	}
	if wait > 0 {
		time.Sleep(wait)
	}
	return true
}

func (p *partition) trim() {
	live := p.queue[:0]
	for _, w := range p.queue {
		if !w.ended {
			live = append(live, w)
		}
	}
	clear(p.queue[len(live):])
	p.queue = live
}

// round reads the partition where needed and commits all queued requests with one swap. It returns false where
// the next round should wait.
func (p *partition) round(ctx context.Context) bool {
	if !p.known && !p.load(ctx) {
		return false
	}
	batch, reqs := p.begin()
	next, results := Apply(p.value, reqs, p.c.bounds)
	if next == p.value {
		if !p.fresh && !lasting(results) {
			p.known = false
			p.back(batch)
			return true
		}
		p.settle(batch, results)
		return true
	}
	value, err := proto.Marshal(next)
	if err != nil {
		p.refuse(DetailBadValue)
		return false
	}
	swapped, err := p.c.swap(ctx, p.key, value, p.revision)
	p.known = false
	if err == nil {
		p.c.pacer.accepted()
	}
	switch {
	case err == nil && swapped:
		p.settle(batch, results)
		if _, ok := p.c.preferred(p.key); ok {
			// The swap doesn't return the new revision. Reading it now spares the next request this wait.
			p.readAhead(ctx)
		}
		return true
	case err == nil:
		p.c.counters.conflicts.Add(1)
		p.back(batch)
		return false
	case carobbend.StoreFailureOf(err) == carobbend.StoreUnknown:
		p.c.counters.lost.Add(1)
		p.expose(batch)
		return false
	default:
		p.back(batch)
		p.refuse(p.failed(err))
		return false
	}
}

// lasting reports whether all results stay true whatever was committed since the partition was read.
func lasting(results []Result) bool {
	for _, r := range results {
		if r.Status != StatusFinished && r.Status != StatusExpired && r.Status != StatusOwned {
			return false
		}
	}
	return true
}

// failed names the reason of a call without effect, and slows down after one refused for its rate.
func (p *partition) failed(err error) string {
	if carobbend.StoreFailureOf(err) == carobbend.StoreLimited {
		p.c.pacer.limited(time.Now())
		return DetailStoreLimited
	}
	return DetailStoreDown
}

// load reads the partition; if that fails, requests that were in no swap are refused.
func (p *partition) load(ctx context.Context) bool {
	e, err := p.c.get(ctx, p.key)
	if err != nil {
		p.refuse(p.failed(err))
		return false
	}
	value := &encoder.ClaimPartition{}
	if err := proto.Unmarshal(e.Value, value); err != nil {
		p.refuse(DetailBadValue)
		return false
	}
	p.value, p.revision, p.known, p.fresh = value, e.Revision, true, true
	p.clearExposed()
	return true
}

func (p *partition) readAhead(ctx context.Context) {
	e, err := p.c.get(ctx, p.key)
	if err != nil {
		return
	}
	value := &encoder.ClaimPartition{}
	if proto.Unmarshal(e.Value, value) == nil {
		p.value, p.revision, p.known = value, e.Revision, true
	}
}

// clearExposed finds the requests whose swap can no longer take effect: the partition has a later revision than
// the swap was made at, and it holds no trace of the request.
func (p *partition) clearExposed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.queue {
		if !w.exposed || p.revision <= w.exposedAt {
			continue
		}
		if Find(p.value, w.req.Key).Status == StatusAbsent {
			w.exposed = false
		}
	}
}

// begin marks the queued requests as part of a swap.
func (p *partition) begin() ([]*pending, []Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trim()
	batch := append([]*pending(nil), p.queue...)
	reqs := make([]Request, len(batch))
	for i, w := range batch {
		w.swapping = true
		reqs[i] = w.req
	}
	return batch, reqs
}

// back returns requests to the queue after a swap that didn't take effect.
func (p *partition) back(batch []*pending) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range batch {
		w.swapping = false
	}
}

// expose returns requests to the queue after a swap that may have taken effect.
func (p *partition) expose(batch []*pending) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range batch {
		w.swapping, w.exposed, w.exposedAt = false, true, max(w.exposedAt, p.revision)
	}
}

func (p *partition) settle(batch []*pending, results []Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, w := range batch {
		p.end(w, results[i])
	}
}

// refuse settles the requests that were in no swap; the others wait for a read that resolves them. Where the store
// is limited, claims wait for some time, and a finish or release waits until its context ends.
func (p *partition) refuse(detail string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, w := range p.queue {
		patient := detail == DetailStoreLimited && (w.req.Action != ActionClaim || now.Sub(w.queued) < p.c.patience)
		if !w.exposed && !patient {
			p.end(w, Result{Status: StatusRefused, Detail: detail})
		}
	}
}

func (p *partition) end(w *pending, r Result) {
	if w.ended {
		return
	}
	w.ended = true
	w.done <- r
}
