package main

import (
	"errors"
	"fmt"
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
	program                   string
	settings                  string
}

func freeAddress() string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// NewInstance writes the settings of an instance, as the template of the deploy file renders them, and starts it.
func NewInstance(program, dir, name string, s *Store, extra string) (*Instance, error) {
	x := &Instance{Name: name, Callers: freeAddress(), Ready: freeAddress(), Addresses: freeAddress(), program: program}
	x.settings = filepath.Join(dir, name+".yaml")
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
cores: 0.4
memory-mb: 284
max-fds: 4100
first-start: true
drain-time: 3000ms
extra-load:
  ratio: 0.2
  slack: 52
  window: 10s
%s`, name, x.Callers, x.Ready, x.Addresses, freeAddress(), freeAddress(), s.addr, extra)
	if err := os.WriteFile(x.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return x, x.Start(dir)
}

// Start starts the process with the command of the deploy file.
func (x *Instance) Start(dir string) error {
	f, err := os.OpenFile(filepath.Join(dir, x.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
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
func (x *Instance) PeakMemory() int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", x.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		var kb int
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kb); n == 1 {
			return kb >> 10
		}
	}
	return 0
}
