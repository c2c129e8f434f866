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
	"carobbend.example/carobbend/forwarder"
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
	b.observeBreaches()
	if b.err != nil {
		return nil, &Error{Op: "new instrument", Err: b.err}
	}
	return m, nil
}

// Handler serves the metrics in the Prometheus format.
func (m *Forward) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes})
}

// maxScrapes bounds the replies with metrics that are made or sent at a time; each is held whole.
const maxScrapes = 4

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
	o := cached(&m.byRoute, routeKey{route, outcome}, func() *recordOptions {
		return optionsOf(attribute.String("route", route), attribute.String("outcome", string(outcome)))
	})
	ctx := context.Background()
	m.requests.Add(ctx, 1, o.add...)
	m.latency.Record(ctx, latency.Seconds(), o.record...)
}

// Attempted implements forwarder.Recorder.
func (m *Forward) Attempted(kind scatterer.AttemptKind, failure carobbend.FailureKind) {
	o := cached(&m.byKind, attemptKey{kind, failure}, func() *recordOptions {
		return optionsOf(attribute.String("kind", string(kind)), attribute.String("failure", string(failure)))
	})
	m.attempts.Add(context.Background(), 1, o.add...)
}
