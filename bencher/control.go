package bencher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/oklog/ulid/v2"
	"golang.org/x/sync/errgroup"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/claimer"
	"carobbend.example/carobbend/distributor"
	"carobbend.example/carobbend/emulator"
	"carobbend.example/carobbend/linker"
	"carobbend.example/carobbend/publisher"
)

// Sizes of the control scenario.
const (
	controlDataCentres = 7
	// controlChanges is the number of rule changes applied while each size is measured.
	controlChanges = 3
	// controlWarmUp lets the news of the start pass, which notices carry for 10 s.
	controlWarmUp = 12 * time.Second
	// controlLimit bounds the wait for a version to be in force everywhere.
	controlLimit = 30 * time.Second
)

// ControlConfig configures the measurement of control work: rules, membership and links without queries.
type ControlConfig struct {
	// Instances lists the numbers of instances to measure.
	Instances []int
	// Duration is the measured time for each number.
	Duration time.Duration
}

// ControlRow is the result for one number of instances; figures are for one instance unless they say otherwise.
type ControlRow struct {
	Instances      int           `json:"instances"`
	StoreCallsAll  float64       `json:"store-calls-per-second-all"`
	StoreCalls     float64       `json:"store-calls-per-second"`
	ListReadsAll   float64       `json:"list-reads-per-second-all"`
	Bytes          float64       `json:"peer-bytes-per-second"`
	CPUPercent     float64       `json:"cpu-percent-of-a-core"`
	MemoryKiB      float64       `json:"memory-kib"`
	Goroutines     float64       `json:"goroutines"`
	SpreadSlowest  time.Duration `json:"slowest-change-in-force-ns"`
	OutageEndCalls int64         `json:"store-calls-in-the-second-after-an-outage-all"`
}

// controlNode is one light instance.
type controlNode struct {
	linker      *linker.Linker
	distributor *distributor.Distributor
	listener    net.Listener
}

// controlFleet is a number of light instances around one store.
type controlFleet struct {
	store     *emulator.Store
	nodes     []*controlNode
	listReads atomic.Int64
	cancel    context.CancelFunc
	group     *errgroup.Group
}

