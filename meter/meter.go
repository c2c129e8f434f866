// Package meter records metrics of an instance with OpenTelemetry and exposes them in the Prometheus format.
//
// Events of each query are recorded into instruments with attribute sets that are built once and cached. All other
// metrics are read from functions when the metrics are collected.
//
// # Usage
//
//	m, err := meter.New(meter.Sources{QueueLength: func() int64 { return waiting }})
//	m.Query(answer, latency)
//	http.Handle("/metrics", m.Handler())
package meter

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/asserter"
)

// latencyBounds are the upper bounds of the latency histogram in seconds. They are dense around the latency target of
// 70 ms.
var latencyBounds = []float64{.002, .005, .01, .015, .02, .03, .04, .05, .06, .07, .08, .1, .15, .25, .5, 1, 2.5, 5}

// ExtraLoad counts shard requests by kind.
type ExtraLoad struct {
	// Primaries counts the first requests, Hedges and Retries the extra ones.
	Primaries, Hedges, Retries int64
}

// Sources are the functions that are read when metrics are collected. Metrics without a function are left out.
type Sources struct {
	ExtraLoad    func() ExtraLoad
	StoreCalls   func() int64
	QueueLength  func() int64
	Running      func() int64
	RulesVersion func() int64
	InFlight     func() int64
	Connections  func() int64
	Members      func() int64
	Ready        func() bool
	// Limits are the connections and the memory of callers.
	Limits LimitSources
}

// LimitSources are read for the metrics of callers' connections and memory.
type LimitSources struct {
	// Connections is by listener, Closed by reason, and Reserved, in bytes, by part of the account.
	Connections, Closed, Reserved func() map[string]int64
}

// observeLimits registers the metrics of callers' connections and memory.
func (b *builder) observeLimits(src LimitSources) {
	b.observableBy("carobbend_caller_connections", "Open connections, by listener.", "listener", false, src.Connections)
	b.observableBy("carobbend_caller_connections_closed", "Connections closed by this instance, by reason.", "reason", true, src.Closed)
	b.observableBy("carobbend_memory_reserved_bytes", "Memory reserved for callers, by part.", "part", false, src.Reserved)
}

// Meter records the events of an instance. It is safe for concurrent use.
type Meter struct {
	registry   *prometheus.Registry
	provider   *sdk.MeterProvider
	queries    metric.Int64Counter
	latency    metric.Float64Histogram
	covered    metric.Int64Counter
	total      metric.Int64Counter
	operations metric.Int64Counter
	notRun     metric.Int64Counter

	// These maps cache attribute sets, since building one for each event costs several allocations.
	byQuery sync.Map
	byIndex sync.Map
	byName  sync.Map
}

