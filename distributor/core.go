package distributor

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/asserter"
	"carobbend.example/carobbend/encoder"
	"carobbend.example/carobbend/parser"
	"carobbend.example/carobbend/publisher"
)

const (
	// maxGap is the longest time between two events that is not taken for a pause of the process.
	maxGap = time.Second
	// askInterval is the time between two questions to random peers.
	askInterval = time.Second
	// askWatcherAge is the age of the confirmation at which a watcher of the data centre is asked too. Random peers
	// alone would confirm a large fleet only every 8 s or so.
	askWatcherAge = 3 * time.Second
	// probeAge is the age of the confirmation at which an instance that doesn't watch reads the store itself.
	probeAge = 6 * time.Second
	// probeInterval, at random up to twice of it, is the time between such reads.
	probeInterval = 1500 * time.Millisecond
	// storeSpacing bounds the calls of a watcher if watches return early.
	storeSpacing = 100 * time.Millisecond
	// retryInterval, at random up to twice of it, is the time after a failed call.
	retryInterval = 250 * time.Millisecond
	// roundLimit ends a round of questions whose replies are missing.
	roundLimit = 2 * time.Second
)

type storeCall int

const (
	callNone storeCall = iota
	callGet
	callWatch
)

// ask is a RulesRequest to a peer; round is the joining round that it belongs to, or 0.
type ask struct {
	peer  string
	round int
}

type logEvent struct {
	err    error
	event  string
	fields []any
}

// effects is what an event asks the surrounding code to do.
type effects struct {
	asks []ask
	log  []logEvent
}

func (e *effects) info(event string, fields ...any) {
	e.log = append(e.log, logEvent{event: event, fields: fields})
}

func (e *effects) error(err error, event string, fields ...any) {
	e.log = append(e.log, logEvent{err: err, event: event, fields: fields})
}

// core is the state machine of the rules on one instance. It takes events with the present time of the monotonic
// clock and returns effects.
type core struct {
	rng   *rand.Rand
	stale time.Duration
	// publish makes rules the ones in force.
	publish func(*parser.Ruleset)

	rules    *parser.Ruleset
	changeID string
	value    []byte
	ready    bool
	// refused is the change that was last reported as not to be taken over.
	refused string

	// confirmedAt is a moment at which the store was reached, directly or through peers.
	confirmedAt time.Time
	// resumed is the end of the last pause; requests sent before it confirm nothing.
	resumed time.Time
	last    time.Time
	// withdrawn says that the loss of the confirmation was reported.
	withdrawn bool

	view view

	revision  uint64
	haveStore bool
	failing   bool
	nextStore time.Time
	nextAsk   time.Time

	round     int
	roundTime time.Time
	roundOpen map[string]bool
}

func newCore(rng *rand.Rand, publish func(*parser.Ruleset)) *core {
	c := &core{rng: rng, stale: DefaultStale, publish: publish, rules: &parser.Ruleset{}}
	publish(c.rules)
	return c
}

func (c *core) version() uint64 { return c.rules.Version() }

// confirmed is false also after a pause that no event has noticed yet.
func (c *core) confirmed(now time.Time) bool {
	return !c.confirmedAt.IsZero() && now.Sub(c.confirmedAt) <= c.stale && now.Sub(c.last) <= maxGap
}

func (c *core) age(now time.Time) time.Duration {
	if c.confirmedAt.IsZero() {
		return c.stale
	}
	return now.Sub(c.confirmedAt)
}

// observe notices a pause before anything is done at a later time.
func (c *core) observe(now time.Time, e *effects) {
	if gap := now.Sub(c.last); !c.last.IsZero() && gap > maxGap {
		c.confirmedAt, c.resumed = time.Time{}, now
		e.info("paused; confirmation dropped", "pause", gap)
	}
	if now.After(c.last) {
		c.last = now
	}
}

// confirm records that the store was reached at a moment, as learned from a request that was sent at another.
func (c *core) confirm(sent, at time.Time) {
	if !sent.Before(c.resumed) && at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
}

func (c *core) tick(now time.Time, v view) effects {
	var e effects
	c.observe(now, &e)
	c.view = v
	c.report(now, &e)
	if now.Before(c.nextAsk) {
		return e
	}
	c.nextAsk = now.Add(askInterval)
	if !c.ready {
		c.join(now, &e)
		return e
	}
	if p, ok := pick(c.rng, c.view.others); ok {
		e.asks = append(e.asks, ask{peer: p})
	}
	if p, ok := pick(c.rng, c.view.watchers); ok && !c.view.watching && c.age(now) > askWatcherAge {
		e.asks = append(e.asks, ask{peer: p})
	}
	return e
}

// report logs that this instance withdraws, or that it is confirmed again.
func (c *core) report(now time.Time, e *effects) {
	ok := c.confirmed(now)
	switch {
	case !ok && !c.withdrawn && c.ready:
		c.withdrawn = true
		e.info("withdrawn from addresses: neither the store nor a peer that reached it has confirmed the rules",
			"rules-version", c.version(), "limit", c.stale)
	case ok && c.withdrawn:
		c.withdrawn = false
		e.info("confirmed again", "rules-version", c.version())
	}
}

// join asks many peers at once, so that an instance without the store starts with the highest version.
func (c *core) join(now time.Time, e *effects) {
	if len(c.roundOpen) > 0 && now.Sub(c.roundTime) < roundLimit {
		return
	}
	c.round++
	c.roundTime, c.roundOpen = now, map[string]bool{}
	for _, p := range c.view.joinPeers(c.rng) {
		c.roundOpen[p] = true
		e.asks = append(e.asks, ask{peer: p, round: c.round})
	}
}

