// Package requester sends queries and operations to the query tier on behalf of a caller.
//
// It asks the tier which instances to use, caches the answer for its validity, and connects to them directly. It checks
// that each reply is complete and belongs to its request. Only safe retries are sent: of requests refused as not-run, of
// queries whose connection failed, and of operations whose connection failed, the latter always under the same key.
//
// # Usage
//
//	r, err := requester.New(requester.Config{Instances: []string{"127.0.0.1:7100"}, Token: token})
//	a, err := r.Query(ctx, carobbend.QueryRequest{Index: "sales-desk", Text: "bar stool"})
//	if err == nil && a.Outcome == carobbend.OutcomePartial {
//		// a.Missing lists the shards that the answer doesn't cover
//	}
package requester

import "fmt"

// ErrorKind is the kind of an Error.
type ErrorKind string

const (
	// KindConfig says that the configuration is incomplete.
	KindConfig ErrorKind = "config"
	// KindConnect says that no instance replied.
	KindConnect ErrorKind = "connect"
	// KindRefused says that an instance refused the request as invalid or unauthorized.
	KindRefused ErrorKind = "refused"
	// KindReply says that a reply was truncated or belonged to another request.
	KindReply ErrorKind = "reply"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	// Address is the instance that the request was sent to.
	Address string
	Err     error
}

// Error implements error.
func (e *Error) Error() string {
	s := e.Op
	if e.Address != "" {
		s += " at " + e.Address
	}
	return fmt.Sprintf("%s: %s: %v", s, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
