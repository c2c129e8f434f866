package reporter

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/balancer"
	"carobbend.example/carobbend/linker"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// member is an instance with a reporter on a real link.
type member struct {
	instance carobbend.Instance
	balancer *balancer.Balancer
	reporter *Reporter
}

// startMember starts an instance whose upstreams are those of upstreams(2).
func startMember(t *testing.T, name string) (member, *linker.Linker) {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := member{
		instance: carobbend.Instance{Name: name, Incarnation: "1", PeerAddress: l.Addr().String()},
		balancer: balancer.New(balancer.WithInFlightLatency(), balancer.WithAllCandidates(), balancer.WithoutSlowStart()),
	}
	links := linker.New(m.instance, linker.WithoutNotices())
	m.reporter = New(name, m.balancer, links)
	m.reporter.SetUpstreams(upstreams(2))
	links.AddHandlers(m.reporter)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 2)
	go func() { ended <- links.Serve(l) }()
	go func() { ended <- m.reporter.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		links.ApplyList(nil)
		if err := l.Close(); err != nil {
			t.Error(err)
		}
		for range 2 {
			if err := <-ended; err != nil && !errors.Is(err, context.Canceled) {
				t.Error(err)
			}
		}
	})
	return m, links
}

// TestReportsReachPeers guards against an instance that sends its requests to an upstream of which others know that it sheds
// most of them, until it has learned so itself.
func TestReportsReachPeers(t *testing.T) {
	a, linksOfA := startMember(t, "a")
	b, linksOfB := startMember(t, "b")
	list := map[string]carobbend.Instance{"a": a.instance, "b": b.instance}
	for _, m := range []struct {
		member
		*linker.Linker
	}{{a, linksOfA}, {b, linksOfB}} {
		m.ApplyList([]carobbend.Instance{a.instance, b.instance})
		m.reporter.SetInstances(list)
	}
	candidates := []carobbend.UpstreamID{"u0", "u1"}
	var now time.Time
	for deadline := time.Now().Add(time.Minute); ; {
		now = time.Now()
		for range 5 {
			a.balancer.End(now, a.balancer.Begin(now.Add(-10*time.Millisecond), "u0", 0), carobbend.FailureShed, 0)
			a.balancer.End(now, a.balancer.Begin(now.Add(-10*time.Millisecond), "u1", 0), carobbend.FailureNone, 0)
		}
		if b.balancer.AcceptanceRate(now, candidates[:1]) < 0.5 {
			break
		}
		if now.After(deadline) {
			t.Fatal("the other instance doesn't learn that the upstream sheds")
		}
		time.Sleep(20 * time.Millisecond)
	}
	for range 100 {
		if got, _ := b.balancer.Pick(now, candidates, nil); got != "u1" {
			t.Fatalf("got %s, want the upstream that doesn't shed", got)
		}
	}
	if c := b.reporter.Counts(); c.Received == 0 || c.Entries == 0 {
		t.Errorf("got counts %+v, want reports received", c)
	}
}
