package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"time"
)

// answer is what a client has received; status is 0 if the connection ended without a complete answer.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
	took   time.Duration
}

// client sends requests of one client; it never repeats one by itself.
type client struct {
	http *http.Client
}

func newClient() *client {
	return &client{http: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 8}}}
}

// newID returns the id of a client attempt.
func newID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// send sends one client attempt and returns its answer.
func (c *client) send(ctx context.Context, method, address, host, path, id string, body []byte, deadline time.Duration) answer {
	ctx, cancel := context.WithTimeout(ctx, deadline+time.Second)
	defer cancel()
	var rd io.Reader
	if body != nil {
		// The wrapper hides GetBody, so that the transport doesn't send the request again.
		rd = struct{ io.Reader }{bytes.NewReader(body)}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, rd)
	if err != nil {
		return answer{err: err}
	}
	if body != nil {
		req.ContentLength = int64(len(body))
	}
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Request-Deadline", strconv.FormatInt(deadline.Milliseconds(), 10))
	began := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, header: resp.Header, body: string(b), err: err, took: time.Since(began)}
	if err != nil {
		a.status = 0
	}
	return a
}
