package main

import (
	"errors"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

// TestRequestsAheadAreBounded guards against requests that a caller sends ahead of their answers and that the kernel keeps for the
// process: over many connections they take more memory than the process itself.
func TestRequestsAheadAreBounded(t *testing.T) {
	const (
		sendBuffer = 16 << 10
		// bound covers the buffers of both ends as the kernel doubles them, and what the server reads ahead.
		bound = 2*callerReceiveBuffer + 2*sendBuffer + 16<<10
	)
	s := newCrowdStand(t, []ordinaryRequest{{"callers", http.MethodPost, "/o/1", "b", "1"}})
	s.startForward(serveCrowdUpstream, nil, "")
	t.Cleanup(s.check)
	s.mustServe("at the start")
	c, err := net.Dial("tcp4", s.addresses["callers"])
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if err := c.(*net.TCPConn).SetWriteBuffer(sendBuffer); err != nil {
		t.Fatal(err)
	}
	// The first request isn't answered, so that nothing behind it is served.
	head := "GET /o/wait HTTP/1.1\r\nHost: h\r\nX-Request-Id: ahead\r\nX-Pad: " + strings.Repeat("a", 3000) + "\r\n\r\n"
	if err := c.SetWriteDeadline(time.Now().Add(2 * time.Second)); err != nil {
		t.Fatal(err)
	}
	n, err := c.Write([]byte(strings.Repeat(head, 1000)))
	if !errors.Is(err, os.ErrDeadlineExceeded) || n > bound {
		t.Errorf("got %d bytes taken and %v, want at most %d and the time limit", n, err, bound)
	}
	s.mustServe("meanwhile")
}
