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
	"carobbend.example/carobbend/connector"
)

// ServeHTTP serves searches, operations and the status.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if u.Leaving() {
		w.Header().Set(connector.HeaderUpstreamState, connector.StateLeaving)
	}
	path := r.URL.Path
	if shard, ok := strings.CutPrefix(path, connector.ShardPrefix); ok && r.Method == http.MethodPost {
		u.serveSearch(w, r, strings.TrimSuffix(shard, connector.SearchSuffix))
		return
	}
	if name, ok := strings.CutPrefix(path, connector.OperationPrefix); ok && r.Method == http.MethodPost {
		u.serveOperation(w, r, name)
		return
	}
	if path == connector.StatusPath {
		writeJSON(w, connector.StatusReply{ID: u.cfg.ID, Leaving: u.Leaving(), Load: u.Load(), Holdings: u.Holdings()})
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
	h.Set(connector.HeaderRequestID, req.ID)
	h.Set(connector.HeaderSnapshot, strconv.FormatUint(uint64(req.Ref.Snapshot), 10))
	h.Set(connector.HeaderShard, strconv.Itoa(req.Ref.Shard))
	h.Set(connector.HeaderShards, strconv.Itoa(req.Ref.Shards))
	h.Set(connector.HeaderLoad, fmt.Sprintf("TEXT application_utilization=%.3f", u.Load()))
	if err != nil {
		writeSendError(w, err)
		return
	}
	writeJSON(w, connector.SearchReply{Items: reply.Items})
}

func searchRequest(r *http.Request, shard string) (carobbend.ShardRequest, error) {
	var body connector.SearchBody
	req := carobbend.ShardRequest{ID: r.Header.Get(connector.HeaderRequestID)}
	if err := json.NewDecoder(io.LimitReader(r.Body, connector.MaxBodyBytes)).Decode(&body); err != nil {
		return req, fmt.Errorf("body: %w", err)
	}
	n, err := strconv.Atoi(shard)
	if err != nil {
		return req, fmt.Errorf("shard: %w", err)
	}
	shards, err := strconv.Atoi(r.Header.Get(connector.HeaderShards))
	if err != nil {
		return req, fmt.Errorf("%s: %w", connector.HeaderShards, err)
	}
	snapshot, err := strconv.ParseUint(r.Header.Get(connector.HeaderSnapshot), 10, 64)
	if err != nil {
		return req, fmt.Errorf("%s: %w", connector.HeaderSnapshot, err)
	}
	req.Ref = carobbend.ShardRef{Index: body.Index, Snapshot: carobbend.SnapshotID(snapshot), Shard: n, Shards: shards}
	req.Text, req.Limit, req.Deadline = body.Text, body.Limit, deadlineOf(r)
	return req, nil
}

func (u *Upstream) serveOperation(w http.ResponseWriter, r *http.Request, name string) {
	body, err := io.ReadAll(io.LimitReader(r.Body, connector.MaxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	op := carobbend.Operation{Key: r.Header.Get(connector.HeaderOperationKey), Name: name, Body: body, Deadline: deadlineOf(r)}
	// An operation that was received runs even if the connection ends meanwhile.
	answer, err := u.Execute(context.WithoutCancel(r.Context()), op)
	w.Header().Set(connector.HeaderRequestID, r.Header.Get(connector.HeaderRequestID))
	if err != nil {
		writeSendError(w, err)
		return
	}
	writeJSON(w, answer)
}

func deadlineOf(r *http.Request) time.Time {
	ms, err := strconv.ParseFloat(r.Header.Get(connector.HeaderDeadline), 64)
	if err != nil {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(ms * float64(time.Millisecond)))
}

func writeSendError(w http.ResponseWriter, err error) {
	switch carobbend.FailureKindOf(err) {
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
