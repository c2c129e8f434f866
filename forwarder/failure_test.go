package forwarder

import (
	"fmt"
	"net/http"
	"testing"
)

// TestUnmarkedRefusal guards against a status that guarantees to the caller that its request didn't run, where the upstream
// ran it and then failed with that status: the caller would repeat a request that must run only once.
func TestUnmarkedRefusal(t *testing.T) {
	for _, status := range []int{
		http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
	} {
		for _, repeatable := range []bool{false, true} {
			t.Run(fmt.Sprint(status, " repeatable ", repeatable), func(t *testing.T) {
				tr := newTier(t)
				fail := func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("X-Proof", "p")
					w.WriteHeader(status)
				}
				tr.upstream(t, "a", "a1", "", fail)
				tr.upstream(t, "a", "a2", "", fail)
				tr.route(order(repeatable))
				resp, _ := tr.call(t, "POST", "/o/1", "body")
				got, proof, runs := resp.status, resp.header.Get("X-Proof"), tr.runsOf("a1")+tr.runsOf("a2")
				if !repeatable && (got != http.StatusBadGateway || proof != "" || runs != 1) {
					t.Errorf("got %d, proof %q, %d runs, want 502 without a proof after one run", got, proof, runs)
				}
				if repeatable && (got != status || proof != "p") {
					t.Errorf("got %d, proof %q, want the upstream's reply unchanged", got, proof)
				}
			})
		}
	}
}
