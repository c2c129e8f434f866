package main

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Instance is a process of the system.
type Instance struct {
	Name                      string
	Callers, Ready, Addresses string
	cmd                       *exec.Cmd
	log                       *os.File
	done                      chan struct{}
	exitErr                   error
	program, settings, dir    string
	peers, metrics            string
	store                     *Store
	options                   Options
}

// Options are the settings of an instance that differ between machines and deployments.
type Options struct {
	Cores float64
	// MemoryMB is 284 if it is 0.
	MemoryMB int
	// Later says that the machine is added after the first start of the whole system.
	Later bool
	// More are further lines.
	More string
}

var givenPorts = map[int]bool{}

// freeAddress returns an address whose port is free now and lies outside the usual range of ports for outgoing connections, so that
// a process can use it again after a restart.
func freeAddress() string {
	for range 1000 {
		port := 20000 + rand.IntN(12000)
		if givenPorts[port] {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		l.Close()
		givenPorts[port] = true
		return address
	}
	panic("no free port")
}

// NewInstance writes the settings of an instance, as the template of the deploy file renders them, and starts it.
func NewInstance(program, dir, name string, s *Store, o Options) (*Instance, error) {
	x := &Instance{
		Name: name, Callers: freeAddress(), Ready: freeAddress(), Addresses: freeAddress(), program: program, dir: dir, store: s,
		peers: freeAddress(), metrics: freeAddress(), options: o,
	}
	x.settings = filepath.Join(dir, name+".yaml")
	return x, x.Start(!o.Later)
}

// writeSettings writes the settings of a start.
func (x *Instance) writeSettings(firstStart bool) error {
	first := ""
	if firstStart {
		first = "first-start: true\n"
	}
	text := fmt.Sprintf(`instance: %q
data-centre: "dyfed-a"
listen:
  callers: %q
  readiness: %q
  addresses: %q
  peers: %q
  metrics: %q
store: %q
stop-grace: 6s
cores: %v
memory-mb: %d
max-fds: 4100
%sdrain-time: 3000ms
extra-load:
  ratio: 0.2
  slack: 52
  window: 10s
%s`, x.Name, x.Callers, x.Ready, x.Addresses, x.peers, x.metrics, x.store.addr, x.options.Cores, cmp.Or(x.options.MemoryMB, 284), first, x.options.More)
	return os.WriteFile(x.settings, []byte(text), 0o600)
}

// Start starts the process with the command of the deploy file. firstStart says that the whole system starts for the first time.
func (x *Instance) Start(firstStart bool) error {
	if err := x.writeSettings(firstStart); err != nil {
		return err
	}
	f, err := os.OpenFile(filepath.Join(x.dir, x.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	x.log = f
	x.cmd = exec.Command(x.program, "forward")
	x.cmd.Env = []string{"CAROBBEND_CONFIG=" + x.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	x.cmd.Stdout, x.cmd.Stderr = f, f
	// The process ends with this one, however that ends.
	x.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := x.cmd.Start(); err != nil {
		return err
	}
	x.done = make(chan struct{})
	cmd, done := x.cmd, x.done
	go func() {
		x.exitErr = cmd.Wait()
		close(done)
	}()
	return nil
}

// WaitReady waits until the readiness address answers 200.
func (x *Instance) WaitReady(limit time.Duration) error {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := c.Get("http://" + x.Ready + "/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == 200 {
			return nil
		}
	}
	return errors.New(x.Name + " isn't ready")
}

// Signal sends a signal to the process.
func (x *Instance) Signal(s syscall.Signal) { _ = x.cmd.Process.Signal(s) }

// LogContains reports whether the process, or an earlier one of this instance, has written a text to its log.
func (x *Instance) LogContains(text string) bool {
	b, err := os.ReadFile(filepath.Join(x.dir, x.Name+".log"))
	return err == nil && strings.Contains(string(b), text)
}

// Exited reports whether the process has ended.
func (x *Instance) Exited() bool {
	select {
	case <-x.done:
		return true
	default:
		return false
	}
}

// Kill ends the process.
func (x *Instance) Kill() {
	if !x.Exited() {
		x.Signal(syscall.SIGCONT)
		_ = x.cmd.Process.Kill()
		<-x.done
	}
}

// PeakMemory returns the largest resident memory of the process so far, in MB.
func (x *Instance) PeakMemory() int { return x.status("VmHWM") }

// OwnMemory returns the resident memory of the process now, without what it maps from files, in MB.
func (x *Instance) OwnMemory() int { return x.status("RssAnon") }

// status returns a field of the process's status in MB.
func (x *Instance) status(field string) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", x.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		var kb int
		if n, _ := fmt.Sscanf(line, field+": %d kB", &kb); n == 1 {
			return kb >> 10
		}
	}
	return 0
}
