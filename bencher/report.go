package bencher

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"

	"carobbend.example/carobbend"
)

// Report is the result of a run. Times are in milliseconds and shares in percent, unless a key states another unit.
type Report struct {
	Scenario       string   `json:"scenario"`
	Help           string   `json:"help"`
	Deployment     string   `json:"deployment"`
	Index          string   `json:"index"`
	Instances      int      `json:"instances"`
	Upstreams      int      `json:"upstreams"`
	Slots          int      `json:"slots"`
	Load           float64  `json:"load"`
	QueriesPerS    float64  `json:"queries-per-s"`
	DeadlineMs     float64  `json:"deadline-ms"`
	DurationS      float64  `json:"duration-s"`
	Rounds         int      `json:"rounds"`
	Seed           uint64   `json:"seed"`
	ServiceTime    string   `json:"service-time"`
	Results        []Result `json:"results"`
	ExtraLoadLimit float64  `json:"extra-load-limit"`
}

// Result holds the measurements of one policy.
type Result struct {
	Policy  string `json:"policy"`
	Queries int64  `json:"queries"`
	// Latency quantiles of the queries that ran, from the scheduled arrival to the client's receipt of the answer.
	P50  float64 `json:"p50-ms"`
	P99  float64 `json:"p99-ms"`
	P999 float64 `json:"p99.9-ms"`
	// Complete is the percentage of complete answers and Coverage the mean percentage of covered shards, both of the
	// queries that ran. InTime is the percentage of all queries that got a complete answer within 70 ms.
	Complete float64 `json:"complete-percent"`
	Coverage float64 `json:"coverage-percent"`
	InTime   float64 `json:"in-time-percent"`
	// ExtraLoad is the number of requests beyond one for each shard of an answer, as a percentage of the latter,
	// including the warm-up.
	ExtraLoad float64                           `json:"extra-load-percent"`
	NotRun    int64                             `json:"not-run"`
	Refused   map[string]int64                  `json:"refused,omitempty"`
	Missing   map[carobbend.MissingReason]int64 `json:"missing,omitempty"`
	Wrong     int64                             `json:"wrong"`
	WrongBy   map[violation]int64               `json:"wrong-by,omitempty"`
	CutOff    int64                             `json:"cut-off"`
	// ToLeaving counts shard requests that reached an upstream while it was leaving.
	ToLeaving int64         `json:"to-leaving"`
	Houses    []HouseResult `json:"houses"`
	// Jain is Jain's index over the houses' served queries, each divided by its max-min fair allocation.
	Jain float64 `json:"jain"`
	// LagP99 is the 99th percentile of the delay of the load generator against its schedule. A high value means that
	// the machine was too busy for the measurement.
	LagP99 float64 `json:"lag-p99-ms"`
}

// HouseResult holds the measurements of one house. Fair is its max-min fair allocation of the served queries.
type HouseResult struct {
	House   string  `json:"house"`
	Share   int     `json:"share"`
	Queries int64   `json:"queries"`
	Served  int64   `json:"served"`
	Fair    float64 `json:"fair"`
	P99     float64 `json:"p99-ms"`
	InTime  float64 `json:"in-time-percent"`
}

func quantileMs(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

func percent(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * part / whole
}

func (r *recorder) result(policy string, d deployment) Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	ran := float64(r.all.queries - r.all.notRun)
	out := Result{
		Policy: policy, Queries: r.all.queries,
		P50: quantileMs(r.all.latency, 50), P99: quantileMs(r.all.latency, 99), P999: quantileMs(r.all.latency, 99.9),
		Complete: percent(float64(r.all.complete), ran), Coverage: percent(r.all.coverage, ran),
		InTime:    percent(float64(r.all.inTime), float64(r.all.queries)),
		ExtraLoad: percent(float64(r.sends-r.primaryRequests), float64(r.primaryRequests)),
		NotRun:    r.all.notRun, Refused: r.refused, Missing: r.missing, WrongBy: r.violations,
		CutOff: r.cutOff, ToLeaving: r.toLeaving, LagP99: quantileMs(r.lag, 99),
	}
	for _, n := range r.violations {
		out.Wrong += n
	}
	var demand, served, weights []float64
	for _, h := range d.houses {
		t := r.houses[h.name]
		if t == nil {
			continue
		}
		demand = append(demand, float64(t.queries))
		served = append(served, float64(t.queries-t.notRun))
		weights = append(weights, float64(h.share))
		out.Houses = append(out.Houses, HouseResult{
			House: h.name, Share: h.share, Queries: t.queries, Served: t.queries - t.notRun,
			P99: quantileMs(t.latency, 99), InTime: percent(float64(t.inTime), float64(t.queries)),
		})
	}
	fair := maxMinFair(demand, weights, sum(served))
	for i := range out.Houses {
		out.Houses[i].Fair = fair[i]
	}
	out.Jain = jain(served, fair)
	return out
}