// answered ends a joining round after its last reply.
func (c *core) answered(a ask) {
	if a.round != c.round || !c.roundOpen[a.peer] {
		return
	}
	delete(c.roundOpen, a.peer)
	if len(c.roundOpen) == 0 && c.version() > 0 {
		c.ready = true
	}
}

// storeCall returns the call to the store that is due, and the revision to watch from.
func (c *core) storeCall(now time.Time) (storeCall, uint64) {
	if now.Before(c.nextStore) {
		return callNone, 0
	}
	switch {
	case !c.ready, c.view.watching && (!c.haveStore || c.failing):
		return callGet, 0
	case c.view.watching:
		return callWatch, c.revision
	case c.age(now) > probeAge:
		c.nextStore = now.Add(probeInterval + c.jitter(probeInterval))
		return callGet, 0
	}
	return callNone, 0
}

func (c *core) jitter(d time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(d) + 1))
}

// storeValue takes the reply to a call that was sent at a moment; the value is at least that new.
func (c *core) storeValue(now, sent time.Time, entry carobbend.Entry) effects {
	var e effects
	c.observe(now, &e)
	if c.failing {
		e.info("store reached again")
	}
	c.failing, c.haveStore = false, true
	c.revision = max(c.revision, entry.Revision)
	c.nextStore = latest(c.nextStore, sent.Add(storeSpacing))
	if entry.Revision == 0 || c.offer(entry.Value, "store", &e) {
		c.ready = true
	}
	c.confirm(sent, sent)
	return e
}

func (c *core) storeFailed(now time.Time, err error) effects {
	var e effects
	c.observe(now, &e)
	if !c.failing {
		e.error(err, "store not reached; rules in force stay", "rules-version", c.version())
	}
	c.failing = true
	wait := retryInterval + c.jitter(retryInterval)
	if c.ready && !c.view.watching {
		wait = probeInterval + c.jitter(probeInterval)
	}
	c.nextStore = now.Add(wait)
	return e
}

// peerReply takes a reply to a request that was sent at a moment. The peer computed its age after that moment, so
// that counting the age back from it never makes the confirmation look newer than it is.
func (c *core) peerReply(now, sent time.Time, a ask, r *encoder.RulesReply) effects {
	var e effects
	c.observe(now, &e)
	if r.GetVersion() > c.version() {
		c.offer(r.GetValue(), a.peer, &e)
	}
	if r.GetStoreAgeMs() >= 0 {
		c.confirm(sent, sent.Add(-time.Duration(min(r.GetStoreAgeMs(), maxAgeMs))*time.Millisecond))
	}
	c.answered(a)
	return e
}

func (c *core) peerFailed(now time.Time, a ask) effects {
	var e effects
	c.observe(now, &e)
	c.answered(a)
	return e
}

const (
	unconfirmedMs = -1
	// maxAgeMs keeps a foreign age from overflowing a duration.
	maxAgeMs = int64(24 * time.Hour / time.Millisecond)
)

// asked answers a peer, and asks it back where it has a higher version.
func (c *core) asked(now time.Time, from string, have uint64) (*encoder.RulesReply, effects) {
	var e effects
	c.observe(now, &e)
	r := &encoder.RulesReply{Version: c.version(), StoreAgeMs: unconfirmedMs}
	if c.confirmed(now) {
		r.StoreAgeMs = int64((c.age(now) + time.Millisecond - 1) / time.Millisecond)
	}
	if have < c.version() {
		r.Value = c.value
	}
	if have > c.version() {
		e.asks = append(e.asks, ask{peer: from})
	}
	return r, e
}

// offer takes over a committed value if its version is higher, and reports whether the value is one of rules.
func (c *core) offer(value []byte, source string, e *effects) bool {
	v := &encoder.RulesValue{}
	if err := proto.Unmarshal(value, v); err != nil || v.GetVersion() == 0 {
		c.refuse(fmt.Sprintf("invalid value of %d bytes", len(value)), errors.Join(errors.New("expected a rule file with a version"), err), source, e)
		return false
	}
	if v.GetVersion() < c.version() {
		return true
	}
	if v.GetVersion() == c.version() {
		if v.GetChangeId() != c.changeID {
			c.refuse(v.GetChangeId(), fmt.Errorf("version %d is in force with change %s: expected the same change", c.version(), c.changeID), source, e)
		}
		return true
	}
	rules, err := parser.Parse(publisher.Key, v.GetText())
	if err != nil {
		c.refuse(v.GetChangeId(), err, source, e)
		return false
	}
	if !asserter.Check(v.GetVersion() > c.version(), asserter.RulesVersion, "in-force", c.version(), "next", v.GetVersion()) {
		return true
	}
	c.rules, c.changeID, c.value = rules.WithVersion(v.GetVersion()), v.GetChangeId(), value
	c.publish(c.rules)
	e.info("rules in force", "rules-version", v.GetVersion(), "change", v.GetChangeId(), "source", source)
	c.notify(source, e)
	return true
}

// refuse reports a value that is not taken over, once for each change.
func (c *core) refuse(change string, err error, source string, e *effects) {
	if c.refused == change {
		return
	}
	c.refused = change
	e.error(err, "rules refused; rules in force stay", "rules-version", c.version(), "change", change, "source", source)
}

// notify asks the peers that should learn of a new version; they ask back.
func (c *core) notify(source string, e *effects) {
	if !c.view.watching {
		return
	}
	for _, p := range c.view.notified {
		if p != source {
			e.asks = append(e.asks, ask{peer: p})
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
