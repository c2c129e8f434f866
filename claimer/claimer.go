package claimer

import (
	"context"
	"crypto/rand"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/encoder"
)

const (
	// DefaultPartitions is the number of values in the store that hold claims.
	DefaultPartitions = 256
	// DefaultStoreTimeout bounds one call to the store.
	DefaultStoreTimeout = 2 * time.Second
	// DefaultPeerTimeout bounds the wait for the preferred instance before this instance commits by itself.
	DefaultPeerTimeout = 500 * time.Millisecond
	// DefaultRecordDelay is the longest time that a finish or release waits to be committed in one swap with a claim.
	DefaultRecordDelay = time.Second
	// DefaultRateLimitWait is how long a claim waits for its swap once the store's rate limit was reached.
	DefaultRateLimitWait = 200 * time.Millisecond
	// fullDelaySwapRate is the number of swaps a second, over all instances, from which the whole record delay
	// applies. Below it the delay is proportional to the rate, so that results are recorded promptly while the store
	// has spare capacity.
	fullDelaySwapRate = 200
	// DefaultMaxWait bounds a request whose context has no earlier deadline.
	DefaultMaxWait = 10 * time.Second

	drainPollInterval = 5 * time.Millisecond
	partitionPrefix   = "carobbend/claims/"
)

// Claimer commits claims. It implements carobbend.PeerHandler.
type Claimer struct {
	store         carobbend.Store
	peers         carobbend.Peers
	partitions    []*partition
	bounds        Bounds
	storeTimeout  time.Duration
	peerTimeout   time.Duration
	recordDelay   time.Duration
	rateLimitWait time.Duration
	maxWait       time.Duration
	counters      counters
	pacer         pacer
	swapRate      rateMeter
}

type counters struct {
	reads, writes, conflicts, lost, asked, fallbacks atomic.Int64
}

// Counters holds the numbers of events since the start.
type Counters struct {
	// Reads and Writes are calls to the store, failed ones included.
	Reads, Writes int64
	// Conflicts are swaps lost to another writer.
	Conflicts int64
	// Lost are swaps whose result remained unknown.
	Lost int64
	// Asked are requests forwarded to the preferred instance; Fallbacks are those that this instance then committed
	// itself.
	Asked, Fallbacks int64
}

// Option configures a Claimer.
type Option func(*options)

type options struct {
	partitions    int
	bounds        Bounds
	storeTimeout  time.Duration
	peerTimeout   time.Duration
	recordDelay   time.Duration
	rateLimitWait time.Duration
	maxWait       time.Duration
}

// WithPartitions sets the number of partitions. It must be the same on all instances and must never change, since it
// determines the partition of a key.
func WithPartitions(n int) Option { return func(o *options) { o.partitions = max(n, 1) } }

// WithBounds sets the bounds of each partition.
func WithBounds(b Bounds) Option { return func(o *options) { o.bounds = b } }

// WithStoreTimeout bounds one call to the store.
func WithStoreTimeout(d time.Duration) Option { return func(o *options) { o.storeTimeout = d } }

// WithPeerTimeout bounds the wait for the preferred instance.
func WithPeerTimeout(d time.Duration) Option { return func(o *options) { o.peerTimeout = d } }

// WithRecordDelay sets the longest time that a finish or release waits to be committed in one swap with a claim. A
// result that isn't committed yet is lost if this instance crashes; replays then get no result.
func WithRecordDelay(d time.Duration) Option { return func(o *options) { o.recordDelay = d } }

// WithRateLimitWait sets how long a claim waits for its swap once the store's rate limit was reached; 0 refuses it
// at once.
func WithRateLimitWait(d time.Duration) Option { return func(o *options) { o.rateLimitWait = d } }

// New returns a claimer; nil peers mean that this instance is alone.
func New(store carobbend.Store, peers carobbend.Peers, opts ...Option) *Claimer {
	o := options{
		partitions: DefaultPartitions, bounds: DefaultBounds, storeTimeout: DefaultStoreTimeout,
		peerTimeout: DefaultPeerTimeout, recordDelay: DefaultRecordDelay, rateLimitWait: DefaultRateLimitWait,
		maxWait: DefaultMaxWait,
	}
	for _, opt := range opts {
		opt(&o)
	}
	c := &Claimer{
		store: store, peers: peers, bounds: o.bounds, storeTimeout: o.storeTimeout,
		peerTimeout: o.peerTimeout, recordDelay: o.recordDelay, rateLimitWait: o.rateLimitWait, maxWait: o.maxWait,
	}
	c.partitions = make([]*partition, o.partitions)
	for i := range c.partitions {
		c.partitions[i] = &partition{c: c, key: fmt.Sprintf("%s%03d", partitionPrefix, i), wake: make(chan struct{}, 1)}
	}
	return c
}

