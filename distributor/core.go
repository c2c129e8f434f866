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
	// maxEventGap is the longest time between two events that doesn't count as a pause of the process.
	maxEventGap = time.Second
	// pullInterval is the time between two requests for the rules to random peers.
	pullInterval = time.Second
	// pullFromWatcherAge is the age of the confirmation from which a watcher of the data centre is asked too. Random
	// peers alone would confirm the instances of a large fleet only about every 8 s.
	pullFromWatcherAge = 3 * time.Second
	// fallbackReadAge is the age of the confirmation from which an instance that doesn't watch reads the store itself.
	fallbackReadAge = 6 * time.Second
	// fallbackReadInterval is the shortest time between such reads; up to the same time is added at random.
	fallbackReadInterval = 1500 * time.Millisecond
	// minStoreCallInterval bounds the rate of a watcher's store calls if watches return early.
	minStoreCallInterval = 100 * time.Millisecond
	// retryInterval is the shortest time after a failed call; up to the same time is added at random.
	retryInterval = 250 * time.Millisecond
	// joinRoundTimeout ends a joining round in which replies are missing.
	joinRoundTimeout = 2 * time.Second
)

type storeCall int

const (
	callNone storeCall = iota
	callGet
	callWatch
)

// peerRequest is a RulesRequest to a peer; joinRound is the joining round that it belongs to, or 0.
type peerRequest struct {
	peer      string
	joinRound int
}

type logEvent struct {
	err    error
	event  string
	fields []any
}

// effects are the actions that follow from an event: requests to send to peers and log lines to write.
type effects struct {
	requests []peerRequest
	log      []logEvent
}

func (e *effects) info(event string, fields ...any) {
	e.log = append(e.log, logEvent{event: event, fields: fields})
}

func (e *effects) error(err error, event string, fields ...any) {
	e.log = append(e.log, logEvent{err: err, event: event, fields: fields})
}

// core is the state machine of the rules on one instance. It handles events, each with the current time of the
// monotonic clock, and returns their effects.
type core struct {
	rng                 *rand.Rand
	confirmationTimeout time.Duration
	// install puts rules in force.
	install func(*parser.Ruleset)

	rules    *parser.Ruleset
	changeID string
	// compressed is the committed value in the form in which peers get it.
	compressed []byte
	ready      bool
	// lastRejected is the change whose rejection was logged last.
	lastRejected string

	// confirmedAt is the latest known time at which the store was reached, directly or through peers.
	confirmedAt time.Time
	// resumed is the end of the last pause of the process; requests sent before it confirm nothing.
	resumed time.Time
	// lastEvent is the time of the latest event.
	lastEvent time.Time
	// lossLogged says that the loss of the confirmation was logged.
	lossLogged bool

	view view

	revision      uint64
	storeRead     bool
	storeFailing  bool
	nextStoreCall time.Time
	nextPull      time.Time

	joinRound      int
	joinRoundStart time.Time
	joinAwaiting   map[string]bool
}

func newCore(rng *rand.Rand, install func(*parser.Ruleset)) *core {
	c := &core{rng: rng, confirmationTimeout: DefaultConfirmationTimeout, install: install, rules: &parser.Ruleset{}}
	install(c.rules)
	return c
}

func (c *core) version() uint64 { return c.rules.Version() }

// confirmed reports whether the last confirmation is recent enough. It is also false after a pause of the process that
// detectPause has not seen yet.
func (c *core) confirmed(now time.Time) bool {
	return !c.confirmedAt.IsZero() && now.Sub(c.confirmedAt) <= c.confirmationTimeout && now.Sub(c.lastEvent) <= maxEventGap
}

func (c *core) age(now time.Time) time.Duration {
	if c.confirmedAt.IsZero() {
		return c.confirmationTimeout
	}
	return now.Sub(c.confirmedAt)
}

// detectPause drops the confirmation if the process was paused since the last event. Every event calls it first.
func (c *core) detectPause(now time.Time, e *effects) {
	if gap := now.Sub(c.lastEvent); !c.lastEvent.IsZero() && gap > maxEventGap {
		c.confirmedAt, c.resumed = time.Time{}, now
		e.info("process was paused; confirmation dropped", "pause", gap)
	}
	if now.After(c.lastEvent) {
		c.lastEvent = now
	}
}

// confirm records that the store was reached at the time at, as learned from a request that was sent at the time sent.
func (c *core) confirm(sent, at time.Time) {
	if !sent.Before(c.resumed) && at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
}