// maxMinFair returns the weighted max-min fair allocation of capacity: capacity beyond the demand of a house goes to the
// others.
func maxMinFair(demand, weights []float64, capacity float64) []float64 {
	order := make([]int, len(demand))
	for i := range order {
		order[i] = i
	}
	sort.Slice(order, func(a, b int) bool {
		return demand[order[a]]/weights[order[a]] < demand[order[b]]/weights[order[b]]
	})
	remaining, weight := capacity, sum(weights)
	out := make([]float64, len(demand))
	for _, i := range order {
		out[i] = min(demand[i], remaining*weights[i]/weight)
		remaining -= out[i]
		weight -= weights[i]
	}
	return out
}

// jain returns Jain's fairness index of the ratios of got to fair.
func jain(got, fair []float64) float64 {
	var s, squares, n float64
	for i := range got {
		if fair[i] > 0 {
			x := got[i] / fair[i]
			s += x
			squares += x * x
			n++
		}
	}
	if squares == 0 {
		return 0
	}
	return s * s / (n * squares)
}

func sum(x []float64) float64 {
	var s float64
	for _, v := range x {
		s += v
	}
	return s
}

// WriteJSON writes the report to a file.
func (r *Report) WriteJSON(path string) error {
	b, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	if err := os.WriteFile(path, append(b, '\n'), 0o644); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// WriteTable writes the report as text.
func (r *Report) WriteTable(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(tw, format, args...) } // tw keeps errors until Flush
	p("scenario %s (%s), deployment %s, index %s\n", r.Scenario, r.Help, r.Deployment, r.Index)
	p("%d instances, %d upstreams of %d slots, load %.0f%% of the slots (%.0f queries/s), deadline %.0f ms\n",
		r.Instances, r.Upstreams, r.Slots, 100*r.Load, r.QueriesPerS, r.DeadlineMs)
	p("%.0f s for each policy in %d rounds, seed %d; service time of the stand-ins: %s\n",
		r.DurationS, r.Rounds, r.Seed, r.ServiceTime)
	p("policy\tqueries\tp50 ms\tp99 ms\tp99.9 ms\tin time %%\tcomplete %%\tcoverage %%\textra %%\tnot run\twrong\tcut off\tJain\tlag p99 ms\t\n")
	for _, s := range r.Results {
		p("%s\t%d\t%.1f\t%.1f\t%.1f\t%.2f\t%.2f\t%.3f\t%.2f\t%d\t%d\t%d\t%.3f\t%.1f\t\n", s.Policy, s.Queries, s.P50, s.P99,
			s.P999, s.InTime, s.Complete, s.Coverage, s.ExtraLoad, s.NotRun, s.Wrong, s.CutOff, s.Jain, s.LagP99)
	}
	if len(r.Results) > 0 && r.Scenario == "overload" {
		p("policy\thouse\tshare\tqueries\tserved\tfair\tp99 ms\tin time %%\t\n")
		for _, s := range r.Results {
			for _, h := range s.Houses {
				p("%s\t%s\t%d\t%d\t%d\t%.0f\t%.1f\t%.2f\t\n", s.Policy, h.House, h.Share, h.Queries, h.Served, h.Fair, h.P99, h.InTime)
			}
		}
	}
	for _, s := range r.Results {
		p("%s: missing %v, refused %v, requests to leaving upstreams %d\n", s.Policy, s.Missing, s.Refused, s.ToLeaving)
	}
	return tw.Flush()
}
