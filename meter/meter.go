// Package meter counts what an instance does with OpenTelemetry and shows it in the Prometheus format.
//
// What happens for each query is recorded into instruments whose attributes were prepared once; everything else is
// read from the parts of the instance when the metrics are collected.
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

// latencyBounds are the upper bounds of the latency histogram in seconds, dense around the target of 70 ms.
var latencyBounds = []float64{.002, .005, .01, .015, .02, .03, .04, .05, .06, .07, .08, .1, .15, .25, .5, 1, 2.5, 5}

// ExtraLoad counts shard requests.
type ExtraLoad struct {
	// Primaries counts first requests, Hedges and Retries what was added to them.
	Primaries, Hedges, Retries int64
}

// Sources are read when metrics are collected; nil ones are left out.
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
}

// Meter records events. It is safe for concurrent use.
type Meter struct {
	registry   *prometheus.Registry
	provider   *sdk.MeterProvider
	queries    metric.Int64Counter
	latency    metric.Float64Histogram
	covered    metric.Int64Counter
	total      metric.Int64Counter
	operations metric.Int64Counter
	notRun     metric.Int64Counter

	// Attribute sets are kept, since making one for each event costs several allocations.
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
	b := &builder{mt: mt}
	m.queries = b.counter("carobbend_queries", "Queries answered, by index and outcome.")
	m.latency = b.histogram("carobbend_query_duration", "Time from arrival to answer, by index and outcome.")
	m.covered = b.counter("carobbend_shards_covered", "Shards covered by answers, by index.")
	m.total = b.counter("carobbend_shards_asked", "Shards of the snapshots of answers, by index.")
	m.operations = b.counter("carobbend_operations", "Operations answered, by name and outcome.")
	m.notRun = b.counter("carobbend_not_run", "Requests refused as not-run, by reason.")
	b.observe(src)
	if b.err != nil {
		return nil, &Error{Op: "new instrument", Err: b.err}
	}
	return m, nil
}

// newProvider returns a provider of instruments that a registry of its own shows.
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
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Close stops the collection.
func (m *Meter) Close(ctx context.Context) error { return m.provider.Shutdown(ctx) }

type queryKey struct {
	index   string
	outcome carobbend.Outcome
}

// recordOptions are prepared options for counters and the histogram.
type recordOptions struct {
	add    []metric.AddOption
	record []metric.RecordOption
}

func optionsOf(kv ...attribute.KeyValue) *recordOptions {
	o := metric.WithAttributeSet(attribute.NewSet(kv...))
	return &recordOptions{add: []metric.AddOption{o}, record: []metric.RecordOption{o}}
}

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

// Query records an answer and the time since its arrival.
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

// Operation records a result.
func (m *Meter) Operation(name string, r carobbend.OperationResult, _ time.Duration) {
	o := cached(&m.byName, queryKey{name, r.Outcome}, func() *recordOptions {
		return optionsOf(attribute.String("operation", name), attribute.String("outcome", string(r.Outcome)))
	})
	m.operations.Add(context.Background(), 1, o.add...)
}

// NotRun records why a request was refused.
func (m *Meter) NotRun(reason string) {
	o := cached(&m.byName, reason, func() *recordOptions { return optionsOf(attribute.String("reason", reason)) })
	m.notRun.Add(context.Background(), 1, o.add...)
}

// builder makes instruments and keeps the first error.
type builder struct {
	mt  metric.Meter
	err error
}

func (b *builder) keep(err error) {
	if b.err == nil {
		b.err = err
	}
}

func (b *builder) counter(name, help string) metric.Int64Counter {
	c, err := b.mt.Int64Counter(name, metric.WithDescription(help))
	b.keep(err)
	return c
}

func (b *builder) histogram(name, help string) metric.Float64Histogram {
	h, err := b.mt.Float64Histogram(name, metric.WithDescription(help), metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(latencyBounds...))
	b.keep(err)
	return h
}

// observe registers what is read at collection.
func (b *builder) observe(src Sources) {
	b.gauge("carobbend_queue_length", "Queries that wait for admission.", src.QueueLength)
	b.gauge("carobbend_queries_running", "Queries that were admitted and run.", src.Running)
	b.gauge("carobbend_rules_version", "Version of the rule file in force.", src.RulesVersion)
	b.gauge("carobbend_requests_in_flight", "Requests of callers being served.", src.InFlight)
	b.gauge("carobbend_upstream_connections", "Open connections to upstreams.", src.Connections)
	b.gauge("carobbend_members", "Live instances in the membership view.", src.Members)
	b.flag("carobbend_ready", "1 if this instance may be named to callers.", src.Ready)
	b.sum("carobbend_store_calls", "Calls to the store; a watch is one call.", src.StoreCalls)
	if src.ExtraLoad != nil {
		b.shardRequests(src.ExtraLoad)
	}
	b.breaches()
}

func (b *builder) gauge(name, help string, f func() int64) {
	if f == nil {
		return
	}
	_, err := b.mt.Int64ObservableGauge(name, metric.WithDescription(help),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error { o.Observe(f()); return nil }))
	b.keep(err)
}

// flag shows a condition as 1 or 0.
func (b *builder) flag(name, help string, f func() bool) {
	if f == nil {
		return
	}
	b.gauge(name, help, func() int64 {
		if f() {
			return 1
		}
		return 0
	})
}

func (b *builder) sum(name, help string, f func() int64) {
	if f == nil {
		return
	}
	_, err := b.mt.Int64ObservableCounter(name, metric.WithDescription(help),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error { o.Observe(f()); return nil }))
	b.keep(err)
}

func (b *builder) shardRequests(f func() ExtraLoad) {
	kind := func(s string) metric.ObserveOption {
		return metric.WithAttributeSet(attribute.NewSet(attribute.String("kind", s)))
	}
	primary, hedge, retry := kind("primary"), kind("hedge"), kind("retry")
	_, err := b.mt.Int64ObservableCounter("carobbend_shard_requests",
		metric.WithDescription("Shard requests by kind; extra load is (hedge + retry) / primary."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			x := f()
			o.Observe(x.Primaries, primary)
			o.Observe(x.Hedges, hedge)
			o.Observe(x.Retries, retry)
			return nil
		}))
	b.keep(err)
}

func (b *builder) breaches() {
	_, err := b.mt.Int64ObservableCounter("carobbend_invariant_breaches",
		metric.WithDescription("Breaches of invariants since the start."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for _, inv := range asserter.All {
				o.Observe(asserter.Breaches(inv), metric.WithAttributes(attribute.String("invariant", string(inv))))
			}
			return nil
		}))
	b.keep(err)
}
