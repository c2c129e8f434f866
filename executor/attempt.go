package executor

import (
	"context"
	"sync"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/planner"
)

// attempt is one shard request. It also implements the context of its request, because a context.WithCancel for each
// attempt would allocate twice and register with the parent under a lock that all attempts of the query share.
type attempt struct {
	eventNode
	run      *run
	upstream carobbend.UpstreamID
	request  carobbend.ShardRequest

	mu       sync.Mutex
	canceled bool
	done     chan struct{}
	// afterFuncs holds the functions registered by AfterFunc; one that was stopped is nil.
	afterFuncs []func()
}

var _ context.Context = (*attempt)(nil)

// send performs the request and posts its reply or failure to the run.
func (a *attempt) send() {
	reply, err := a.run.x.cfg.Upstreams.Send(a, a.upstream, a.request)
	if err != nil {
		a.event.Kind, a.event.Failure = planner.EventFailure, carobbend.FailureKindOf(err)
	} else {
		a.event.Kind, a.event.Reply = planner.EventReply, reply
	}
	a.run.post(&a.eventNode)
}

func (a *attempt) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.canceled {
		return
	}
	a.canceled = true
	if a.done != nil {
		close(a.done)
	}
	for _, f := range a.afterFuncs {
		if f != nil {
			go f()
		}
	}
	a.afterFuncs = nil
}

// Deadline returns the deadline of the caller's context. The planner cancels the attempt before the deadline of the query.
func (a *attempt) Deadline() (time.Time, bool) { return a.run.ctx.Deadline() }

// Done returns a channel that is closed when the attempt is cancelled.
func (a *attempt) Done() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done == nil {
		a.done = make(chan struct{})
		if a.canceled {
			close(a.done)
		}
	}
	return a.done
}

// Err returns context.Canceled after the attempt was cancelled.
func (a *attempt) Err() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.canceled {
		return context.Canceled
	}
	return nil
}

// Value returns the value of the caller's context.
func (a *attempt) Value(key any) any { return a.run.ctx.Value(key) }

// AfterFunc registers f to be called when the attempt is cancelled. Package context uses it to derive contexts without a
// goroutine for each.
func (a *attempt) AfterFunc(f func()) (stop func() bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.canceled {
		go f()
		return func() bool { return false }
	}
	i := len(a.afterFuncs)
	a.afterFuncs = append(a.afterFuncs, f)
	return func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		if i >= len(a.afterFuncs) || a.afterFuncs[i] == nil {
			return false
		}
		a.afterFuncs[i] = nil
		return true
	}
}
