package carobbend

import "encoding/json"

// Paths and headers of the caller API.
const (
	PathQuery      = "/v1/query"
	PathOperations = "/v1/operations"
	PathAddresses  = "/v1/addresses"
	// HeaderRequestID holds an id that the caller chooses, at most MaxRequestID printable ASCII characters. The reply
	// repeats it.
	HeaderRequestID = "X-Request-Id"
)

// MaxRequestID is the greatest length of a caller's request id in bytes.
const MaxRequestID = 64

// QueryRequest is the body of POST /v1/query.
type QueryRequest struct {
	Index string `json:"index"`
	Text  string `json:"text"`
	// Limit is the number of items wanted; 0 means DefaultLimit.
	Limit int `json:"limit,omitempty"`
	// DeadlineMs is the time the answer may take in milliseconds; the rule of the index applies if it is 0 or more than the
	// rule allows.
	DeadlineMs float64 `json:"deadline-ms,omitempty"`
}

// QueryReply is the body of the reply to POST /v1/query with status 200 or 503.
type QueryReply struct {
	Answer
	// RequestID repeats the caller's request id.
	RequestID string `json:"request-id,omitempty"`
	// ItemCount is the number of items, so that a caller can detect a truncated list.
	ItemCount int `json:"item-count"`
	// OtherAddresses holds the addresses of instances that a refused caller may try.
	OtherAddresses []string `json:"other-addresses,omitempty"`
}

// OperationRequest is the body of POST /v1/operations.
type OperationRequest struct {
	// Key is the idempotency key, a ULID chosen by the caller.
	Key string `json:"key"`
	// Operation is the name in the settings.
	Operation string          `json:"operation"`
	Body      json.RawMessage `json:"body,omitempty"`
	// DeadlineMs is the time the result may take in milliseconds; 0 means 5 s.
	DeadlineMs float64 `json:"deadline-ms,omitempty"`
}

// OperationReply is the body of the reply to POST /v1/operations and GET /v1/operations/KEY.
type OperationReply struct {
	OperationResult
	// RequestID repeats the caller's request id.
	RequestID string `json:"request-id,omitempty"`
	// OtherAddresses holds the addresses of instances that a refused caller may try.
	OtherAddresses []string `json:"other-addresses,omitempty"`
}

// AddressesReply is the body of the reply to GET /v1/addresses.
type AddressesReply struct {
	Addresses
	// RequestID repeats the caller's request id.
	RequestID string `json:"request-id,omitempty"`
}

// ErrorReply is the body of an error reply that has no outcome.
type ErrorReply struct {
	Error     string `json:"error"`
	RequestID string `json:"request-id,omitempty"`
}
