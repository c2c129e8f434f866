package executor

import (
	"context"
	"sync"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/planner"
)

// attempt is one shard request. It is also the context of its request: a context.WithCancel for each attempt
// would allocate twice and register with its parent under a lock that all attempts of the query share.
type attempt struct {
	node
	run      *run
	upstream carobbend.UpstreamID
	request  carobbend.ShardRequest

	mu       sync.Mutex
	canceled bool
	done     chan struct{}
	// after holds the functions registered by AfterFunc; one that was stopped is nil.
	after []func()
}

var _ context.Context = (*attempt)(nil)

func (a *attempt) send() {
	reply, err := a.run.x.cfg.Upstreams.Send(a, a.upstream, a.request)
	if err != nil {
		a.event.Kind, a.event.Failure = planner.EventFailure, carobbend.KindOf(err)
	} else {
		a.event.Kind, a.event.Reply = planner.EventReply, reply
	}
	a.run.post(&a.node)
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
	for _, f := range a.after {
		if f != nil {
			go f()
		}
	}
	a.after = nil
}

// Deadline returns the deadline of the caller's context; the planner cancels the attempt before the query's one.
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

// AfterFunc lets package context derive contexts without a goroutine for each.
func (a *attempt) AfterFunc(f func()) (stop func() bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.canceled {
		go f()
		return func() bool { return false }
	}
	i := len(a.after)
	a.after = append(a.after, f)
	return func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		if i >= len(a.after) || a.after[i] == nil {
			return false
		}
		a.after[i] = nil
		return true
	}
}
