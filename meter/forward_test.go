package meter

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/forwarder"
	"carobbend.example/carobbend/reporter"
	"carobbend.example/carobbend/scatterer"
)

// TestForward guards against documented metrics that the endpoint does not expose.
func TestForward(t *testing.T) {
	one := func() int64 { return 1 }
	m, err := NewForward(ForwardSources{
		StoreCalls: one, RoutingVersion: one, Upstreams: one, Connections: one, Opened: one, InFlight: one, Members: one,
		DroppedLines: one, Ready: func() bool { return true },
		Reports: func() reporter.Counts { return reporter.Counts{Sent: 1, Failed: 2, Received: 3, Entries: 4, Bytes: 5} },
	})
	if err != nil {
		t.Fatal(err)
	}
	m.Answered("search", forwarder.OutcomePartial, 20*time.Millisecond)
	m.Attempted(scatterer.AttemptHedge, carobbend.FailureShed)
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, want := range []string{
		`carobbend_requests_total{outcome="partial",route="search"} 1`, `carobbend_request_duration_seconds_bucket{`,
		`carobbend_attempts_total{failure="shed",kind="hedge"} 1`, "carobbend_upstream_connections 1",
		"carobbend_upstream_connections_opened_total 1", "carobbend_store_calls_total 1", "carobbend_routing_version 1",
		"carobbend_members 1", "carobbend_upstreams 1", "carobbend_ready 1", "carobbend_requests_in_flight 1",
		"carobbend_log_lines_dropped_total 1", "carobbend_reports_sent_total 1", "carobbend_reports_failed_total 2",
		"carobbend_reports_received_total 3", "carobbend_report_entries_total 4", "carobbend_report_sent_bytes_total 5",
	} {
		if !strings.Contains(w.Body.String(), want) {
			t.Errorf("metrics lack %s", want)
		}
	}
}
