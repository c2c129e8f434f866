package main

import (
	"context"
	"errors"
	"sync"
	"time"

	"carobbend.example/carobbend/logger"
	"carobbend.example/carobbend/sleeper"
	"carobbend.example/carobbend/storeclient"
)

// registration keeps an instance registered in the instance list until it is withdrawn.
type registration struct {
	list  *storeclient.List
	every time.Duration
	reg   storeclient.Registration
	log   logger.Logger

	// mu orders the calls, so that a renewal can't follow the withdrawal.
	mu        sync.Mutex
	leaving   bool
	withdrawn bool
}

// renewalsPerRegister is the number of renewals after which the instance registers anew, since the list may have
// dropped it after a pause or an outage and a renewal doesn't bring it back.
const renewalsPerRegister = 3

// run registers and renews until ctx is done.
func (r *registration) run(ctx context.Context) error {
	registered := false
	for n := 0; ; n++ {
		err := r.renew(ctx, !registered || n%renewalsPerRegister == 0)
		if err != nil && ctx.Err() == nil {
			r.log.Error(err, "the registration in the instance list failed")
		}
		registered = err == nil
		if !sleeper.Sleep(ctx, r.every) {
			return nil
		}
	}
}

func (r *registration) renew(ctx context.Context, register bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	name := r.reg.Instance.Name
	switch {
	case r.withdrawn:
		return nil
	case !register || r.leaving:
		// A new registration would clear the mark of a leaving instance.
		return r.list.Pass(ctx, name)
	default:
		return r.list.Register(ctx, r.reg)
	}
}

// leave marks the instance as leaving and repeats that until it is accepted or ctx is done.
func (r *registration) leave(ctx context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
	return r.repeat(ctx, func() error { return r.list.SetLeaving(ctx, r.reg.Instance.Name, true) })
}

// withdraw removes the instance from the list.
func (r *registration) withdraw(ctx context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.withdrawn = true
	return r.repeat(ctx, func() error { return r.list.Deregister(ctx, r.reg.Instance.Name) })
}

// repeatWait is the time between two tries of leave and withdraw.
const repeatWait = 100 * time.Millisecond

func (r *registration) repeat(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil {
			return nil
		}
		if !sleeper.Sleep(ctx, repeatWait) {
			return errors.Join(err, ctx.Err())
		}
	}
}
