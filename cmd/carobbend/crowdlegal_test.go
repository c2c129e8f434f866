package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestRequestsInsideLimits guards against refusing ordinary callers: requests at the limits of the routing are served when
// nothing else goes on, also one after the other and in pipelined pairs on one connection.
func TestRequestsInsideLimits(t *testing.T) {
	s := startCrowdStand(t)
	body := strings.Repeat("b", crowdBodyBytes)
	withLength := fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBodyBytes)
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	// A head ends with an empty line.
	longHead := crowdHead("GET", "/o/1") + "A: "
	longHead += strings.Repeat("a", crowdHeaderBytes-len(longHead)-4) + "\r\n\r\n"
	fields := crowdHead("GET", "/o/1")
	fields += shortFields(crowdHeaderBytes - len(fields) - 10)
	fields += "\r\n"
	if len(longHead) != crowdHeaderBytes || len(fields) > crowdHeaderBytes {
		t.Fatalf("heads: got %d and %d bytes, want at most %d", len(longHead), len(fields), crowdHeaderBytes)
	}
	small := crowdHead("POST", "/o/1") + "Content-Length: 2\r\n\r\nab"
	for _, x := range []struct {
		name string
		// sent in turn; the pieces are written with a pause.
		requests []string
		pieces   int
		pause    time.Duration
		bodies   []string
	}{
		{"body in one piece", []string{crowdHead("POST", "/o/1") + withLength + body}, 1 << 20, 0, []string{"262144"}},
		{"body in pieces", []string{crowdHead("POST", "/o/1") + withLength + body}, 2 << 10, 5 * time.Millisecond, []string{"262144"}},
		{"body in chunks", []string{crowdHead("POST", "/o/1") + chunked + string(chunks([]byte(body))) + "0\r\n\r\n"}, 1 << 20, 0, []string{"262144"}},
		{"body of line ends", []string{crowdHead("POST", "/o/1") + withLength + strings.Repeat("\n", crowdBodyBytes)}, 1 << 20, 0, []string{"262144"}},
		{"long head", []string{longHead}, 1 << 20, 0, []string{"0"}},
		{"long head in pieces", []string{longHead}, 1000, 10 * time.Millisecond, []string{"0"}},
		{"head of short fields", []string{fields}, 1 << 20, 0, []string{"0"}},
		{"one after the other", []string{fields, small, longHead, small}, 1 << 20, 0, []string{"0", "2", "0", "2"}},
		{"pipelined pair", []string{small + small, fields + longHead}, 1 << 20, 0, []string{"2", "2", "0", "0"}},
		{"pipelined after a body", []string{crowdHead("POST", "/o/1") + withLength + body + longHead}, 1 << 20, 0, []string{"262144", "0"}},
	} {
		t.Run(x.name, func(t *testing.T) {
			nc, err := net.Dial("tcp4", s.addresses["callers"])
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = nc.Close() }()
			if err := nc.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
				t.Fatal(err)
			}
			r := bufio.NewReader(nc)
			want := x.bodies
			for _, request := range x.requests {
				writePieces(nc, []byte(request), x.pieces, x.pause)
				for range len(x.bodies) / len(x.requests) {
					resp, err := http.ReadResponse(r, nil)
					if err != nil {
						t.Fatal(err)
					}
					b, err := io.ReadAll(resp.Body)
					_ = resp.Body.Close()
					if err != nil || resp.StatusCode != http.StatusOK || string(b) != want[0] {
						t.Fatalf("got %d %q, %v, want 200 %q", resp.StatusCode, b, err, want[0])
					}
					want = want[1:]
				}
			}
			if len(want) > 0 {
				t.Errorf("answers missing: %v", want)
			}
		})
	}
}
