package forwarder

import (
	"testing"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/balancer"
	"carobbend.example/carobbend/exchanger"
	"carobbend.example/carobbend/router"
	"carobbend.example/carobbend/scatterer"
)

// TestMissing guards against log lines that don't name the shards missing in an answer.
func TestMissing(t *testing.T) {
	services := []string{"a", "b", "c", "d", "e"}
	route := &router.Route{Route: carobbend.Route{Shards: services}}
	candidates := map[string][]carobbend.UpstreamID{"a": {"a2"}, "b": {"b1"}, "d": {"d1"}, "e": {"e1"}}
	scatter := scatterer.New(scatterer.Config{
		Balancer: balancer.New(), Candidates: func(service string) []carobbend.UpstreamID { return candidates[service] },
	}).NewQuery(route, services, scatterer.Timing{})
	for _, spec := range scatter.FirstAttempts() {
		scatter.Attempt(time.Unix(1000, 0), spec)
	}
	q := &query{
		route: route, services: services, scatter: scatter,
		replies: []*exchanger.Reply{nil, {}, nil, nil, nil},
	}
	if got, want := q.missing(), "a/a2,c/none,d/d1"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	q.replies = []*exchanger.Reply{{}, {}, {}, {}, {}}
	if got := q.missing(); got != "" {
		t.Errorf("complete answer: got %q, want none", got)
	}
	if got := (&query{}).missing(); got != "" {
		t.Errorf("request without a route: got %q, want none", got)
	}
}
