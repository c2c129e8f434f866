package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"carobbend.example/carobbend/sleeper"

	"carobbend.example/carobbend"
)

// ServiceTime is a lognormal distribution in which a few requests take longer by a fixed factor, as in a pause.
type ServiceTime struct {
	// Median is the median time of one request before pauses.
	Median time.Duration
	// Sigma is the standard deviation of the time's logarithm.
	Sigma float64
	// PauseShare is the share of requests that take PauseFactor times as long.
	PauseShare  float64
	PauseFactor float64
}

// DefaultServiceTime has a mean of about 4.4 ms; one request in 200 takes 8 times as long.
var DefaultServiceTime = ServiceTime{Median: 4 * time.Millisecond, Sigma: 0.35, PauseShare: 0.005, PauseFactor: 8}

// Sample draws one service time.
func (s ServiceTime) Sample(r *rand.Rand) time.Duration {
	d := float64(s.Median) * math.Exp(s.Sigma*r.NormFloat64())
	if r.Float64() < s.PauseShare {
		d *= s.PauseFactor
	}
	return time.Duration(d)
}

// Mean returns the mean of the distribution.
func (s ServiceTime) Mean() time.Duration {
	m := float64(s.Median) * math.Exp(s.Sigma*s.Sigma/2)
	return time.Duration(m * (1 + s.PauseShare*(s.PauseFactor-1)))
}

// Holding says that an upstream holds some shards of a snapshot.
type Holding = carobbend.Holding

// UpstreamConfig describes an upstream.
type UpstreamConfig struct {
	ID carobbend.UpstreamID
	// Slots is the number of requests that run at a time.
	Slots int
	// Queue is the maximum number of requests that wait for a slot; further ones are shed. If 0,
	// it is twice Slots.
	Queue       int
	ServiceTime ServiceTime
	// ColdStart is how long the upstream is ColdFactor times slower after its start.
	ColdStart  time.Duration
	ColdFactor float64
	// Seed seeds the random service times.
	Seed uint64
}

// Upstream emulates one upstream, either called in process or served over HTTP.
type Upstream struct {
	cfg     UpstreamConfig
	slots   chan struct{}
	started time.Time

	mu        sync.Mutex
	rng       *rand.Rand
	slow      float64
	leaving   bool
	failing   bool
	fixLoad   bool
	fixedLoad float64
	waiting   int
	running   int
	holdings  map[string]map[carobbend.SnapshotID]Holding
	stats     UpstreamStats
	executed  map[string]int
	// timerOverrun is the sum of the delays with which timers fired, 0.5 ms each on average. It is subtracted from the next
	// service times; otherwise it would lower the capacity by an eighth.
	timerOverrun time.Duration
}

// UpstreamStats counts what an upstream did.
type UpstreamStats struct {
	Served   int64
	Shed     int64
	Canceled int64
	// AfterLeaving counts requests that arrived while the upstream was leaving.
	AfterLeaving int64
}

// NewUpstream returns an upstream that holds nothing.
func NewUpstream(cfg UpstreamConfig) *Upstream {
	cfg.Slots = max(cfg.Slots, 1)
	if cfg.Queue == 0 {
		cfg.Queue = 2 * cfg.Slots
	}
	if cfg.ServiceTime.Median == 0 {
		cfg.ServiceTime = DefaultServiceTime
	}
	return &Upstream{
		cfg: cfg, slots: make(chan struct{}, cfg.Slots), started: time.Now(), slow: 1,
		rng:      rand.New(rand.NewPCG(cfg.Seed, uint64(len(cfg.ID)))),
		holdings: map[string]map[carobbend.SnapshotID]Holding{}, executed: map[string]int{},
	}
}

// ID returns the upstream's id.
func (u *Upstream) ID() carobbend.UpstreamID { return u.cfg.ID }

// SetSlow makes requests factor times slower.
func (u *Upstream) SetSlow(factor float64) { u.withLock(func() { u.slow = factor }) }

// SetLeaving marks the upstream as leaving; it still serves what arrives.
func (u *Upstream) SetLeaving(leaving bool) { u.withLock(func() { u.leaving = leaving }) }

// SetFailing makes each request fail immediately.
func (u *Upstream) SetFailing(failing bool) { u.withLock(func() { u.failing = failing }) }

// SetReportedLoad makes the upstream report the given load instead of the actual one while override is true.
func (u *Upstream) SetReportedLoad(override bool, load float64) {
	u.withLock(func() { u.fixLoad, u.fixedLoad = override, load })
}

// Restart begins a new cold start.
func (u *Upstream) Restart() { u.withLock(func() { u.started = time.Now() }) }

// Hold adds or replaces a holding.
func (u *Upstream) Hold(h Holding) {
	u.withLock(func() {
		if u.holdings[h.Index] == nil {
			u.holdings[h.Index] = map[carobbend.SnapshotID]Holding{}
		}
		u.holdings[h.Index][h.Snapshot] = h
	})
}

// Drop removes a snapshot.
func (u *Upstream) Drop(index string, s carobbend.SnapshotID) {
	u.withLock(func() { delete(u.holdings[index], s) })
}

// Holdings returns what the upstream holds, ordered by index and snapshot.
func (u *Upstream) Holdings() []Holding {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []Holding
	for _, m := range u.holdings {
		for _, h := range m {
			out = append(out, h)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Index != out[j].Index {
			return out[i].Index < out[j].Index
		}
		return out[i].Snapshot < out[j].Snapshot
	})
	return out
}

