package emulator

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"carobbend.example/carobbend"
)

const (
	kvPrefix    = "/v1/kv/"
	indexHeader = "X-Consul-Index"
	defaultWait = 5 * time.Minute
)

// kvEntry is one element of the reply to GET /v1/kv/KEY; Value is base64 in JSON.
type kvEntry struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
}

// ServeHTTP serves the store over the Consul KV HTTP API: GET with index and wait, and PUT with cas. If a reply is
// to be lost, the connection is closed after the write.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key, ok := strings.CutPrefix(r.URL.Path, kvPrefix)
	if !ok || key == "" {
		http.NotFound(w, r)
		return
	}
	switch r.Method {
	case http.MethodGet:
		s.serveGet(w, r, key)
	case http.MethodPut:
		s.servePut(w, r, key)
	default:
		http.Error(w, "expected GET or PUT", http.StatusMethodNotAllowed)
	}
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request, key string) {
	var e carobbend.Entry
	var err error
	if index := r.URL.Query().Get("index"); index != "" {
		n, perr := strconv.ParseUint(index, 10, 64)
		if perr != nil {
			http.Error(w, "index: expected a number", http.StatusBadRequest)
			return
		}
		wait, perr := time.ParseDuration(r.URL.Query().Get("wait"))
		if perr != nil {
			wait = defaultWait
		}
		e, err = s.Watch(r.Context(), key, n, wait)
	} else {
		e, err = s.Get(r.Context(), key)
	}
	if err != nil {
		writeStoreError(w, err)
		return
	}
	w.Header().Set(indexHeader, strconv.FormatUint(e.Revision, 10))
	if e.Revision == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, []kvEntry{{Key: e.Key, Value: e.Value, ModifyIndex: e.Revision}})
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request, key string) {
	cas, err := strconv.ParseUint(r.URL.Query().Get("cas"), 10, 64)
	if err != nil {
		http.Error(w, "cas: expected a number", http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes))
	if err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	swapped, err := s.CompareAndSwap(r.Context(), key, value, cas)
	if err != nil {
		writeStoreError(w, err)
		return
	}
	writeJSON(w, swapped)
}

func writeStoreError(w http.ResponseWriter, err error) {
	switch carobbend.StoreFailureOf(err) {
	case carobbend.StoreLimited:
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	case carobbend.StoreUnknown:
		// The handler ends without a reply, as if the connection were lost.
		panic(http.ErrAbortHandler)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	if _, err := w.Write(b); err != nil && !errors.Is(err, http.ErrHandlerTimeout) {
		return
	}
}
