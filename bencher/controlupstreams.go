package bencher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/connector"
	"carobbend.example/carobbend/emulator"
	"carobbend.example/carobbend/sleeper"
)

const (
	// statusWarmUp excludes the opening of the connections and the first status reads from the measurement.
	statusWarmUp = 3 * time.Second
	// statusHeaderTimeout bounds the time to read the header of a request to an emulated upstream.
	statusHeaderTimeout = 10 * time.Second
)

// UpstreamRow is the cost of polling the status of upstreams that get no queries. It includes the cost of emulating them.
type UpstreamRow struct {
	Upstreams  int     `json:"upstreams"`
	CPUPercent float64 `json:"cpu-percent-of-a-core"`
	MemoryKiB  float64 `json:"memory-kib"`
}

// MeasureStatusPolling measures the status polling of one instance for each number of upstreams in turn.
func MeasureStatusPolling(ctx context.Context, upstreams []int, d time.Duration) ([]UpstreamRow, error) {
	rows := make([]UpstreamRow, 0, len(upstreams))
	for _, n := range upstreams {
		row, err := measureStatusPolling(ctx, n, d)
		if err != nil {
			return rows, fmt.Errorf("control with %d upstreams: %w", n, err)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func measureStatusPolling(ctx context.Context, n int, d time.Duration) (row UpstreamRow, err error) {
	idle := memoryInUse()
	ctx, cancel := context.WithCancel(ctx)
	var g errgroup.Group
	servers := make([]*http.Server, 0, n)
	defer func() {
		cancel()
		for _, s := range servers {
			err = errors.Join(err, s.Close())
		}
		err = errors.Join(err, g.Wait())
	}()
	ups := make([]connector.Upstream, 0, n)
	for i := range n {
		u := emulator.NewUpstream(emulator.UpstreamConfig{ID: carobbend.UpstreamID(fmt.Sprint("upstream-", i)), Slots: 3})
		u.Hold(emulator.Holding{Index: "index", Snapshot: 1, Shards: n, Held: []int{i}})
		ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return row, err
		}
		s := &http.Server{Handler: u, ReadHeaderTimeout: statusHeaderTimeout}
		servers = append(servers, s)
		ups = append(ups, connector.Upstream{ID: u.ID(), Address: ln.Addr().String(), Connections: 1})
		g.Go(func() error { return ignore(s.Serve(ln), http.ErrServerClosed) })
	}
	c := connector.New(ups)
	defer c.Close()
	g.Go(func() error { return ignore(c.Run(ctx), context.Canceled) })
	sleeper.Sleep(ctx, statusWarmUp)
	cpu, begin := cpuTime(), time.Now()
	sleeper.Sleep(ctx, d)
	row = UpstreamRow{Upstreams: n, CPUPercent: 100 * (cpuTime() - cpu).Seconds() / time.Since(begin).Seconds()}
	row.MemoryKiB = float64(memoryInUse()-idle) / 1024
	return row, ctx.Err()
}

// ignore returns err unless it is the expected one.
func ignore(err, expected error) error {
	if errors.Is(err, expected) {
		return nil
	}
	return err
}

// WriteUpstreamTable writes the rows as text, with the slope for each further upstream between the first and the last row.
func WriteUpstreamTable(w io.Writer, rows []UpstreamRow) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	text := "upstreams\tCPU % of a core (stand-ins included)\tmemory KiB (stand-ins included)\t\n"
	for _, r := range rows {
		text += fmt.Sprintf("%d\t%.3f\t%.0f\t\n", r.Upstreams, r.CPUPercent, r.MemoryKiB)
	}
	if n := len(rows); n > 1 {
		a, b := rows[0], rows[n-1]
		per := float64(b.Upstreams - a.Upstreams)
		text += fmt.Sprintf("slope\t%.4f\t%.1f\t\n", (b.CPUPercent-a.CPUPercent)/per, (b.MemoryKiB-a.MemoryKiB)/per)
	}
	if _, err := io.WriteString(t, text); err != nil {
		return err
	}
	return t.Flush()
}
