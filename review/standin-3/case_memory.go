//go:build review3

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["memory"] = memoryCase }

// small is the smallest machine of the grown deployments.
var small = machine{0.192, 184}

const (
	// bigAnswer is the length of an answer in bytes, that of the longest body that the limits let a client send.
	bigAnswer = 256 << 10
	// aheadRequests is the number of requests that a connection of the crowd sends ahead, with a head of some aheadHead bytes.
	aheadRequests, aheadHead = 100, 3000
	// crowdSize is the number of connections of a crowd at a process, crowdRate how many are opened in a second.
	crowdSize, crowdRate = 1700, 300
	// endsNeeded is how often a process ends by itself for the rule, restartDelay the time until the platform starts it again.
	endsNeeded   = 3
	restartDelay = time.Second
)

// memoryCase has clients send requests ahead on their connections without reading the answers. The platform ends a process that
// exceeds its memory.
func memoryCase(s *setting) (bool, error) {
	const length = 80 * time.Second
	s.store.write("op/config", map[string]any{
		"version": 7, "limits": limits(),
		"services": []any{map[string]any{"name": "despacho", "max_connections": 580, "health_check": "/health"}},
		"routes": []any{map[string]any{
			"name": "pedido-ficha", "hostname": host, "prefix": "/ficha/", "route_type": "idempotent", "upstream": "despacho",
			"timeout_ms": 6000, "target_latency_ms": 600, "max_attempts": 2, "priority": 2,
		}},
	})
	for i := range 9 {
		if err := startBigBackend(s.store, fmt.Sprintf("i-%d", i+1)); err != nil {
			return false, err
		}
	}
	instances, err := s.startInstances(2, small)
	if err != nil {
		return false, err
	}
	end := time.Now().Add(length)
	ends := make([]int, len(instances))
	var wg sync.WaitGroup
	for i, x := range instances {
		wg.Go(func() { ends[i] = s.playCrowds(x, end) })
	}
	wg.Wait()
	broken := true
	for i, x := range instances {
		s.record.add("%s exceeded its memory %d times", x.name, ends[i])
		broken = broken && ends[i] >= endsNeeded
	}
	return broken, nil
}

// playCrowds sends a crowd to an instance, another one after each restart, and returns how often the instance was ended.
func (s *setting) playCrowds(x *instance, end time.Time) int {
	for n := 0; ; {
		stop := make(chan struct{})
		var crowd sync.WaitGroup
		var opened, sent atomic.Int64
		crowd.Go(func() { s.crowd(x, stop, &opened, &sent) })
		peak := usage{}
		exceeded := false
		for !exceeded && time.Now().Before(end) {
			time.Sleep(200 * time.Millisecond)
			u := usageOf(x.cmd.Process.Pid)
			if u.total() > peak.total() {
				peak = u
			}
			exceeded = u.total() > small.memoryMB<<10
		}
		close(stop)
		s.record.add("%s: %d connections of the crowd were opened, %d requests sent", x.name, opened.Load(), sent.Load())
		s.record.add("%s: greatest use %d KB: %d KB of its own, %d KB received and not read; limit %d KB", x.name, peak.total(), peak.own, peak.unread, small.memoryMB<<10)
		if !exceeded {
			crowd.Wait()
			a := (&client{address: x.ports["callers"]}).do(http.MethodGet, host, "/ficha/2f", "after-"+x.name, 3*time.Second, nil, "")
			s.record.add("%s: an ordinary request afterwards: %d %v", x.name, a.status, a.err)
			return n
		}
		n++
		x.kill()
		s.record.add("%s is ended for its memory", x.name)
		crowd.Wait()
		if n == endsNeeded {
			return n
		}
		time.Sleep(restartDelay)
		if err := x.start(); err != nil {
			s.record.add("%s could not be started: %v", x.name, err)
			return n
		}
		s.record.add("%s is started again, process %d", x.name, x.cmd.Process.Pid)
		time.Sleep(3 * time.Second)
	}
}

// crowd opens the connections of a crowd and keeps them open until stop is closed.
func (s *setting) crowd(x *instance, stop <-chan struct{}, opened, sent *atomic.Int64) {
	var wg sync.WaitGroup
	t := time.NewTicker(time.Second / crowdRate)
	defer t.Stop()
	pad := strings.Repeat("p", aheadHead)
	for i := range crowdSize {
		select {
		case <-t.C:
		case <-stop:
			wg.Wait()
			return
		}
		wg.Go(func() {
			c, err := net.DialTimeout("tcp4", x.ports["callers"], time.Second)
			if err != nil {
				return
			}
			opened.Add(1)
			done := make(chan struct{})
			go func() {
				select {
				case <-stop:
				case <-done:
				}
				_ = c.Close()
			}()
			defer close(done)
			r := bufio.NewReader(c)
			for n := range aheadRequests {
				_, err := fmt.Fprintf(c, "GET /ficha/2f HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s-%d-%d\r\nX-Request-Deadline: 6000\r\nX-Pad: %s\r\n\r\n", host, x.name, i, n, pad)
				if err != nil {
					return
				}
				sent.Add(1)
				if !s.trouble {
					// The same client reads each answer before its next request, two in all.
					resp, err := http.ReadResponse(r, nil)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					if n == 1 {
						break
					}
				}
			}
			<-stop
		})
	}
	wg.Wait()
}

// startBigBackend starts a backend that answers at once, with bigAnswer bytes.
func startBigBackend(s *store, id string) error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	body := bytes.Repeat([]byte("0123456789abcdef"), bigAnswer/16)
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1")
		w.Header().Set("X-Server-Load", "1,0,6")
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body)
	})
	go func() { _ = http.Serve(l, h) }()
	s.write("servers/"+id, map[string]any{
		"upstream": "despacho", "address": l.Addr().String(), "zone": "leon", "version": "1", "capacity": 6, "state": "ready",
		"warmup_left_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	return nil
}

// usage is the memory of a process in KB: its own, without the program's file, and what its sockets received and it didn't read.
type usage struct{ own, unread int }

func (u usage) total() int { return u.own + u.unread }

func usageOf(pid int) usage {
	var u usage
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for l := range strings.SplitSeq(string(status), "\n") {
		if f := strings.Fields(l); len(f) > 1 && f[0] == "RssAnon:" {
			u.own, _ = strconv.Atoi(f[1])
		}
	}
	fds, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	inodes := make(map[string]bool, len(fds))
	for _, f := range fds {
		var b [64]byte
		n, err := syscall.Readlink(fmt.Sprintf("/proc/%d/fd/%s", pid, f.Name()), b[:])
		if name, ok := strings.CutPrefix(string(b[:max(n, 0)]), "socket:["); err == nil && ok {
			inodes[strings.TrimSuffix(name, "]")] = true
		}
	}
	sockets, _ := os.ReadFile("/proc/net/tcp")
	sum := int64(0)
	for l := range strings.SplitSeq(string(sockets), "\n") {
		// The fifth field is the lengths of the send and receive queues in hexadecimal. Listening sockets have connections there.
		f := strings.Fields(l)
		if len(f) < 10 || f[3] == "0A" || !inodes[f[9]] {
			continue
		}
		_, queue, _ := strings.Cut(f[4], ":")
		n, _ := strconv.ParseInt(queue, 16, 64)
		sum += n
	}
	u.unread = int(sum >> 10)
	return u
}
