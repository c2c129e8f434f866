package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/joomcode/errorx"
)

// ErrorKind classifies the errors of this package.
type ErrorKind string

const (
	// KindRead means that the file cannot be read.
	KindRead ErrorKind = "read"
	// KindSyntax means that the file is not YAML, or holds an unknown key or a value of the wrong type.
	KindSyntax ErrorKind = "syntax"
	// KindInvalid means that a value is missing or out of range.
	KindInvalid ErrorKind = "invalid"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	// File and Line locate the error. Line is 0 if it is unknown.
	File string
	Line int
	// Key is the path of the key with the error.
	Key string
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	s := e.File
	if e.Line > 0 {
		s += fmt.Sprintf(":%d", e.Line)
	}
	if e.Key != "" {
		s += ": " + e.Key
	}
	return s + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Load reads and checks a settings file.
func Load(file string) (*Settings, error) {
	b, err := read(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, b)
}

// Parse parses and checks settings. file is only used in errors.
func Parse(file string, b []byte) (*Settings, error) {
	s := &Settings{}
	if err := parse(file, b, s); err != nil {
		return nil, err
	}
	return s, nil
}

func read(file string) ([]byte, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{Op: "load", Kind: KindRead, File: file, Err: errorx.Decorate(err, "cannot read settings")}
	}
	return b, nil
}

// settingsFile is implemented by the types that a settings file is decoded into.
type settingsFile interface {
	ApplyDefaults()
	check() error
}

// parse decodes b into s, applies the defaults and checks the result.
func parse(file string, b []byte, s settingsFile) error {
	if err := yaml.UnmarshalWithOptions(b, s, yaml.Strict()); err != nil {
		return syntaxError(file, err)
	}
	s.ApplyDefaults()
	if err := s.check(); err != nil {
		var invalid validator.ValidationErrors
		if errors.As(err, &invalid) && len(invalid) > 0 {
			return invalidError(file, b, invalid[0])
		}
		return &Error{Op: "parse", Kind: KindInvalid, File: file, Err: err}
	}
	return nil
}

func syntaxError(file string, err error) error {
	e := &Error{Op: "parse", Kind: KindSyntax, File: file, Err: err}
	var ye yaml.Error
	if errors.As(err, &ye) {
		e.Line = ye.GetToken().Position.Line
		e.Err = errors.New(ye.GetMessage())
	}
	return e
}

func (s *Settings) check() error {
	if err := validate(s); err != nil {
		return err
	}
	return s.checkUpstreamIDs()
}

// validate checks the fields of s by their tags.
func validate(s any) error {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		return strings.Split(f.Tag.Get("yaml"), ",")[0]
	})
	if err := v.RegisterValidation("ip_port", isIPPort); err != nil {
		return err
	}
	return v.Struct(s)
}

// isIPPort accepts only numeric IP addresses with a port, since the platform has no name service.
func isIPPort(fl validator.FieldLevel) bool {
	_, err := netip.ParseAddrPort(fl.Field().String())
	return err == nil
}

// checkUpstreamIDs returns an error if one upstream id is listed with two addresses.
func (s *Settings) checkUpstreamIDs() error {
	byID := map[string]UpstreamAddress{}
	add := func(us []UpstreamAddress) error {
		for _, u := range us {
			if prev, ok := byID[string(u.ID)]; ok && prev.Address != u.Address {
				return fmt.Errorf("upstream id %q has two addresses, %s and %s: expected unique ids", u.ID, prev.Address, u.Address)
			}
			byID[string(u.ID)] = u
		}
		return nil
	}
	for _, x := range s.Indexes {
		if err := add(x.Upstreams); err != nil {
			return err
		}
	}
	for _, x := range s.Operations {
		if err := add(x.Upstreams); err != nil {
			return err
		}
	}
	return nil
}

func invalidError(file string, b []byte, fe validator.FieldError) error {
	_, key, _ := strings.Cut(fe.Namespace(), ".")
	e := &Error{Op: "check", Kind: KindInvalid, File: file, Key: key, Line: lineOf(b, key)}
	e.Err = fmt.Errorf("got %q, expected %s", fmt.Sprint(fe.Value()), expected(fe))
	return e
}

func expected(fe validator.FieldError) string {
	switch fe.Tag() {
	case "required":
		return "a value"
	case "ip_port":
		return "an IP address with port, like 127.0.0.1:7100"
	case "http_url":
		return "a URL like http://127.0.0.1:8500"
	case "oneof":
		return "one of " + fe.Param()
	case "min":
		return "at least " + fe.Param() + " (entries, characters or units)"
	case "gte":
		return "a value of at least " + fe.Param()
	case "unique":
		return "entries that differ in " + fe.Param()
	default:
		return strings.TrimSpace(fe.Tag() + " " + fe.Param())
	}
}

// lineOf returns the line of key in the file, or of its closest parent that the file holds; 0 if there is none.
func lineOf(b []byte, key string) int {
	f, err := parser.ParseBytes(b, 0)
	if err != nil {
		return 0
	}
	for key != "" {
		if p, err := yaml.PathString("$." + key); err == nil {
			if n, err := p.FilterFile(f); err == nil && n != nil {
				return nodeLine(n)
			}
		}
		i := strings.LastIndexAny(key, ".[")
		if i < 0 {
			return 0
		}
		key = key[:i]
	}
	return 0
}

func nodeLine(n ast.Node) int {
	if t := n.GetToken(); t != nil {
		return t.Position.Line
	}
	return 0
}