// Control measures each number of instances in turn.
func Control(ctx context.Context, cfg ControlConfig) ([]ControlRow, error) {
	rows := make([]ControlRow, 0, len(cfg.Instances))
	for _, n := range cfg.Instances {
		row, err := controlSize(ctx, n, cfg.Duration)
		if err != nil {
			return rows, fmt.Errorf("control with %d instances: %w", n, err)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func controlSize(ctx context.Context, n int, d time.Duration) (ControlRow, error) {
	before := memory()
	f, err := newControlFleet(ctx, n)
	if err != nil {
		return ControlRow{}, err
	}
	defer f.stop()
	if err := f.ready(ctx); err != nil {
		return ControlRow{}, err
	}
	select {
	case <-time.After(controlWarmUp):
	case <-ctx.Done():
		return ControlRow{}, ctx.Err()
	}
	row := ControlRow{Instances: n}
	f.measure(ctx, &row, d)
	row.MemoryKiB = float64(memory()-before) / 1024 / float64(n)
	row.Goroutines = float64(runtime.NumGoroutine()) / float64(n)
	for range controlChanges {
		took, err := f.change(ctx)
		if err != nil {
			return row, err
		}
		row.SpreadSlowest = max(row.SpreadSlowest, took)
	}
	row.OutageEndCalls = f.outage(ctx)
	return row, nil
}

func newControlFleet(ctx context.Context, n int) (*controlFleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	g, ctx := errgroup.WithContext(ctx)
	f := &controlFleet{store: emulator.NewStore(emulator.WithDelay(2 * time.Millisecond)), cancel: cancel, group: g}
	for i := range n {
		if err := f.add(ctx, i); err != nil {
			f.stop()
			return nil, err
		}
	}
	for _, x := range f.nodes {
		g.Go(func() error { return x.linker.Serve(x.listener) })
		g.Go(func() error { return x.linker.Run(ctx) })
		g.Go(func() error { return x.distributor.Run(ctx) })
	}
	return f, nil
}

func (f *controlFleet) add(ctx context.Context, i int) error {
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	x := &controlNode{listener: ln}
	self := carobbend.Instance{
		Name: fmt.Sprintf("instance-%04d", i), Incarnation: ulid.Make().String(),
		DataCentre:  carobbend.DataCentre(fmt.Sprintf("dc-%d", i%controlDataCentres)),
		PeerAddress: ln.Addr().String(), CallerAddress: ln.Addr().String(),
	}
	x.linker = linker.New(self, linker.WithList(f.list))
	x.distributor = distributor.New(f.store, x.linker)
	x.linker.AddHandlers(x.distributor, claimer.New(f.store, x.linker))
	f.nodes = append(f.nodes, x)
	return nil
}

// list is the instance list as all instances read it.
func (f *controlFleet) list(context.Context) ([]carobbend.Instance, error) {
	f.listReads.Add(1)
	out := make([]carobbend.Instance, 0, len(f.nodes))
	for _, x := range f.nodes {
		self := x.linker.Self()
		self.Sequence = 0
		out = append(out, self)
	}
	return out, nil
}

func (f *controlFleet) stop() {
	f.cancel()
	var errs error
	for _, x := range f.nodes {
		errs = errors.Join(errs, x.listener.Close())
	}
	// The instances end with the canceled context; their errors say no more than that.
	errs = errors.Join(errs, f.group.Wait())
	if errs != nil && !errors.Is(errs, context.Canceled) {
		fmt.Printf("control: stopping: %v\n", errs)
	}
}

// ready applies a first version and waits until it is in force everywhere.
func (f *controlFleet) ready(ctx context.Context) error {
	_, err := f.change(ctx)
	return err
}

// change applies a new version and returns the time until it is in force on all instances.
func (f *controlFleet) change(ctx context.Context) (time.Duration, error) {
	p := publisher.New(f.store)
	current, err := p.Current(ctx)
	if err != nil {
		return 0, err
	}
	version := current.GetVersion()
	req := publisher.Request{File: "bench", From: version, FromStated: true, Who: "bench"}
	req.Text = fmt.Sprintf("share house-a %d # asked by the bench\n", version+1)
	begin := time.Now()
	res, err := p.Apply(ctx, req)
	if err != nil {
		return 0, err
	}
	if res.Outcome != publisher.InForce {
		return 0, fmt.Errorf("rules %s: %s", res.Outcome, res.Detail)
	}
	for time.Since(begin) < controlLimit {
		if f.lowest() > version {
			return time.Since(begin), nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return 0, fmt.Errorf("a version wasn't in force everywhere within %v", controlLimit)
}

func (f *controlFleet) lowest() uint64 {
	lowest := ^uint64(0)
	for _, x := range f.nodes {
		lowest = min(lowest, x.distributor.Rules().Version())
	}
	return lowest
}

func (f *controlFleet) calls() int64 {
	c := f.store.Calls()
	return c.Reads + c.Writes + c.Watches
}

func (f *controlFleet) bytes() int64 {
	var n int64
	for _, x := range f.nodes {
		n += x.linker.Bytes()
	}
	return n
}

// measure records the work of an idle fleet.
func (f *controlFleet) measure(ctx context.Context, row *ControlRow, d time.Duration) {
	calls, bytes, reads, cpu, begin := f.calls(), f.bytes(), f.listReads.Load(), cpuTime(), time.Now()
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
	seconds, n := time.Since(begin).Seconds(), float64(len(f.nodes))
	row.StoreCallsAll = float64(f.calls()-calls) / seconds
	row.StoreCalls = row.StoreCallsAll / n
	row.ListReadsAll = float64(f.listReads.Load()-reads) / seconds
	row.Bytes = float64(f.bytes()-bytes) / seconds / n
	row.CPUPercent = 100 * (cpuTime() - cpu).Seconds() / seconds / n
}

// outage stops the store for longer than the confirmations last and counts the calls in the second after its end.
func (f *controlFleet) outage(ctx context.Context) int64 {
	f.store.SetOutage(true)
	select {
	case <-time.After(distributor.DefaultStale + 2*time.Second):
	case <-ctx.Done():
	}
	f.store.SetOutage(false)
	before := f.calls()
	time.Sleep(time.Second)
	return f.calls() - before
}

// memory returns the bytes in use by the heap and the stacks after a collection.
func memory() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// WriteControlTable prints the rows and the slope between the first and the last.
func WriteControlTable(w io.Writer, rows []ControlRow) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	var once sync.Once
	var failed error
	line := func(format string, args ...any) {
		if _, err := fmt.Fprintf(t, format, args...); err != nil {
			once.Do(func() { failed = err })
		}
	}
	line("instances\tstore calls/s (all)\tlist reads/s (all)\tpeer bytes/s\tCPU %% of a core\tmemory KiB\tgoroutines\tchange in force\tcalls in 1 s after outage (all)\t\n")
	for _, r := range rows {
		line("%d\t%.1f\t%.1f\t%.0f\t%.3f\t%.0f\t%.1f\t%v\t%d\t\n", r.Instances, r.StoreCallsAll, r.ListReadsAll,
			r.Bytes, r.CPUPercent, r.MemoryKiB, r.Goroutines, r.SpreadSlowest.Round(time.Millisecond), r.OutageEndCalls)
	}
	if n := len(rows); n > 1 {
		a, b := rows[0], rows[n-1]
		per := float64(b.Instances - a.Instances)
		line("slope\t%.3f\t%.3f\t%.2f\t%.5f\t%.2f\t\t\t%.2f\t\n", (b.StoreCallsAll-a.StoreCallsAll)/per,
			(b.ListReadsAll-a.ListReadsAll)/per, (b.Bytes-a.Bytes)/per, (b.CPUPercent-a.CPUPercent)/per,
			(b.MemoryKiB-a.MemoryKiB)/per, float64(b.OutageEndCalls-a.OutageEndCalls)/per)
	}
	if failed != nil {
		return failed
	}
	return t.Flush()
}
