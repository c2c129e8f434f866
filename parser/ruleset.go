package parser

import (
	"strings"
	"time"

	"carobbend.example/carobbend"
)

// Default values of subjects without a rule; the unit of DefaultExtraLoad and DefaultCoverage is percent.
const (
	DefaultDeadline  = 70 * time.Millisecond
	DefaultExtraLoad = 0.0
	DefaultCoverage  = 100.0
	DefaultShare     = 1
)

// Ruleset is a valid rule file. It is immutable and implements carobbend.Rules. The zero value holds no rule.
type Ruleset struct {
	version uint64
	base    uint64
	hasBase bool
	text    string
	rules   []Rule
	index   map[ruleKey]int

	classes    map[string]carobbend.Class
	deadlines  map[string]time.Duration
	extraLoads map[string]float64
	coverages  map[string]float64
	shares     map[string]int
}

type ruleKey struct {
	kind    Kind
	subject string
}

func newRuleset(text string) *Ruleset {
	return &Ruleset{
		text:       text,
		index:      map[ruleKey]int{},
		classes:    map[string]carobbend.Class{},
		deadlines:  map[string]time.Duration{},
		extraLoads: map[string]float64{},
		coverages:  map[string]float64{},
		shares:     map[string]int{},
	}
}

func (r *Ruleset) lookup(kind Kind, subject string) (Rule, bool) {
	i, ok := r.index[ruleKey{kind, subject}]
	if !ok {
		return Rule{}, false
	}
	return r.rules[i], true
}

// add appends a rule whose words are valid.
func (r *Ruleset) add(rule Rule) {
	r.index[ruleKey{rule.Kind, rule.Subject}] = len(r.rules)
	r.rules = append(r.rules, rule)
	switch rule.Kind {
	case KindClass:
		r.classes[rule.Subject], _ = parseClass(rule.Value)
	case KindDeadline:
		r.deadlines[rule.Subject], _ = parseDeadline(rule.Value)
	case KindExtraLoad:
		r.extraLoads[rule.Subject], _ = parsePercent(rule.Value)
	case KindCoverage:
		r.coverages[rule.Subject], _ = parsePercent(rule.Value)
	case KindShare:
		r.shares[rule.Subject], _ = parseShare(rule.Value)
	case KindAtMostOnce:
	}
}

// WithVersion returns the same rules under the version that the store gave them.
func (r *Ruleset) WithVersion(version uint64) *Ruleset {
	c := *r
	c.version = version
	return &c
}

// Base returns the version that the file was edited from, and whether the file states it.
func (r *Ruleset) Base() (uint64, bool) { return r.base, r.hasBase }

// Text returns the text that was parsed, without a byte order mark.
func (r *Ruleset) Text() string { return r.text }

// Body returns the file without its version line.
func (r *Ruleset) Body() string {
	if !r.hasBase {
		return r.text
	}
	lines := strings.SplitAfter(r.text, "\n")
	for i, l := range lines {
		if isVersionLine(l) {
			return strings.Join(append(lines[:i:i], lines[i+1:]...), "")
		}
	}
	return r.text
}

// List returns the rules in the order of the file.
func (r *Ruleset) List() []Rule { return append([]Rule(nil), r.rules...) }

// Version implements carobbend.Rules.
func (r *Ruleset) Version() uint64 { return r.version }

// Class implements carobbend.Rules; a rule for the caller takes precedence over one for the index.
func (r *Ruleset) Class(caller, index string) carobbend.Class {
	if c, ok := r.classes[subjectOfCaller+" "+caller]; ok {
		return c
	}
	return r.classes[subjectOfIndex+" "+index]
}

// Deadline implements carobbend.Rules.
func (r *Ruleset) Deadline(index string) time.Duration {
	return valueOrDefault(r.deadlines, index, DefaultDeadline)
}

// ExtraLoad implements carobbend.Rules; the unit is percent.
func (r *Ruleset) ExtraLoad(index string) float64 {
	return valueOrDefault(r.extraLoads, index, DefaultExtraLoad)
}

// Coverage implements carobbend.Rules; the unit is percent.
func (r *Ruleset) Coverage(index string) float64 {
	return valueOrDefault(r.coverages, index, DefaultCoverage)
}

// Share implements carobbend.Rules.
func (r *Ruleset) Share(house string) int { return valueOrDefault(r.shares, house, DefaultShare) }

// AtMostOnce implements carobbend.Rules.
func (r *Ruleset) AtMostOnce(operation string) bool {
	_, ok := r.index[ruleKey{KindAtMostOnce, operation}]
	return ok
}

func valueOrDefault[V any](m map[string]V, key string, d V) V {
	if v, ok := m[key]; ok {
		return v
	}
	return d
}
