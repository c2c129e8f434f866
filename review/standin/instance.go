package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// settingsTemplate holds the settings that deploy/settings.yaml.tmpl gives an instance of a small deployment.
const settingsTemplate = `instance: %q
data-centre: "leon"
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
extra-load:
  ratio: 0.2
  slack: 52
  window: 10s
`

// instance is a process of the project.
type instance struct {
	name, callers, readiness, directory string
	cmd                                 *exec.Cmd
	done                                chan struct{}
}

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// startInstance starts "target/carobbend forward" as the deploy file does and waits until it is ready.
func (e *env) startInstance(name, storeAddress string) (*instance, error) {
	addresses := make([]any, 5)
	for i := range addresses {
		a, err := freeAddress()
		if err != nil {
			return nil, err
		}
		addresses[i] = a
	}
	x := &instance{
		name: name, callers: addresses[0].(string), readiness: addresses[1].(string), directory: addresses[2].(string),
		done: make(chan struct{}),
	}
	file := filepath.Join(e.dir, name+".yaml")
	text := fmt.Sprintf(settingsTemplate, append(append([]any{name}, addresses...), storeAddress)...)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	out, err := os.Create(filepath.Join(e.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	x.cmd = exec.Command(e.program, "forward")
	x.cmd.Dir = e.root
	x.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + e.dir, "CAROBBEND_CONFIG=" + file}
	x.cmd.Stdout, x.cmd.Stderr = out, out
	if err := x.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		err := x.cmd.Wait()
		e.rec.printf("instance %s ended: %v", name, err)
		_ = out.Close()
		close(x.done)
	}()
	e.mu.Lock()
	e.instances = append(e.instances, x)
	e.mu.Unlock()
	for range 200 {
		resp, err := http.Get("http://" + x.readiness + "/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				e.rec.printf("instance %s is ready, process %d, callers at %s", name, x.cmd.Process.Pid, x.callers)
				return x, nil
			}
		}
		e.sleep(50 * time.Millisecond)
	}
	return nil, fmt.Errorf("instance %s isn't ready", name)
}

func (x *instance) signal(s syscall.Signal) { _ = x.cmd.Process.Signal(s) }

// kill ends the process and waits for it.
func (x *instance) kill() {
	x.signal(syscall.SIGCONT)
	x.signal(syscall.SIGKILL)
	<-x.done
}

// killInstances kills all processes that were started and waits for them.
func (e *env) killInstances() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, x := range e.instances {
		x.kill()
	}
}

// log returns what the process wrote.
func (e *env) log(x *instance) string {
	b, err := os.ReadFile(filepath.Join(e.dir, x.name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(b)
}
