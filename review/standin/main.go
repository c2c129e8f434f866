// Command standin plays the cases of the review: it stands in for the platform's store, the backends and the clients, and starts
// the project's program as separate processes.
//
// # Usage
//
//	standin CASE FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With
// TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// maxRunTime bounds a case.
const maxRunTime = 115 * time.Second

const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// env is what a case runs in.
type env struct {
	ctx     context.Context
	rec     *record
	trouble bool
	// dir is a temporary folder, program the project's binary, root the repository.
	dir, program, root string

	mu        sync.Mutex
	instances []*instance
}

// cases maps names to functions that return whether the rule held.
var cases = map[string]func(*env) (bool, error){}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return exitUnable
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	defer os.RemoveAll(dir)
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxRunTime)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	e := &env{
		ctx: ctx, rec: rec, trouble: os.Getenv("TROUBLE") != "0", dir: dir, root: root,
		program: filepath.Join(root, "target", "carobbend"),
	}
	rec.printf("case %s, with the disruption: %v", os.Args[1], e.trouble)
	held, err := cases[os.Args[1]](e)
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	e.killInstances()
	switch {
	case err != nil:
		rec.printf("the case couldn't run: %v", err)
		return exitUnable
	case held:
		rec.printf("RESULT: the rule held")
		return exitHeld
	default:
		rec.printf("RESULT: the rule was broken")
		return exitBroken
	}
}

// sleep waits for d or until the case ends.
func (e *env) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-e.ctx.Done():
	}
}
