// Package follower keeps an instance's routing, upstreams and instances in step with the store.
//
// It reads everything once and then follows the changes. While the store is away the last state stays in use; removals
// that come with an outage are held back as package registrar describes. After the store dropped its history, everything
// is read anew and compared.
//
// # Usage
//
//	f := follower.New(feed, follower.Handlers{Routing: apply, Upstreams: update, Instances: changed})
//	err := f.Run(ctx) // until ctx ends
package follower

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/logger"
	"carobbend.example/carobbend/registrar"
	"carobbend.example/carobbend/sleeper"
)

const (
	// Grace is how long removals are held back after the store's return; owners that live write their entries again
	// within about this time.
	Grace = 2 * time.Second
	// watchWait bounds one watch. A quiet watch costs a call. A watch that hears nothing, since the store drops its history
	// or the connection is lost, is noticed this much later at the worst; 5 s left an old routing in force for too long.
	watchWait = 3 * time.Second
	// reserveWait and reserveCollect take the place of watchWait and collect while only the list of instances is followed:
	// an instance in reserve has time, and there may be many.
	reserveWait    = 30 * time.Second
	reserveCollect = 2 * time.Second
	// watchSlack is the time that a watch may take beyond its wait.
	watchSlack = 1500 * time.Millisecond
	// probeWait and probeSlack take the place of watchWait and watchSlack while it is in doubt whether the store answers: a
	// call that a silent store never answers must not outlast the outage for long. The slack leaves room for a slow store.
	probeWait  = 200 * time.Millisecond
	probeSlack = time.Second
	// listTimeout bounds the reading of everything.
	listTimeout = 2 * time.Second
	// collect is the pause after changes, in which further ones gather for the next call.
	collect = 300 * time.Millisecond
	// firstBackOff and lastBackOff bound the pause after a failed call, reserveBackOff that of an instance in reserve.
	firstBackOff   = 100 * time.Millisecond
	lastBackOff    = time.Second
	reserveBackOff = 8 * time.Second
	// reserveStart is the time after the start in which larger instances enrol, so that one in reserve reads a full list.
	reserveStart = 3 * time.Second
)

// Handlers receive what changed; they are called one at a time.
type Handlers struct {
	// Routing returns false where the routing isn't newer than the one in force.
	Routing   func(*carobbend.Routing) bool
	Upstreams func(map[string]carobbend.UpstreamRecord)
	Instances func(map[string]carobbend.Instance)
	// Store is told the revision up to which everything was followed, before what changed until then, and when the feed was
	// lost. It may be nil.
	Store func(revision uint64, away bool)
}

// Follower follows one feed.
type Follower struct {
	feed     carobbend.Feed
	handlers Handlers
	log      logger.Logger

	upstreams *registrar.Registry[carobbend.UpstreamRecord]
	instances *registrar.Registry[carobbend.Instance]

	revision uint64
	synced   bool
	// wanted is the scope to follow, scope the one that is followed.
	wanted atomic.Int64
	scope  carobbend.FeedScope
	// wake ends the wait for changes.
	wake chan struct{}
	// stale says that everything is to be read anew.
	stale atomic.Bool
	// doubted says that another call to the store failed.
	doubted atomic.Bool
	// away says that the last call failed; failures counts those in a row.
	away     bool
	failures int
	lostAt   time.Time
}

// New returns a follower that knows nothing yet.
func New(feed carobbend.Feed, h Handlers) *Follower {
	return &Follower{
		feed: feed, handlers: h, log: logger.New("follower"), away: true,
		upstreams: registrar.New[carobbend.UpstreamRecord](Grace),
		instances: registrar.New[carobbend.Instance](Grace),
		wake:      make(chan struct{}, 1),
	}
}

// Follow changes the scope; what was known outside a narrower one is kept as it was.
func (f *Follower) Follow(scope carobbend.FeedScope) {
	if f.wanted.Swap(int64(scope)) != int64(scope) {
		f.interrupt()
	}
}

// Check tells that another call to the store failed: a watch that is waiting may never be answered, so the store is asked
// anew.
func (f *Follower) Check() {
	if !f.doubted.Swap(true) {
		f.interrupt()
	}
}

// Refresh reads everything in scope anew instead of waiting for changes.
func (f *Follower) Refresh() {
	f.stale.Store(true)
	f.interrupt()
}

func (f *Follower) interrupt() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Run follows the feed until ctx ends, and returns its error.
func (f *Follower) Run(ctx context.Context) error {
	select {
	case <-f.wake:
		// The scope was set before the start.
	default:
	}
	if carobbend.FeedScope(f.wanted.Load()) == carobbend.ScopeInstances {
		f.await(ctx, reserveStart/2+rand.N(reserveStart/2))
	}
	for ctx.Err() == nil {
		changed, err := f.step(ctx)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			sleeper.Sleep(ctx, f.failed(time.Now(), err))
		case changed:
			f.pause(ctx)
		}
	}
	return ctx.Err()
}

// pause lets further changes gather.
func (f *Follower) pause(ctx context.Context) {
	d := collect
	if f.scope == carobbend.ScopeInstances {
		d = reserveCollect
	}
	f.await(ctx, d)
}

