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
	list     *storeclient.List
	interval time.Duration
	reg      storeclient.Registration
	log      logger.Logger

	// mu serializes the calls, so that no renewal follows the withdrawal.
	mu        sync.Mutex
	leaving   bool
	withdrawn bool
}

// renewalsPerRegistration is the number of renewals after which the instance registers again. After a pause or an outage
// the list may have dropped it, and a renewal doesn't restore the entry.
const renewalsPerRegistration = 3

// run registers and renews until ctx is done.
func (r *registration) run(ctx context.Context) error {
	registered := false
	for n := 0; ; n++ {
		err := r.renew(ctx, !registered || n%renewalsPerRegistration == 0)
		if err != nil && ctx.Err() == nil {
			r.log.Error(err, "registration in the instance list failed")
		}
		registered = err == nil
		if !sleeper.Sleep(ctx, r.interval) {
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
		return r.list.PassCheck(ctx, name)
	default:
		return r.list.Register(ctx, r.reg)
	}
}

// markLeaving marks the instance as leaving in the list and retries until that succeeds or ctx is done.
func (r *registration) markLeaving(ctx context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
	return r.retry(ctx, func() error { return r.list.SetLeaving(ctx, r.reg.Instance.Name, true) })
}

// withdraw removes the instance from the list and retries until that succeeds or ctx is done.
func (r *registration) withdraw(ctx context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.withdrawn = true
	return r.retry(ctx, func() error { return r.list.Deregister(ctx, r.reg.Instance.Name) })
}

// retryInterval is the time between two attempts of markLeaving or withdraw.
const retryInterval = 100 * time.Millisecond

func (r *registration) retry(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil {
			return nil
		}
		if !sleeper.Sleep(ctx, retryInterval) {
			return errors.Join(err, ctx.Err())
		}
	}
}
