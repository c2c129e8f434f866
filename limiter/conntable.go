package limiter

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"carobbend.example/carobbend"
)

// Phase is what a connection waits for.
type Phase int32

const (
	// PhaseIdle is before the first byte of a request.
	PhaseIdle Phase = iota
	// PhaseHead is from the first byte of a request until its head is read.
	PhaseHead
	// PhaseBody is while the body is read.
	PhaseBody
	// PhaseServe is while the caller waits for its answer.
	PhaseServe
	// PhaseDiscard is while the server reads the rest of a body that isn't needed.
	PhaseDiscard
	// PhaseLink is a connection on which both sides send at any time.
	PhaseLink
)

// CloseReason says why a connection is closed or a request on it refused.
type CloseReason string

const (
	// CloseNone keeps the connection.
	CloseNone CloseReason = ""
	// CloseHeadTimeout is for a head that doesn't arrive within the routing's limit.
	CloseHeadTimeout CloseReason = "head-timeout"
	// CloseIdleTimeout is for a connection without a request within the routing's limit.
	CloseIdleTimeout CloseReason = "idle-timeout"
	// CloseBodyTimeout is for a body that wasn't needed and doesn't end.
	CloseBodyTimeout CloseReason = "body-timeout"
	// CloseNotReading is for a caller that doesn't read its answer.
	CloseNotReading CloseReason = "not-reading"
	// CloseSilent is for a link without a byte for long.
	CloseSilent CloseReason = "silent"
	// CloseConnections gives the place of a connection to another one.
	CloseConnections CloseReason = "connections"
	// CloseHeads ends a slow head where heads hold most of their memory.
	CloseHeads CloseReason = "heads"
	// CloseBodies ends a slow body where bodies hold most of their memory.
	CloseBodies CloseReason = "bodies"
	// CloseAnswers ends an answer that its caller doesn't read where the requests in flight hold most of their memory.
	CloseAnswers CloseReason = "answers"
	// CloseLongHead is for a head over the limit of the routing.
	CloseLongHead CloseReason = "long-head"
	// CloseHeadMemory is for a head that doesn't fit beside the others.
	CloseHeadMemory CloseReason = "head-memory"
)

// CloseReasons lists all reasons.
var CloseReasons = []CloseReason{
	CloseHeadTimeout, CloseIdleTimeout, CloseBodyTimeout, CloseNotReading, CloseSilent, CloseConnections, CloseHeads, CloseBodies,
	CloseAnswers, CloseLongHead, CloseHeadMemory,
}

const (
	// minStuck is how long a connection keeps its place although others need it: an ordinary head arrives within a round trip
	// or two. Connections that wait to be accepted behind a crowd wait for it, too.
	minStuck = 100 * time.Millisecond
	// minStuckBody is the same for bodies and answers, which take several round trips.
	minStuckBody = 500 * time.Millisecond
	// linkTimeout is how long a link may be silent; the keepalives of package linker come each 5 s.
	linkTimeout = 20 * time.Second
	// timeoutMargin is added to the time limits of the routing, as a fraction, for the way of the bytes and the interval of
	// the checks: a caller inside the limits isn't closed.
	timeoutMargin = 0.25
	// headSlack is the number of bytes that may be read beyond the longest head: the server reads ahead.
	headSlack = 8 << 10
	// headByteCost and fieldCost are the memory of a parsed head for each byte and for each field; a map entry with its two
	// strings takes more than a short field has bytes. freeHeadCost is the part that ConnectionBytes includes.
	headByteCost = 2
	fieldCost    = 160
	freeHeadCost = 8 << 10
	// highUse is the fraction of a part of the account beyond which connections are closed that hold it without progress,
	// evictFraction the fraction of those that are closed at a time.
	highUse       = 0.75
	evictFraction = 0.25
)

// Defaults for limits that no routing states.
const (
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = time.Minute
)

// Conn is a connection in a ConnTable. Its methods may be called while the table decides about it.
type Conn struct {
	table *ConnTable
	group *Group
	// shut ends the connection.
	shut func()

	phase atomic.Int32
	// since is the time at which the phase began, moved the time of the last byte in it, and bytes their number.
	since, moved, bytes atomic.Int64
	// writing is the time since which a piece of an answer is written, or -1.
	writing atomic.Int64
	served  atomic.Bool

	mu     sync.Mutex
	closed bool
	// headBytes and fields count the head being read; held is what is reserved for it.
	headBytes, fields int64
	held              int64
}

