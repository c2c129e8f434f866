//go:build review3

// Command standin-3 plays the cases of the third review: it starts the product's processes beside a store, backends and
// clients of its own on loopback addresses, and judges one rule by what these saw.
//
// Usage: standin-3 CASE FOLDER. It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held, 2 if the
// case couldn't run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"
)

// record is the file record.txt of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// at returns a time in seconds since the begin of the record.
func (r *record) at(t time.Time) float64 { return t.Sub(r.began).Seconds() }

// setting is what a case runs in.
type setting struct {
	dir     string
	record  *record
	store   *store
	trouble bool
	ends    []func()
}

// onEnd adds a function that is called when the case has ended.
func (s *setting) onEnd(f func()) { s.ends = append(s.ends, f) }

// host is the host of the requests.
const host = "leno12.example"

// limits are those of a config.
func limits() map[string]any {
	return map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 2000, "idle_timeout_ms": 6000}
}

// settle is the time between the start of the instances and that of the traffic.
const settle = 10 * time.Second

// cases return whether the rule was broken.
var cases = map[string]func(*setting) (bool, error){}

func main() {
	// The processes end with the thread that started them.
	runtime.LockOSThread()
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE FOLDER")
		return 2
	}
	f, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.Close()
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	s := &setting{dir: dir, record: &record{file: f, began: time.Now()}, trouble: os.Getenv("TROUBLE") != "0"}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Fprintln(os.Stderr, dir)
	}
	defer func() {
		for i := len(s.ends) - 1; i >= 0; i-- {
			s.ends[i]()
		}
	}()
	if s.store, err = newStore(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	s.record.add("case %s, disruption %v", os.Args[1], s.trouble)
	broken, err := cases[os.Args[1]](s)
	switch {
	case err != nil:
		s.record.add("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken:
		s.record.add("the rule was broken")
		fmt.Println("broken")
		return 1
	default:
		s.record.add("the rule held")
		fmt.Println("held")
		return 0
	}
}

// startInstances starts instances and waits until all of them are announced.
func (s *setting) startInstances(n int, m machine) ([]*instance, error) {
	zones := []string{"leon", "guadalajara", "queretaro"}
	var out []*instance
	for i := range n {
		x, err := newInstance(s.dir, s.store, fmt.Sprintf("edge-%d", i+1), zones[i%len(zones)], m)
		if err != nil {
			return nil, err
		}
		if err := x.start(); err != nil {
			return nil, err
		}
		s.onEnd(x.kill)
		s.record.add("instance %s started, process %d, callers at %s", x.name, x.cmd.Process.Pid, x.ports["callers"])
		out = append(out, x)
	}
	// The traffic starts so long after the instances, as in the deployment.
	time.Sleep(settle)
	s.record.add("keys of the store: %v", s.store.keys())
	if got := s.store.count("carobbend/instances/"); got != n {
		return nil, fmt.Errorf("%d of %d instances are announced", got, n)
	}
	return out, nil
}

// dump records each request: when it was sent and to which instance, what was answered, and which backends got it.
func (s *setting) dump(answers []answer, backends []*backend) {
	got := map[string][]string{}
	for _, b := range backends {
		for _, r := range b.received() {
			what := "not run"
			if r.ran {
				what = "ran"
			}
			got[r.id] = append(got[r.id], fmt.Sprintf("%s at %.3f (%s)", b.id, s.record.at(r.at), what))
		}
	}
	slices.SortFunc(answers, func(a, b answer) int { return a.sent.Compare(b.sent) })
	s.record.add("requests: sent at, id, instance, answer, at, backends that got it")
	for _, a := range answers {
		end := fmt.Sprint(a.status)
		if a.err != nil {
			end = a.err.Error()
		}
		s.record.add("%.3f %s %s %s %.3f %s", s.record.at(a.sent), a.id, a.address, end, s.record.at(a.ended), strings.Join(got[a.id], ", "))
	}
}
