package follower

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"carobbend.example/carobbend"
)

// silentFeed is a store with outages. Calls that are waiting or made during an outage are never answered, not even
// after its end.
type silentFeed struct {
	mu     sync.Mutex
	silent bool
	// missesChanges makes watches miss all changes and then fail because the history is compacted.
	missesChanges bool
	version       uint64
	changed       chan struct{}
	calls         atomic.Int64
}

func newSilentFeed() *silentFeed { return &silentFeed{version: 1, changed: make(chan struct{})} }

// set changes the routing version, and starts or ends an outage.
func (f *silentFeed) set(silent bool, version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = silent
	if version != f.version {
		f.version = version
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

func (f *silentFeed) state() (silent bool, version uint64, changed chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silent, f.version, f.changed
}

func (f *silentFeed) watchesMissChanges() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.missesChanges
}

func (f *silentFeed) List(ctx context.Context, _ carobbend.FeedScope) (carobbend.Listing, error) {
	silent, v, _ := f.state()
	if silent {
		<-ctx.Done()
		return carobbend.Listing{}, ctx.Err()
	}
	return carobbend.Listing{Revision: v, Routing: &carobbend.Routing{Version: v}}, nil
}

func (f *silentFeed) Changes(
	ctx context.Context, _ carobbend.FeedScope, after uint64, wait time.Duration,
) ([]carobbend.FeedChange, uint64, error) {
	f.calls.Add(1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		silent, v, changed := f.state()
		switch {
		case silent:
			<-ctx.Done()
			return nil, 0, ctx.Err()
		case v > after && !f.watchesMissChanges():
			return []carobbend.FeedChange{{Routing: &carobbend.Routing{Version: v}}}, v, nil
		}
		missed := f.watchesMissChanges()
		if missed {
			changed = nil
		}
		select {
		case <-changed:
		case <-timer.C:
			if missed {
				return nil, 0, &carobbend.StoreError{Kind: carobbend.StoreCompacted, Err: errors.New("history compacted")}
			}
			if silent, _, _ := f.state(); !silent {
				return nil, after, nil
			}
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// run calls f in a synctest bubble while a follower follows the feed; version returns the last routing version that
// was handled.
func run(t *testing.T, f func(feed *silentFeed, follower *Follower, version func() uint64)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		feed := newSilentFeed()
		var mu sync.Mutex
		var last uint64
		fo := New(feed, Handlers{
			Routing: func(r *carobbend.Routing) bool {
				mu.Lock()
				defer mu.Unlock()
				last = r.Version
				return true
			},
			Upstreams: func(map[string]carobbend.UpstreamRecord) {},
			Instances: func(map[string]carobbend.Instance) {},
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			if err := fo.Run(ctx); err == nil {
				t.Error("run: got no error, want that of the context")
			}
		}()
		time.Sleep(time.Second)
		f(feed, fo, func() uint64 {
			mu.Lock()
			defer mu.Unlock()
			return last
		})
		cancel()
		<-done
	})
}

// applyBound is the time within which a routing must be in force after the store acknowledged it.
const applyBound = 3 * time.Second

// TestSilentStoreIsProbed guards against a routing that is applied late after an outage: a long watch that was sent
// while the store was silent is never answered.
func TestSilentStoreIsProbed(t *testing.T) {
	for _, outage := range []time.Duration{7 * time.Second, 9 * time.Second, 12 * time.Second, 15 * time.Second} {
		run(t, func(feed *silentFeed, _ *Follower, version func() uint64) {
			feed.set(true, 1)
			time.Sleep(outage)
			feed.set(false, 2)
			time.Sleep(applyBound)
			if got := version(); got != 2 {
				t.Errorf("%v after an outage of %v: got routing %d, want 2", applyBound, outage, got)
			}
		})
	}
}

// TestProbeRequestEndsWaitingWatch guards against a routing that is applied late after a short outage: the watch that
// was waiting when the outage began times out seconds later, although other calls have failed already.
func TestProbeRequestEndsWaitingWatch(t *testing.T) {
	for _, outage := range []time.Duration{1500 * time.Millisecond, 2 * time.Second, 3 * time.Second} {
		run(t, func(feed *silentFeed, f *Follower, version func() uint64) {
			feed.set(true, 1)
			time.Sleep(time.Second)
			// Wakes the waiting watch, so that it sees the outage and hangs.
			feed.mu.Lock()
			close(feed.changed)
			feed.changed = make(chan struct{})
			feed.mu.Unlock()
			f.Probe()
			time.Sleep(outage - time.Second)
			feed.set(false, 2)
			time.Sleep(applyBound)
			if got := version(); got != 2 {
				t.Errorf("%v after an outage of %v: got routing %d, want 2", applyBound, outage, got)
			}
		})
	}
}

// stableTime is how long an instance may have outdated state after a disturbance of the store has ended.
const stableTime = 4 * time.Second

// TestWatchMissesChanges guards against a routing that is applied late because a watch misses the change until it
// ends: the store compacts its history while the change is made.
func TestWatchMissesChanges(t *testing.T) {
	run(t, func(feed *silentFeed, _ *Follower, version func() uint64) {
		feed.mu.Lock()
		feed.missesChanges = true
		feed.mu.Unlock()
		feed.set(false, 2)
		time.Sleep(stableTime)
		if got := version(); got != 2 {
			t.Errorf("%v after the history was compacted: got routing %d, want 2", stableTime, got)
		}
	})
}

// TestProbeRequestCostsOneCall guards against a busy loop of calls when another call fails while the watch works.
func TestProbeRequestCostsOneCall(t *testing.T) {
	run(t, func(feed *silentFeed, f *Follower, version func() uint64) {
		before := feed.calls.Load()
		f.Probe()
		time.Sleep(time.Second)
		if got := feed.calls.Load() - before; got > 2 {
			t.Errorf("got %d calls within a second, want a probe and a watch", got)
		}
		feed.set(false, 2)
		time.Sleep(time.Second)
		if got := version(); got != 2 {
			t.Errorf("got routing %d, want 2", got)
		}
	})
}

// countingFeed counts the listings.
type countingFeed struct {
	*silentFeed
	lists atomic.Int64
}

func (f *countingFeed) List(ctx context.Context, scope carobbend.FeedScope) (carobbend.Listing, error) {
	f.lists.Add(1)
	return f.silentFeed.List(ctx, scope)
}

// TestReserveStart guards against two faults of an instance in reserve: it lists the instances before larger ones
// have enrolled, and so concludes that it is needed; or it stays without a routing when its scope becomes ScopeAll
// during the delay.
func TestReserveStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := &countingFeed{silentFeed: newSilentFeed()}
		fo := New(feed, Handlers{
			Routing:   func(*carobbend.Routing) bool { return true },
			Upstreams: func(map[string]carobbend.UpstreamRecord) {},
			Instances: func(map[string]carobbend.Instance) {},
		})
		fo.SetScope(carobbend.ScopeInstances)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- fo.Run(ctx) }()
		time.Sleep(reserveStartDelay/2 - time.Millisecond)
		if got := feed.lists.Load(); got != 0 {
			t.Errorf("listings before the delay: got %d, want 0", got)
		}
		fo.SetScope(carobbend.ScopeAll)
		synctest.Wait()
		if got := feed.lists.Load(); got != 1 {
			t.Errorf("listings after the change to ScopeAll: got %d, want 1", got)
		}
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Errorf("run: got %v, want canceled", err)
		}
	})
}

