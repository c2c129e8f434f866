package reporter

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/balancer"
	"carobbend.example/carobbend/encoder"
)

const (
	// Interval is the time between two reports while there is something to report. A shorter one costs more messages, and a
	// report waits half of it on average.
	Interval = 200 * time.Millisecond
	// groupSize is the greatest number of instances that tell each other. The traffic of an instance grows with it, whatever the
	// number of instances; twelve see twelve times as much as one.
	groupSize = 12
	// bytesPerSecond bounds what an instance sends, on average. maxUnused is the time of which the unused part may be saved.
	bytesPerSecond = 3000
	maxUnused      = 2 * time.Second
	// messageBytes is the size of a message without its entries, in bytes: two packets of TCP over IP, the frame of the link and
	// that of the message. entryBytes is that of an entry.
	messageBytes = 150
	entryBytes   = 11
	// maxEntries bounds the entries of a report; the rest is left out, that without trouble first.
	maxEntries = 128
	// minEntries is the number of entries for which a report waits if it must wait: with fewer, the headers are most of it.
	minEntries = 24
	// maxGap is the time between two rounds from which the observations since the first one are dropped: the process was frozen
	// or suspended, and they are old.
	maxGap = time.Second
	// maxCount bounds each count of a received entry. No instance sends an upstream as many requests in the time of a report.
	maxCount = 100
	// maxLatency bounds a latency in latencies that are usual; larger ones say no more.
	maxLatency = 100
	// latencyUnit is the unit of the latencies of a report, as a part of the usual one.
	latencyUnit = 1.0 / 16
)

// key identifies an upstream and its process in reports.
type key = uint32

// keyOf returns the key of an upstream's process. If two share one, each gets the other's reports, which can't do more harm
// than wrong reports.
func keyOf(r carobbend.UpstreamRecord) key {
	return key(xxhash.Sum64String(string(r.ID) + "\x00" + strconv.FormatInt(r.StartedMs, 10)))
}

// Core decides what an instance reports and to whom. It has no clock and does no I/O; it isn't safe for concurrent use.
type Core struct {
	self  string
	peers []string
	known map[string]bool

	keys map[carobbend.UpstreamID]key
	ids  map[key]carobbend.UpstreamID

	pending map[carobbend.UpstreamID]balancer.Observation
	// tokens is the number of bytes that may be sent.
	tokens    float64
	lastRound time.Time
}

// NewCore returns the core of the instance of the given name, without peers.
func NewCore(self string) *Core {
	return &Core{self: self, pending: map[carobbend.UpstreamID]balancer.Observation{}}
}

// SetInstances sets the serving instances, this one included, whether or not it is listed. Those of a group, neighbours when
// ordered by data centre and name, tell each other.
func (c *Core) SetInstances(all []carobbend.Instance) {
	c.known = make(map[string]bool, len(all))
	serving := make([]carobbend.Instance, 0, len(all))
	for _, x := range all {
		c.known[x.Name] = true
		if !x.Leaving && (x.PeerAddress != "" || x.Name == c.self) {
			serving = append(serving, x)
		}
	}
	slices.SortFunc(serving, func(a, b carobbend.Instance) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Name, b.Name))
	})
	c.peers = nil
	own := slices.IndexFunc(serving, func(x carobbend.Instance) bool { return x.Name == c.self })
	if own < 0 {
		return
	}
	groups := (len(serving) + groupSize - 1) / groupSize
	g := own * groups / len(serving)
	for i, x := range serving {
		if i != own && i*groups/len(serving) == g {
			c.peers = append(c.peers, x.Name)
		}
	}
}

// Peers returns the names of the instances that reports are sent to.
func (c *Core) Peers() []string { return c.peers }

// SetUpstreams sets the upstreams.
func (c *Core) SetUpstreams(all map[string]carobbend.UpstreamRecord) {
	c.keys = make(map[carobbend.UpstreamID]key, len(all))
	c.ids = make(map[key]carobbend.UpstreamID, len(all))
	for _, r := range all {
		k := keyOf(r)
		c.keys[r.ID], c.ids[k] = k, r.ID
	}
}

