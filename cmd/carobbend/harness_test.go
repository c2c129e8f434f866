package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/emulator"
	"carobbend.example/carobbend/publisher"
	"carobbend.example/carobbend/requester"
	"carobbend.example/carobbend/storeclient"
)

// waitTimeout bounds each wait. It is long, so that no test result depends on how fast the machine is.
const waitTimeout = 90 * time.Second

// program is the path of the built program.
var program string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "carobbend")
		if err != nil {
			panic(err)
		}
		defer func() { _ = os.RemoveAll(dir) }()
		program = filepath.Join(dir, "carobbend")
		if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
			panic(fmt.Sprintf("build: %v\n%s", err, out))
		}
		return m.Run()
	}())
}

// process is one process that a test started; tests signal only such processes.
type process struct {
	t     *testing.T
	name  string
	cmd   *exec.Cmd
	ready chan []byte
	done  chan struct{}
	mu    sync.Mutex
	log   bytes.Buffer
}

func start(t *testing.T, name string, args ...string) *process {
	t.Helper()
	return startCommand(t, name, exec.Command(program, args...))
}

func startCommand(t *testing.T, name string, cmd *exec.Cmd) *process {
	t.Helper()
	p := &process{t: t, name: name, cmd: cmd, ready: make(chan []byte, 1), done: make(chan struct{})}
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	p.cmd.Stderr = p
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		if line, err := bufio.NewReader(stdout).ReadBytes('\n'); err == nil {
			p.ready <- line
		}
		_, _ = io.Copy(io.Discard, stdout)
		_ = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGKILL)
		<-p.done
		if strings.Contains(p.logText(), "invariant breached") {
			t.Errorf("%s: an invariant was breached", name)
		}
		if t.Failed() {
			t.Logf("log of %s:\n%s", name, p.logText())
		}
	})
	return p
}

// Write collects the log.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

func (p *process) logText() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

func (p *process) signal(s os.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// readyLine decodes the JSON line that the process prints once it is listening.
func (p *process) readyLine(v any) {
	p.t.Helper()
	select {
	case b := <-p.ready:
		if err := json.Unmarshal(b, v); err != nil {
			p.t.Fatalf("%s: %v in %q", p.name, err, b)
		}
	case <-p.done:
		p.t.Fatalf("%s ended: %s", p.name, p.logText())
	case <-time.After(waitTimeout):
		p.t.Fatalf("%s did not start", p.name)
	}
}

// wait waits until the process ends and returns its exit code.
func (p *process) wait() int {
	p.t.Helper()
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(waitTimeout):
		p.t.Fatalf("%s did not end", p.name)
		return -1
	}
}

// tier is a query tier under test: the emulated platform and upstreams, and instances, each in its own process.
type tier struct {
	t         *testing.T
	dir       string
	platform  string
	control   map[string]string
	upstreams map[string][]emulator.MemberState
	instances map[string]*process
	addresses map[string]serveReady
}

const testRules = `class index desk first # test
deadline desk 5s # generous, so that a busy machine gives no partial answers
extra-load desk 20% # test
at-most-once book # test
`

func startTier(t *testing.T, instances ...string) *tier {
	t.Helper()
	f := startTierWithout(t)
	for _, name := range instances {
		f.startInstance(name)
	}
	for _, name := range instances {
		f.awaitReady(name, len(instances))
	}
	return f
}

// startTierWithout starts the emulated platform and upstreams, but no instance.
func startTierWithout(t *testing.T) *tier {
	t.Helper()
	f := &tier{
		t: t, dir: t.TempDir(), control: map[string]string{}, upstreams: map[string][]emulator.MemberState{},
		instances: map[string]*process{}, addresses: map[string]serveReady{},
	}
	var ready emulatorReady
	start(t, "platform", "emulate", "platform", "--listen", "127.0.0.1:0", "--lag", "200ms", "--ttl", "3s").readyLine(&ready)
	f.platform = ready.Address
	for name, flags := range map[string][]string{
		"desk":  {"--services", "10", "--replicas", "3", "--slots", "8"},
		"works": {"--services", "3", "--replicas", "1", "--no-shards", "--slots", "8", "--connect-time", "1ms"},
	} {
		var ready emulatorReady
		start(t, name, append([]string{"emulate", "upstreams", name, "--listen", "127.0.0.1:0", "--connections", "100"}, flags...)...).readyLine(&ready)
		f.control[name], f.upstreams[name] = ready.Address, ready.Upstreams
	}
	f.applyRules(testRules)
	return f
}

