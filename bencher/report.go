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

// Report is the result of a run. Times are in milliseconds, shares in percent.
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

// Result is what was measured under one policy.
type Result struct {
	Policy  string `json:"policy"`
	Queries int64  `json:"queries"`
	// Times of the answers that ran, from the scheduled arrival, the way to the client included.
	P50  float64 `json:"p50-ms"`
	P99  float64 `json:"p99-ms"`
	P999 float64 `json:"p99.9-ms"`
	// Complete and Coverage are shares of the answers that ran; InTime is the share of all queries that were answered
	// completely within 70 ms.
	Complete float64 `json:"complete-percent"`
	Coverage float64 `json:"coverage-percent"`
	InTime   float64 `json:"in-time-percent"`
	// ExtraLoad is the requests sent beyond one for each shard of an answer, in percent of those.
	ExtraLoad float64                           `json:"extra-load-percent"`
	NotRun    int64                             `json:"not-run"`
	Refused   map[string]int64                  `json:"refused,omitempty"`
	Missing   map[carobbend.MissingReason]int64 `json:"missing,omitempty"`
	Wrong     int64                             `json:"wrong"`
	WrongBy   map[wrongness]int64               `json:"wrong-by,omitempty"`
	CutOff    int64                             `json:"cut-off"`
	// ToLeaving counts shard requests that reached an upstream while it was leaving.
	ToLeaving int64         `json:"to-leaving"`
	Houses    []HouseResult `json:"houses"`
	// Jain is Jain's index over the houses' served queries, each divided by its max-min fair part.
	Jain float64 `json:"jain"`
	// LagP99 is the delay of the load generator against its schedule; it shows the noise of the machine.
	LagP99 float64 `json:"lag-p99-ms"`
}

// HouseResult is what was measured for one house.
type HouseResult struct {
	House   string  `json:"house"`
	Share   int     `json:"share"`
	Queries int64   `json:"queries"`
	Served  int64   `json:"served"`
	Fair    float64 `json:"fair"`
	P99     float64 `json:"p99-ms"`
	InTime  float64 `json:"in-time-percent"`
}

func millis(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }

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
		P50: millis(r.all.latency, 50), P99: millis(r.all.latency, 99), P999: millis(r.all.latency, 99.9),
		Complete: percent(float64(r.all.complete), ran), Coverage: percent(r.all.coverage, ran),
		InTime:    percent(float64(r.all.inTime), float64(r.all.queries)),
		ExtraLoad: percent(float64(r.sends-r.primaries), float64(r.primaries)),
		NotRun:    r.all.notRun, Refused: r.refused, Missing: r.missing, WrongBy: r.wrong,
		CutOff: r.cutOff, ToLeaving: r.leaving, LagP99: millis(r.lag, 99),
	}
	for _, n := range r.wrong {
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
			P99: millis(t.latency, 99), InTime: percent(float64(t.inTime), float64(t.queries)),
		})
	}
	fair := maxMin(demand, weights, sum(served))
	for i := range out.Houses {
		out.Houses[i].Fair = fair[i]
	}
	out.Jain = jain(served, fair)
	return out
}

// maxMin divides capacity by weight among demands; what a house doesn't demand goes to the others.
func maxMin(demand, weights []float64, capacity float64) []float64 {
	order := make([]int, len(demand))
	for i := range order {
		order[i] = i
	}
	sort.Slice(order, func(a, b int) bool {
		return demand[order[a]]/weights[order[a]] < demand[order[b]]/weights[order[b]]
	})
	left, weight := capacity, sum(weights)
	out := make([]float64, len(demand))
	for _, i := range order {
		out[i] = min(demand[i], left*weights[i]/weight)
		left -= out[i]
		weight -= weights[i]
	}
	return out
}

// jain returns Jain's fairness index of what each got in relation to its fair part.
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
