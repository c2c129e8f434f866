package forwarder

import (
	"testing"

	"carobbend.example/carobbend"
)

// TestUpstreamReturns guards against an upstream that stays marked as leaving after it was restarted, in a deployment without
// start times.
func TestUpstreamReturns(t *testing.T) {
	var s UpstreamSet
	r := carobbend.UpstreamRecord{ID: "a", Service: "s", Address: "127.0.0.1:1", Leaving: true}
	s.Update([]carobbend.UpstreamRecord{r})
	r.Leaving = false
	if c := s.Update([]carobbend.UpstreamRecord{r}); len(c.Joined) != 1 {
		t.Errorf("joined: got %v, want the upstream", c.Joined)
	}
}
