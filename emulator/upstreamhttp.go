package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"carobbend.example/carobbend"
)

// Headers and paths of the upstream protocol.
const (
	HeaderRequestID     = "X-Request-Id"
	HeaderDeadline      = "X-Deadline-Ms"
	HeaderSnapshot      = "X-Snapshot"
	HeaderShard         = "X-Shard"
	HeaderShards        = "X-Shards"
	HeaderUpstreamState = "X-Upstream-State"
	HeaderLoad          = "endpoint-load-metrics"
	HeaderOperationKey  = "X-Operation-Key"
	StateLeaving        = "leaving"

	shardPrefix     = "/v1/shards/"
	searchSuffix    = "/search"
	statusPath      = "/v1/status"
	operationPrefix = "/v1/operations/"
	maxBodyBytes    = 1 << 20
)

// SearchBody is the body of POST /v1/shards/SHARD/search.
type SearchBody struct {
	Index string `json:"index"`
	Text  string `json:"text"`
	Limit int    `json:"limit"`
}

// SearchReply is the body of its reply.
type SearchReply struct {
	Items []carobbend.Item `json:"items"`
}

// StatusReply is the body of GET /v1/status.
type StatusReply struct {
	ID       carobbend.UpstreamID `json:"id"`
	Leaving  bool                 `json:"leaving"`
	Load     float64              `json:"load"`
	Holdings []Holding            `json:"holdings"`
}

// ServeHTTP serves searches, operations and the status.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if u.Leaving() {
		w.Header().Set(HeaderUpstreamState, StateLeaving)
	}
	path := r.URL.Path
	if shard, ok := strings.CutPrefix(path, shardPrefix); ok && r.Method == http.MethodPost {
		u.serveSearch(w, r, strings.TrimSuffix(shard, searchSuffix))
		return
	}
	if name, ok := strings.CutPrefix(path, operationPrefix); ok && r.Method == http.MethodPost {
		u.serveOperation(w, r, name)
		return
	}
	if path == statusPath {
		writeJSON(w, StatusReply{ID: u.cfg.ID, Leaving: u.Leaving(), Load: u.Load(), Holdings: u.Holdings()})
		return
	}
	http.NotFound(w, r)
}

func (u *Upstream) serveSearch(w http.ResponseWriter, r *http.Request, shard string) {
	req, err := searchRequest(r, shard)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply, err := u.Search(r.Context(), req)
	h := w.Header()
	h.Set(HeaderRequestID, req.ID)
	h.Set(HeaderSnapshot, strconv.FormatUint(uint64(req.Ref.Snapshot), 10))
	h.Set(HeaderShard, strconv.Itoa(req.Ref.Shard))
	h.Set(HeaderShards, strconv.Itoa(req.Ref.Shards))
	h.Set(HeaderLoad, fmt.Sprintf("TEXT application_utilization=%.3f", u.Load()))
	if err != nil {
		writeSendError(w, err)
		return
	}
	writeJSON(w, SearchReply{Items: reply.Items})
}

func searchRequest(r *http.Request, shard string) (carobbend.ShardRequest, error) {
	var body SearchBody
	req := carobbend.ShardRequest{ID: r.Header.Get(HeaderRequestID)}
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&body); err != nil {
		return req, fmt.Errorf("body: %w", err)
	}
	n, err := strconv.Atoi(shard)
	if err != nil {
		return req, fmt.Errorf("shard: %w", err)
	}
	shards, err := strconv.Atoi(r.Header.Get(HeaderShards))
	if err != nil {
		return req, fmt.Errorf("%s: %w", HeaderShards, err)
	}
	snapshot, err := strconv.ParseUint(r.Header.Get(HeaderSnapshot), 10, 64)
	if err != nil {
		return req, fmt.Errorf("%s: %w", HeaderSnapshot, err)
	}
	req.Ref = carobbend.ShardRef{Index: body.Index, Snapshot: carobbend.SnapshotID(snapshot), Shard: n, Shards: shards}
	req.Text, req.Limit, req.Deadline = body.Text, body.Limit, deadlineOf(r)
	return req, nil
}

func (u *Upstream) serveOperation(w http.ResponseWriter, r *http.Request, name string) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	op := carobbend.Operation{Key: r.Header.Get(HeaderOperationKey), Name: name, Body: body, Deadline: deadlineOf(r)}
	// An operation that was received runs even if the connection ends meanwhile.
	answer, err := u.Execute(context.WithoutCancel(r.Context()), op)
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	if err != nil {
		writeSendError(w, err)
		return
	}
	writeJSON(w, answer)
}

func deadlineOf(r *http.Request) time.Time {
	ms, err := strconv.ParseFloat(r.Header.Get(HeaderDeadline), 64)
	if err != nil {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(ms * float64(time.Millisecond)))
}

func writeSendError(w http.ResponseWriter, err error) {
	switch carobbend.KindOf(err) {
	case carobbend.FailureShed, carobbend.FailureLeaving:
		w.Header().Set("Retry-After", "1")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case carobbend.FailureSnapshotGone:
		http.Error(w, err.Error(), http.StatusGone)
	case carobbend.FailureDeadline:
		http.Error(w, err.Error(), http.StatusGatewayTimeout)
	default:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}
