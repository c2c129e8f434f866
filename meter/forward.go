package meter

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/allotter"
	"carobbend.example/carobbend/forwarder"
	"carobbend.example/carobbend/reporter"
	"carobbend.example/carobbend/restrictor"
	"carobbend.example/carobbend/scatterer"
)

// ForwardSources are the functions that are read when metrics are collected.
type ForwardSources struct {
	StoreCalls     func() int64
	RoutingVersion func() int64
	Upstreams      func() int64
	Connections    func() int64
	Opened         func() int64
	InFlight       func() int64
	Members        func() int64
	DroppedLines   func() int64
	Ready          func() bool
	// DataCentres returns the data centres to which requests are sent or that are evacuated.
	DataCentres func() []restrictor.DataCentreStatus
	// Restricted returns the number of restricted upstreams by reason.
	Restricted func() map[restrictor.Reason]int
	// Allotments returns the state of the accounts with a limit; it may be nil.
	Allotments func() []allotter.Account
	// Reports returns the totals of reports to and from other instances.
	Reports func() reporter.Counts
	// Limits are the connections and the memory of callers.
	Limits LimitSources
}

// Forward records the events of a forwarding instance. It implements forwarder.Recorder and is safe for concurrent
// use.
type Forward struct {
	registry *prometheus.Registry
	requests metric.Int64Counter
	latency  metric.Float64Histogram
	attempts metric.Int64Counter
	accounts accounts
	routes   routeNames
	byRoute  sync.Map
	byKind   sync.Map
}

var _ forwarder.Recorder = (*Forward)(nil)

// NewForward returns a meter with its own registry.
func NewForward(src ForwardSources) (*Forward, error) {
	reg, provider, err := newProvider()
	if err != nil {
		return nil, err
	}
	b := &builder{meter: provider.Meter("carobbend")}
	m := &Forward{registry: reg}
	m.requests = b.counter("carobbend_requests", "Callers' requests ended, by outcome.")
	m.latency = b.histogram("carobbend_request_duration", "Time from arrival to answer, by route and outcome.")
	m.attempts = b.counter("carobbend_attempts", "Requests to upstreams ended, by kind and failure.")
	b.observableGauge("carobbend_routing_version", "Version of the routing in force.", src.RoutingVersion)
	b.observableGauge("carobbend_upstreams", "Known upstreams, leaving ones included.", src.Upstreams)
	b.observableGauge("carobbend_upstream_connections", "Open connections to upstreams.", src.Connections)
	b.observableCounter("carobbend_upstream_connections_opened", "Connections to upstreams opened.", src.Opened)
	b.observableGauge("carobbend_requests_in_flight", "Requests of callers being served.", src.InFlight)
	b.observableGauge("carobbend_members", "Instances in the list, this one included.", src.Members)
	b.observableCounter("carobbend_store_calls", "Calls to the store; a watch is one call.", src.StoreCalls)
	b.observableCounter("carobbend_log_lines_dropped", "Log lines dropped since the output was too slow.", src.DroppedLines)
	b.observeLimits(src.Limits)
	b.observableFlag("carobbend_ready", "1 if this instance may be named to callers.", src.Ready)
	b.observeDataCentres(src.DataCentres)
	b.observeRestricted(src.Restricted)
	b.observeAccounts(&m.accounts, src.Allotments)
	b.observeReports(src.Reports)
	b.observeBreaches()
	if b.err != nil {
		return nil, &Error{Op: "new instrument", Err: b.err}
	}
	return m, nil
}

