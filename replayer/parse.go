package replayer

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/planner"
)

// errInvalid marks a line that is well-formed but wrong.
var errInvalid = errors.New("invalid")

func invalid(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errInvalid, fmt.Sprintf(format, args...))
}

// parser collects the lines of a trace.
type parser struct {
	trace *Trace
	seen  map[kind]bool
	at    duration
}

func (p *parser) parse(n int, line []byte) error {
	var h head
	if err := json.Unmarshal(line, &h); err != nil {
		return err
	}
	if p.seen == nil {
		p.seen = map[kind]bool{}
	}
	if err := p.order(h); err != nil {
		return err
	}
	p.seen[h.Kind], p.at = true, h.At
	t := p.trace
	switch h.Kind {
	case kindTrace:
		var l traceLine
		if err := decode(line, &l); err != nil {
			return err
		}
		if t.recorded = l.Timers == "recorded"; !t.recorded && l.Timers != "" {
			return invalid("timers %q: expected recorded", l.Timers)
		}
		return nil
	case kindRules:
		t.rules = &rulesLine{}
		return decode(line, t.rules)
	case kindPolicies:
		return decode(line, &t.policies)
	case kindQuery:
		if err := decode(line, &t.query); err != nil {
			return err
		}
		if t.query.ID == "" || t.query.Index == "" {
			return invalid("a query needs an id and an index")
		}
		return nil
	case kindCatalog:
		return p.catalog(n, line)
	case kindSend:
		return p.send(line)
	case kindOutcome:
		return p.outcome(line)
	default:
		return p.event(n, h, line)
	}
}

// order checks the place of a line in the trace.
func (p *parser) order(h head) error {
	header := slices.Contains([]kind{kindTrace, kindRules, kindPolicies, kindQuery}, h.Kind)
	switch {
	case h.Kind == "":
		return errors.New("the key kind is missing")
	case p.seen[kindOutcome]:
		return invalid("%s after the outcome", h.Kind)
	case h.At < p.at && h.Kind != kindOutcome:
		return invalid("at %v is before the line above", h.At)
	case header && p.seen[h.Kind], h.Kind == kindStart && p.seen[kindStart]:
		return invalid("a second %s line", h.Kind)
	case header && p.seen[kindStart]:
		return invalid("%s after the start", h.Kind)
	case h.Kind == kindStart && (!p.seen[kindQuery] || h.At != 0):
		return invalid("start needs a query line before it and at 0")
	case !header && h.Kind != kindCatalog && h.Kind != kindStart && !p.seen[kindStart]:
		return invalid("%s before the start", h.Kind)
	}
	return nil
}

func (p *parser) catalog(n int, line []byte) error {
	l := &catalogLine{}
	if err := decode(line, l); err != nil {
		return err
	}
	for i, v := range l.Layouts {
		if v.Snapshot == 0 || i > 0 && v.Snapshot >= l.Layouts[i-1].Snapshot {
			return invalid("snapshot %d: expected snapshots above 0, newest first", v.Snapshot)
		}
	}
	p.trace.steps = append(p.trace.steps, step{line: n, catalog: l})
	return nil
}

func (p *parser) send(line []byte) error {
	var l sendLine
	if err := decode(line, &l); err != nil {
		return err
	}
	causes := []string{planner.CausePrimary.String(), planner.CauseHedge.String(), planner.CauseRetry.String()}
	if !slices.Contains(causes, l.Cause) {
		return invalid("cause %q: expected one of %v", l.Cause, causes)
	}
	p.trace.sends = append(p.trace.sends, l)
	return nil
}

func (p *parser) outcome(line []byte) error {
	o := &p.trace.outcome
	if err := decode(line, o); err != nil {
		return err
	}
	outcomes := []carobbend.Outcome{carobbend.OutcomeComplete, carobbend.OutcomePartial, carobbend.OutcomeNotRun}
	if !slices.Contains(outcomes, o.Outcome) {
		return invalid("outcome %q: expected one of %v", o.Outcome, outcomes)
	}
	return nil
}

func (p *parser) event(n int, h head, line []byte) error {
	l := &eventLine{}
	if err := decode(line, l); err != nil {
		return err
	}
	stated := l.Items != nil || l.Leaving || l.ID != nil || l.Snapshot != nil || l.Shard != nil || l.Shards != nil
	switch h.Kind {
	case kindReply:
		if l.Attempt == nil || l.Failure != "" {
			return invalid("a reply needs an attempt and no failure")
		}
	case kindFailure:
		if l.Attempt == nil || stated || !slices.Contains(failures, l.Failure) {
			return invalid("a failure needs an attempt and a failure of %v", failures)
		}
	case kindStart, kindTimer, kindCancel:
		if l.Attempt != nil || stated || l.Failure != "" {
			return invalid("%s takes no attempt", h.Kind)
		}
	default:
		return fmt.Errorf("unknown kind %q", h.Kind)
	}
	p.trace.steps = append(p.trace.steps, step{line: n, event: l})
	return nil
}

var failures = []carobbend.FailureKind{
	carobbend.FailureShed, carobbend.FailureLeaving, carobbend.FailureSnapshotGone, carobbend.FailureNotSent,
	carobbend.FailureSilent, carobbend.FailureBroken, carobbend.FailureIdentity, carobbend.FailureCanceled,
	carobbend.FailureDeadline,
}
