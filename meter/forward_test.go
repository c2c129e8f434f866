package meter

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/allotter"
	"carobbend.example/carobbend/forwarder"
	"carobbend.example/carobbend/reporter"
	"carobbend.example/carobbend/restrictor"
	"carobbend.example/carobbend/scatterer"
)

// TestForward guards against documented metrics that the endpoint does not expose.
func TestForward(t *testing.T) {
	one := func() int64 { return 1 }
	m, err := NewForward(ForwardSources{
		StoreCalls: one, RoutingVersion: one, Upstreams: one, Connections: one, Opened: one, InFlight: one, Members: one,
		DroppedLines: one, Ready: func() bool { return true },
		Allotments: func() []allotter.Account {
			return []allotter.Account{{Name: "a0", Rate: 46, Burst: 5, Share: 0.25, Granted: 0.1, FromOverdraft: 2}, {Name: "unseen"}}
		},
		DataCentres: func() []restrictor.DataCentreStatus {
			return []restrictor.DataCentreStatus{{Name: "z1", Evacuated: true, InFlight: 2}, {Name: "z2"}}
		},
		Restricted: func() map[restrictor.Reason]int { return map[restrictor.Reason]int{restrictor.Paused: 3} },
		Reports:    func() reporter.Counts { return reporter.Counts{Sent: 1, Failed: 2, Received: 3, Entries: 4, Bytes: 5} },
	})
	if err != nil {
		t.Fatal(err)
	}
	m.Answered("search", forwarder.OutcomePartial, 20*time.Millisecond)
	m.AccountAnswered("a0", forwarder.OutcomeOverLimit)
	m.Attempted(scatterer.AttemptHedge, carobbend.FailureShed)
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, want := range []string{
		`carobbend_requests_total{outcome="partial",route="search"} 1`, `carobbend_request_duration_seconds_bucket{`,
		`carobbend_attempts_total{failure="shed",kind="hedge"} 1`, "carobbend_upstream_connections 1",
		"carobbend_upstream_connections_opened_total 1", "carobbend_store_calls_total 1", "carobbend_routing_version 1",
		"carobbend_members 1", "carobbend_upstreams 1", "carobbend_ready 1", "carobbend_requests_in_flight 1",
		"carobbend_log_lines_dropped_total 1", `carobbend_account_requests_total{account="a0",outcome="over-limit"} 1`,
		`carobbend_account_rate{account="a0"} 46`, `carobbend_account_burst{account="a0"} 5`,
		`carobbend_account_share{account="a0"} 0.25`, `carobbend_account_granted{account="a0"} 0.1`,
		`carobbend_account_overdraft_total{account="a0"} 2`,
		`carobbend_data_centre_evacuated{data_centre="z1"} 1`, `carobbend_data_centre_evacuated{data_centre="z2"} 0`,
		`carobbend_data_centre_requests_in_flight{data_centre="z1"} 2`, `carobbend_upstreams_restricted{reason="paused"} 3`,
		"carobbend_reports_sent_total 1", "carobbend_reports_failed_total 2",
		"carobbend_reports_received_total 3", "carobbend_report_entries_total 4", "carobbend_report_sent_bytes_total 5",
	} {
		if !strings.Contains(w.Body.String(), want) {
			t.Errorf("metrics lack %s", want)
		}
	}
}

// TestAccountsAreBounded guards against metrics that grow with the number of accounts, and against counters that decrease.
func TestAccountsAreBounded(t *testing.T) {
	var a accounts
	last := map[string]int64{}
	for round := 1; round <= 3; round++ {
		for i := range round * maxCounted {
			for range 1 + (i+round)%3 {
				a.add(fmt.Sprint("a", i), forwarder.OutcomeComplete)
			}
		}
		seen := map[string]int64{}
		a.observe(func(account string, _ forwarder.Outcome, n int64) {
			seen[account] += n
		})
		if len(seen) > maxAccounts+1 {
			t.Errorf("round %d: got metrics of %d accounts, want at most %d and their sum", round, len(seen), maxAccounts)
		}
		for name, n := range last {
			if seen[name] < n {
				t.Errorf("round %d, account %s: got %d after %d", round, name, seen[name], n)
			}
		}
		last = seen
	}
	if got := len(a.counts); got > maxCounted+1 {
		t.Errorf("got %d accounts counted, want at most %d", got, maxCounted+1)
	}
}

// TestRoutesAreBounded guards against metrics that grow with the number of routes that had requests.
func TestRoutesAreBounded(t *testing.T) {
	one := func() int64 { return 1 }
	m, err := NewForward(ForwardSources{
		StoreCalls: one, RoutingVersion: one, Upstreams: one, Connections: one, Opened: one, InFlight: one, Members: one,
		DroppedLines: one, Ready: func() bool { return true }, Reports: func() reporter.Counts { return reporter.Counts{} },
	})
	if err != nil {
		t.Fatal(err)
	}
	for i := range 2 * maxRoutes {
		m.Answered(fmt.Sprint("r", i), forwarder.OutcomeComplete, time.Millisecond)
	}
	m.Answered("r0", forwarder.OutcomeComplete, time.Millisecond)
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	got := strings.Count(w.Body.String(), "carobbend_requests_total{")
	if want := maxRoutes + 1; got != want {
		t.Errorf("metrics of routes: got %d, want %d", got, want)
	}
	for _, want := range []string{
		`carobbend_requests_total{outcome="whole",route="r0"} 2`,
		fmt.Sprintf(`carobbend_requests_total{outcome="whole",route="(other)"} %d`, maxRoutes),
	} {
		if !strings.Contains(w.Body.String(), want) {
			t.Errorf("metrics lack %s", want)
		}
	}
}
