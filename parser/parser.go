// Package parser reads, checks, compares and explains the rule file. It does no I/O.
//
// A rule file has one rule per line, KIND SUBJECT VALUE, followed by a comment that names who asked for it. Rules don't
// depend on each other: if a line is removed, the default of its subject applies again. The first line may be
// "version N", the version that the file was edited from. Empty lines and whole-line comments are allowed.
//
// # Usage
//
//	rules, err := parser.Parse("rules.txt", text)
//	if err != nil {
//		// err is a *parser.Error that lists all problems of the file
//	}
//	for _, c := range parser.Explain(inForce, rules) {
//		fmt.Println(c)
//	}
package parser

import (
	"fmt"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"
)

const (
	// MaxFileBytes bounds a rule file in bytes, so that the text and a change of all its lines fit into one value of the
	// store.
	MaxFileBytes = 256 << 10
	// MaxWordBytes bounds a word of a rule in bytes.
	MaxWordBytes = 128
)

// Kind is the kind of a rule, its first word.
type Kind string

const (
	// KindClass sets the priority class of an index or caller.
	KindClass Kind = "class"
	// KindDeadline sets the time an answer of an index may take.
	KindDeadline Kind = "deadline"
	// KindExtraLoad sets the percentage of hedges and retries of an index.
	KindExtraLoad Kind = "extra-load"
	// KindAtMostOnce restricts an operation to one execution.
	KindAtMostOnce Kind = "at-most-once"
	// KindShare sets the weight of a house in admission.
	KindShare Kind = "share"
	// KindCoverage sets the wanted percentage of covered shards of an index.
	KindCoverage Kind = "coverage"

	versionWord   = "version"
	expectedKinds = "class, deadline, extra-load, at-most-once, share or coverage"
)

// Rule is one rule as written.
type Rule struct {
	// Line is the line number, from 1.
	Line int
	Kind Kind
	// Subject is what the rule applies to; for a class it starts with "index " or "caller ".
	Subject string
	// Value is the value as written; empty for at-most-once.
	Value string
	// Comment names who asked for the rule.
	Comment string
}

// String returns the rule in normal form: single spaces, and the comment after #.
func (r Rule) String() string {
	s := string(r.Kind) + " " + r.Subject
	if r.Value != "" {
		s += " " + r.Value
	}
	return s + " # " + r.Comment
}

// Problem is one syntax error or conflict in a rule file.
type Problem struct {
	// Line and Column locate the word, from 1; Column counts characters.
	Line, Column int
	// Word is the faulty word; empty where one is missing.
	Word string
	// Expected describes what is valid there.
	Expected string
}

// Error lists all problems of a rule file; it is the error type of this package.
type Error struct {
	Op       string
	Kind     ErrorKind
	File     string
	Problems []Problem
}

// ErrorKind classifies an Error.
type ErrorKind string

// KindInvalid says that the text is not a valid rule file.
const KindInvalid ErrorKind = "invalid"

// Error implements error with one line for each problem.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		got := "nothing"
		if p.Word != "" {
			got = strconv.Quote(p.Word)
		}
		lines[i] = fmt.Sprintf("%s:%d:%d: got %s, expected %s", e.File, p.Line, p.Column, got, p.Expected)
	}
	return strings.Join(lines, "\n")
}

// Parse checks a rule file; file is used in errors only. The error is an *Error with all problems of the text.
func Parse(file, text string) (*Ruleset, error) {
	// Some editors write a byte order mark at the start of the file.
	text = strings.TrimPrefix(text, "\ufeff")
	p := &fileParser{rules: newRuleset(text), atStart: true}
	if len(text) > MaxFileBytes {
		p.addProblem(token{line: 1, column: 1, text: strconv.Itoa(len(text)) + " bytes"},
			fmt.Sprintf("a file of at most %d bytes", MaxFileBytes))
		return nil, p.newError(file)
	}
	for i, line := range strings.Split(text, "\n") {
		p.parseLine(i+1, strings.TrimSuffix(line, "\r"))
	}
	if len(p.problems) > 0 {
		return nil, p.newError(file)
	}
	return p.rules, nil
}

