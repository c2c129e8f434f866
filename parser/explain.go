package parser

import (
	"fmt"
	"strings"
)

// ChangeKind classifies the difference of a rule between two files.
type ChangeKind string

const (
	// Added says that the rule is new.
	Added ChangeKind = "added"
	// Changed says that the value or the comment of the rule differs.
	Changed ChangeKind = "changed"
	// Removed says that the rule was removed.
	Removed ChangeKind = "struck"
)

// Change explains one rule that differs between two files.
type Change struct {
	Kind ChangeKind
	// Rule is the new rule, or the removed one.
	Rule Rule
	// Effect describes what the change does.
	Effect string
	// Warning describes a danger of the change; empty if there is none.
	Warning string
}

// String returns the change, with the warning on a line of its own.
func (c Change) String() string {
	s := fmt.Sprintf("%s: %s\n    %s", c.Kind, c.Rule, c.Effect)
	if c.Warning != "" {
		s += "\n    WARNING: " + c.Warning
	}
	return s
}

// Explain returns the differences between two files rule by rule: added and changed rules in the order of the new file,
// then removed ones.
func Explain(before, after *Ruleset) []Change {
	var out []Change
	for _, r := range after.rules {
		prev, ok := before.lookup(r.Kind, r.Subject)
		switch {
		case !ok:
			out = append(out, Change{Kind: Added, Rule: r, Effect: effect(r, defaultValue(r))})
		case prev.Value != r.Value:
			out = append(out, Change{Kind: Changed, Rule: r, Effect: effect(r, prev.Value)})
		case prev.Comment != r.Comment:
			out = append(out, Change{Kind: Changed, Rule: r, Effect: "only the comment changes, from: " + prev.Comment})
		}
	}
	for _, r := range before.rules {
		if _, ok := after.lookup(r.Kind, r.Subject); ok {
			continue
		}
		c := Change{Kind: Removed, Rule: r, Effect: removalEffect(r)}
		if r.Kind == KindAtMostOnce {
			c.Warning = fmt.Sprintf("operation %s may run twice: a request that is repeated after a lost reply is executed again", r.Subject)
		}
		out = append(out, c)
	}
	return out
}

func defaultValue(r Rule) string {
	switch r.Kind {
	case KindDeadline:
		return "70ms"
	case KindExtraLoad:
		return "0%"
	case KindCoverage:
		return "100%"
	case KindShare:
		return "1"
	default:
		return ""
	}
}

func effect(r Rule, before string) string {
	instead := ""
	if before != "" {
		instead = " instead of " + before
		if before == r.Value {
			instead = ", which is also the default"
		}
	}
	switch r.Kind {
	case KindClass:
		return fmt.Sprintf("queries of %s are served in class %s%s", r.Subject, r.Value, instead) + precedenceNote(r)
	case KindDeadline:
		return fmt.Sprintf("an answer of index %s may take %s%s", r.Subject, r.Value, instead)
	case KindExtraLoad:
		return fmt.Sprintf("hedges and retries of index %s may add %s to its shard requests%s", r.Subject, r.Value, instead)
	case KindCoverage:
		return fmt.Sprintf("index %s is searched in the newest snapshot with %s of its shards available%s", r.Subject, r.Value, instead)
	case KindShare:
		return fmt.Sprintf("house %s has weight %s%s when houses compete", r.Subject, r.Value, instead)
	default:
		return fmt.Sprintf("operation %s runs at most once for each key; it is refused while the store is down", r.Subject)
	}
}

func precedenceNote(r Rule) string {
	if strings.HasPrefix(r.Subject, subjectOfCaller+" ") {
		return ", whatever the class of the index"
	}
	return ", unless their caller has a class of its own"
}

func removalEffect(r Rule) string {
	switch r.Kind {
	case KindClass:
		if strings.HasPrefix(r.Subject, subjectOfCaller+" ") {
			return fmt.Sprintf("queries of %s are served in the class of the index again, or in class ordinary", r.Subject)
		}
		return fmt.Sprintf("queries of %s are served in class ordinary again, unless their caller has a class of its own", r.Subject)
	case KindDeadline:
		return fmt.Sprintf("an answer of index %s may take 70ms again instead of %s", r.Subject, r.Value)
	case KindExtraLoad:
		return fmt.Sprintf("index %s gets no hedges and no retries anymore (0%% instead of %s)", r.Subject, r.Value)
	case KindCoverage:
		return fmt.Sprintf("index %s is searched in the newest snapshot with 100%% of its shards available again instead of %s", r.Subject, r.Value)
	case KindShare:
		return fmt.Sprintf("house %s has weight 1 again instead of %s when houses compete", r.Subject, r.Value)
	default:
		return fmt.Sprintf("operation %s may be retried and is no longer recorded in the store", r.Subject)
	}
}

// Diff returns the lines that only the first text holds and those that only the second holds, each in the order of its
// text. It ignores empty lines, version lines and the order of lines.
func Diff(before, after string) (removed, added []string) {
	old, now := comparableLines(before), comparableLines(after)
	return subtractLines(old, now), subtractLines(now, old)
}

func comparableLines(text string) []string {
	var out []string
	for _, l := range strings.Split(text, "\n") {
		l = strings.TrimSpace(l)
		if l != "" && !isVersionLine(l) {
			out = append(out, l)
		}
	}
	return out
}

func isVersionLine(line string) bool {
	words := strings.Fields(line)
	return len(words) > 0 && words[0] == versionWord
}

func subtractLines(a, b []string) []string {
	n := map[string]int{}
	for _, l := range b {
		n[l]++
	}
	var out []string
	for _, l := range a {
		if n[l] > 0 {
			n[l]--
			continue
		}
		out = append(out, l)
	}
	return out
}
