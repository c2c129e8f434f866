package parser

import (
	"strconv"
	"strings"
	"time"
	"unicode"

	"carobbend.example/carobbend"
)

// Bounds of the values.
const (
	MinDeadline = time.Millisecond
	MaxDeadline = time.Minute
	MaxPercent  = 100
	MinShare    = 1
	MaxShare    = 1000
)

const (
	subjectOfIndex  = "index"
	subjectOfCaller = "caller"
)

type field struct {
	expected string
	valid    func(string) bool
}

type kindSpec struct {
	fields  []field
	newRule func(words []token) Rule
}

var (
	deadlineField    = field{"a time from 1ms to 60s, in ms or s, like 70ms", func(s string) bool { _, ok := parseDeadline(s); return ok }}
	percentField     = field{"a percentage from 0% to 100%, like 5%", func(s string) bool { _, ok := parsePercent(s); return ok }}
	shareField       = field{"a whole number from 1 to 1000", func(s string) bool { _, ok := parseShare(s); return ok }}
	classField       = field{"first, ordinary or last", func(s string) bool { _, ok := parseClass(s); return ok }}
	subjectTypeField = field{"index or caller", func(s string) bool { return s == subjectOfIndex || s == subjectOfCaller }}
)

var kinds = map[Kind]kindSpec{
	KindClass: {
		fields: []field{subjectTypeField, nameField("an index or caller"), classField},
		newRule: func(w []token) Rule {
			return Rule{Subject: w[1].text + " " + w[2].text, Value: w[3].text}
		},
	},
	KindDeadline:  {fields: []field{nameField("an index"), deadlineField}, newRule: subjectAndValue},
	KindExtraLoad: {fields: []field{nameField("an index"), percentField}, newRule: subjectAndValue},
	KindCoverage:  {fields: []field{nameField("an index"), percentField}, newRule: subjectAndValue},
	KindShare:     {fields: []field{nameField("a house"), shareField}, newRule: subjectAndValue},
	KindAtMostOnce: {
		fields:  []field{nameField("an operation")},
		newRule: func(w []token) Rule { return Rule{Subject: w[1].text} },
	},
}

func subjectAndValue(w []token) Rule { return Rule{Subject: w[1].text, Value: w[2].text} }

func nameField(of string) field {
	return field{"the name of " + of + " in letters, digits and -_.:/, at most 128 bytes", validName}
}

func validName(s string) bool {
	return strings.IndexFunc(s, func(r rune) bool {
		return !unicode.IsLetter(r) && !unicode.IsMark(r) && !unicode.IsDigit(r) && !strings.ContainsRune("-_.:/", r)
	}) < 0
}

// isDecimal reports whether s is a decimal number without sign or exponent, with a digit on both sides of any point.
func isDecimal(s string) bool {
	whole, fraction, point := strings.Cut(s, ".")
	return isDigits(whole) && (!point || isDigits(fraction))
}

func isDigits(s string) bool {
	return s != "" && strings.IndexFunc(s, func(r rune) bool { return r < '0' || r > '9' }) < 0
}

func parseDeadline(s string) (time.Duration, bool) {
	n, ok := strings.CutSuffix(s, "ms")
	if !ok {
		n, ok = strings.CutSuffix(s, "s")
	}
	if !ok || !isDecimal(n) {
		return 0, false
	}
	d, err := time.ParseDuration(s)
	return d, err == nil && d >= MinDeadline && d <= MaxDeadline
}

func parsePercent(s string) (float64, bool) {
	n, ok := strings.CutSuffix(s, "%")
	if !ok || !isDecimal(n) {
		return 0, false
	}
	f, err := strconv.ParseFloat(n, 64)
	return f, err == nil && f >= 0 && f <= MaxPercent
}

func parseShare(s string) (int, bool) {
	if !isDigits(s) {
		return 0, false
	}
	n, err := strconv.Atoi(s)
	return n, err == nil && n >= MinShare && n <= MaxShare
}

func parseClass(s string) (carobbend.Class, bool) {
	for _, c := range []carobbend.Class{carobbend.ClassFirst, carobbend.ClassOrdinary, carobbend.ClassLast} {
		if c.String() == s {
			return c, true
		}
	}
	return carobbend.ClassOrdinary, false
}