// Error is the error type of this package.
type Error struct {
	Op  string
	Err error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("meter %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// New returns a meter with its own registry.
func New(src Sources) (*Meter, error) {
	reg, provider, err := newProvider()
	if err != nil {
		return nil, err
	}
	m := &Meter{registry: reg, provider: provider}
	mt := m.provider.Meter("carobbend")
	b := &builder{meter: mt}
	m.queries = b.counter("carobbend_queries", "Queries answered, by index and outcome.")
	m.latency = b.histogram("carobbend_query_duration", "Time from arrival to answer, by index and outcome.")
	m.covered = b.counter("carobbend_shards_covered", "Shards covered by answers, by index.")
	m.total = b.counter("carobbend_shards_asked", "Shards of the snapshots of answers, by index.")
	m.operations = b.counter("carobbend_operations", "Operations answered, by name and outcome.")
	m.notRun = b.counter("carobbend_not_run", "Requests refused as not-run, by reason.")
	b.observeSources(src)
	if b.err != nil {
		return nil, &Error{Op: "new instrument", Err: b.err}
	}
	return m, nil
}

// newProvider returns a provider of instruments and the registry that exposes them.
func newProvider() (*prometheus.Registry, *sdk.MeterProvider, error) {
	reg := prometheus.NewRegistry()
	exp, err := exporter.New(exporter.WithRegisterer(reg), exporter.WithoutScopeInfo(), exporter.WithoutTargetInfo())
	if err != nil {
		return nil, nil, &Error{Op: "new exporter", Err: err}
	}
	return reg, sdk.NewMeterProvider(sdk.WithReader(exp)), nil
}

// Handler serves the metrics in the Prometheus format.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes})
}

// Close stops the collection.
func (m *Meter) Close(ctx context.Context) error { return m.provider.Shutdown(ctx) }

type queryKey struct {
	index   string
	outcome carobbend.Outcome
}

// recordOptions are the cached options of the counters and the histogram for one attribute set.
type recordOptions struct {
	add    []metric.AddOption
	record []metric.RecordOption
}

func optionsOf(kv ...attribute.KeyValue) *recordOptions {
	o := metric.WithAttributeSet(attribute.NewSet(kv...))
	return &recordOptions{add: []metric.AddOption{o}, record: []metric.RecordOption{o}}
}

// cached returns the options for key, and prepares them at the first use.
func cached(m *sync.Map, key any, prepare func() *recordOptions) *recordOptions {
	if v, ok := m.Load(key); ok {
		if o, ok := v.(*recordOptions); ok {
			return o
		}
	}
	o := prepare()
	m.Store(key, o)
	return o
}

// Query records the outcome, the coverage and the latency of an answer.
func (m *Meter) Query(a carobbend.Answer, latency time.Duration) {
	ctx := context.Background()
	o := cached(&m.byQuery, queryKey{a.Index, a.Outcome}, func() *recordOptions {
		return optionsOf(attribute.String("index", a.Index), attribute.String("outcome", string(a.Outcome)))
	})
	m.queries.Add(ctx, 1, o.add...)
	m.latency.Record(ctx, latency.Seconds(), o.record...)
	if a.Total > 0 {
		o := cached(&m.byIndex, a.Index, func() *recordOptions { return optionsOf(attribute.String("index", a.Index)) })
		m.covered.Add(ctx, int64(a.Covered), o.add...)
		m.total.Add(ctx, int64(a.Total), o.add...)
	}
}

// Operation records the outcome of an operation.
func (m *Meter) Operation(name string, r carobbend.OperationResult, _ time.Duration) {
	o := cached(&m.byName, queryKey{name, r.Outcome}, func() *recordOptions {
		return optionsOf(attribute.String("operation", name), attribute.String("outcome", string(r.Outcome)))
	})
	m.operations.Add(context.Background(), 1, o.add...)
}

// NotRun records the reason why a request was refused without being run.
func (m *Meter) NotRun(reason string) {
	o := cached(&m.byName, reason, func() *recordOptions { return optionsOf(attribute.String("reason", reason)) })
	m.notRun.Add(context.Background(), 1, o.add...)
}

// builder creates instruments and keeps the first error.
type builder struct {
	meter metric.Meter
	err   error
}

func (b *builder) setErr(err error) {
	if b.err == nil {
		b.err = err
	}
}

func (b *builder) counter(name, help string) metric.Int64Counter {
	c, err := b.meter.Int64Counter(name, metric.WithDescription(help))
	b.setErr(err)
	return c
}

func (b *builder) histogram(name, help string) metric.Float64Histogram {
	h, err := b.meter.Float64Histogram(name, metric.WithDescription(help), metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(latencyBounds...))
	b.setErr(err)
	return h
}

// observeSources registers the metrics that are read at collection.
func (b *builder) observeSources(src Sources) {
	b.observableGauge("carobbend_queue_length", "Queries that wait for admission.", src.QueueLength)
	b.observableGauge("carobbend_queries_running", "Queries that were admitted and run.", src.Running)
	b.observableGauge("carobbend_rules_version", "Version of the rule file in force.", src.RulesVersion)
	b.observableGauge("carobbend_requests_in_flight", "Requests of callers being served.", src.InFlight)
	b.observableGauge("carobbend_upstream_connections", "Open connections to upstreams.", src.Connections)
	b.observableGauge("carobbend_members", "Live instances in the membership view.", src.Members)
	b.observableFlag("carobbend_ready", "1 if this instance may be named to callers.", src.Ready)
	b.observableCounter("carobbend_store_calls", "Calls to the store; a watch is one call.", src.StoreCalls)
	b.observeLimits(src.Limits)
	if src.ExtraLoad != nil {
		b.observeShardRequests(src.ExtraLoad)
	}
	b.observeBreaches()
}

func (b *builder) observableGauge(name, help string, f func() int64) {
	if f == nil {
		return
	}
	_, err := b.meter.Int64ObservableGauge(name, metric.WithDescription(help),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error { o.Observe(f()); return nil }))
	b.setErr(err)
}

