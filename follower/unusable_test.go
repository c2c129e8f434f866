package follower

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"carobbend.example/carobbend"
)

// unusableFeed is a store whose reply to a watch can't be used until the revision of the watch is new enough. calls holds the
// calls in order.
type unusableFeed struct {
	mu       sync.Mutex
	revision uint64
	oldest   uint64
	calls    []string
}

func (f *unusableFeed) List(context.Context, carobbend.FeedScope) (carobbend.Listing, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, "list")
	return carobbend.Listing{
		Revision: f.revision, Routing: &carobbend.Routing{Version: f.revision}, Upstreams: map[string]carobbend.UpstreamRecord{},
		Instances: map[string]carobbend.Instance{},
	}, nil
}

func (f *unusableFeed) Changes(
	ctx context.Context, _ carobbend.FeedScope, after uint64, wait time.Duration,
) ([]carobbend.FeedChange, uint64, error) {
	f.mu.Lock()
	f.calls = append(f.calls, "watch")
	unusable := after < f.oldest
	f.mu.Unlock()
	if unusable {
		return nil, 0, &carobbend.StoreError{Kind: carobbend.StoreUnusable, Err: errors.New("too long")}
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return nil, after, nil
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// TestUnusableReply guards against an instance that repeats a watch whose reply it can't use, and so stays on an old routing
// until the store drops its history; and against taking the store for lost, since it answers.
func TestUnusableReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := &unusableFeed{revision: 1}
		var version uint64
		fo := New(feed, Handlers{
			Routing:   func(r *carobbend.Routing) bool { version = max(version, r.Version); return true },
			Upstreams: func(map[string]carobbend.UpstreamRecord) {},
			Instances: func(map[string]carobbend.Instance) {},
			StoreState: func(_ uint64, lost bool) {
				if lost {
					t.Error("the store is taken for lost, although it answers")
				}
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- fo.Run(ctx) }()
		time.Sleep(time.Second)
		feed.mu.Lock()
		feed.revision, feed.oldest, feed.calls = 50, 50, nil
		feed.mu.Unlock()
		time.Sleep(applyBound + 2*time.Second)
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Errorf("run: got %v, want the error of the context", err)
		}
		if version != 50 {
			t.Errorf("routing: got version %d, want 50", version)
		}
		if len(feed.calls) < 3 || feed.calls[0] != "watch" || feed.calls[1] != "list" || feed.calls[2] != "watch" || len(feed.calls) > 5 {
			t.Errorf("calls: got %v, want one watch, one list, and watches then", feed.calls)
		}
	})
}
