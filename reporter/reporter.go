// Package reporter tells other serving instances what this one observes of upstreams in trouble, and takes in what they tell.
//
// With many instances, each sends an upstream only a few requests a second and learns slowly that it fails, sheds or is slow.
// Instances therefore form groups whose members tell each other, several times a second, what they observed of upstreams in
// question. What others observed weighs less than own observations and loses its weight within seconds (package balancer), so a
// wrong report can only delay a request. Nothing is sent while no upstream is in trouble. Reports aren't answered or repeated:
// a lost one is one observation less.
//
// A Core holds the decisions without I/O.
//
// # Usage
//
//	r := reporter.New(self.Name, balancer, links)
//	links.AddHandlers(r)
//	r.SetInstances(instances)
//	r.SetUpstreams(upstreams)
//	err := r.Run(ctx)
package reporter

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/balancer"
	"carobbend.example/carobbend/encoder"
	"carobbend.example/carobbend/logger"
)

const (
	// tellTimeout bounds the time for opening a link and sending a report; a later report holds newer observations.
	tellTimeout = time.Second
	// closeIdleInterval is the time between two searches for links that aren't used any more.
	closeIdleInterval = 5 * time.Second
)

// Links sends frames to other instances. *linker.Linker implements it.
type Links interface {
	// Tell sends a frame that isn't answered.
	Tell(ctx context.Context, name string, f *encoder.Frame) error
	// CloseIdle closes links that weren't used for some seconds.
	CloseIdle()
}

// Reporter sends reports and passes on those of others to a balancer. It implements carobbend.PeerHandler and is safe for
// concurrent use.
type Reporter struct {
	balancer *balancer.Balancer
	links    Links
	now      func() time.Time
	log      logger.Logger

	mu   sync.Mutex
	core *Core
	// observed is a buffer for the observations of a round.
	observed []balancer.Observation

	sent, failed, received, entries, bytes atomic.Int64
}

var _ carobbend.PeerHandler = (*Reporter)(nil)

// New returns the reporter of the instance of the given name.
func New(self string, b *balancer.Balancer, links Links) *Reporter {
	return &Reporter{balancer: b, links: links, now: time.Now, log: logger.New("reporter"), core: NewCore(self)}
}

// Counts are totals since the start of a Reporter.
type Counts struct {
	// Sent and Failed are the reports that were and weren't written to a link, Received those that were taken in.
	Sent, Failed, Received int64
	// Entries is the number of upstreams in the reports received, Bytes the size of the reports sent, without headers.
	Entries, Bytes int64
}

// Counts returns the totals.
func (r *Reporter) Counts() Counts {
	return Counts{r.sent.Load(), r.failed.Load(), r.received.Load(), r.entries.Load(), r.bytes.Load()}
}

// Peers returns the number of instances that reports are sent to.
func (r *Reporter) Peers() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.core.Peers())
}

// SetInstances sets the serving instances.
func (r *Reporter) SetInstances(instances map[string]carobbend.Instance) {
	all := make([]carobbend.Instance, 0, len(instances))
	for _, x := range instances {
		all = append(all, x)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	before := len(r.core.Peers())
	r.core.SetInstances(all)
	if n := len(r.core.Peers()); n != before {
		r.log.Info("instances to report to changed", "count", n, "before", before)
	}
}

// SetUpstreams sets the upstreams.
func (r *Reporter) SetUpstreams(upstreams map[string]carobbend.UpstreamRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.SetUpstreams(upstreams)
}

// HandlePeer implements carobbend.PeerHandler.
func (r *Reporter) HandlePeer(_ context.Context, from string, req *encoder.Frame) *encoder.Frame {
	report := req.GetUpstreamReport()
	if report == nil {
		return nil
	}
	r.mu.Lock()
	observed := r.core.Receive(from, report)
	r.mu.Unlock()
	if len(observed) > 0 {
		r.received.Add(1)
		r.entries.Add(int64(len(observed)))
		r.balancer.RecordPeerObservations(r.now(), observed)
	}
	// The reply isn't sent; it says that reports are taken.
	return &encoder.Frame{Body: &encoder.Frame_Pong{}}
}

// Run sends reports until ctx is done.
func (r *Reporter) Run(ctx context.Context) error {
	t := time.NewTicker(Interval)
	defer t.Stop()
	var sending sync.WaitGroup
	defer sending.Wait()
	closedIdle := r.now()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		now := r.now()
		if now.Sub(closedIdle) >= closeIdleInterval {
			closedIdle = now
			r.links.CloseIdle()
		}
		report, peers := r.next(now)
		if report == nil {
			continue
		}
		frame := &encoder.Frame{Body: &encoder.Frame_UpstreamReport{UpstreamReport: report}}
		size := int64(proto.Size(report))
		for _, name := range peers {
			sending.Go(func() { r.tell(ctx, name, frame, size) })
		}
	}
}

// next returns the report of a round and the instances that it is sent to, or nil.
func (r *Reporter) next(now time.Time) (*encoder.UpstreamReport, []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observed = r.balancer.TakeObservations(now, r.observed[:0])
	return r.core.Next(now, r.observed), r.core.Peers()
}

func (r *Reporter) tell(ctx context.Context, name string, f *encoder.Frame, size int64) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	if err := r.links.Tell(ctx, name, f); err != nil {
		// An instance that is down or takes no reports is no event for an operator; the metric shows how many fail.
		r.failed.Add(1)
		return
	}
	r.sent.Add(1)
	r.bytes.Add(size)
}