// NewOwner returns an owner id that is unique over all instances and restarts.
func NewOwner() string { return rand.Text() }

// Claim requests the right to run the operation. Only StatusOwned grants it.
func (c *Claimer) Claim(ctx context.Context, key string, fingerprint []byte, owner string) Result {
	return c.commit(ctx, Request{Action: ActionClaim, Key: key, Fingerprint: fingerprint, Owner: owner})
}

// Finish stores the answer of the owner's operation for replays; StatusFinished says that it is committed.
func (c *Claimer) Finish(ctx context.Context, key string, fingerprint []byte, owner string, answer []byte) Result {
	return c.commit(ctx, Request{
		Action: ActionFinish, Key: key, Fingerprint: fingerprint, Owner: owner, Answer: answer,
	})
}

// Release frees the key for other owners; StatusReleased says that this is committed. The owner must never have
// written to an upstream and must not write to one after this call.
func (c *Claimer) Release(ctx context.Context, key string, fingerprint []byte, owner string) Result {
	return c.commit(ctx, Request{Action: ActionRelease, Key: key, Fingerprint: fingerprint, Owner: owner})
}

// Lookup reads the record of a key from the store. It returns StatusUnknown if the store can't be read.
func (c *Claimer) Lookup(ctx context.Context, key string) Result {
	e, err := c.get(ctx, c.partition(key).key)
	if err != nil {
		return Result{Status: StatusUnknown, Detail: DetailStoreDown}
	}
	p := &encoder.ClaimPartition{}
	if err := proto.Unmarshal(e.Value, p); err != nil {
		return Result{Status: StatusUnknown, Detail: DetailBadValue}
	}
	return Find(p, key)
}

// Counters returns the numbers of events so far.
func (c *Claimer) Counters() Counters {
	return Counters{
		Reads: c.counters.reads.Load(), Writes: c.counters.writes.Load(),
		Conflicts: c.counters.conflicts.Load(), Lost: c.counters.lost.Load(),
		Asked: c.counters.asked.Load(), Fallbacks: c.counters.fallbacks.Load(),
	}
}

// Drain waits until no request is queued and no call to the store is in flight, or until ctx ends.
func (c *Claimer) Drain(ctx context.Context) error {
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for _, p := range c.partitions {
		for p.busy() {
			select {
			case <-tick.C:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
	return nil
}

func (c *Claimer) partition(key string) *partition {
	return c.partitions[xxhash.Sum64String(key)%uint64(len(c.partitions))]
}

// commit forwards the request to the partition's preferred instance. It commits the request itself if this instance is
// the preferred one, or if the forwarded request has no result or a refusal that this instance may avoid.
func (c *Claimer) commit(ctx context.Context, req Request) Result {
	ctx, cancel := context.WithTimeout(ctx, c.maxWait)
	defer cancel()
	if ctx.Err() != nil {
		return Result{Status: StatusRefused, Detail: DetailWithdrawn}
	}
	p := c.partition(req.Key)
	r, forwarded := c.forward(ctx, p.key, req)
	if forwarded && r.Status != StatusUnknown && !retryLocally(r) {
		return r
	}
	local := p.submit(ctx, req)
	if forwarded && r.Status == StatusUnknown {
		local.PeerMayCommit = local.Status != StatusOwned
		if local.Status == StatusRefused {
			local.Status = StatusUnknown
		}
	}
	return local
}

// retryLocally reports whether this instance should commit a request itself after the preferred instance refused it,
// since this instance may still reach the store. A refusal for the store's rate limit isn't retried.
func retryLocally(r Result) bool {
	return r.Status == StatusRefused && (r.Detail == DetailStoreDown || r.Detail == DetailWithdrawn)
}

// currentRecordDelay returns how long a finish or release may wait now.
func (c *Claimer) currentRecordDelay() time.Duration {
	instances := 1
	if c.peers != nil {
		instances = max(len(c.peers.Live()), 1)
	}
	share := c.swapRate.perSecond(time.Now()) * float64(instances) / fullDelaySwapRate
	return time.Duration(float64(c.recordDelay) * min(share, 1))
}

func (c *Claimer) get(ctx context.Context, key string) (carobbend.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, c.storeTimeout)
	defer cancel()
	c.counters.reads.Add(1)
	return c.store.Get(ctx, key)
}

func (c *Claimer) swap(ctx context.Context, key string, value []byte, revision uint64) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.storeTimeout)
	defer cancel()
	c.counters.writes.Add(1)
	c.swapRate.add(time.Now())
	return c.store.CompareAndSwap(ctx, key, value, revision)
}
