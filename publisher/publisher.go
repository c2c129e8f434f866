// Package publisher applies rule files to the store and reads them and their audit trail back.
//
// A file is applied with one compare-and-swap on one key, from the version that the operator started from. Of two
// operators who start from the same version exactly one succeeds. When the reply to the write is lost, the publisher
// reads the key back and looks for its own change id; it repeats the same write only against the same revision, so
// that it takes effect at most once. If the result can't be determined, the outcome is Unknown.
//
// # Usage
//
//	p := publisher.New(storeclient.New(url))
//	res, err := p.Apply(ctx, publisher.Request{File: name, Text: text, From: 41, FromStated: true, Who: "mette"})
//	if err != nil {
//		// the file or the request is invalid; nothing was written
//	}
//	fmt.Println(res.Outcome, res.Detail)
package publisher

import (
	"context"
	"crypto/rand"
	"fmt"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"carobbend.example/carobbend/sleeper"

	"github.com/oklog/ulid/v2"
	"google.golang.org/protobuf/proto"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/encoder"
	"carobbend.example/carobbend/parser"
)

// Key holds the rule file in the store, as an encoder.RulesValue.
const Key = "carobbend/rules"

const (
	// DefaultResolveTimeout bounds the time for which Apply tries to determine the outcome of a write whose reply was lost.
	DefaultResolveTimeout = 5 * time.Second
	// DefaultMaxBytes bounds the value in bytes; the store accepts 1 MB.
	DefaultMaxBytes = 900_000
	// DefaultMaxEntries is the greatest number of audit entries in the value.
	DefaultMaxEntries = 64

	maxWhoBytes = 128

	firstRetryDelay = 25 * time.Millisecond
	maxRetryDelay   = 250 * time.Millisecond
)

// ErrorKind says why a call failed.
type ErrorKind string

