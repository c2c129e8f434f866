// Package logger writes each event as one line of key=value pairs through klog.
//
// klog keeps global state, and prints a value that contains a line break over several lines, so that input could
// forge log lines. This package escapes control characters before it passes an event to klog.
//
// # Usage
//
//	log := logger.New("server")
//	log.Info("listener opened", "address", addr)
//	log.Error(err, "listener failed", "address", addr)
package logger

import (
	"flag"
	"fmt"
	"io"
	"strconv"
	"strings"

	"k8s.io/klog/v2"
)

// Logger writes events of one component. The zero value is ready to use.
type Logger struct {
	component string
}

// New returns a logger whose events carry component=name.
func New(component string) Logger { return Logger{component: component} }

// Info writes an event with alternating keys and values.
func (l Logger) Info(event string, keysAndValues ...any) {
	klog.InfoSDepth(1, escapeControls(event), l.fields(keysAndValues)...)
}

// Error writes an event that reports an error.
func (l Logger) Error(err error, event string, keysAndValues ...any) {
	var quoted error
	if err != nil {
		quoted = escapedError(escapeControls(err.Error()))
	}
	klog.ErrorSDepth(1, quoted, escapeControls(event), l.fields(keysAndValues)...)
}

// SetOutput sends all events to w. It is meant for the start of a program and for tests.
func SetOutput(w io.Writer) {
	fs := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(fs)
	// Without one_output, klog writes an error again for each lower severity.
	for name, value := range map[string]string{"logtostderr": "false", "one_output": "true", "stderrthreshold": "FATAL"} {
		if err := fs.Set(name, value); err != nil {
			panic(fmt.Sprintf("logger: klog flag %s: %v", name, err))
		}
	}
	klog.SetOutput(w)
}

// Flush writes buffered events.
func Flush() { klog.Flush() }

// fields returns the key-value pairs with the component first and control characters in values escaped.
func (l Logger) fields(kv []any) []any {
	out := make([]any, 0, len(kv)+2)
	if l.component != "" {
		out = append(out, "component", l.component)
	}
	for i, v := range kv {
		if i%2 == 0 {
			out = append(out, v)
			continue
		}
		out = append(out, escapeControls(fmt.Sprint(v)))
	}
	return out
}

// escapeControls escapes control characters and line separators, so that an event stays on one line.
func escapeControls(s string) string {
	if !strings.ContainsFunc(s, isControl) {
		return s
	}
	q := strconv.Quote(s)
	return q[1 : len(q)-1]
}

func isControl(r rune) bool {
	return r < ' ' || r == 0x7f || r == 0x85 || r == 0x2028 || r == 0x2029
}

type escapedError string

// Error implements error.
func (e escapedError) Error() string { return string(e) }
