package connector

import "carobbend.example/carobbend"

// Headers of the upstream protocol; a reply repeats those that identify the request and the shard.
const (
	HeaderRequestID = "X-Request-Id"
	// HeaderDeadline is the time left in milliseconds.
	HeaderDeadline      = "X-Deadline-Ms"
	HeaderSnapshot      = "X-Snapshot"
	HeaderShard         = "X-Shard"
	HeaderShards        = "X-Shards"
	HeaderUpstreamState = "X-Upstream-State"
	// HeaderLoad carries an ORCA load report in its text form.
	HeaderLoad         = "Endpoint-Load-Metrics"
	HeaderOperationKey = "X-Operation-Key"
	// StateLeaving is the value of HeaderUpstreamState of an upstream that accepts no new work.
	StateLeaving = "leaving"
)

// Paths of the upstream protocol.
const (
	ShardPrefix     = "/v1/shards/"
	SearchSuffix    = "/search"
	StatusPath      = "/v1/status"
	OperationPrefix = "/v1/operations/"
)

// MaxBodyBytes bounds the body of a request or reply.
const MaxBodyBytes = 1 << 20

// SearchBody is the body of POST /v1/shards/SHARD/search.
type SearchBody struct {
	Index string `json:"index"`
	Text  string `json:"text"`
	Limit int    `json:"limit"`
}

// SearchReply is the body of the reply to a search.
type SearchReply struct {
	Items []carobbend.Item `json:"items"`
}

// StatusReply is the body of the reply to GET /v1/status.
type StatusReply struct {
	ID       carobbend.UpstreamID `json:"id"`
	Leaving  bool                 `json:"leaving"`
	Load     float64              `json:"load"`
	Holdings []carobbend.Holding  `json:"holdings"`
}
