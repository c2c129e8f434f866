package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var nextID atomic.Int64

// NewID returns a request id.
func NewID() string { return fmt.Sprintf("9c41d07b%08x", nextID.Add(1)) }

// Answer is what a client saw.
type Answer struct {
	ID, Path string
	Sent     time.Time
	Took     time.Duration
	Status   int
	Header   http.Header
	Body     []byte
	Err      error
}

// Head returns the head of a request.
func Head(method, path, id string, deadlineMS int, more string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: leno12.example\r\nX-Request-Id: %s\r\nX-Request-Deadline: %d\r\n%s\r\n", method, path, id, deadlineMS, more)
}

// ReadAnswer reads one answer.
func ReadAnswer(c net.Conn, r *bufio.Reader, method string, a *Answer, limit time.Duration) {
	c.SetReadDeadline(time.Now().Add(limit))
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		a.Err = err
		a.Took = time.Since(a.Sent)
		return
	}
	a.Status, a.Header = resp.StatusCode, resp.Header
	a.Body, a.Err = io.ReadAll(resp.Body)
	a.Took = time.Since(a.Sent)
}

// Get sends one request on a new connection.
func Get(addr, path string, deadlineMS int) *Answer {
	a := &Answer{ID: NewID(), Path: path, Sent: time.Now()}
	c, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		a.Err = err
		return a
	}
	defer c.Close()
	if _, a.Err = io.WriteString(c, Head("GET", path, a.ID, deadlineMS, "")); a.Err != nil {
		return a
	}
	ReadAnswer(c, bufio.NewReader(c), "GET", a, time.Duration(deadlineMS)*time.Millisecond+time.Second)
	return a
}