// Group is a bound on the connections of one listener. It is created by ConnTable.Group.
type Group struct {
	table *ConnTable
	name  string
	max   int
	// n is the number of places that are taken, with those of connections not yet accepted.
	n     int
	conns map[*Conn]struct{}
}

// ConnTable decides which connections are closed. It does no I/O and reads no clock: the time is the sum of what Advance was
// called with, so that a pause of the process doesn't count. It is safe for concurrent use.
type ConnTable struct {
	account Account
	times   Times
	now     atomic.Int64
	limits  atomic.Pointer[carobbend.CallerLimits]
	counts  map[CloseReason]*atomic.Int64

	mu     sync.Mutex
	groups []*Group
}

// Closing is a connection to close, and why.
type Closing struct {
	Conn   *Conn
	Reason CloseReason
}

// Times are the time limits that no routing states.
type Times struct {
	// Write is how long a caller may read no byte of an answer.
	Write time.Duration
	// Body bounds the time for which a body arrives. The deadline of a request is usually earlier.
	Body time.Duration
}

// NewConnTable returns a table without connections.
func NewConnTable(a Account, times Times) *ConnTable {
	t := &ConnTable{account: a, times: times, counts: map[CloseReason]*atomic.Int64{}}
	for _, r := range CloseReasons {
		t.counts[r] = &atomic.Int64{}
	}
	t.SetLimits(carobbend.CallerLimits{})
	return t
}

// SetLimits sets the limits of the routing in force. Zero values mean the defaults.
func (t *ConnTable) SetLimits(l carobbend.CallerLimits) {
	l.HeaderBytes = cmp.Or(l.HeaderBytes, defaultHeaderBytes)
	l.HeaderTimeout = cmp.Or(l.HeaderTimeout, defaultHeaderTimeout)
	l.IdleTimeout = cmp.Or(l.IdleTimeout, defaultIdleTimeout)
	t.limits.Store(&l)
}

// Count returns how often connections were closed, or requests refused, for a reason.
func (t *ConnTable) Count(r CloseReason) int64 { return t.counts[r].Load() }

// Counts returns Count of all reasons.
func (t *ConnTable) Counts() map[string]int64 {
	m := make(map[string]int64, len(CloseReasons))
	for _, r := range CloseReasons {
		m[string(r)] = t.Count(r)
	}
	return m
}

// Advance adds d to the time.
func (t *ConnTable) Advance(d time.Duration) { t.now.Add(int64(d)) }

// Group returns a new group of at most n connections; 0 means no bound.
func (t *ConnTable) Group(name string, n int) *Group {
	g := &Group{table: t, name: name, max: n, conns: map[*Conn]struct{}{}}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.groups = append(t.groups, g)
	return g
}

// Sizes returns the number of connections by group.
func (t *ConnTable) Sizes() map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := map[string]int64{}
	for _, g := range t.groups {
		m[g.name] = int64(len(g.conns))
	}
	return m
}

// Take takes a place for one more connection. If there is none, it returns false and the connection to close for it, if any.
func (g *Group) Take() (Closing, bool) {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	if g.max == 0 || g.n < g.max {
		g.n++
		return Closing{}, true
	}
	return g.worst(), false
}

// Worst returns the connection to close first where descriptors have run out; Conn is nil if there is none.
func (g *Group) Worst() Closing {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	return g.worst()
}

// GiveBack returns a place that wasn't used.
func (g *Group) GiveBack() {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	g.n--
}

// Add adds a connection on a place that was taken. shut ends the connection and must not block.
func (g *Group) Add(phase Phase, shut func()) *Conn {
	c := &Conn{table: g.table, group: g, shut: shut}
	c.writing.Store(-1)
	c.Enter(phase)
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	g.conns[c] = struct{}{}
	return c
}

// Close ends the connection and removes it.
func (c *Conn) Close() {
	c.Remove()
	c.shut()
}

