package allotter

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/encoder"
)

// site is a store and the links of some runners, with a delay and without faults.
type site struct {
	mu       sync.Mutex
	record   *carobbend.AllotmentOwners
	revision uint64
	changed  chan struct{}
	writes   int
	messages int
	runners  map[string]*Runner
}

func (s *site) WriteOwners(_ context.Context, r carobbend.AllotmentOwners) error {
	time.Sleep(10 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	present := uint64(0)
	if s.record != nil {
		present = s.record.Revision
	}
	if r.Revision != present {
		return &carobbend.StoreError{Op: "put", Kind: carobbend.StoreUnavailable}
	}
	s.revision++
	r.Revision = s.revision
	s.record = &r
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

func (s *site) List(context.Context, carobbend.FeedScope) (carobbend.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return carobbend.Listing{Revision: s.revision, AllotmentOwners: s.record}, nil
}

func (s *site) Changes(
	ctx context.Context, _ carobbend.FeedScope, after uint64, wait time.Duration,
) ([]carobbend.FeedChange, uint64, error) {
	s.mu.Lock()
	changed := s.changed
	if s.revision > after {
		defer s.mu.Unlock()
		return []carobbend.FeedChange{{AllotmentOwners: s.record}}, s.revision, nil
	}
	s.mu.Unlock()
	select {
	case <-changed:
	case <-time.After(wait):
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
	return nil, after, nil
}

func (s *site) ApplyList([]carobbend.Instance) {}

// link is the side of one runner.
type link struct {
	*site
	name string
}

func (l link) Ask(_ context.Context, name string, req *encoder.Frame) (*encoder.Frame, error) {
	l.mu.Lock()
	l.messages++
	l.mu.Unlock()
	time.Sleep(time.Millisecond)
	return l.runners[name].HandlePeer(context.Background(), l.name, req), nil
}

// follow reads the store through a runner's feed until ctx ends.
func (s *site) follow(ctx context.Context, r *Runner) {
	feed := r.Feed(s)
	l, err := feed.List(ctx, carobbend.ScopeAll)
	for next := l.Revision; err == nil; {
		_, next, err = feed.Changes(ctx, carobbend.ScopeAll, next, 3*time.Second)
	}
}

// TestRunnersShareAnAllotment guards against instances that agree on no owners or never exchange parts, against more than one
// write of the first record, and against messages and writes without limited accounts.
func TestRunnersShareAnAllotment(t *testing.T) {
	for _, rate := range []float64{46, 0} {
		t.Run(fmt.Sprint("rate ", rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				s := &site{changed: make(chan struct{}), runners: map[string]*Runner{}}
				began := time.Now()
				clock := func() time.Duration { return time.Since(began) }
				account := carobbend.Account{Name: "a", Rate: rate, Burst: rate}
				instances := map[string]carobbend.Instance{}
				var wg sync.WaitGroup
				for i := range 8 {
					name := fmt.Sprint("i", i)
					instances[name] = carobbend.Instance{Name: name, Capacity: 0.8}
					r := newRunner(testConfig(name, 1), link{s, name}, s, clock)
					s.runners[name] = r
					r.SetAccounts([]carobbend.Account{account})
				}
				for _, r := range s.runners {
					r.Update(instances)
					wg.Go(func() { _ = r.Run(ctx) })
					wg.Go(func() { s.follow(ctx, r) })
				}
				time.Sleep(3 * time.Second)
				refused := 0
				for range 600 {
					time.Sleep(time.Second / 28)
					if rate == 0 {
						continue
					}
					if _, ok := s.runners["i0"].Take(t.Context(), &account); !ok {
						refused++
					}
				}
				cancel()
				wg.Wait()
				if rate == 0 {
					if s.writes+s.messages > 0 {
						t.Errorf("got %d writes and %d messages, want none", s.writes, s.messages)
					}
					return
				}
				if refused > 0 || s.writes != 1 || s.messages == 0 {
					t.Errorf("got %d of 600 refused, %d writes, %d messages, want 0, 1 and some", refused, s.writes, s.messages)
				}
				if s.record == nil || len(s.record.Owners) != 8 {
					t.Errorf("got record %+v, want 8 owners", s.record)
				}
			})
		})
	}
}

// TestOwnersChangeOnlyForLastingLosses guards against owners that are replaced when an instance restarts, and against lost ones that
// stay owners.
func TestOwnersChangeOnlyForLastingLosses(t *testing.T) {
	list := func(names ...string) map[string]carobbend.Instance {
		m := map[string]carobbend.Instance{}
		for _, n := range names {
			m[n] = carobbend.Instance{Name: n, Capacity: 0.8}
			if n[0] == 's' {
				m[n] = carobbend.Instance{Name: n, Capacity: 0.2}
			}
		}
		return m
	}
	e := newElection("a")
	present := &carobbend.AllotmentOwners{Epoch: 1, Owners: []string{"a", "b", "c", "d", "e"}}
	for _, c := range []struct {
		at   time.Duration
		in   map[string]carobbend.Instance
		want string
	}{
		{0, list("a", "b", "c", "d", "e", "s1"), "[a b c d e]"},
		{time.Second, list("a", "c", "d", "e", "s1"), "[a b c d e]"},
		{9 * time.Second, list("a", "b", "c", "d", "e", "s1"), "[a b c d e]"},
		{20 * time.Second, list("a", "c", "d", "e", "f", "s1"), "[a b c d e]"},
		{31 * time.Second, list("a", "c", "d", "e", "f", "s1"), "[a c d e f]"},
		{40 * time.Second, list("a", "s1"), "[a c d e]"},
		{51 * time.Second, list("a", "s1"), "[a s1]"},
		{52 * time.Second, list("c", "s1"), "[]"},
	} {
		if got := fmt.Sprint(e.owners(c.at, c.in, present)); got != c.want {
			t.Errorf("at %v: got %s, want %s", c.at, got, c.want)
		}
	}
}

// TestRefusalReportIsBounded guards against a log line for each of many accounts, and against one for refusals that were reported.
func TestRefusalReportIsBounded(t *testing.T) {
	var p refusalReport
	accounts := make([]Account, 100)
	for i := range accounts {
		accounts[i] = Account{Name: fmt.Sprint(i), Refused: int64(i)}
	}
	if got := p.next(accounts); len(got) != maxReported || got[0].Name != "99" {
		t.Errorf("got %d accounts, the first %+v, want %d and 99", len(got), got[0], maxReported)
	}
	accounts[3].Refused++
	if got := p.next(accounts); len(got) != 1 || got[0].Name != "3" || got[0].Refused != 1 {
		t.Errorf("got %+v, want one refusal of account 3", got)
	}
	if !p.due(0) || p.due(reportInterval-1) || !p.due(reportInterval) {
		t.Error("got a report at another time than once an interval")
	}
}
