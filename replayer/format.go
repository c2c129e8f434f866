package replayer

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/joomcode/errorx"

	"carobbend.example/carobbend"
)

// ErrorKind classifies the errors of this package.
type ErrorKind string

const (
	// KindRead means that the file can't be read.
	KindRead ErrorKind = "read"
	// KindSyntax means that a line isn't valid JSON, has an unknown kind or key, or a value of the wrong type.
	KindSyntax ErrorKind = "syntax"
	// KindInvalid means that a line is out of order or a value out of range.
	KindInvalid ErrorKind = "invalid"
	// KindWrite means that a trace can't be written.
	KindWrite ErrorKind = "write"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	// File and Line locate the error; Line is 0 if the error concerns no single line.
	File string
	Line int
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	s := e.File
	if e.Line > 0 {
		s += fmt.Sprintf(":%d", e.Line)
	}
	if s != "" {
		s += ": "
	}
	return s + e.Err.Error()
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// duration is encoded in JSON as a string with a unit, such as "4.5ms".
type duration time.Duration

// MarshalJSON implements json.Marshaler.
func (d duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON implements json.Unmarshaler.
func (d *duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return fmt.Errorf("%s: expected a duration such as \"4.5ms\"", b)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("%q: expected a duration such as \"4.5ms\"", s)
	}
	*d = duration(v)
	return nil
}

// kind is the kind of a line.
type kind string

const (
	kindTrace    kind = "trace"
	kindRules    kind = "rules"
	kindPolicies kind = "policies"
	kindQuery    kind = "query"
	kindCatalog  kind = "catalog"
	kindStart    kind = "start"
	kindReply    kind = "reply"
	kindFailure  kind = "failure"
	kindTimer    kind = "timer"
	kindCancel   kind = "cancel"
	kindSend     kind = "send"
	kindOutcome  kind = "outcome"
)

// lineHeader holds the keys that all lines have.
type lineHeader struct {
	Kind kind     `json:"kind"`
	At   duration `json:"at,omitempty"`
}

type traceLine struct {
	lineHeader
	Timers string `json:"timers,omitempty"`
}

type rulesLine struct {
	lineHeader
	Version   uint64   `json:"version,omitempty"`
	Deadline  duration `json:"deadline,omitempty"`
	ExtraLoad float64  `json:"extra-load,omitempty"`
	Coverage  *float64 `json:"coverage,omitempty"`
}

type policiesLine struct {
	lineHeader
	HedgeDelay *duration `json:"hedge-delay,omitempty"`
	Tokens     *float64  `json:"tokens,omitempty"`
	Seed       uint64    `json:"seed,omitempty"`
}

type queryLine struct {
	lineHeader
	ID       string    `json:"id"`
	Index    string    `json:"index"`
	Limit    int       `json:"limit,omitempty"`
	Deadline *duration `json:"deadline,omitempty"`
}

type layoutValue struct {
	Snapshot carobbend.SnapshotID     `json:"snapshot"`
	Replicas [][]carobbend.UpstreamID `json:"replicas"`
}

type catalogLine struct {
	lineHeader
	Layouts []layoutValue `json:"layouts"`
}

// decisions are the results that the policies returned to the planner during one event, in order of the calls.
type decisions struct {
	Picks  []carobbend.UpstreamID `json:"picks,omitempty"`
	Spends []bool                 `json:"spends,omitempty"`
	Delay  *duration              `json:"delay,omitempty"`
}

type itemValue struct {
	Key   string  `json:"key"`
	Score float64 `json:"score"`
}

// eventLine is a start, reply, failure, timer or cancel line.
type eventLine struct {
	lineHeader
	Attempt  *int                  `json:"attempt,omitempty"`
	Items    []itemValue           `json:"items,omitempty"`
	Leaving  bool                  `json:"leaving,omitempty"`
	ID       *string               `json:"id,omitempty"`
	Snapshot *carobbend.SnapshotID `json:"snapshot,omitempty"`
	Shard    *int                  `json:"shard,omitempty"`
	Shards   *int                  `json:"shards,omitempty"`
	Failure  carobbend.FailureKind `json:"failure,omitempty"`
	decisions
}

type sendLine struct {
	lineHeader
	Attempt  int                  `json:"attempt"`
	Shard    int                  `json:"shard"`
	Upstream carobbend.UpstreamID `json:"upstream"`
	Cause    string               `json:"cause"`
}

type outcomeLine struct {
	lineHeader
	Outcome      carobbend.Outcome        `json:"outcome"`
	Snapshot     carobbend.SnapshotID     `json:"snapshot,omitempty"`
	Covered      int                      `json:"covered,omitempty"`
	Total        int                      `json:"total,omitempty"`
	Missing      []carobbend.MissingShard `json:"missing,omitempty"`
	Items        []string                 `json:"items,omitempty"`
	Hedges       int                      `json:"hedges,omitempty"`
	Retries      int                      `json:"retries,omitempty"`
	Late         int                      `json:"late,omitempty"`
	Crossed      int                      `json:"crossed,omitempty"`
	Replans      int                      `json:"replans,omitempty"`
	RulesVersion uint64                   `json:"rules-version,omitempty"`
}

// step is a catalog or event line with its line number.
type step struct {
	line    int
	catalog *catalogLine
	event   *eventLine
}

// Trace is a parsed trace.
type Trace struct {
	name     string
	recorded bool
	rules    *rulesLine
	policies policiesLine
	query    queryLine
	steps    []step
	sends    []sendLine
	outcome  outcomeLine
}

// Load reads and parses a trace file; its errors are *Error.
func Load(file string) (*Trace, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{Op: "load", Kind: KindRead, File: file, Err: errorx.Decorate(err, "cannot read trace")}
	}
	return Parse(file, b)
}

// Parse parses and validates a trace; file is used in errors only.
func Parse(file string, b []byte) (*Trace, error) {
	p := parser{trace: &Trace{name: file}}
	n := 0
	for line := range bytes.Lines(b) {
		n++
		line = bytes.TrimSpace(line)
		if len(line) == 0 || line[0] == '#' {
			continue
		}
		if err := p.parseLine(n, line); err != nil {
			k := KindSyntax
			if errors.Is(err, errInvalid) {
				k = KindInvalid
			}
			return nil, &Error{Op: "parse", Kind: k, File: file, Line: n, Err: err}
		}
	}
	if !p.seen[kindOutcome] {
		return nil, &Error{Op: "parse", Kind: KindInvalid, File: file, Line: max(n, 1), Err: errors.New("the trace ends without an outcome line")}
	}
	return p.trace, nil
}

// decode decodes one line; unknown keys and trailing data are errors.
func decode(line []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(line))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("expected one JSON object a line")
	}
	return nil
}