// await waits until the time is over or the wait is interrupted.
func (f *Follower) await(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-f.wake:
	case <-ctx.Done():
	}
}

// step makes one call to the feed and reports whether anything changed.
func (f *Follower) step(ctx context.Context) (bool, error) {
	if scope := carobbend.FeedScope(f.wanted.Load()); scope != f.scope {
		f.log.Info("scope changed", "everything", scope == carobbend.ScopeAll, "revision", f.revision)
		f.scope, f.synced = scope, false
	}
	if f.stale.Swap(false) {
		f.synced = false
	}
	if !f.synced {
		return true, f.list(ctx)
	}
	wait, slack := f.patience()
	ctx, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	var interrupted atomic.Bool
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-f.wake:
			interrupted.Store(true)
			cancel()
		case <-stop:
		}
	}()
	changes, next, err := f.feed.Changes(ctx, f.scope, f.revision, wait)
	if err != nil {
		if interrupted.Load() {
			return false, nil
		}
		return false, err
	}
	now := time.Now()
	f.revision = max(f.revision, next)
	f.reached(now)
	f.apply(now, changes)
	return len(changes) > 0, nil
}

// patience returns how long the next watch waits, and how long its answer may take beyond that.
func (f *Follower) patience() (wait, slack time.Duration) {
	doubted := f.doubted.Swap(false)
	held := f.upstreams.Held() + f.instances.Held()
	switch {
	case f.scope == carobbend.ScopeAll && (f.away || doubted):
		return probeWait, probeSlack
	case held > 0:
		return Grace / 2, watchSlack
	case f.scope == carobbend.ScopeInstances:
		return reserveWait, watchSlack
	default:
		return watchWait, watchSlack
	}
}

func (f *Follower) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	l, err := f.feed.List(ctx, f.scope)
	if err != nil {
		return err
	}
	now := time.Now()
	f.synced, f.revision = true, l.Revision
	f.reached(now)
	if f.scope == carobbend.ScopeAll {
		f.upstreams.Replace(now, l.Upstreams)
	}
	f.instances.Replace(now, l.Instances)
	f.log.Info("state read", "revision", l.Revision, "upstreams", len(l.Upstreams), "instances", len(l.Instances),
		"removals-held", f.upstreams.Held()+f.instances.Held())
	f.publish(f.scope == carobbend.ScopeAll, true)
	if l.Routing != nil {
		// Comes last, since requests are served as soon as a routing is known.
		f.route(l.Routing)
	}
	return nil
}

func (f *Follower) apply(now time.Time, changes []carobbend.FeedChange) {
	upstreams, instances := false, false
	for _, c := range changes {
		switch {
		case c.Routing != nil:
			f.route(c.Routing)
		case c.Upstream != nil:
			f.upstreams.Put(string(c.Upstream.ID), *c.Upstream)
			upstreams = true
		case c.Instance != nil:
			f.instances.Put(c.Instance.Name, *c.Instance)
			instances = true
		case c.GoneUpstream != "":
			if f.upstreams.Remove(now, c.GoneUpstream) {
				upstreams = true
			}
		case c.GoneInstance != "":
			if f.instances.Remove(now, c.GoneInstance) {
				instances = true
			}
		}
	}
	upstreams = len(f.upstreams.Expire(now)) > 0 || upstreams
	instances = len(f.instances.Expire(now)) > 0 || instances
	f.publish(upstreams, instances)
}

func (f *Follower) publish(upstreams, instances bool) {
	if upstreams {
		f.handlers.Upstreams(f.upstreams.All())
	}
	if instances {
		f.handlers.Instances(f.instances.All())
	}
}

func (f *Follower) route(r *carobbend.Routing) {
	if f.handlers.Routing(r) {
		f.log.Info("routing in force", "version", r.Version, "routes", len(r.Routes), "services", len(r.Services))
	}
}

// reached records that the store answered.
func (f *Follower) reached(now time.Time) {
	f.failures = 0
	f.tell(false)
	if !f.away {
		return
	}
	f.away = false
	f.upstreams.Regained(now)
	f.instances.Regained(now)
	f.log.Info("store reached", "away-ms", sinceMs(now, f.lostAt), "revision", f.revision)
}

// failed records a failed call and returns the pause before the next one.
func (f *Follower) failed(now time.Time, err error) time.Duration {
	if carobbend.StoreFailureOf(err) == carobbend.StoreCompacted {
		f.synced = false
		f.log.Info("history gone, everything is read anew", "revision", f.revision)
		return 0
	}
	f.failures++
	if !f.away {
		f.away, f.lostAt = true, now
		f.upstreams.Lost(now)
		f.instances.Lost(now)
		f.log.Error(err, "store lost", "revision", f.revision)
	}
	f.tell(true)
	longest := lastBackOff
	if f.scope == carobbend.ScopeInstances {
		longest = reserveBackOff
	}
	return sleeper.BackOff(f.failures, firstBackOff, longest)
}

// tell reports how far the feed was followed.
func (f *Follower) tell(away bool) {
	if f.handlers.Store != nil && f.scope == carobbend.ScopeAll {
		f.handlers.Store(f.revision, away)
	}
}

func sinceMs(now, at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return now.Sub(at).Milliseconds()
}
