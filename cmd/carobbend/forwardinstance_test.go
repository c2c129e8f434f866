package main

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/platform"
	"carobbend.example/carobbend/restrictor"
	"carobbend.example/carobbend/settings"
	"carobbend.example/carobbend/timekeeper"
)

// fakeFeed is a store that holds a routing configuration and enough large instances, or doesn't answer if silent is set. The
// first emptyLists lists hold no instance.
type fakeFeed struct {
	silent     bool
	emptyLists int
	listCalls  int
	// own is an instance that is in the list, beside the others; upstreams and evacuated are listed as they are.
	own       *carobbend.Instance
	routing   carobbend.Routing
	upstreams map[string]carobbend.UpstreamRecord
	evacuated []carobbend.DataCentre
}

func (f *fakeFeed) List(ctx context.Context, scope carobbend.FeedScope) (carobbend.Listing, error) {
	if f.silent {
		<-ctx.Done()
		return carobbend.Listing{}, ctx.Err()
	}
	// The answer takes a moment, in which requests must not be refused.
	time.Sleep(30 * time.Millisecond)
	l := carobbend.Listing{Revision: 1, Instances: map[string]carobbend.Instance{}}
	if f.listCalls++; f.listCalls <= f.emptyLists {
		return l, nil
	}
	for _, name := range []string{"l1", "l2", "l3", "l4", "l5"} {
		l.Instances[name] = carobbend.Instance{Name: name, CallerAddress: "127.0.0.1:1", Capacity: 0.8}
	}
	if f.own != nil {
		l.Instances[f.own.Name] = *f.own
	}
	if scope == carobbend.ScopeAll {
		r := f.routing
		r.Version = 1
		l.Routing, l.Upstreams, l.Evacuated = &r, f.upstreams, f.evacuated
	}
	return l, nil
}

func (f *fakeFeed) Changes(
	ctx context.Context, _ carobbend.FeedScope, after uint64, wait time.Duration,
) ([]carobbend.FeedChange, uint64, error) {
	select {
	case <-time.After(wait):
		return nil, after, nil
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// TestReserveInstanceServesCallers guards against refusals after a restart of all instances: the entries of
// instances that served before and are in reserve now stay in the list for a while, so callers are sent to them although
// they have no routing configuration yet.
func TestReserveInstanceServesCallers(t *testing.T) {
	for _, c := range []struct {
		name   string
		cores  float64
		silent bool
		// at is when the request comes, within the time that it may take.
		at, within time.Duration
		status     int
	}{
		{"in reserve", 0.2, false, 5 * time.Second, routingWaitTimeout, http.StatusNotFound},
		{"in reserve, right after the start", 0.2, false, 0, routingWaitTimeout, http.StatusNotFound},
		{"a large one, right after the start", 0.8, false, 0, routingWaitTimeout, http.StatusNotFound},
		{"no store, right after the start", 0.8, true, 0, routingWaitTimeout, http.StatusServiceUnavailable},
		{"no store for a while", 0.8, true, 5 * time.Second, 0, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newForwardInstance("", &settings.Forward{Instance: "x", Cores: c.cores, Lease: time.Second})
				x.setFeed(&fakeFeed{silent: c.silent})
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- x.follower.Run(ctx) }()
				time.Sleep(c.at)
				r := httptest.NewRequest(http.MethodGet, "/none/", nil)
				r.Header.Set(platform.Headers().RequestID, "r1")
				w := httptest.NewRecorder()
				began := time.Now()
				x.forwarder.ServeHTTP(w, r)
				if w.Code != c.status {
					t.Errorf("got %d %s, want %d", w.Code, w.Body, c.status)
				}
				if got := time.Since(began); got > c.within {
					t.Errorf("took %v, want at most %v", got, c.within)
				}
				cancel()
				if err := <-done; !errors.Is(err, context.Canceled) {
					t.Errorf("got %v, want canceled", err)
				}
			})
		})
	}
}

// TestReserveInstanceRereadsListBeforeActivation guards against activating the whole reserve after an outage of the
// store, in which the entries of all instances expired: an instance reads the list again before it decides.
func TestReserveInstanceRereadsListBeforeActivation(t *testing.T) {
	for _, c := range []struct {
		name       string
		emptyLists int
		want       bool
	}{
		{"large ones are there", 0, false},
		{"large ones are back when the list is read again", 1, false},
		{"large ones are gone", 100, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newForwardInstance("", &settings.Forward{Instance: "x", Cores: 0.2, Lease: time.Second})
				x.setFeed(&fakeFeed{emptyLists: c.emptyLists})
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- x.follower.Run(ctx) }()
				time.Sleep(10 * time.Second)
				if got := x.active.Load(); got != c.want {
					t.Errorf("activated: got %v, want %v", got, c.want)
				}
				cancel()
				if err := <-done; !errors.Is(err, context.Canceled) {
					t.Errorf("got %v, want canceled", err)
				}
			})
		})
	}
}

// TestRestrictionsFollowStore guards against an instance that serves without the restrictions that the store holds, from its
// start or after it was in reserve: an evacuated data centre, and a cold upstream, of which it has a part only once the others can
// know of it.
func TestRestrictionsFollowStore(t *testing.T) {
	for name, cores := range map[string]float64{"large": 0.8, "in reserve": 0.2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newForwardInstance("", &settings.Forward{
					Instance: "x", Cores: cores, Lease: time.Second, Warmup: settings.ForwardWarmup{Overage: 1},
				})
				cold := carobbend.UpstreamRecord{ID: "u", Service: "s", Address: "127.0.0.1:1", DataCentre: "z2", WarmupLeft: time.Minute}
				gone := carobbend.UpstreamRecord{ID: "v", Service: "s", Address: "127.0.0.1:1", DataCentre: "z1"}
				x.setFeed(&fakeFeed{
					own:       &x.self,
					routing:   carobbend.Routing{Services: []carobbend.Service{{Name: "s", WarmupRate: 12}}},
					upstreams: map[string]carobbend.UpstreamRecord{"u": cold, "v": gone},
					evacuated: []carobbend.DataCentre{"z1"},
				})
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- x.follower.Run(ctx) }()
				time.Sleep(5 * time.Second)
				r := httptest.NewRequest(http.MethodGet, "/none/", nil)
				r.Header.Set(platform.Headers().RequestID, "r1")
				x.forwarder.ServeHTTP(httptest.NewRecorder(), r)
				reason := func(u carobbend.UpstreamRecord) restrictor.Reason {
					return x.forwarder.Restrictor.Allowed(time.Now().Add(timekeeper.Suspended()), u)
				}
				if u, v := reason(cold), reason(gone); u != restrictor.Cold || v != restrictor.Evacuated {
					t.Errorf("at the start: got %q and %q, want cold and evacuated", u, v)
				}
				time.Sleep(30 * time.Second)
				if u, v := reason(cold), reason(gone); u != restrictor.None || v != restrictor.Evacuated {
					t.Errorf("after a while: got %q and %q, want none and evacuated", u, v)
				}
				cancel()
				if err := <-done; !errors.Is(err, context.Canceled) {
					t.Errorf("got %v, want canceled", err)
				}
			})
		})
	}
}
