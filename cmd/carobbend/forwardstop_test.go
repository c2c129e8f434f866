package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// stopRequests records what became of the requests to a stopping instance, by their ids.
type stopRequests struct {
	mu sync.Mutex
	// received holds those that the upstream got, statuses the complete answers and cut the connections that ended without one.
	received map[string]bool
	statuses map[string]int
	cut      map[string]error
	// refused holds an element from the first refusal on.
	refused chan struct{}
}

func (s *stopRequests) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.received[r.Header.Get("X-Request-Id")] = true
	s.mu.Unlock()
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Response-Seal", "seal")
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(100 * time.Millisecond)
}

// send sends a request that must not run twice, and reports whether it got a complete answer.
func (s *stopRequests) send(c *http.Client, address, id string, body io.Reader) bool {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/n/1", body)
	if err != nil {
		panic(err)
	}
	// The transport must not send it again by itself.
	r.GetBody = nil
	r.Host = "h"
	r.Header.Set("X-Request-Id", id)
	resp, err := c.Do(r)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.cut[id] = err
		return false
	}
	s.statuses[id] = resp.StatusCode
	if resp.StatusCode == http.StatusServiceUnavailable && len(s.refused) == 0 {
		s.refused <- struct{}{}
	}
	return true
}

// TestStoppingForwardAnswersWhatItSent guards against requests that come late in the grace period, are sent to an upstream, and are cut
// off when the process ends; and against one that ran although its refusal says that it didn't.
func TestStoppingForwardAnswersWhatItSent(t *testing.T) {
	requests := &stopRequests{received: map[string]bool{}, statuses: map[string]int{}, cut: map[string]error{}, refused: make(chan struct{}, 1)}
	s := newCrowdStand(t, []ordinaryRequest{{"callers", http.MethodPost, "/o/1", "b", ""}})
	const grace = 2 * time.Second
	s.startForward(requests.serve, nil, "stop-grace: "+grace.String())
	s.mustServe("at the start")
	address := s.addresses["callers"]
	var callers sync.WaitGroup
	for i := range 12 {
		callers.Go(func() {
			c := &http.Client{Transport: &http.Transport{}}
			defer c.CloseIdleConnections()
			for n := 0; requests.send(c, address, fmt.Sprintf("kept-%d-%d", i, n), strings.NewReader("b")); n++ {
				time.Sleep(time.Millisecond)
			}
		})
	}
	// The bodies of these end after the instance began to refuse.
	for i := range 8 {
		callers.Go(func() {
			body, w := io.Pipe()
			go func() {
				_, _ = io.WriteString(w, "b")
				for len(requests.refused) == 0 {
					time.Sleep(time.Millisecond)
				}
				_ = w.Close()
			}()
			requests.send(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, address, fmt.Sprintf("body-%d", i), body)
		})
	}
	time.Sleep(grace / 10)
	s.instance.signal(syscall.SIGTERM)
	callers.Wait()
	<-s.instance.done
	if got := s.instance.wait(); got != exitOK {
		t.Errorf("exit code: got %d, want 0", got)
	}
	for i := range 8 {
		id := fmt.Sprintf("body-%d", i)
		if requests.received[id] || requests.statuses[id] != http.StatusServiceUnavailable {
			t.Errorf("%s, which was whole after others were refused: got %d, received by the upstream %v, want 503 and false",
				id, requests.statuses[id], requests.received[id])
		}
	}
	served := 0
	for id, status := range requests.statuses {
		switch {
		case status == http.StatusOK:
			served++
		case status == http.StatusServiceUnavailable && requests.received[id]:
			t.Errorf("%s: got 503, which says that it didn't run, but the upstream got it", id)
		}
	}
	for id, err := range requests.cut {
		if requests.received[id] {
			t.Errorf("%s: the upstream got it, and its caller got no answer: %v", id, err)
		}
	}
	t.Logf("served %d of %d, %d without an answer", served, len(requests.statuses)+len(requests.cut), len(requests.cut))
	if served == 0 {
		t.Error("no request was served")
	}
}