// observeReports adds the metrics of reports to and from other instances.
func (b *builder) observeReports(counts func() reporter.Counts) {
	of := func(f func(reporter.Counts) int64) func() int64 { return func() int64 { return f(counts()) } }
	b.observableCounter("carobbend_reports_sent", "Reports on upstreams sent to other instances.",
		of(func(c reporter.Counts) int64 { return c.Sent }))
	b.observableCounter("carobbend_reports_failed", "Reports that couldn't be sent, or that the other instance doesn't take.",
		of(func(c reporter.Counts) int64 { return c.Failed }))
	b.observableCounter("carobbend_reports_received", "Reports of other instances that were taken in.",
		of(func(c reporter.Counts) int64 { return c.Received }))
	b.observableCounter("carobbend_report_entries", "Upstreams in the reports that were taken in.",
		of(func(c reporter.Counts) int64 { return c.Entries }))
	b.observableCounter("carobbend_report_sent_bytes", "Size of the reports sent, without headers.",
		of(func(c reporter.Counts) int64 { return c.Bytes }))
}

// Handler serves the metrics in the Prometheus format.
func (m *Forward) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes})
}

// maxScrapes bounds the replies with metrics that are made or sent at a time; each is held whole.
const maxScrapes = 4

// maxRoutes is the number of routes with metrics of their own: those that had requests first. Routings may rename their routes without end,
// and a metric can't be dropped without a counter that decreases.
const maxRoutes = 500

// routeNames holds the routes with metrics of their own.
type routeNames struct {
	mu   sync.Mutex
	seen map[string]struct{}
}

// label returns the name under which a route appears.
func (n *routeNames) label(route string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.seen[route]; ok {
		return route
	}
	if len(n.seen) >= maxRoutes {
		return otherLabel
	}
	if n.seen == nil {
		n.seen = map[string]struct{}{}
	}
	n.seen[route] = struct{}{}
	return route
}

type routeKey struct {
	route   string
	outcome forwarder.Outcome
}

type attemptKey struct {
	kind    scatterer.AttemptKind
	failure carobbend.FailureKind
}

// Answered implements forwarder.Recorder.
func (m *Forward) Answered(route string, outcome forwarder.Outcome, latency time.Duration) {
	route = m.routes.label(route)
	o := cached(&m.byRoute, routeKey{route, outcome}, func() *recordOptions {
		return optionsOf(attribute.String("route", route), attribute.String("outcome", string(outcome)))
	})
	ctx := context.Background()
	m.requests.Add(ctx, 1, o.add...)
	m.latency.Record(ctx, latency.Seconds(), o.record...)
}

// AccountAnswered implements forwarder.Recorder.
func (m *Forward) AccountAnswered(account string, outcome forwarder.Outcome) {
	m.accounts.add(account, outcome)
}

// Attempted implements forwarder.Recorder.
func (m *Forward) Attempted(kind scatterer.AttemptKind, failure carobbend.FailureKind) {
	o := cached(&m.byKind, attemptKey{kind, failure}, func() *recordOptions {
		return optionsOf(attribute.String("kind", string(kind)), attribute.String("failure", string(failure)))
	})
	m.attempts.Add(context.Background(), 1, o.add...)
}

// observeDataCentres registers the gauges of data centres.
func (b *builder) observeDataCentres(f func() []restrictor.DataCentreStatus) {
	if f == nil {
		return
	}
	b.observableGauges("carobbend_data_centre_evacuated", "1 while nothing may be sent to the upstreams there.",
		func(observe func(value int64, attrs ...attribute.KeyValue)) {
			for _, d := range f() {
				v := int64(0)
				if d.Evacuated {
					v = 1
				}
				observe(v, attribute.String("data_centre", string(d.Name)))
			}
		})
	b.observableGauges("carobbend_data_centre_requests_in_flight", "Requests to upstreams there that have no reply yet.",
		func(observe func(value int64, attrs ...attribute.KeyValue)) {
			for _, d := range f() {
				observe(int64(d.InFlight), attribute.String("data_centre", string(d.Name)))
			}
		})
}

// observeRestricted registers the gauge of restricted upstreams.
func (b *builder) observeRestricted(f func() map[restrictor.Reason]int) {
	if f == nil {
		return
	}
	b.observableGauges("carobbend_upstreams_restricted", "Upstreams that must not, or should not, be sent to, by reason.",
		func(observe func(value int64, attrs ...attribute.KeyValue)) {
			for reason, n := range f() {
				observe(int64(n), attribute.String("reason", string(reason)))
			}
		})
}
