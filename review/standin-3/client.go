//go:build review3

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// answer is what a client got.
type answer struct {
	id, address string
	sent, ended time.Time
	status      int
	header      http.Header
	body        []byte
	err         error
}

// client keeps connections to one instance, one request at a time on each.
type client struct {
	address string
	mu      sync.Mutex
	idle    []*clientConn
}

type clientConn struct {
	net.Conn
	r     *bufio.Reader
	since time.Time
}

func (c *client) conn() (*clientConn, error) {
	c.mu.Lock()
	for len(c.idle) > 0 {
		k := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if time.Since(k.since) < 4*time.Second {
			c.mu.Unlock()
			return k, nil
		}
		_ = k.Close()
	}
	c.mu.Unlock()
	nc, err := net.DialTimeout("tcp4", c.address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: nc, r: bufio.NewReader(nc)}, nil
}

// do sends one request and reads its answer.
func (c *client) do(method, host, path, id string, deadline time.Duration, header map[string]string, body string) answer {
	a := answer{id: id, address: c.address, sent: time.Now()}
	c.exchange(&a, method, host, path, deadline, header, body)
	a.ended = time.Now()
	return a
}

func (c *client) exchange(a *answer, method, host, path string, deadline time.Duration, header map[string]string, body string) {
	k, err := c.conn()
	if err != nil {
		a.err = err
		return
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Request-Deadline: %d\r\n", method, path, host, a.id, deadline.Milliseconds())
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	_ = k.SetDeadline(time.Now().Add(deadline + 500*time.Millisecond))
	a.sent = time.Now()
	if _, err := io.WriteString(k, b.String()); err != nil {
		a.err = err
		_ = k.Close()
		return
	}
	resp, err := http.ReadResponse(k.r, &http.Request{Method: method})
	if err != nil {
		a.err = err
		_ = k.Close()
		return
	}
	a.status, a.header = resp.StatusCode, resp.Header
	a.body, a.err = io.ReadAll(resp.Body)
	if a.err != nil || resp.Close || k.r.Buffered() > 0 {
		_ = k.Close()
		return
	}
	k.since = time.Now()
	c.mu.Lock()
	c.idle = append(c.idle, k)
	c.mu.Unlock()
}

func (c *client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.idle {
		_ = k.Close()
	}
	c.idle = nil
}
