package main

import (
	"bytes"
	"fmt"
	"net"
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
	send  func(c net.Conn, p crowdPlace)
}

// crowdPlace is where a crowd connects.
type crowdPlace struct {
	name, listener, path string
	// waitPath and bigPath are answered late and at length on a route; elsewhere they are the same as path.
	waitPath, bigPath string
}

func crowdPlaces() []crowdPlace {
	return []crowdPlace{
		{"route", "callers", "/o/1", "/o/wait", "/o/big"},
		{"no route", "callers", "/none/1", "/none/1", "/none/1"},
		{"readiness", "readiness", "/ready", "/ready", "/ready"},
		{"addresses", "addresses", "/resolve", "/resolve", "/resolve"},
		{"metrics", "metrics", "/metrics", "/metrics", "/metrics"},
		{"peers", "peers", "/", "/", "/"},
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

// chunks returns a body of n bytes in chunks, without its end.
func chunks(n int) []byte {
	var b bytes.Buffer
	for n > 0 {
		size := min(n, 1000)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", size, strings.Repeat("b", size))
		n -= size
	}
	return b.Bytes()
}

// crowdKinds returns the kinds of crowd that the operators name. Their sizes are chosen so that the code without bounds
// exceeds crowdMemoryMB or crowdMaxFDs by at least one of them.
func crowdKinds() []crowdKind {
	body := bytes.Repeat([]byte("b"), crowdBodyBytes-1)
	chunked := chunks(crowdBodyBytes - 1)
	long := bytes.Repeat([]byte("b"), 4<<20)
	longChunked := chunks(4 << 20)
	legalFields, farFields := shortFields(14_000), shortFields(200_000)
	lengthOf := func(n int) string { return "Content-Length: " + strconv.Itoa(n) + "\r\n\r\n" }
	const chunkedHead = "Transfer-Encoding: chunked\r\n\r\n"
	write := func(c net.Conn, b string) { _, _ = c.Write([]byte(b)) }
	return []crowdKind{
		{"legal body without its last byte", 400, true, func(c net.Conn, p crowdPlace) {
			write(c, crowdHead("POST", p.path)+lengthOf(crowdBodyBytes))
			_, _ = c.Write(body)
		}},
		{"legal body in pieces without its last byte", 400, true, func(c net.Conn, p crowdPlace) {
			write(c, crowdHead("POST", p.path)+lengthOf(crowdBodyBytes))
			writePieces(c, body, 8<<10, time.Millisecond)
		}},
		{"chunked body without its end", 400, true, func(c net.Conn, p crowdPlace) {
			write(c, crowdHead("POST", p.path)+chunkedHead)
			_, _ = c.Write(chunked)
		}},
		{"body far over the limit", 100, true, func(c net.Conn, p crowdPlace) {
			write(c, crowdHead("POST", p.path)+lengthOf(1<<30))
			_, _ = c.Write(long)
		}},
		{"chunked body far over the limit", 100, true, func(c net.Conn, p crowdPlace) {
			write(c, crowdHead("POST", p.path)+chunkedHead)
			_, _ = c.Write(longChunked)
		}},
		{"legal head of short fields", 400, true, func(c net.Conn, p crowdPlace) {
			write(c, crowdHead("GET", p.waitPath)+legalFields+"\r\n")
		}},
		{"legal head of short fields without its end", 400, true, func(c net.Conn, p crowdPlace) {
			write(c, crowdHead("GET", p.path)+legalFields)
		}},
		{"head of short fields far over the limit", 150, true, func(c net.Conn, p crowdPlace) {
			write(c, crowdHead("GET", p.path)+farFields)
		}},
		{"pipelined requests, answers not read", 100, false, func(c net.Conn, p crowdPlace) {
			write(c, strings.Repeat(crowdHead("GET", p.bigPath)+"\r\n", 1000))
		}},
		{"silent connections", 400, true, func(net.Conn, crowdPlace) {}},
		{"slow heads", 400, true, func(c net.Conn, p crowdPlace) {
			writePieces(c, []byte(crowdHead("GET", p.path))[:10], 1, 100*time.Millisecond)
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
	for _, p := range crowdPlaces() {
		for _, k := range crowdKinds() {
			if !cheapAt(p.name, k.name) {
				continue
			}
			t.Run(p.name+"/"+k.name, func(t *testing.T) {
				s := startCrowdStand(t)
				c := startCrowd(k.members, s.addresses[p.listener], func(nc net.Conn) { k.send(nc, p) }, k.reads)
				defer c.end()
				s.settle()
				s.mustServe("during the crowd")
				c.end()
				s.mustServe("after the crowd")
			})
		}
	}
}
