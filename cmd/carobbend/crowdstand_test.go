package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Settings and limits of the instance that a crowd meets. The bounds of the tests follow from them.
const (
	crowdMemoryMB = 64
	crowdMaxFDs   = 320
	// crowdFDBound is the number of descriptors that may be open: a sixteenth stays free for upstreams, the store and peers.
	crowdFDBound     = crowdMaxFDs - crowdMaxFDs/16
	crowdHeaderBytes = 16_384
	crowdBodyBytes   = 262_144
	// bigAnswerBytes is the length of the answer to /o/big.
	bigAnswerBytes = 256 << 10
)

// crowdStand is one forwarding instance in its own process, with a store and an upstream that the test serves.
type crowdStand struct {
	t         *testing.T
	instance  *process
	addresses map[string]string
	// maxFDs is the greatest number of open descriptors that was seen.
	maxFDs atomic.Int64
	client *http.Client
	// ordinary are the requests that must be answered.
	ordinary []ordinaryRequest
}

// ordinaryRequest is a request inside the limits, and the text that its answer contains.
type ordinaryRequest struct {
	listener, method, path, body, want string
}

func newCrowdStand(t *testing.T, ordinary []ordinaryRequest) *crowdStand {
	t.Helper()
	if _, err := os.Stat("/proc/self/status"); err != nil {
		t.Skip("no /proc, from which the memory of a process is read")
	}
	return &crowdStand{t: t, ordinary: ordinary, addresses: map[string]string{}, client: &http.Client{
		Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true},
	}}
}

func startCrowdStand(t *testing.T) *crowdStand {
	t.Helper()
	s := newCrowdStand(t, []ordinaryRequest{
		{"readiness", http.MethodGet, "/ready", "", ""},
		{"addresses", http.MethodGet, "/resolve", "", "addrs"},
		{"metrics", http.MethodGet, "/metrics", "", "carobbend_ready"},
		{"callers", http.MethodPost, "/o/1", strings.Repeat("b", 64), "64"},
	})
	s.startForward(serveCrowdUpstream, nil, "")
	t.Cleanup(s.check)
	s.mustServe("at the start")
	return s
}

// startForward starts an instance with an upstream, further entries in the store and further settings.
func (s *crowdStand) startForward(handle http.HandlerFunc, entries map[string]string, more string) {
	t := s.t
	t.Helper()
	upstream := httptest.NewServer(handle)
	store := httptest.NewServer(crowdStore(upstream.Listener.Addr().String(), entries))
	s.pickAddresses("callers", "readiness", "addresses", "metrics", "peers")
	file := filepath.Join(t.TempDir(), "forward.yaml")
	text := fmt.Sprintf(`instance: edge-1
data-centre: leon
listen: {callers: %q, readiness: %q, addresses: %q, metrics: %q, peers: %q}
store: %q
cores: 1
memory-mb: %d
%s
`, s.addresses["callers"], s.addresses["readiness"], s.addresses["addresses"], s.addresses["metrics"], s.addresses["peers"],
		store.Listener.Addr().String(), crowdMemoryMB, more)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s.instance = startWithFDs(t, "edge-1", crowdMaxFDs, "forward", "--settings", file)
	t.Cleanup(func() {
		// The instance has ended: its clean-up was registered later and runs first.
		upstream.CloseClientConnections()
		upstream.Close()
		store.CloseClientConnections()
		store.Close()
	})
	t.Cleanup(func() {
		s.instance.signal(syscall.SIGKILL)
		<-s.instance.done
	})
}