func (f *tier) settings(name string) string {
	var b strings.Builder
	fmt.Fprintf(&b, `instance: %s
data-centre: leon
listen: {callers: "127.0.0.1:0", admin: "127.0.0.1:0", peers: "127.0.0.1:0"}
admin: {token: admin-secret}
callers:
  - {name: tester, house: leon, token: tester-secret}
store: {url: "http://%[2]s", timeout: 2s, calls-per-second: 200}
instance-list: {url: "http://%[2]s", poll: 200ms, lag: 1s}
drain: {address-validity: 1s, limit: 30s}
queue: {length: 256}
upstream: {progress-timeout: 1s, connect-timeout: 2s, status-poll: 200ms}
indexes:
  - {name: desk, slots: 8, connections: 100, upstreams: [%[3]s]}
operations:
  - {name: book, slots: 8, connections: 100, upstreams: [%[4]s]}
`, name, f.platform, listUpstreams(f.upstreams["desk"]), listUpstreams(f.upstreams["works"]))
	file := filepath.Join(f.dir, name+".yaml")
	if err := os.WriteFile(file, []byte(b.String()), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return file
}

func listUpstreams(ms []emulator.MemberState) string {
	out := make([]string, 0, len(ms))
	for _, m := range ms {
		out = append(out, fmt.Sprintf("{id: %s, address: %q}", m.ID, m.Address))
	}
	return strings.Join(out, ", ")
}

func (f *tier) startInstance(name string) {
	f.t.Helper()
	p := start(f.t, name, "serve", "--settings", f.settings(name))
	var ready serveReady
	p.readyLine(&ready)
	f.instances[name], f.addresses[name] = p, ready
}

// awaitReady waits until an instance is ready and sees n live instances that are not leaving.
func (f *tier) awaitReady(name string, n int) {
	f.t.Helper()
	eventually(f.t, name+" ready", func() bool {
		var members []carobbend.Instance
		if f.admin(name, "/readyz", nil) != http.StatusOK || f.admin(name, "/v1/members", &members) != http.StatusOK {
			return false
		}
		members = slices.DeleteFunc(members, func(i carobbend.Instance) bool { return i.Leaving || !i.Ready })
		return len(members) >= n
	})
}

func (f *tier) admin(name, path string, reply any) int {
	return request(f.t, http.MethodGet, "http://"+f.addresses[name].Admin+path, reply)
}

// fault posts to a control endpoint; target is "platform" or the name of upstreams.
func (f *tier) fault(target, query string) {
	f.t.Helper()
	address := f.platform
	if target != "platform" {
		address = f.control[target]
	}
	if got, want := request(f.t, http.MethodPost, "http://"+address+"/control/"+query, nil), http.StatusNoContent; got != want {
		f.t.Fatalf("%s: got status %d, want %d", query, got, want)
	}
}

func (f *tier) executions() map[string]int {
	got := map[string]int{}
	request(f.t, http.MethodGet, "http://"+f.control["works"]+"/control/executions", &got)
	return got
}

func (f *tier) requester() *requester.Requester { return f.requesterFor("") }

// requesterFor returns a requester; the name of the client determines which instances it uses.
func (f *tier) requesterFor(client string) *requester.Requester {
	f.t.Helper()
	first := make([]string, 0, len(f.addresses))
	for _, a := range f.addresses {
		first = append(first, a.Callers)
	}
	r, err := requester.New(requester.Config{Instances: first, Token: "tester-secret", Client: client})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(r.Close)
	return r
}

// request returns the status, or 0 where there is no reply.
func request(t *testing.T, method, url string, reply any) int {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer admin-secret")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if reply != nil && resp.StatusCode == http.StatusOK {
		if err := json.NewDecoder(resp.Body).Decode(reply); err != nil {
			t.Fatalf("%s: %v", url, err)
		}
	}
	return resp.StatusCode
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, waitTimeout)
		}
	}
}

// applyRules applies a rule file to the tier's store.
func (f *tier) applyRules(text string) {
	f.t.Helper()
	c := storeclient.New("http://" + f.platform)
	defer c.Close()
	r, err := publisher.New(c).Apply(f.t.Context(), publisher.Request{File: "test.rules", Text: text, Who: "test"})
	if err != nil || r.Outcome != publisher.InForce {
		f.t.Fatalf("rules: got %+v, %v, want in force", r, err)
	}
}