// Remove frees the place of a connection and what is reserved for it.
func (c *Conn) Remove() {
	c.mu.Lock()
	again := c.closed
	c.closed = true
	c.resetHead()
	c.mu.Unlock()
	if again {
		return
	}
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	delete(c.group.conns, c)
	c.group.n--
}

// Enter begins a phase.
func (c *Conn) Enter(p Phase) {
	now := c.table.now.Load()
	c.since.Store(now)
	c.moved.Store(now)
	c.bytes.Store(0)
	c.phase.Store(int32(p))
	switch p {
	case PhaseIdle:
		c.mu.Lock()
		c.resetHead()
		c.mu.Unlock()
	case PhaseBody, PhaseServe:
		c.served.Store(true)
	case PhaseHead, PhaseDiscard, PhaseLink:
	}
}

// resetHead releases what is reserved for the head; c.mu is held.
func (c *Conn) resetHead() {
	c.table.account.Heads.release(c.held)
	c.held, c.headBytes, c.fields = 0, 0, 0
}

// Received records n bytes with the given number of line ends, and reports whether they may be kept.
func (c *Conn) Received(n, lines int) CloseReason {
	phase := Phase(c.phase.Load())
	if phase == PhaseIdle {
		c.Enter(PhaseHead)
		phase = PhaseHead
	}
	c.bytes.Add(int64(n))
	c.moved.Store(c.table.now.Load())
	if phase != PhaseHead {
		return CloseNone
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headBytes += int64(n)
	c.fields += int64(lines)
	reason := CloseNone
	cost := max(headByteCost*c.headBytes+fieldCost*c.fields-freeHeadCost, 0)
	switch {
	case c.headBytes > int64(c.table.limits.Load().HeaderBytes+headSlack):
		reason = CloseLongHead
	case c.closed:
	case !c.table.account.Heads.take(cost - c.held):
		reason = CloseHeadMemory
	default:
		c.held = cost
	}
	if reason != CloseNone {
		c.table.counts[reason].Add(1)
	}
	return reason
}

// InHead reports whether bytes that arrive now belong to a head, so that their lines are counted.
func (c *Conn) InHead() bool { return Phase(c.phase.Load()) <= PhaseHead }

// Writing records that a piece of an answer is about to be written, Written that it was.
func (c *Conn) Writing() { c.writing.Store(c.table.now.Load()) }

// Written is called after Writing.
func (c *Conn) Written() { c.writing.Store(-1) }

// Due returns the connections to close now: those over a time limit, and those that hold a part of the account that is nearly
// used up and make the least progress. busy says that connections wait for bytes of their callers, or that places are scarce,
// so that the next check is due soon.
func (t *ConnTable) Due() (due []Closing, busy bool) {
	var heads, bodies, answers []Closing
	limits := *t.limits.Load()
	now := t.now.Load()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.groups {
		busy = busy || g.max > 0 && float64(g.n) > highUse*float64(g.max)
		for c := range g.conns {
			busy = busy || c.isStuck()
			if r := c.overdue(now, limits); r != CloseNone {
				due = append(due, Closing{c, r})
				continue
			}
			if c.writing.Load() >= 0 {
				answers = append(answers, Closing{c, CloseAnswers})
				continue
			}
			switch Phase(c.phase.Load()) {
			case PhaseHead:
				if c.holdsHead() {
					heads = append(heads, Closing{c, CloseHeads})
				}
			case PhaseBody:
				bodies = append(bodies, Closing{c, CloseBodies})
			default:
			}
		}
	}
	due = append(due, t.slowest(now, t.account.Heads, heads)...)
	due = append(due, t.slowest(now, t.account.Arriving, bodies)...)
	due = append(due, t.slowest(now, t.account.Requests, answers)...)
	for _, d := range due {
		t.counts[d.Reason].Add(1)
	}
	return due, busy
}

// holdsHead reports whether memory is reserved for the head, beyond what the connection includes.
func (c *Conn) holdsHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held > 0
}

// isStuck reports whether the connection waits for bytes of its caller, or for the caller to read.
func (c *Conn) isStuck() bool {
	switch Phase(c.phase.Load()) {
	case PhaseIdle:
		return !c.served.Load()
	case PhaseHead, PhaseBody, PhaseDiscard:
		return true
	case PhaseServe, PhaseLink:
	}
	return c.writing.Load() >= 0
}