// Leaving reports whether the upstream is leaving.
func (u *Upstream) Leaving() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.leaving
}

// Stats returns the counts so far.
func (u *Upstream) Stats() UpstreamStats {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.stats
}

// Executions returns how often each operation key was executed.
func (u *Upstream) Executions() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make(map[string]int, len(u.executed))
	for k, n := range u.executed {
		out[k] = n
	}
	return out
}

// Load returns the reported utilization: the requests running and waiting per slot, which is above 1 while requests wait.
func (u *Upstream) Load() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.loadLocked()
}

func (u *Upstream) loadLocked() float64 {
	if u.fixLoad {
		return u.fixedLoad
	}
	return float64(u.running+u.waiting) / float64(u.cfg.Slots)
}

func (u *Upstream) withLock(f func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	f()
}

var (
	errShed     = errors.New("all slots and the queue are full")
	errNotHeld  = errors.New("the shard of this snapshot isn't held here")
	errFailing  = errors.New("internal error")
	errDeadline = errors.New("the deadline passed")
	errCanceled = errors.New("the caller gave up")
)

// Search serves one shard request; errors are *carobbend.SendError.
func (u *Upstream) Search(ctx context.Context, req carobbend.ShardRequest) (carobbend.ShardReply, error) {
	if err := u.accept(req.Ref); err != nil {
		return carobbend.ShardReply{}, err
	}
	if err := u.process(ctx, req.Deadline); err != nil {
		return carobbend.ShardReply{}, err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	// The snapshot may have been dropped while the request waited.
	if !u.holdsLocked(req.Ref) {
		return carobbend.ShardReply{}, u.fail(carobbend.FailureSnapshotGone, errNotHeld)
	}
	u.stats.Served++
	return carobbend.ShardReply{
		ID: req.ID, Ref: req.Ref, Items: ShardItems(req.Ref, req.Text, req.Limit),
		Load: u.loadLocked(), Leaving: u.leaving,
	}, nil
}

// Execute runs an operation and counts it by key; the reply states which execution of the key it was.
func (u *Upstream) Execute(ctx context.Context, op carobbend.Operation) (json.RawMessage, error) {
	if err := u.accept(carobbend.ShardRef{}); err != nil {
		return nil, err
	}
	if err := u.process(ctx, op.Deadline); err != nil {
		return nil, err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.executed[op.Key]++
	u.stats.Served++
	b, err := json.Marshal(struct {
		Upstream  carobbend.UpstreamID `json:"upstream"`
		Key       string               `json:"key"`
		Execution int                  `json:"execution"`
	}{u.cfg.ID, op.Key, u.executed[op.Key]})
	if err != nil {
		return nil, u.fail(carobbend.FailureBroken, err)
	}
	return b, nil
}

// accept queues a request or refuses one that can't be served; a zero ref stands for an operation.
func (u *Upstream) accept(ref carobbend.ShardRef) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.leaving {
		u.stats.AfterLeaving++
	}
	if u.failing {
		return u.fail(carobbend.FailureBroken, errFailing)
	}
	if ref.Index != "" && !u.holdsLocked(ref) {
		return u.fail(carobbend.FailureSnapshotGone, errNotHeld)
	}
	if u.running >= u.cfg.Slots && u.waiting >= u.cfg.Queue {
		u.stats.Shed++
		return u.fail(carobbend.FailureShed, errShed)
	}
	u.waiting++
	return nil
}

func (u *Upstream) holdsLocked(ref carobbend.ShardRef) bool {
	h, ok := u.holdings[ref.Index][ref.Snapshot]
	if !ok || h.Shards != ref.Shards {
		return false
	}
	for _, s := range h.Held {
		if s == ref.Shard {
			return true
		}
	}
	return false
}

// process waits for a slot and occupies it for the service time.
func (u *Upstream) process(ctx context.Context, deadline time.Time) error {
	select {
	case u.slots <- struct{}{}:
	case <-ctx.Done():
		u.withLock(func() { u.waiting--; u.stats.Canceled++ })
		return u.fail(carobbend.FailureCanceled, errCanceled)
	}
	defer func() { <-u.slots }()
	var d time.Duration
	u.withLock(func() { u.waiting--; u.running++; d = u.nextServiceTimeLocked(time.Now()) })
	defer func() { u.withLock(func() { u.running-- }) }()
	if !deadline.IsZero() && time.Now().After(deadline) {
		return u.fail(carobbend.FailureDeadline, errDeadline)
	}
	start := time.Now()
	if !sleeper.Sleep(ctx, d) {
		u.withLock(func() { u.stats.Canceled++ })
		return u.fail(carobbend.FailureCanceled, errCanceled)
	}
	u.withLock(func() { u.timerOverrun += time.Since(start) - d })
	return nil
}

func (u *Upstream) nextServiceTimeLocked(now time.Time) time.Duration {
	d := float64(u.cfg.ServiceTime.Sample(u.rng)) * u.slow
	if u.cfg.ColdStart > 0 && now.Sub(u.started) < u.cfg.ColdStart {
		d *= max(u.cfg.ColdFactor, 1)
	}
	if d -= float64(u.timerOverrun); d < 0 {
		u.timerOverrun = time.Duration(-d)
		return 0
	}
	u.timerOverrun = 0
	return time.Duration(d)
}

func (u *Upstream) fail(kind carobbend.FailureKind, err error) error {
	return &carobbend.SendError{Upstream: u.cfg.ID, Kind: kind, Err: err}
}
