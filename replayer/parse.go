package replayer

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/planner"
)

// errInvalid marks errors of lines that are valid JSON but out of order or out of range.
var errInvalid = errors.New("invalid")

func invalidf(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errInvalid, fmt.Sprintf(format, args...))
}

// parser builds a Trace line by line.
type parser struct {
	trace *Trace
	seen  map[kind]bool
	at    duration
}

func (p *parser) parseLine(n int, line []byte) error {
	var h lineHeader
	if err := json.Unmarshal(line, &h); err != nil {
		return err
	}
	if p.seen == nil {
		p.seen = map[kind]bool{}
	}
	if err := p.checkOrder(h); err != nil {
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
			return invalidf("timers %q: expected recorded", l.Timers)
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
			return invalidf("a query needs an id and an index")
		}
		return nil
	case kindCatalog:
		return p.parseCatalog(n, line)
	case kindSend:
		return p.parseSend(line)
	case kindOutcome:
		return p.parseOutcome(line)
	default:
		return p.parseEvent(n, h, line)
	}
}

// checkOrder checks that a line may stand at this position of the trace.
func (p *parser) checkOrder(h lineHeader) error {
	header := slices.Contains([]kind{kindTrace, kindRules, kindPolicies, kindQuery}, h.Kind)
	switch {
	case h.Kind == "":
		return errors.New("the key kind is missing")
	case p.seen[kindOutcome]:
		return invalidf("%s after the outcome", h.Kind)
	case h.At < p.at && h.Kind != kindOutcome:
		return invalidf("at %v is before that of the previous line", h.At)
	case header && p.seen[h.Kind], h.Kind == kindStart && p.seen[kindStart]:
		return invalidf("a second %s line", h.Kind)
	case header && p.seen[kindStart]:
		return invalidf("%s after the start", h.Kind)
	case h.Kind == kindStart && (!p.seen[kindQuery] || h.At != 0):
		return invalidf("start needs a query line before it and at = 0")
	case !header && h.Kind != kindCatalog && h.Kind != kindStart && !p.seen[kindStart]:
		return invalidf("%s before the start", h.Kind)
	}
	return nil
}

func (p *parser) parseCatalog(n int, line []byte) error {
	l := &catalogLine{}
	if err := decode(line, l); err != nil {
		return err
	}
	for i, v := range l.Layouts {
		if v.Snapshot == 0 || i > 0 && v.Snapshot >= l.Layouts[i-1].Snapshot {
			return invalidf("snapshot %d: expected snapshots above 0, newest first", v.Snapshot)
		}
	}
	p.trace.steps = append(p.trace.steps, step{line: n, catalog: l})
	return nil
}

func (p *parser) parseSend(line []byte) error {
	var l sendLine
	if err := decode(line, &l); err != nil {
		return err
	}
	causes := []string{planner.CausePrimary.String(), planner.CauseHedge.String(), planner.CauseRetry.String()}
	if !slices.Contains(causes, l.Cause) {
		return invalidf("cause %q: expected one of %v", l.Cause, causes)
	}
	p.trace.sends = append(p.trace.sends, l)
	return nil
}

func (p *parser) parseOutcome(line []byte) error {
	o := &p.trace.outcome
	if err := decode(line, o); err != nil {
		return err
	}
	outcomes := []carobbend.Outcome{carobbend.OutcomeComplete, carobbend.OutcomePartial, carobbend.OutcomeNotRun}
	if !slices.Contains(outcomes, o.Outcome) {
		return invalidf("outcome %q: expected one of %v", o.Outcome, outcomes)
	}
	return nil
}

func (p *parser) parseEvent(n int, h lineHeader, line []byte) error {
	l := &eventLine{}
	if err := decode(line, l); err != nil {
		return err
	}
	stated := l.Items != nil || l.Leaving || l.ID != nil || l.Snapshot != nil || l.Shard != nil || l.Shards != nil
	switch h.Kind {
	case kindReply:
		if l.Attempt == nil || l.Failure != "" {
			return invalidf("a reply needs an attempt and no failure")
		}
	case kindFailure:
		if l.Attempt == nil || stated || !slices.Contains(failureKinds, l.Failure) {
			return invalidf("a failure needs an attempt and a failure of %v", failureKinds)
		}
	case kindStart, kindTimer, kindCancel:
		if l.Attempt != nil || stated || l.Failure != "" {
			return invalidf("%s takes no attempt, reply or failure", h.Kind)
		}
	default:
		return fmt.Errorf("unknown kind %q", h.Kind)
	}
	p.trace.steps = append(p.trace.steps, step{line: n, event: l})
	return nil
}

var failureKinds = []carobbend.FailureKind{
	carobbend.FailureShed, carobbend.FailureLeaving, carobbend.FailureSnapshotGone, carobbend.FailureNotSent,
	carobbend.FailureSilent, carobbend.FailureBroken, carobbend.FailureIdentity, carobbend.FailureCanceled,
	carobbend.FailureDeadline,
}