// TestConfirmations guards against a confirmation of the list of instances while the store is silent, or without the time for which
// a watch waited, and against confirmations too far apart for an instance to keep its part of the requests to cold upstreams.
func TestConfirmations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newSilentFeed()
		var confirmed []time.Time
		var mu sync.Mutex
		fo := New(feed, Handlers{
			Routing:   func(*carobbend.Routing) bool { return true },
			Upstreams: func(map[string]carobbend.UpstreamRecord) {},
			Instances: func(map[string]carobbend.Instance) {},
			Confirmed: func(age time.Duration) {
				mu.Lock()
				defer mu.Unlock()
				confirmed = append(confirmed, time.Now(), time.Now().Add(-age))
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- fo.Run(ctx) }()
		time.Sleep(20 * time.Second)
		feed.set(true, 1)
		silence := time.Now()
		time.Sleep(20 * time.Second)
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Errorf("run: got %v, want canceled", err)
		}
		// An instance that sends to cold upstreams needs answers that are at most this long after the call before was sent.
		const longest = 7500 * time.Millisecond
		for i := 2; i < len(confirmed); i += 2 {
			at, sent, before := confirmed[i], confirmed[i+1], confirmed[i-1]
			if at.Sub(before) > longest || !sent.Before(at) || at.After(silence) {
				t.Errorf("got a watch from %v to %v, the call before was at %v, the silence at %v", sent, at, before, silence)
			}
		}
		if len(confirmed) < 8 {
			t.Errorf("got %d confirmations, want at least 4", len(confirmed)/2)
		}
	})
}
