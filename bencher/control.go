package bencher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// controlRuleLines is the number of class rules in the rule file.
	controlRuleLines = 300
	// controlChanges is the number of rule changes applied while each size is measured.
	controlChanges = 3
	// controlWarmUp excludes the start of the instances from the measurement: notices announce it for 10 s.
	controlWarmUp = 12 * time.Second
	// controlTimeout bounds the wait for a rules version to be in force on all instances.
	controlTimeout = 30 * time.Second
)

// ControlConfig configures the measurement of the control plane: rules, membership and links without queries.
type ControlConfig struct {
	// Instances lists the numbers of instances to measure.
	Instances []int
	// Duration is the measured time for each number.
	Duration time.Duration
}

// ControlRow is the result for one number of instances. Figures are averages for one instance, except those whose key
// ends in -all, the size of the rules value and the slowest change.
type ControlRow struct {
	Instances      int           `json:"instances"`
	StoreCallsAll  float64       `json:"store-calls-per-second-all"`
	StoreCalls     float64       `json:"store-calls-per-second"`
	ListReadsAll   float64       `json:"list-reads-per-second-all"`
	Bytes          float64       `json:"peer-bytes-per-second"`
	CPUPercent     float64       `json:"cpu-percent-of-a-core"`
	MemoryKiB      float64       `json:"memory-kib"`
	Goroutines     float64       `json:"goroutines"`
	ChangeBytes    float64       `json:"peer-bytes-for-a-change"`
	ValueBytes     int           `json:"bytes-of-the-rules-value"`
	SpreadSlowest  time.Duration `json:"slowest-change-in-force-ns"`
	OutageEndCalls int64         `json:"store-calls-in-the-second-after-an-outage-all"`
}

// controlNode is an instance with a control plane only.
type controlNode struct {
	linker      *linker.Linker
	distributor *distributor.Distributor
	listener    net.Listener
}

// controlFleet is a set of control nodes that share one store.
type controlFleet struct {
	store     *emulator.Store
	nodes     []*controlNode
	listReads atomic.Int64
	cancel    context.CancelFunc
	group     *errgroup.Group
}

