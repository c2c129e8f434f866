package main

import (
	"bytes"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// crowdKind is a way in which callers that the project doesn't control use up an instance.
type crowdKind struct {
	name    string
	members int
	// reads says that the members read answers; the others never do.
	reads bool
	send  func(c net.Conn)
}

// crowdPlace is where a crowd connects.
type crowdPlace struct {
	name, listener, path string
	// waitPath and bigPath are answered late and at length on a route; elsewhere they are the same as path.
	waitPath, bigPath string
	// fields are header fields of each request, bodyStart the start of each body.
	fields, bodyStart string
}

// head returns the start of a request, without the end of its head.
func (p crowdPlace) head(method, path string) string { return crowdHead(method, path) + p.fields }

// body returns n bytes that aren't a whole body.
func (p crowdPlace) body(n int) []byte {
	return append([]byte(p.bodyStart), bytes.Repeat([]byte("b"), n-len(p.bodyStart))...)
}

func crowdPlaces() []crowdPlace {
	return []crowdPlace{
		{"route", "callers", "/o/1", "/o/wait", "/o/big", "", ""},
		{"no route", "callers", "/none/1", "/none/1", "/none/1", "", ""},
		{"readiness", "readiness", "/ready", "/ready", "/ready", "", ""},
		{"addresses", "addresses", "/resolve", "/resolve", "/resolve", "", ""},
		{"metrics", "metrics", "/metrics", "/metrics", "/metrics", "", ""},
		{"peers", "peers", "/", "/", "/", "", ""},
	}
}

// crowdHead returns the start of a request, without the end of its head.
func crowdHead(method, path string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: crowd\r\n"
}

// shortFields returns different header fields of the given total length, as short as they get.
func shortFields(length int) string {
	var b strings.Builder
	for i := int64(0); b.Len() < length; i++ {
		b.WriteString("x" + strconv.FormatInt(i, 36) + ":\r\n")
	}
	return b.String()
}

// writePieces writes b in pieces of n bytes.
func writePieces(c net.Conn, b []byte, n int, pause time.Duration) {
	for len(b) > 0 {
		n := min(n, len(b))
		if _, err := c.Write(b[:n]); err != nil {
			return
		}
		b = b[n:]
		time.Sleep(pause)
	}
}

// chunks returns a body in chunks, without its end.
func chunks(body []byte) []byte {
	var b bytes.Buffer
	for part := range slices.Chunk(body, 1000) {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(part), part)
	}
	return b.Bytes()
}

// crowdKinds returns the kinds of crowd that the operators name. Their sizes are chosen so that the code without bounds
// exceeds crowdMemoryMB or crowdMaxFDs by at least one of them.
func crowdKinds(p crowdPlace) []crowdKind {
	body := p.body(crowdBodyBytes - 1)
	chunked := chunks(body)
	long := p.body(4 << 20)
	longChunked := chunks(long)
	legalFields, farFields := shortFields(14_000), shortFields(200_000)
	lengthOf := func(n int) string { return "Content-Length: " + strconv.Itoa(n) + "\r\n\r\n" }
	const chunkedHead = "Transfer-Encoding: chunked\r\n\r\n"
	write := func(c net.Conn, b string) { _, _ = c.Write([]byte(b)) }
	return []crowdKind{
		{"legal body without its last byte", 400, true, func(c net.Conn) {
			write(c, p.head("POST", p.path)+lengthOf(crowdBodyBytes))
			_, _ = c.Write(body)
		}},
		{"legal body in pieces without its last byte", 400, true, func(c net.Conn) {
			write(c, p.head("POST", p.path)+lengthOf(crowdBodyBytes))
			writePieces(c, body, 8<<10, time.Millisecond)
		}},
		{"chunked body without its end", 400, true, func(c net.Conn) {
			write(c, p.head("POST", p.path)+chunkedHead)
			_, _ = c.Write(chunked)
		}},
		{"short body without its last byte", 400, true, func(c net.Conn) {
			write(c, p.head("POST", p.path)+lengthOf(200))
			_, _ = c.Write(body[:199])
		}},
		{"body far over the limit", 100, true, func(c net.Conn) {
			write(c, p.head("POST", p.path)+lengthOf(1<<30))
			_, _ = c.Write(long)
		}},
		{"chunked body far over the limit", 100, true, func(c net.Conn) {
			write(c, p.head("POST", p.path)+chunkedHead)
			_, _ = c.Write(longChunked)
		}},
		{"legal head of short fields", 400, true, func(c net.Conn) {
			write(c, p.head("GET", p.waitPath)+legalFields+"\r\n")
		}},
		{"legal head of short fields without its end", 400, true, func(c net.Conn) {
			write(c, p.head("GET", p.path)+legalFields)
		}},
		{"head of short fields far over the limit", 150, true, func(c net.Conn) {
			write(c, p.head("GET", p.path)+farFields)
		}},
		{"pipelined requests, answers not read", 100, false, func(c net.Conn) {
			write(c, strings.Repeat(p.head("GET", p.bigPath)+"\r\n", 1000))
		}},
		{"silent connections", 400, true, func(net.Conn) {}},
		{"slow heads", 400, true, func(c net.Conn) {
			writePieces(c, []byte(p.head("GET", p.path))[:10], 1, 100*time.Millisecond)
		}},
	}
}

// cheapAt says which kinds are used at the places that serve no callers.
func cheapAt(place, kind string) bool {
	switch place {
	case "metrics":
		return strings.HasSuffix(kind, "not read") || strings.Contains(kind, "far over")
	case "peers":
		return kind == "silent connections" || kind == "slow heads"
	default:
		return true
	}
}

// TestCrowds guards against callers that end an instance, or keep it from serving others, by connections, heads, bodies
// and answers that they don't finish. Each subtest has a process of its own; they run one after the other.
func TestCrowds(t *testing.T) {
	if testing.Short() {
		t.Skip("starts many processes")
	}
	runCrowds(t, crowdPlaces(), startCrowdStand)
}

// runCrowds runs each kind of crowd at each place, against a process of its own.
func runCrowds(t *testing.T, places []crowdPlace, start func(*testing.T) *crowdStand) {
	for _, p := range places {
		for _, k := range crowdKinds(p) {
			if !cheapAt(p.name, k.name) {
				continue
			}
			t.Run(p.name+"/"+k.name, func(t *testing.T) {
				s := start(t)
				c := startCrowd(k.members, s.addresses[p.listener], k.send, k.reads)
				defer c.end()
				s.settle()
				s.mustServe("during the crowd")
				c.end()
				s.mustServe("after the crowd")
			})
		}
	}
}
