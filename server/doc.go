// Package server serves callers and administrators over HTTP.
//
// The caller API runs queries and operations for authenticated callers and tells them which instances to use. The
// admin API has its own listener and token. Both listeners stay open during a graceful shutdown, which runs in
// stages so that no caller loses a request: see Stage.
//
// POST /v1/traces?index=NAME&queries=N of the admin API records the next N queries of an index, and GET /v1/traces
// returns them; each element "trace" is a file for the replay command. Nothing is recorded before the first POST.
//
// # Usage
//
//	s, err := server.New(server.Config{Queries: exec, Operations: dispatcher, Rules: dist, Members: links})
//	go func() { <-sigterm; s.Drain() }()
//	err = s.Serve(callers, admin) // nil after the drain
package server

import "fmt"

// ErrorKind classifies an Error.
type ErrorKind string

const (
	// KindConfig says that the configuration is incomplete.
	KindConfig ErrorKind = "config"
	// KindListen says that a listener failed.
	KindListen ErrorKind = "listen"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("server %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