// overdue returns why the connection is over a time limit.
func (c *Conn) overdue(now int64, l carobbend.CallerLimits) CloseReason {
	over := func(since int64, d time.Duration) bool { return now-since > int64(d) }
	margin := func(d time.Duration) time.Duration { return d + time.Duration(timeoutMargin*float64(d)) }
	if w := c.writing.Load(); w >= 0 && over(w, c.table.times.Write) {
		return CloseNotReading
	}
	since := c.since.Load()
	switch Phase(c.phase.Load()) {
	case PhaseIdle:
		if over(since, l.IdleTimeout) {
			return CloseIdleTimeout
		}
	case PhaseHead:
		if over(since, margin(l.HeaderTimeout)) {
			return CloseHeadTimeout
		}
	case PhaseDiscard:
		if over(since, margin(l.HeaderTimeout)) {
			return CloseBodyTimeout
		}
	case PhaseLink:
		if over(c.moved.Load(), linkTimeout) {
			return CloseSilent
		}
	case PhaseBody:
		if over(since, c.table.times.Body) {
			return CloseBodyTimeout
		}
	case PhaseServe:
		// The deadline of the request bounds it.
	}
	return CloseNone
}

// slowest returns a part of the candidates if b is nearly used up: those with the least progress.
func (t *ConnTable) slowest(now int64, b *Bytes, candidates []Closing) []Closing {
	if b.limit == 0 || float64(b.Used()) < highUse*float64(b.limit) {
		return nil
	}
	candidates = slices.DeleteFunc(candidates, func(x Closing) bool { return x.Conn.stuckFor(now) < minStuckBody })
	slices.SortFunc(candidates, func(x, y Closing) int { return cmp.Compare(x.Conn.rate(now), y.Conn.rate(now)) })
	n := int(evictFraction * float64(len(candidates)))
	return candidates[:min(max(n, 1), len(candidates))]
}

// stuckFor returns for how long the caller hasn't read, or else the time since the phase began.
func (c *Conn) stuckFor(now int64) time.Duration {
	if w := c.writing.Load(); w >= 0 {
		return time.Duration(now - w)
	}
	return time.Duration(now - c.since.Load())
}

// rate returns the bytes per second of the phase. It is negative for callers that don't read, the less the longer.
func (c *Conn) rate(now int64) float64 {
	stuck := c.stuckFor(now).Seconds()
	if c.writing.Load() >= 0 {
		return -stuck
	}
	return float64(c.bytes.Load()) / max(stuck, minStuck.Seconds())
}

// minStuckIn returns how long a connection keeps its place in a phase.
func minStuckIn(p Phase) time.Duration {
	if p == PhaseBody {
		return minStuckBody
	}
	return minStuck
}

// worst returns the connection that gives its place to another one: first those that wait for bytes of a caller which hasn't
// had an answer or is in the middle of a request, the slowest of them first; then the one that was idle for the longest
// time. Idle connections of callers that had an answer come second, since their next request may be on its way, and a
// closed connection leaves open whether it ran. Connections that wait for this instance keep their places.
func (g *Group) worst() Closing {
	now := g.table.now.Load()
	var stuck, idle *Conn
	for c := range g.conns {
		phase, age := Phase(c.phase.Load()), c.stuckFor(now)
		if c.writing.Load() >= 0 {
			phase = PhaseBody
		}
		switch {
		case phase == PhaseServe:
		case phase == PhaseIdle && c.served.Load(), phase == PhaseLink && c.bytes.Load() > 0:
			if idle == nil || c.moved.Load() < idle.moved.Load() {
				idle = c
			}
		case age < minStuckIn(phase):
		case stuck == nil || c.rate(now) < stuck.rate(now) || c.rate(now) == stuck.rate(now) && c.since.Load() < stuck.since.Load():
			stuck = c
		}
	}
	if stuck == nil {
		stuck = idle
	}
	if stuck == nil {
		return Closing{}
	}
	g.table.counts[CloseConnections].Add(1)
	return Closing{stuck, CloseConnections}
}