const (
	// KindInvalid says that the request is incomplete or contradicts itself.
	KindInvalid ErrorKind = "invalid"
	// KindStore says that the store gave no usable reply.
	KindStore ErrorKind = "store"
	// KindValue says that the store holds a value that isn't an encoded rule file.
	KindValue ErrorKind = "value"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("publisher %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Outcome is the outcome of an apply.
type Outcome string

const (
	// InForce says that the file was committed.
	InForce Outcome = "in force"
	// NotAccepted says that the change didn't take effect and can't take effect later.
	NotAccepted Outcome = "not accepted"
	// Unknown says that the write may have been committed or may still be committed later.
	Unknown Outcome = "unknown"
)

// Request holds the parameters of one apply.
type Request struct {
	// File names the rule file in errors.
	File string
	// Text is the rule file.
	Text string
	// From is the version that the operator started from; it must agree with the version line of the file.
	From uint64
	// FromStated says that From is set. Otherwise the version line of the file applies, and version 0 if the file has none.
	FromStated bool
	// Who is the name of the operator, recorded in the audit trail.
	Who string
}

// Result describes the outcome of an apply.
type Result struct {
	Outcome Outcome
	// Version is the version of the change if it is in force, otherwise the version that it would have had.
	Version uint64
	// ChangeID identifies the change in the audit trail; empty if nothing was written.
	ChangeID string
	// Latest is the version that was last seen in the store.
	Latest uint64
	// Changes explains the change rule by rule.
	Changes []parser.Change
	// Others lists the changes of other operators since the version that the operator started from.
	Others []*encoder.RulesChange
	// Detail explains the outcome; for Unknown it says how to determine it later.
	Detail string
}

// Publisher applies rule files. It is safe for concurrent use.
type Publisher struct {
	store          carobbend.Store
	resolveTimeout time.Duration
	maxBytes       int
	maxEntries     int
}

// Option configures a Publisher.
type Option func(*Publisher)

// WithResolveTimeout bounds the time for which Apply tries to determine the outcome of a write whose reply was lost; 0
// means one attempt.
func WithResolveTimeout(d time.Duration) Option { return func(p *Publisher) { p.resolveTimeout = d } }

// WithMaxBytes bounds the value in the store and each page of older audit entries, in bytes.
func WithMaxBytes(n int) Option { return func(p *Publisher) { p.maxBytes = n } }

// WithMaxEntries sets the greatest number of audit entries in the value, at least 1; older entries move to audit pages.
func WithMaxEntries(n int) Option { return func(p *Publisher) { p.maxEntries = max(1, n) } }

// New returns a publisher that uses store.
func New(store carobbend.Store, opts ...Option) *Publisher {
	p := &Publisher{store: store, resolveTimeout: DefaultResolveTimeout, maxBytes: DefaultMaxBytes, maxEntries: DefaultMaxEntries}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Current returns the value in the store; version 0 if the store holds none.
func (p *Publisher) Current(ctx context.Context) (*encoder.RulesValue, error) {
	v, _, err := p.readValue(ctx, "read")
	return v, err
}

// Apply commits a rule file. The error is a *parser.Error or an *Error of KindInvalid; it means that nothing was
// written. All other results, failures of the store included, are outcomes.
func (p *Publisher) Apply(ctx context.Context, req Request) (Result, error) {
	rules, err := parser.Parse(req.File, req.Text)
	if err != nil {
		return Result{}, err
	}
	from, stated, err := baseVersion(req, rules)
	if err != nil {
		return Result{}, err
	}
	cur, revision, err := p.readValue(ctx, "apply")
	if err != nil {
		return notWritten(Result{Version: from + 1}, err), nil
	}
	res := Result{Version: from + 1, Latest: cur.GetVersion()}
	if cur.GetVersion() != from && !stated {
		res.Outcome = NotAccepted
		res.Detail = fmt.Sprintf("the store holds version %d, and the file states none; nothing changed. "+
			"Edit the rules in the store, whose first line is \"version %d\"", cur.GetVersion(), cur.GetVersion())
		return res, nil
	}
	if cur.GetVersion() != from {
		return p.conflict(ctx, res, cur, from), nil
	}
	if before, err := parser.Parse(Key, cur.GetText()); err == nil {
		res.Changes = parser.Explain(before, rules)
	}
	if cur.GetText() == rules.Body() && from > 0 {
		res.Outcome, res.Version, res.ChangeID = InForce, from, cur.GetChangeId()
		res.Detail = fmt.Sprintf("version %d has this text already; nothing was written", from)
		return res, nil
	}
	next := p.nextValue(cur, rules, req.Who)
	if err := p.moveOldEntries(ctx, next); err != nil {
		// Moving entries may fail because another apply moved them first; its change is then reported as the conflict.
		if cur, _, rerr := p.readValue(ctx, "read back"); rerr == nil && cur.GetVersion() != from {
			return p.conflict(ctx, res, cur, from), nil
		}
		return notWritten(res, err), nil
	}
	res.ChangeID = next.GetChangeId()
	return p.commit(ctx, res, next, revision), nil
}

// baseVersion returns the version that the operator started from, and whether the request or the file states it.
func baseVersion(req Request, rules *parser.Ruleset) (uint64, bool, error) {
	if req.Who == "" || len(req.Who) > maxWhoBytes || strings.ContainsFunc(req.Who, isUnprintable) {
		return 0, false, &Error{Op: "apply", Kind: KindInvalid, Err: fmt.Errorf(
			"got name %q, expected who applies the file, in 1 to %d bytes of printable text", req.Who, maxWhoBytes)}
	}
	line, stated := rules.Base()
	if req.FromStated && stated && line != req.From {
		return 0, false, &Error{Op: "apply", Kind: KindInvalid, Err: fmt.Errorf(
			"%s states version %d, but the request starts from version %d: expected one version", req.File, line, req.From)}
	}
	if req.FromStated {
		return req.From, true, nil
	}
	return line, stated, nil
}

func isUnprintable(r rune) bool { return r == utf8.RuneError || !unicode.IsPrint(r) }

func (p *Publisher) nextValue(cur *encoder.RulesValue, rules *parser.Ruleset, who string) *encoder.RulesValue {
	now := time.Now()
	// MustNew panics only if crypto/rand returns an error.
	id := ulid.MustNew(ulid.Timestamp(now), rand.Reader).String()
	removed, added := parser.Diff(cur.GetText(), rules.Body())
	change := &encoder.RulesChange{
		Version: cur.GetVersion() + 1, FromVersion: cur.GetVersion(), ChangeId: id, Who: who,
		UnixMs: now.UnixMilli(), Removed: removed, Added: added,
	}
	changes := append([]*encoder.RulesChange(nil), cur.GetChanges()...)
	return &encoder.RulesValue{Version: change.GetVersion(), ChangeId: id, Text: rules.Body(), Changes: append(changes, change)}
}

// commit writes the value, and determines the outcome of the write if its reply is lost.
func (p *Publisher) commit(ctx context.Context, res Result, next *encoder.RulesValue, revision uint64) Result {
	b, err := proto.Marshal(next)
	if err != nil {
		return notWritten(res, err)
	}
	swapped, err := p.store.CompareAndSwap(ctx, Key, b, revision)
	switch {
	case err == nil && swapped:
		return committed(res)
	case err != nil && carobbend.StoreFailureOf(err) != carobbend.StoreUnknown:
		return notWritten(res, err)
	case err == nil:
		// The write was refused for good; read the change that came first.
		if cur, _, rerr := p.readValue(ctx, "read back"); rerr == nil {
			return p.conflict(ctx, res, cur, next.GetVersion()-1)
		}
		res.Outcome, res.Detail = NotAccepted, "another operator's change came first; it can't be read now"
		return res
	}
	return p.resolve(ctx, res, b, revision, err)
}

// resolve reads the key back until the outcome of a write is certain or the resolve time-out expires. While the key still
// has the revision that the write started from, the write may still arrive; repeating it against that revision is safe,
// since only one of the two can take effect.
func (p *Publisher) resolve(ctx context.Context, res Result, value []byte, revision uint64, cause error) Result {
	end := time.Now().Add(p.resolveTimeout)
	for pause := firstRetryDelay; ; pause = min(2*pause, maxRetryDelay) {
		if done, ok := p.checkOrRetry(ctx, res, value, revision); ok {
			return done
		}
		if time.Now().Add(pause).After(end) || !sleeper.Sleep(ctx, pause) {
			break
		}
	}
	res.Outcome = Unknown
	res.Detail = fmt.Sprintf("the write may have taken effect: %v. To find out, run \"carobbend rules status --change %d/%s\" "+
		"when the store answers again", cause, res.Version, res.ChangeID)
	return res
}

// ChangeOutcome determines the outcome of a change whose apply ended as Unknown. The error is of KindStore or KindValue and
// leaves the outcome open.
func (p *Publisher) ChangeOutcome(ctx context.Context, version uint64, changeID string) (Result, error) {
	res := Result{Outcome: Unknown, Version: version, ChangeID: changeID}
	cur, _, err := p.readValue(ctx, "find")
	if err != nil {
		return res, err
	}
	if version == 0 || cur.GetVersion() < version {
		res.Latest = cur.GetVersion()
		res.Detail = fmt.Sprintf("the store holds version %d; the write may still arrive. Applying the file again from version %d is safe: "+
			"only one of the two writes can take effect", cur.GetVersion(), cur.GetVersion())
		return res, nil
	}
	return p.decideOutcome(ctx, res, cur)
}

// checkOrRetry reads the key back once. It decides the outcome if the revision changed, and otherwise repeats the write.
// It returns false if the outcome is still open.
func (p *Publisher) checkOrRetry(ctx context.Context, res Result, value []byte, revision uint64) (Result, bool) {
	cur, rev, err := p.readValue(ctx, "read back")
	if err != nil {
		return res, false
	}
	if rev != revision {
		done, err := p.decideOutcome(ctx, res, cur)
		return done, err == nil
	}
	swapped, err := p.store.CompareAndSwap(ctx, Key, value, revision)
	if err == nil && swapped {
		return committed(res), true
	}
	return res, false
}

// decideOutcome determines the outcome of a change whose version is taken: either the audit trail contains the change, or
// it can't take effect anymore.
func (p *Publisher) decideOutcome(ctx context.Context, res Result, cur *encoder.RulesValue) (Result, error) {
	res.Latest = cur.GetVersion()
	changes, err := p.changesAfter(ctx, cur, res.Version-1)
	if err != nil {
		return res, err
	}
	for _, c := range changes {
		if c.GetVersion() == res.Version && c.GetChangeId() == res.ChangeID {
			return committed(res), nil
		}
	}
	return p.conflict(ctx, res, cur, res.Version-1), nil
}

func notWritten(res Result, err error) Result {
	res.Outcome, res.Detail = NotAccepted, "nothing was written: "+err.Error()
	return res
}

func committed(res Result) Result {
	res.Outcome = InForce
	res.Detail = fmt.Sprintf("version %d is in force", res.Version)
	if res.Latest > res.Version {
		res.Detail = fmt.Sprintf("version %d was accepted; version %d has replaced it since", res.Version, res.Latest)
	}
	res.Latest = max(res.Latest, res.Version)
	return res
}

func (p *Publisher) conflict(ctx context.Context, res Result, cur *encoder.RulesValue, from uint64) Result {
	res.Outcome, res.Latest, res.Changes = NotAccepted, cur.GetVersion(), nil
	if from > cur.GetVersion() {
		res.Detail = fmt.Sprintf("version %d doesn't exist yet; the store holds version %d; nothing changed", from, cur.GetVersion())
		return res
	}
	res.Detail = fmt.Sprintf("the store holds version %d, and the file starts from version %d; nothing changed. "+
		"Take the changes below into the file, set its first line to \"version %d\" and apply it again", cur.GetVersion(), from, cur.GetVersion())
	others, err := p.changesAfter(ctx, cur, from)
	if err != nil {
		res.Detail += " (older changes can't be read now: " + err.Error() + ")"
		others = filterAfter(cur.GetChanges(), from)
	}
	res.Others = others
	return res
}

// readValue returns the value of Key and its revision.
func (p *Publisher) readValue(ctx context.Context, op string) (*encoder.RulesValue, uint64, error) {
	e, err := p.store.Get(ctx, Key)
	if err != nil {
		return nil, 0, &Error{Op: op, Kind: KindStore, Err: err}
	}
	v, err := decodeValue(op, e)
	return v, e.Revision, err
}

func decodeValue(op string, e carobbend.Entry) (*encoder.RulesValue, error) {
	v := &encoder.RulesValue{}
	if e.Revision == 0 {
		return v, nil
	}
	if err := proto.Unmarshal(e.Value, v); err != nil {
		return nil, &Error{Op: op, Kind: KindValue, Err: fmt.Errorf("key %s: expected a rule file: %w", e.Key, err)}
	}
	return v, nil
}
