// Command standin-2 plays the cases of the second review with stand-ins for the platform, the backends and the clients.
//
//	standin-2 CASE PROGRAM RECORD
//
// It starts PROGRAM with the command of the deploy file, writes what was sent, answered and run to RECORD, and exits with 1
// if the rule of the case was broken, 0 if it held and 2 if the case couldn't run. With TROUBLE=0 in the environment it does
// the same without the disruption.
package main

import (
	"fmt"
	"os"
	"runtime"
	"sync"
	"time"
)

// Play is the play of one case.
type Play struct {
	Program, Dir string
	// Trouble says that the disruption is played.
	Trouble bool
	Store   *Store

	mu        sync.Mutex
	record    *os.File
	began     time.Time
	instances []*Instance
	backends  []*Backend
}

var cases = map[string]func(*Play) (broken bool, err error){
	"stalled-bodies": stalledBodies,
	"half-close":     halfClose,
	"stale-limit":    staleLimit,
	"route-memory":   routeMemory,
	"long-pause":     longPause,
	"lost-owners":    lostOwners,
}

// Log writes a line with the time since the start to the record and to standard output.
func (p *Play) Log(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(p.began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = p.record.WriteString(line)
	fmt.Print(line)
}

// Backend starts a backend.
func (p *Play) Backend(service, id string, work time.Duration) *Backend {
	b, err := NewBackend(p.Store, service, id, work)
	if err != nil {
		panic(err)
	}
	p.backends = append(p.backends, b)
	return b
}

// Instance starts an instance.
func (p *Play) Instance(name string, o Options) (*Instance, error) {
	x, err := NewInstance(p.Program, p.Dir, name, p.Store, o)
	if err != nil {
		return nil, err
	}
	p.instances = append(p.instances, x)
	p.Log("instance %s started, process %d", name, x.cmd.Process.Pid)
	return x, nil
}

// LogRuns writes what the backends received.
func (p *Play) LogRuns() {
	for _, r := range runs.All() {
		p.Log("run at=%.3f backend=%s service=%s id=%s %s %s body-bytes=%d executed=%v",
			r.At.Sub(p.began).Seconds(), r.Backend, r.Service, r.ID, r.Method, r.URI, len(r.Body), r.Executed)
	}
}

// LogAnswer writes what a client saw.
func (p *Play) LogAnswer(what string, a *Answer) {
	p.Log("%s id=%s path=%s status=%d bytes=%d seal=%q parts=%q took-ms=%d err=%v",
		what, a.ID, a.Path, a.Status, len(a.Body), a.Header.Get("X-Response-Seal"), a.Header.Get("X-Part-Seals"), a.Took.Milliseconds(), a.Err)
}

func main() {
	// Processes that are started end with the thread that started them, which must not end before.
	runtime.LockOSThread()
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE PROGRAM RECORD")
		return 2
	}
	record, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	p := &Play{Program: os.Args[2], Dir: dir, Trouble: os.Getenv("TROUBLE") != "0", record: record, began: time.Now()}
	p.Log("case %s, trouble %v", os.Args[1], p.Trouble)
	if p.Store, err = NewStore(); err != nil {
		p.Log("can't run: %v", err)
		return 2
	}
	defer func() {
		for _, x := range p.instances {
			x.Kill()
		}
		for _, b := range p.backends {
			b.Close()
		}
	}()
	broken, err := cases[os.Args[1]](p)
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(dir))
	}
	switch {
	case err != nil:
		p.Log("can't run: %v", err)
		return 2
	case broken:
		p.Log("RULE BROKEN")
		return 1
	default:
		p.Log("rule held")
		return 0
	}
}