// pickAddresses picks a free address for each listener. They have a loopback address of their own, so that no connection of
// another process takes one of the ports before the instance listens there.
func (s *crowdStand) pickAddresses(names ...string) {
	s.t.Helper()
	pid := os.Getpid()
	for _, name := range names {
		l, err := net.Listen("tcp4", fmt.Sprintf("127.77.%d.%d:0", pid>>8&0xff, pid&0xff|1))
		if err != nil {
			s.t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		s.addresses[name] = l.Addr().String()
	}
}

// startWithFDs starts the program with a limit on its open descriptors.
func startWithFDs(t *testing.T, name string, n int, args ...string) *process {
	t.Helper()
	return startCommand(t, name, exec.Command("sh", append([]string{"-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(n), program}, args...)...))
}

// crowdStore serves the part of the platform's store that an instance needs: fixed entries, leases and silent watches. The route /n/
// has requests that must not run twice.
func crowdStore(upstream string, entries map[string]string) http.Handler {
	type item struct {
		Key      string `json:"key"`
		Value    []byte `json:"value"`
		Revision uint64 `json:"revision"`
	}
	route := func(name string) map[string]any {
		return map[string]any{
			"name": name, "hostname": "h", "prefix": "/" + name + "/", "route_type": "idempotent", "upstream": "works",
			"timeout_ms": 20_000, "target_latency_ms": 5000, "max_attempts": 1,
		}
	}
	once := route("n")
	once["route_type"] = "non_idempotent"
	config := map[string]any{
		"version": 1, "routes": []any{route("o"), once}, "services": []any{map[string]any{"name": "works", "max_connections": 100}},
		"limits": map[string]any{
			"max_header_bytes": crowdHeaderBytes, "max_body_bytes": crowdBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15_000,
		},
	}
	entry := map[string]any{
		"upstream": "works", "address": upstream, "zone": "leon", "version": "1", "capacity": 100, "state": "ready",
		"warmup_left_ms": 0, "sequence": 1, "born": 17,
	}
	items := make([]item, 0, 2+len(entries))
	for k, v := range entries {
		items = append(items, item{k, []byte(v), 1})
	}
	for k, v := range map[string]any{"op/config": config, "servers/works-1": entry} {
		b, err := json.Marshal(v)
		if err != nil {
			panic(err)
		}
		items = append(items, item{k, b, 1})
	}
	reply := func(w http.ResponseWriter, v any) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", func(w http.ResponseWriter, r *http.Request) {
		found := []item{}
		for _, it := range items {
			if strings.HasPrefix(it.Key, r.FormValue("prefix")) && it.Key > r.FormValue("after") {
				found = append(found, it)
			}
		}
		reply(w, map[string]any{"items": found, "current_rev": 2})
	})
	mux.HandleFunc("GET /kv-watch", func(w http.ResponseWriter, r *http.Request) {
		wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
		select {
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		reply(w, map[string]any{"events": []item{}, "current_rev": 2})
	})
	mux.HandleFunc("POST /kv-txn", func(w http.ResponseWriter, _ *http.Request) { reply(w, map[string]any{"revision": 2}) })
	mux.HandleFunc("POST /kv-lease", func(w http.ResponseWriter, _ *http.Request) { reply(w, map[string]any{"lease": 1}) })
	mux.HandleFunc("POST /kv-keep/{id}", func(w http.ResponseWriter, _ *http.Request) { reply(w, map[string]any{"ttl_ms": 1000}) })
	return mux
}

// serveCrowdUpstream answers with the length of the body; /o/big with a long answer, and /o/wait not at all.
func serveCrowdUpstream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Response-Seal", "seal")
	n, err := io.Copy(io.Discard, r.Body)
	switch {
	case err != nil:
		panic(http.ErrAbortHandler)
	case r.URL.Path == "/o/wait":
		<-r.Context().Done()
	case r.URL.Path == "/o/big":
		_, _ = w.Write(bytes.Repeat([]byte("x"), bigAnswerBytes))
	default:
		_, _ = io.WriteString(w, strconv.FormatInt(n, 10))
	}
}

// mustServe sends ordinary requests to the listeners, each until it is answered.
func (s *crowdStand) mustServe(when string) {
	s.t.Helper()
	for _, x := range s.ordinary {
		eventually(s.t, x.listener+" answers "+x.path+" "+when, func() bool {
			select {
			case <-s.instance.done:
				s.t.Fatalf("the process ended %s", when)
			default:
			}
			r, err := http.NewRequest(x.method, "http://"+s.addresses[x.listener]+x.path, strings.NewReader(x.body))
			if err != nil {
				s.t.Fatal(err)
			}
			r.Host = "h"
			r.Header.Set("X-Request-Id", "ordinary")
			r.Header.Set("Authorization", "Bearer tester-secret")
			resp, err := s.client.Do(r)
			if err != nil {
				return false
			}
			b, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			return err == nil && resp.StatusCode == http.StatusOK && strings.Contains(string(b), x.want)
		})
	}
}

// proc returns a file of the instance's process.
func (s *crowdStand) proc(name string) string {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", s.instance.cmd.Process.Pid, name))
	if err != nil {
		return ""
	}
	return string(b)
}

// peakMemory returns the greatest resident memory so far, in bytes.
func (s *crowdStand) peakMemory() int64 {
	_, rest, _ := strings.Cut(s.proc("status"), "VmHWM:")
	line, _, _ := strings.Cut(rest, "kB")
	n, err := strconv.ParseInt(strings.TrimSpace(line), 10, 64)
	if err != nil {
		s.t.Fatalf("no peak memory of the process: %v", err)
	}
	return n << 10
}

// countFDs records the number of open descriptors.
func (s *crowdStand) countFDs() {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.instance.cmd.Process.Pid))
	if n := int64(len(entries)); err == nil && n > s.maxFDs.Load() {
		s.maxFDs.Store(n)
	}
}

// settle waits until the process has used no processor time for a while, or ten seconds.
func (s *crowdStand) settle() {
	last, quiet := "", 0
	for range 200 {
		time.Sleep(50 * time.Millisecond)
		s.countFDs()
		_, stat, _ := strings.Cut(s.proc("stat"), ") ")
		fields := strings.Fields(stat)
		if len(fields) < 13 {
			return
		}
		// User and system time; a tick is 10 ms, and an idle instance uses less than one in this time.
		now := fields[11] + " " + fields[12]
		if quiet++; now != last {
			last, quiet = now, 0
		}
		if quiet >= 6 {
			return
		}
	}
}

// check reports an exceeded bound, also where the test has already failed.
func (s *crowdStand) check() {
	s.t.Helper()
	select {
	case <-s.instance.done:
		s.t.Errorf("the process ended")
		return
	default:
	}
	s.countFDs()
	peak := s.peakMemory()
	s.t.Logf("peak %d MB, descriptors %d (%s)", peak>>20, s.maxFDs.Load(), runtime.GOARCH)
	if peak > crowdMemoryMB<<20 {
		s.t.Errorf("peak of resident memory: got %d MB, want at most %d", peak>>20, crowdMemoryMB)
	}
	if got := s.maxFDs.Load(); got > crowdFDBound {
		s.t.Errorf("open descriptors: got %d, want at most %d", got, crowdFDBound)
	}
}

// crowd is a number of hostile connections. Each is opened again where the instance closes it, a few times.
type crowd struct {
	stop    chan struct{}
	endOnce sync.Once
	ready   sync.WaitGroup
	ended   sync.WaitGroup
}

const (
	// crowdRounds is how often a member connects.
	crowdRounds = 3
	// crowdWriteTimeout bounds the time for which a member tries to send what the instance doesn't read.
	crowdWriteTimeout = 2 * time.Second
)

// startCrowd returns once all members have sent what they have, or could not.
func startCrowd(n int, address string, send func(net.Conn), reads bool) *crowd {
	c := &crowd{stop: make(chan struct{})}
	c.ready.Add(n)
	for range n {
		c.ended.Go(func() { c.run(address, send, reads) })
	}
	c.ready.Wait()
	return c
}

func (c *crowd) run(address string, send func(net.Conn), reads bool) {
	for round := range crowdRounds {
		nc, err := net.DialTimeout("tcp4", address, crowdWriteTimeout)
		if err == nil {
			_ = nc.SetWriteDeadline(time.Now().Add(crowdWriteTimeout))
			send(nc)
		}
		if round == 0 {
			c.ready.Done()
		}
		if err != nil {
			continue
		}
		closed := make(chan struct{})
		if reads {
			go func() {
				_, _ = io.Copy(io.Discard, nc)
				close(closed)
			}()
		}
		select {
		case <-closed:
		case <-c.stop:
		}
		_ = nc.Close()
		select {
		case <-c.stop:
			return
		default:
		}
	}
	<-c.stop
}

// end closes all connections of the crowd.
func (c *crowd) end() {
	c.endOnce.Do(func() { close(c.stop) })
	c.ended.Wait()
}
