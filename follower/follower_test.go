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

// silentFeed is a store with outages in which calls are never answered, also after their end.
type silentFeed struct {
	mu     sync.Mutex
	silent bool
	// deaf says that watches hear nothing and then learn that the history is gone.
	deaf    bool
	version uint64
	changed chan struct{}
	calls   atomic.Int64
}

func newSilentFeed() *silentFeed { return &silentFeed{version: 1, changed: make(chan struct{})} }

// set changes the routing, or silences the store.
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

func (f *silentFeed) isDeaf() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.deaf
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
		case v > after && !f.isDeaf():
			return []carobbend.FeedChange{{Routing: &carobbend.Routing{Version: v}}}, v, nil
		}
		deaf := f.isDeaf()
		if deaf {
			changed = nil
		}
		select {
		case <-changed:
		case <-timer.C:
			if deaf {
				return nil, 0, &carobbend.StoreError{Kind: carobbend.StoreCompacted, Err: errors.New("history gone")}
			}
			if silent, _, _ := f.state(); !silent {
				return nil, after, nil
			}
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// run follows a feed in a synctest bubble while f runs; version returns the routing that was seen last.
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

// TestSilentStoreIsProbed guards against a routing that comes late after an outage: a long watch that began while the store
// was silent is never answered.
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

// TestCheckEndsAWatch guards against a routing that comes late after a short outage: the watch that was waiting when it
// began ends seconds later, while other calls have failed already.
func TestCheckEndsAWatch(t *testing.T) {
	for _, outage := range []time.Duration{1500 * time.Millisecond, 2 * time.Second, 3 * time.Second} {
		run(t, func(feed *silentFeed, f *Follower, version func() uint64) {
			feed.set(true, 1)
			time.Sleep(time.Second)
			// The silence reaches the watch that waits.
			feed.mu.Lock()
			close(feed.changed)
			feed.changed = make(chan struct{})
			feed.mu.Unlock()
			f.Check()
			time.Sleep(outage - time.Second)
			feed.set(false, 2)
			time.Sleep(applyBound)
			if got := version(); got != 2 {
				t.Errorf("%v after an outage of %v: got routing %d, want 2", applyBound, outage, got)
			}
		})
	}
}

// stableTime is the time after the end of a disturbance of the store in which an instance may be behind.
const stableTime = 4 * time.Second

// TestDeafWatch guards against a routing that comes late since the watch hears nothing until its end: the store drops its
// history while a change is made.
func TestDeafWatch(t *testing.T) {
	run(t, func(feed *silentFeed, _ *Follower, version func() uint64) {
		feed.mu.Lock()
		feed.deaf = true
		feed.mu.Unlock()
		feed.set(false, 2)
		time.Sleep(stableTime)
		if got := version(); got != 2 {
			t.Errorf("%v after the history was dropped: got routing %d, want 2", stableTime, got)
		}
	})
}

// TestCheckCostsOneCall guards against calls in a loop where another call fails although the watch is sound.
func TestCheckCostsOneCall(t *testing.T) {
	run(t, func(feed *silentFeed, f *Follower, version func() uint64) {
		before := feed.calls.Load()
		f.Check()
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

// countingFeed counts how often everything is read.
type countingFeed struct {
	*silentFeed
	lists atomic.Int64
}

func (f *countingFeed) List(ctx context.Context, scope carobbend.FeedScope) (carobbend.Listing, error) {
	f.lists.Add(1)
	return f.silentFeed.List(ctx, scope)
}

// TestReserveStart guards against an instance in reserve that reads the list before larger ones have enrolled, and so
// believes that it is needed; and against one that stays without a routing when it is asked to serve meanwhile.
func TestReserveStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := &countingFeed{silentFeed: newSilentFeed()}
		fo := New(feed, Handlers{
			Routing:   func(*carobbend.Routing) bool { return true },
			Upstreams: func(map[string]carobbend.UpstreamRecord) {},
			Instances: func(map[string]carobbend.Instance) {},
		})
		fo.Follow(carobbend.ScopeInstances)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- fo.Run(ctx) }()
		time.Sleep(reserveStart/2 - time.Millisecond)
		if got := feed.lists.Load(); got != 0 {
			t.Errorf("lists read before the wait: got %d, want 0", got)
		}
		fo.Follow(carobbend.ScopeAll)
		synctest.Wait()
		if got := feed.lists.Load(); got != 1 {
			t.Errorf("lists read when asked to serve: got %d, want 1", got)
		}
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Errorf("run: got %v, want canceled", err)
		}
	})
}