type fileParser struct {
	rules    *Ruleset
	problems []Problem
	// atStart says that no rule and no version line was read yet.
	atStart bool
}

type token struct {
	line, column int
	text         string
}

func (p *fileParser) newError(file string) error {
	return &Error{Op: "parse", Kind: KindInvalid, File: file, Problems: p.problems}
}

func (p *fileParser) addProblem(t token, expected string) {
	p.problems = append(p.problems, Problem{Line: t.line, Column: t.column, Word: t.text, Expected: expected})
}

func (p *fileParser) parseLine(n int, line string) {
	if i := strings.IndexFunc(line, isDisallowedRune); i >= 0 {
		r, size := utf8.DecodeRuneInString(line[i:])
		word := line[i : i+size]
		if r == utf8.RuneError {
			word = fmt.Sprintf("%#x", line[i])
		}
		p.addProblem(token{n, utf8.RuneCountInString(line[:i]) + 1, word}, "printable UTF-8 text")
		return
	}
	words, comment, end := splitLine(n, line)
	if len(words) == 0 {
		return
	}
	first := p.atStart
	p.atStart = false
	if words[0].text == versionWord {
		p.parseVersion(words, first, end)
		return
	}
	p.parseRule(words, comment, end)
}

func (p *fileParser) parseVersion(words []token, first bool, end token) {
	if !first {
		p.addProblem(words[0], "a rule: the version stands only once, on the first line")
		return
	}
	if len(words) < 2 {
		p.addProblem(end, "the number of the version that the file was edited from")
		return
	}
	v, err := strconv.ParseUint(words[1].text, 10, 63)
	if err != nil {
		p.addProblem(words[1], "the number of the version that the file was edited from")
		return
	}
	if len(words) > 2 {
		p.addProblem(words[2], "the end of the line or a comment after #")
		return
	}
	p.rules.base, p.rules.hasBase = v, true
}

func (p *fileParser) parseRule(words []token, comment string, end token) {
	k, ok := kinds[Kind(words[0].text)]
	if !ok {
		p.addProblem(words[0], expectedKinds)
		return
	}
	fields := k.fields
	for i, f := range fields {
		if i+1 >= len(words) {
			p.addProblem(end, f.expected)
			return
		}
		if w := words[i+1]; len(w.text) > MaxWordBytes || !f.valid(w.text) {
			p.addProblem(w, f.expected)
			return
		}
	}
	if len(words) > len(fields)+1 {
		p.addProblem(words[len(fields)+1], "the end of the rule or a comment after #")
		return
	}
	if comment == "" {
		p.addProblem(end, "a comment after # that names who asked for the rule")
		return
	}
	r := k.newRule(words)
	r.Line, r.Kind, r.Comment = words[0].line, Kind(words[0].text), comment
	if prev, ok := p.rules.lookup(r.Kind, r.Subject); ok {
		p.addProblem(words[0], fmt.Sprintf("one rule for %s %s: line %d conflicts with line %d", r.Kind, r.Subject, r.Line, prev.Line))
		return
	}
	p.rules.add(r)
}

// splitLine returns the words of a line, its comment, and the position after the last word.
func splitLine(n int, line string) (words []token, comment string, end token) {
	code, comment, _ := strings.Cut(line, "#")
	start := -1
	runes := []rune(code)
	for column := range len(runes) + 1 {
		space := column == len(runes) || unicode.IsSpace(runes[column])
		if !space && start < 0 {
			start = column
		}
		if space && start >= 0 {
			words = append(words, token{n, start + 1, string(runes[start:column])})
			start = -1
		}
	}
	end = token{line: n, column: 1}
	if len(words) > 0 {
		last := words[len(words)-1]
		end.column = last.column + utf8.RuneCountInString(last.text)
	}
	return words, strings.TrimSpace(comment), end
}

// isDisallowedRune reports whether r is invalid UTF-8, a control character other than tab, or another character that
// terminals don't display as it is.
func isDisallowedRune(r rune) bool {
	return r == utf8.RuneError || (r != '\t' && !unicode.IsPrint(r) && !unicode.IsSpace(r)) || (unicode.IsSpace(r) && r != ' ' && r != '\t')
}
