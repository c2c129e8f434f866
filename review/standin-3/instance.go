//go:build review3

package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// program is the product as the build line of the deploy file makes it.
const program = "target/carobbend"

// instance is one process of the product.
type instance struct {
	name, zone string
	ports      map[string]string
	file       string
	log        *os.File
	cmd        *exec.Cmd
	done       chan struct{}
}

// freeAddresses returns free addresses of a loopback address of this process, so that no connection of another process takes
// one of the ports before the instance listens there.
func freeAddresses(n int) ([]string, error) {
	pid := os.Getpid()
	var out []string
	for range n {
		l, err := net.Listen("tcp4", fmt.Sprintf("127.93.%d.%d:0", pid>>8&0xff, pid&0xff))
		if err != nil {
			return nil, err
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// machine is what a process may use.
type machine struct {
	cores    float64
	memoryMB int
}

// bajio is a machine of the Bajío deployment.
var bajio = machine{0.4, 284}

// newInstance writes the settings of an instance by deploy/settings.yaml.tmpl with the figures of the Bajío deployment.
func newInstance(dir string, s *store, name, zone string, m machine) (*instance, error) {
	a, err := freeAddresses(5)
	if err != nil {
		return nil, err
	}
	x := &instance{name: name, zone: zone, file: filepath.Join(dir, name+".yaml"), ports: map[string]string{
		"callers": a[0], "readiness": a[1], "addresses": a[2], "peers": a[3], "metrics": a[4],
	}}
	text := fmt.Sprintf(`instance: %q
data-centre: %q
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
drain-time: 3000ms
extra-load:
  ratio: 0.2
  slack: 52
  window: 10s
`, name, zone, a[0], a[1], a[2], a[3], a[4], s.address, m.cores, m.memoryMB)
	if err := os.WriteFile(x.file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if x.log, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		return nil, err
	}
	return x, nil
}

// start starts the process with the command of the deploy file.
func (x *instance) start() error {
	x.cmd = exec.Command(program, "forward")
	x.cmd.Env = []string{"CAROBBEND_CONFIG=" + x.file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	x.cmd.Stdout, x.cmd.Stderr = x.log, x.log
	x.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := x.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	x.done = done
	cmd := x.cmd
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

func (x *instance) signal(s syscall.Signal) {
	if x.cmd != nil && x.cmd.Process != nil {
		_ = x.cmd.Process.Signal(s)
	}
}

// kill ends the process and waits for it.
func (x *instance) kill() {
	if x.cmd == nil {
		return
	}
	select {
	case <-x.done:
		return
	default:
	}
	x.signal(syscall.SIGKILL)
	select {
	case <-x.done:
	case <-time.After(5 * time.Second):
	}
}