// MeasureControlPlane measures the control plane for each number of instances in turn.
func MeasureControlPlane(ctx context.Context, cfg ControlConfig) ([]ControlRow, error) {
	rows := make([]ControlRow, 0, len(cfg.Instances))
	for _, n := range cfg.Instances {
		row, err := measureControlPlane(ctx, n, cfg.Duration)
		if err != nil {
			return rows, fmt.Errorf("control with %d instances: %w", n, err)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func measureControlPlane(ctx context.Context, n int, d time.Duration) (ControlRow, error) {
	idleMemory := memoryInUse()
	f, err := newControlFleet(ctx, n)
	if err != nil {
		return ControlRow{}, err
	}
	defer f.stop()
	if err := f.applyFirstRules(ctx); err != nil {
		return ControlRow{}, err
	}
	select {
	case <-time.After(controlWarmUp):
	case <-ctx.Done():
		return ControlRow{}, ctx.Err()
	}
	row := ControlRow{Instances: n}
	f.measureIdle(ctx, &row, d)
	row.MemoryKiB = float64(memoryInUse()-idleMemory) / 1024 / float64(n)
	row.Goroutines = float64(runtime.NumGoroutine()) / float64(n)
	before, begin := f.peerBytes(), time.Now()
	for range controlChanges {
		took, err := f.applyRules(ctx)
		if err != nil {
			return row, err
		}
		row.SpreadSlowest = max(row.SpreadSlowest, took)
	}
	idle := row.Bytes * time.Since(begin).Seconds()
	row.ChangeBytes = (float64(f.peerBytes()-before)/float64(n) - idle) / controlChanges
	if e, err := f.store.Get(ctx, publisher.Key); err == nil {
		row.ValueBytes = len(e.Value)
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
	for _, node := range f.nodes {
		g.Go(func() error { return node.linker.Serve(node.listener) })
		g.Go(func() error { return node.linker.Run(ctx) })
		g.Go(func() error { return node.distributor.Run(ctx) })
	}
	return f, nil
}

func (f *controlFleet) add(ctx context.Context, i int) error {
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	node := &controlNode{listener: ln}
	self := carobbend.Instance{
		Name: fmt.Sprintf("instance-%04d", i), Incarnation: ulid.Make().String(),
		DataCentre:  carobbend.DataCentre(fmt.Sprintf("dc-%d", i%controlDataCentres)),
		PeerAddress: ln.Addr().String(), CallerAddress: ln.Addr().String(),
	}
	node.linker = linker.New(self, linker.WithList(f.list))
	node.distributor = distributor.New(f.store, node.linker)
	node.linker.AddHandlers(node.distributor, claimer.New(f.store, node.linker))
	f.nodes = append(f.nodes, node)
	return nil
}

// list returns the instance list that all nodes read, and counts the reads.
func (f *controlFleet) list(context.Context) ([]carobbend.Instance, error) {
	f.listReads.Add(1)
	out := make([]carobbend.Instance, 0, len(f.nodes))
	for _, node := range f.nodes {
		self := node.linker.Self()
		self.Sequence = 0
		out = append(out, self)
	}
	return out, nil
}

func (f *controlFleet) stop() {
	f.cancel()
	var errs error
	for _, node := range f.nodes {
		errs = errors.Join(errs, node.listener.Close())
	}
	// The nodes are expected to return context.Canceled.
	errs = errors.Join(errs, f.group.Wait())
	if errs != nil && !errors.Is(errs, context.Canceled) {
		fmt.Printf("control: stopping: %v\n", errs)
	}
}

// applyFirstRules applies the first version of the rules and waits until it is in force on all instances.
func (f *controlFleet) applyFirstRules(ctx context.Context) error {
	_, err := f.applyRules(ctx)
	return err
}

// applyRules applies a new version of the rules and returns the time until it is in force on all instances.
func (f *controlFleet) applyRules(ctx context.Context) (time.Duration, error) {
	p := publisher.New(f.store)
	current, err := p.Current(ctx)
	if err != nil {
		return 0, err
	}
	version := current.GetVersion()
	req := publisher.Request{File: "bench", From: version, FromStated: true, Who: "bench"}
	req.Text = controlRuleFile(version)
	begin := time.Now()
	res, err := p.Apply(ctx, req)
	if err != nil {
		return 0, err
	}
	if res.Outcome != publisher.InForce {
		return 0, fmt.Errorf("rules %s: %s", res.Outcome, res.Detail)
	}
	for time.Since(begin) < controlTimeout {
		if f.lowestVersion() > version {
			return time.Since(begin), nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return 0, fmt.Errorf("the new rules version was not in force on all instances within %v", controlTimeout)
}

// controlRuleFile returns a rule file in which one line depends on the version.
func controlRuleFile(version uint64) string {
	var b strings.Builder
	fmt.Fprintf(&b, "share house-a %d # asked by the bench\n", version%1000+1)
	for i := range controlRuleLines {
		// Hashes, so that the text doesn't compress better than real names.
		h := xxhash.Sum64String(strconv.Itoa(i))
		fmt.Fprintf(&b, "class caller caller-%08x first # asked by operator %06x\n", uint32(h), h>>40)
	}
	return b.String()
}

func (f *controlFleet) lowestVersion() uint64 {
	lowest := ^uint64(0)
	for _, node := range f.nodes {
		lowest = min(lowest, node.distributor.Rules().Version())
	}
	return lowest
}

func (f *controlFleet) storeCalls() int64 {
	c := f.store.Calls()
	return c.Reads + c.Writes + c.Watches
}

func (f *controlFleet) peerBytes() int64 {
	var n int64
	for _, node := range f.nodes {
		n += node.linker.Bytes()
	}
	return n
}

// measureIdle measures the load of the fleet for a time without rule changes.
func (f *controlFleet) measureIdle(ctx context.Context, row *ControlRow, d time.Duration) {
	calls, bytes, reads, cpu, begin := f.storeCalls(), f.peerBytes(), f.listReads.Load(), cpuTime(), time.Now()
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
	seconds, n := time.Since(begin).Seconds(), float64(len(f.nodes))
	row.StoreCallsAll = float64(f.storeCalls()-calls) / seconds
	row.StoreCalls = row.StoreCallsAll / n
	row.ListReadsAll = float64(f.listReads.Load()-reads) / seconds
	row.Bytes = float64(f.peerBytes()-bytes) / seconds / n
	row.CPUPercent = 100 * (cpuTime() - cpu).Seconds() / seconds / n
}

// outage stops the store until the confirmations of all instances have expired, and returns the number of store calls in
// the second after the outage.
func (f *controlFleet) outage(ctx context.Context) int64 {
	f.store.SetOutage(true)
	select {
	case <-time.After(distributor.DefaultConfirmationTimeout + 2*time.Second):
	case <-ctx.Done():
	}
	f.store.SetOutage(false)
	before := f.storeCalls()
	time.Sleep(time.Second)
	return f.storeCalls() - before
}

// memoryInUse returns the bytes in use by the heap and the stacks after a garbage collection.
func memoryInUse() int64 {
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

// WriteControlTable writes the rows as text, with the slope for each further instance between the first and the last row.
func WriteControlTable(w io.Writer, rows []ControlRow) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	var once sync.Once
	var writeErr error
	line := func(format string, args ...any) {
		if _, err := fmt.Fprintf(t, format, args...); err != nil {
			once.Do(func() { writeErr = err })
		}
	}
	line("instances\tstore calls/s (all)\tlist reads/s (all)\tpeer bytes/s\tCPU %% of a core\tmemory KiB\tgoroutines\tbytes for a change\tvalue bytes\tchange in force\tcalls in 1 s after outage (all)\t\n")
	for _, r := range rows {
		line("%d\t%.1f\t%.1f\t%.0f\t%.3f\t%.0f\t%.1f\t%.0f\t%d\t%v\t%d\t\n", r.Instances, r.StoreCallsAll, r.ListReadsAll,
			r.Bytes, r.CPUPercent, r.MemoryKiB, r.Goroutines, r.ChangeBytes, r.ValueBytes, r.SpreadSlowest.Round(time.Millisecond), r.OutageEndCalls)
	}
	if n := len(rows); n > 1 {
		a, b := rows[0], rows[n-1]
		per := float64(b.Instances - a.Instances)
		line("slope\t%.3f\t%.3f\t%.2f\t%.5f\t%.2f\t\t\t\t\t%.2f\t\n", (b.StoreCallsAll-a.StoreCallsAll)/per,
			(b.ListReadsAll-a.ListReadsAll)/per, (b.Bytes-a.Bytes)/per, (b.CPUPercent-a.CPUPercent)/per,
			(b.MemoryKiB-a.MemoryKiB)/per, float64(b.OutageEndCalls-a.OutageEndCalls)/per)
	}
	if writeErr != nil {
		return writeErr
	}
	return t.Flush()
}