// tick starts the requests to peers that are due: a joining round until the instance is ready, and pulls afterwards.
func (c *core) tick(now time.Time, v view) effects {
	var e effects
	c.detectPause(now, &e)
	c.view = v
	c.logConfirmation(now, &e)
	if now.Before(c.nextPull) {
		return e
	}
	c.nextPull = now.Add(pullInterval)
	if !c.ready {
		c.startJoinRound(now, &e)
		return e
	}
	if p, ok := pickRandom(c.rng, c.view.peers); ok {
		e.requests = append(e.requests, peerRequest{peer: p})
	}
	if p, ok := pickRandom(c.rng, c.view.localWatchers); ok && !c.view.watching && c.age(now) > pullFromWatcherAge {
		e.requests = append(e.requests, peerRequest{peer: p})
	}
	return e
}

// logConfirmation logs when the instance loses its confirmation and when it is confirmed again.
func (c *core) logConfirmation(now time.Time, e *effects) {
	ok := c.confirmed(now)
	switch {
	case !ok && !c.lossLogged && c.ready:
		c.lossLogged = true
		e.info("withdrawn from the addresses for callers: neither the store nor a peer that reached it has confirmed the rules",
			"rules-version", c.version(), "limit", c.confirmationTimeout)
	case ok && c.lossLogged:
		c.lossLogged = false
		e.info("rules confirmed again", "rules-version", c.version())
	}
}

// startJoinRound asks many peers at once, so that an instance that can't reach the store starts with the highest version.
func (c *core) startJoinRound(now time.Time, e *effects) {
	if len(c.joinAwaiting) > 0 && now.Sub(c.joinRoundStart) < joinRoundTimeout {
		return
	}
	c.joinRound++
	c.joinRoundStart, c.joinAwaiting = now, map[string]bool{}
	for _, p := range c.view.joinPeers(c.rng) {
		c.joinAwaiting[p] = true
		e.requests = append(e.requests, peerRequest{peer: p, joinRound: c.joinRound})
	}
}

// recordJoinReply records that a request of the joining round was answered or failed. After the last one, the instance
// is ready if it has rules.
func (c *core) recordJoinReply(a peerRequest) {
	if a.joinRound != c.joinRound || !c.joinAwaiting[a.peer] {
		return
	}
	delete(c.joinAwaiting, a.peer)
	if len(c.joinAwaiting) == 0 && c.version() > 0 {
		c.ready = true
	}
}

// dueStoreCall returns the call to the store that is due, and the revision to watch from. If the call is a fallback read,
// it also schedules the next one.
func (c *core) dueStoreCall(now time.Time) (storeCall, uint64) {
	if now.Before(c.nextStoreCall) {
		return callNone, 0
	}
	switch {
	case !c.ready, c.view.watching && (!c.storeRead || c.storeFailing):
		return callGet, 0
	case c.view.watching:
		return callWatch, c.revision
	case c.age(now) > fallbackReadAge:
		c.nextStoreCall = now.Add(fallbackReadInterval + c.jitter(fallbackReadInterval))
		return callGet, 0
	}
	return callNone, 0
}

func (c *core) jitter(d time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(d) + 1))
}

// handleStoreValue handles the reply to a store call that was sent at the time sent; the value is at least that recent.
func (c *core) handleStoreValue(now, sent time.Time, entry carobbend.Entry) effects {
	var e effects
	c.detectPause(now, &e)
	if c.storeFailing {
		e.info("store reachable")
	}
	c.storeFailing, c.storeRead = false, true
	c.revision = max(c.revision, entry.Revision)
	c.nextStoreCall = latest(c.nextStoreCall, sent.Add(minStoreCallInterval))
	if entry.Revision == 0 || c.applyValue(entry.Value, "store", &e) {
		c.ready = true
	}
	c.confirm(sent, sent)
	return e
}

func (c *core) handleStoreFailure(now time.Time, err error) effects {
	var e effects
	c.detectPause(now, &e)
	if !c.storeFailing {
		e.error(err, "store unreachable; keeping the rules in force", "rules-version", c.version())
	}
	c.storeFailing = true
	wait := retryInterval + c.jitter(retryInterval)
	if c.ready && !c.view.watching {
		wait = fallbackReadInterval + c.jitter(fallbackReadInterval)
	}
	c.nextStoreCall = now.Add(wait)
	return e
}