// Next takes in what was observed since the last call and returns the report that is to be sent to all peers, or nil. It is
// called each Interval.
func (c *Core) Next(now time.Time, observed []balancer.Observation) *encoder.UpstreamReport {
	gap := now.Sub(c.lastRound)
	if gap > maxGap || len(c.peers) == 0 {
		clear(c.pending)
		observed = nil
	}
	c.tokens = min(c.tokens+min(gap, maxUnused).Seconds()*bytesPerSecond, maxUnused.Seconds()*bytesPerSecond)
	c.lastRound = now
	for _, o := range observed {
		if _, ok := c.keys[o.Upstream]; ok {
			c.pending[o.Upstream] = merge(c.pending[o.Upstream], o)
		}
	}
	if len(c.pending) == 0 {
		return nil
	}
	// Without the bytes for a report, observations are collected for longer, which merges those of an upstream.
	room := min(int((c.tokens/float64(len(c.peers))-messageBytes)/entryBytes), maxEntries)
	if room < min(len(c.pending), minEntries) {
		return nil
	}
	entries := make([]balancer.Observation, 0, len(c.pending))
	for _, o := range c.pending {
		entries = append(entries, o)
	}
	slices.SortFunc(entries, func(a, b balancer.Observation) int {
		return cmp.Or(cmp.Compare(troubleOf(b), troubleOf(a)), cmp.Compare(a.Upstream, b.Upstream))
	})
	entries = entries[:min(len(entries), room)]
	clear(c.pending)
	c.tokens -= float64(len(c.peers) * (messageBytes + len(entries)*entryBytes))
	r := &encoder.UpstreamReport{}
	for _, o := range entries {
		r.Upstreams = append(r.Upstreams, c.keys[o.Upstream])
		r.Served = append(r.Served, count(o.Served))
		r.Full = append(r.Full, count(o.Full))
		r.Shed = append(r.Shed, count(o.Shed))
		r.Failed = append(r.Failed, count(o.Failed))
		r.Overdue = append(r.Overdue, count(o.Overdue))
		r.Latency = append(r.Latency, uint32(math.Round(min(max(o.Latency, 0), maxLatency)/latencyUnit)))
	}
	return r
}

// Receive returns the observations of a report of another instance. Reports of unknown instances and entries of unknown
// upstreams are left out, and counts are bounded.
func (c *Core) Receive(from string, r *encoder.UpstreamReport) []balancer.Observation {
	n := min(len(r.GetUpstreams()), maxEntries)
	if from == c.self || !c.known[from] || min(len(r.GetServed()), len(r.GetFull()), len(r.GetShed()), len(r.GetFailed()), len(r.GetOverdue()), len(r.GetLatency())) < n {
		return nil
	}
	out := make([]balancer.Observation, 0, n)
	for i, k := range r.GetUpstreams()[:n] {
		id, ok := c.ids[k]
		if !ok {
			continue
		}
		out = append(out, balancer.Observation{
			Upstream: id, Served: bounded(r.GetServed()[i]), Full: bounded(r.GetFull()[i]), Shed: bounded(r.GetShed()[i]), Failed: bounded(r.GetFailed()[i]),
			Overdue: bounded(r.GetOverdue()[i]), Latency: min(float64(r.GetLatency()[i])*latencyUnit, maxLatency),
		})
	}
	return out
}

// merge returns the sum of two observations of an upstream.
func merge(a, b balancer.Observation) balancer.Observation {
	na, nb := float64(a.Served+a.Overdue), float64(b.Served+b.Overdue)
	sum := balancer.Observation{
		Upstream: b.Upstream, Served: a.Served + b.Served, Full: a.Full + b.Full, Shed: a.Shed + b.Shed, Failed: a.Failed + b.Failed,
		Overdue: a.Overdue + b.Overdue,
	}
	if na+nb > 0 {
		sum.Latency = (na*a.Latency + nb*b.Latency) / (na + nb)
	}
	return sum
}

// troubleOf is the number of requests of an observation that weren't served in a usual time.
func troubleOf(o balancer.Observation) int {
	if !o.IsTrouble() {
		return 0
	}
	return max(o.Shed+o.Failed+o.Overdue, 1)
}

func count(n int) uint32   { return uint32(min(max(n, 0), maxCount)) }
func bounded(n uint32) int { return int(min(n, maxCount)) }
