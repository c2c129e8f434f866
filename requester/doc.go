// Package requester sends queries and operations to the query tier on behalf of a caller.
//
// It asks the tier which instances to use, keeps the answer for the time told, and connects to them directly. Each
// reply is checked to be whole and to belong to its request. Only what is safe is sent again: requests refused as
// not-run, queries whose connection failed, and operations whose connection failed, these under the same key alone.
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

// ErrorKind says what went wrong.
type ErrorKind string

const (
	// KindConfig says that the configuration is incomplete.
	KindConfig ErrorKind = "config"
	// KindConnect says that no instance replied.
	KindConnect ErrorKind = "connect"
	// KindRefused says that an instance refused the request as wrong or unauthorized.
	KindRefused ErrorKind = "refused"
	// KindReply says that a reply was truncated or belonged to another request.
	KindReply ErrorKind = "reply"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	// Address is the instance concerned.
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
