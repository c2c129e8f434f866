package main

import "fmt"

// config is op/config.
type config struct {
	Version  uint64    `json:"version"`
	Routes   []route   `json:"routes"`
	Services []service `json:"services"`
	Limits   limits    `json:"limits"`
}

type route struct {
	Name          string   `json:"name"`
	Hostname      string   `json:"hostname"`
	Prefix        string   `json:"prefix"`
	RouteType     string   `json:"route_type"`
	Upstream      string   `json:"upstream,omitempty"`
	TimeoutMs     int      `json:"timeout_ms"`
	TargetLatency int      `json:"target_latency_ms"`
	Priority      int      `json:"priority"`
	MaxAttempts   int      `json:"max_attempts"`
	Fanout        []string `json:"fanout,omitempty"`
	TopK          int      `json:"top_k,omitempty"`
	MinCoverage   float64  `json:"min_coverage,omitempty"`
}

type service struct {
	Name           string `json:"name"`
	MaxConnections int    `json:"max_connections"`
	HealthCheck    string `json:"health_check"`
}

type limits struct {
	MaxHeaderBytes  int `json:"max_header_bytes"`
	MaxBodyBytes    int `json:"max_body_bytes"`
	HeaderTimeoutMs int `json:"header_timeout_ms"`
	IdleTimeoutMs   int `json:"idle_timeout_ms"`
}

// host is the host of all routes.
const host = "bajio.example"

var defaultLimits = limits{MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeoutMs: 5000, IdleTimeoutMs: 30000}

// orderRoute returns the route of requests that may run once at most.
func orderRoute(prefix, upstream string) route {
	return route{
		Name: "r" + fmt.Sprintf("%x", prefix), Hostname: host, Prefix: prefix, RouteType: "non_idempotent", Upstream: upstream,
		TimeoutMs: 6000, TargetLatency: 600, Priority: 2, MaxAttempts: 2,
	}
}

func services(names ...string) []service {
	out := make([]service, 0, len(names))
	for _, n := range names {
		out = append(out, service{Name: n, MaxConnections: maxConns, HealthCheck: "/health"})
	}
	return out
}

// searchRoute returns the route of a search over shards.
func searchRoute(prefix string, shards []string) route {
	return route{
		Name: "r" + fmt.Sprintf("%x", prefix), Hostname: host, Prefix: prefix, RouteType: "idempotent", Fanout: shards,
		TimeoutMs: 1500, TargetLatency: 150, Priority: 1, MaxAttempts: 2, TopK: 10, MinCoverage: 0.89,
	}
}

// shardNames returns the names of n shards.
func shardNames(n int) []string {
	out := make([]string, 0, n)
	for i := range n {
		out = append(out, fmt.Sprintf("mostrador-%02d", i))
	}
	return out
}