// observableGauges registers a gauge with one value for each set of attributes; f calls observe for each of them.
func (b *builder) observableGauges(name, help string, f func(observe func(value int64, attrs ...attribute.KeyValue))) {
	_, err := b.meter.Int64ObservableGauge(name, metric.WithDescription(help),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			f(func(value int64, attrs ...attribute.KeyValue) { o.Observe(value, metric.WithAttributes(attrs...)) })
			return nil
		}))
	b.setErr(err)
}

// observableFlag registers a gauge that is 1 while f returns true, else 0.
func (b *builder) observableFlag(name, help string, f func() bool) {
	if f == nil {
		return
	}
	b.observableGauge(name, help, func() int64 {
		if f() {
			return 1
		}
		return 0
	})
}

func (b *builder) observableCounter(name, help string, f func() int64) {
	if f == nil {
		return
	}
	_, err := b.meter.Int64ObservableCounter(name, metric.WithDescription(help),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error { o.Observe(f()); return nil }))
	b.setErr(err)
}

// observableBy registers a counter or gauge with one attribute, whose values are the keys that f returns.
func (b *builder) observableBy(name, help, key string, counter bool, f func() map[string]int64) {
	if f == nil {
		return
	}
	observe := metric.Int64Callback(func(_ context.Context, o metric.Int64Observer) error {
		for k, n := range f() {
			o.Observe(n, metric.WithAttributes(attribute.String(key, k)))
		}
		return nil
	})
	var err error
	if counter {
		_, err = b.meter.Int64ObservableCounter(name, metric.WithDescription(help), metric.WithInt64Callback(observe))
	} else {
		_, err = b.meter.Int64ObservableGauge(name, metric.WithDescription(help), metric.WithInt64Callback(observe))
	}
	b.setErr(err)
}

func (b *builder) observeShardRequests(f func() ExtraLoad) {
	kind := func(s string) metric.ObserveOption {
		return metric.WithAttributeSet(attribute.NewSet(attribute.String("kind", s)))
	}
	primary, hedge, retry := kind("primary"), kind("hedge"), kind("retry")
	_, err := b.meter.Int64ObservableCounter("carobbend_shard_requests",
		metric.WithDescription("Shard requests by kind; extra load is (hedge + retry) / primary."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			x := f()
			o.Observe(x.Primaries, primary)
			o.Observe(x.Hedges, hedge)
			o.Observe(x.Retries, retry)
			return nil
		}))
	b.setErr(err)
}

func (b *builder) observeBreaches() {
	_, err := b.meter.Int64ObservableCounter("carobbend_invariant_breaches",
		metric.WithDescription("Breaches of invariants since the start."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for _, inv := range asserter.All {
				o.Observe(asserter.Breaches(inv), metric.WithAttributes(attribute.String("invariant", string(inv))))
			}
			return nil
		}))
	b.setErr(err)
}