// handlePeerReply handles the reply to a request that was sent at the time sent. The peer computed its age after that
// time, so subtracting the age from it never makes the confirmation look more recent than it is.
func (c *core) handlePeerReply(now, sent time.Time, a peerRequest, r *encoder.RulesReply) effects {
	var e effects
	c.detectPause(now, &e)
	if r.GetVersion() > c.version() {
		c.applyCompressed(r.GetValue(), a.peer, &e)
	}
	if r.GetStoreAgeMs() >= 0 {
		c.confirm(sent, sent.Add(-time.Duration(min(r.GetStoreAgeMs(), maxAgeMs))*time.Millisecond))
	}
	c.recordJoinReply(a)
	return e
}

func (c *core) handlePeerFailure(now time.Time, a peerRequest) effects {
	var e effects
	c.detectPause(now, &e)
	c.recordJoinReply(a)
	return e
}

const (
	unconfirmedMs = -1
	// maxAgeMs keeps the age that a peer sent from overflowing a duration.
	maxAgeMs = int64(24 * time.Hour / time.Millisecond)
)

// handlePeerRequest returns the reply to a peer, and requests the peer's rules if they have a higher version.
func (c *core) handlePeerRequest(now time.Time, from string, have uint64) (*encoder.RulesReply, effects) {
	var e effects
	c.detectPause(now, &e)
	r := &encoder.RulesReply{Version: c.version(), StoreAgeMs: unconfirmedMs}
	if c.confirmed(now) {
		r.StoreAgeMs = int64((c.age(now) + time.Millisecond - 1) / time.Millisecond)
	}
	if have < c.version() {
		r.Value = c.compressed
	}
	if have > c.version() {
		e.requests = append(e.requests, peerRequest{peer: from})
	}
	return r, e
}

// applyCompressed applies a compressed value that a peer sent.
func (c *core) applyCompressed(compressed []byte, source string, e *effects) {
	value, err := encoder.Decompress(compressed)
	if err != nil {
		c.rejectValue(fmt.Sprintf("invalid value of %d bytes", len(compressed)), err, source, e)
		return
	}
	c.applyValue(value, source, e)
}

// applyValue puts the rules of a committed value in force if their version is higher. It returns false if the value
// holds no valid rules.
func (c *core) applyValue(value []byte, source string, e *effects) bool {
	v := &encoder.RulesValue{}
	if err := proto.Unmarshal(value, v); err != nil || v.GetVersion() == 0 {
		c.rejectValue(fmt.Sprintf("invalid value of %d bytes", len(value)), errors.Join(errors.New("expected a rule file with a version"), err), source, e)
		return false
	}
	if v.GetVersion() < c.version() {
		return true
	}
	if v.GetVersion() == c.version() {
		if v.GetChangeId() != c.changeID {
			c.rejectValue(v.GetChangeId(), fmt.Errorf("version %d is in force with change %s: expected the same change", c.version(), c.changeID), source, e)
		}
		return true
	}
	rules, err := parser.Parse(publisher.Key, v.GetText())
	if err != nil {
		c.rejectValue(v.GetChangeId(), err, source, e)
		return false
	}
	if !asserter.Check(v.GetVersion() > c.version(), asserter.RulesVersion, "in-force", c.version(), "next", v.GetVersion()) {
		return true
	}
	compressed, err := encoder.Compress(value)
	if err != nil {
		c.rejectValue(v.GetChangeId(), err, source, e)
		return false
	}
	c.rules, c.changeID, c.compressed = rules.WithVersion(v.GetVersion()), v.GetChangeId(), compressed
	c.install(c.rules)
	e.info("rules in force", "rules-version", v.GetVersion(), "change", v.GetChangeId(), "source", source)
	c.notifyPeers(source, e)
	return true
}

// rejectValue logs that a value isn't put in force, once in a row for each change.
func (c *core) rejectValue(change string, err error, source string, e *effects) {
	if c.lastRejected == change {
		return
	}
	c.lastRejected = change
	e.error(err, "rules refused; keeping the rules in force", "rules-version", c.version(), "change", change, "source", source)
}

// notifyPeers tells peers of a new version: the request states the version of this instance, and peers with a lower one
// then request the rules.
func (c *core) notifyPeers(source string, e *effects) {
	if !c.view.watching {
		return
	}
	for _, p := range c.view.notifyTargets {
		if p != source {
			e.requests = append(e.requests, peerRequest{peer: p})
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
