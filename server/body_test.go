package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"carobbend.example/carobbend/limiter"
)

// TestBodyTimeout guards against a reply to an incomplete body that names addresses of the connection or repeats an empty
// request id, and against a time-out that Config.RequestTimeout doesn't set.
func TestBodyTimeout(t *testing.T) {
	s, _ := newTestServer(t)
	cfg := s.cfg
	cfg.RequestTimeout = 50 * time.Millisecond
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.callerHTTP.Serve(l) }()
	defer func() { _ = s.callerHTTP.Close() }()
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprint(c, "POST /v1/query HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer token-one\r\nContent-Length: 100\r\n\r\n")
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusRequestTimeout || !strings.Contains(string(b), "didn't arrive in time") || strings.Contains(string(b), "127.0.0.1") {
		t.Errorf("got %d %s, want 408 with what is missing and no address", resp.StatusCode, b)
	}
	if _, ok := resp.Header["X-Request-Id"]; ok {
		t.Error("got a request id, want none where the caller sent none")
	}
}

// TestRequestsWithoutMemory guards against requests that run although their memory can't be reserved, before their body or while
// it is read, and against memory that isn't returned.
func TestRequestsWithoutMemory(t *testing.T) {
	for _, limit := range []int64{requestBytes - 1, requestBytes + decodeFactor} {
		s, _ := newTestServer(t)
		cfg := s.cfg
		cfg.Memory, cfg.Arriving = limiter.NewBytes(limit), limiter.NewBytes(limit)
		s, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		r := httptest.NewRequest(http.MethodPost, "/v1/query", strings.NewReader(`{"index":"desk","text":"t"}`))
		r.Header.Set("Authorization", "Bearer token-one")
		w := httptest.NewRecorder()
		s.callerHTTP.Handler.ServeHTTP(w, r)
		if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" || !strings.Contains(w.Body.String(), errNoMemory.Error()) {
			t.Errorf("%d bytes: got %d %s, want 503 with a time and the reason", limit, w.Code, w.Body)
		}
		if got := cfg.Memory.Used() + cfg.Arriving.Used(); got != 0 {
			t.Errorf("%d bytes: got %d bytes reserved after the end, want 0", limit, got)
		}
	}
}
