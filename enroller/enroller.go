// Package enroller keeps an instance in the list of instances.
//
// The entry stands under a lease that is renewed while the instance lives, so that a killed or silent instance leaves the
// list by itself. A lost lease or a removed entry is written again; before the instance stops, the lease is ended.
//
// # Usage
//
//	e := enroller.New(enrolment, self, ttl)
//	go e.Run(ctx)
//	e.Enable()  // the instance can serve
//	e.Missing() // the entry isn't in the list any more
//	e.Withdraw(ctx)
package enroller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/logger"
	"carobbend.example/carobbend/sleeper"
)

const (
	// renewals is the number of renewals within the time of a lease.
	renewals = 3
	// callTimeout bounds a call to the store.
	callTimeout = time.Second
	// firstBackOff and lastBackOff bound the pause after a failed call.
	firstBackOff = 100 * time.Millisecond
	lastBackOff  = time.Second
)

// Enroller keeps one instance enrolled.
type Enroller struct {
	enrolment carobbend.Enrolment
	ttl       time.Duration
	log       logger.Logger
	missing   chan struct{}
	enabled   chan struct{}
	enable    sync.Once
	withdrawn atomic.Bool
	onFailure func()

	mu   sync.Mutex
	self carobbend.Instance
}

// New returns an enroller; the lease ends ttl after the last renewal.
func New(e carobbend.Enrolment, self carobbend.Instance, ttl time.Duration) *Enroller {
	return &Enroller{
		enrolment: e, self: self, ttl: ttl, log: logger.New("enroller"),
		missing: make(chan struct{}, 1), enabled: make(chan struct{}),
	}
}

// OnFailure sets what is called at the first of failed calls in a row. It must be set before Run.
func (e *Enroller) OnFailure(f func()) { e.onFailure = f }

// Enable lets Run announce the instance; until then nothing is written.
func (e *Enroller) Enable() { e.enable.Do(func() { close(e.enabled) }) }

// Update changes what is announced.
func (e *Enroller) Update(self carobbend.Instance) {
	e.mu.Lock()
	e.self = self
	e.mu.Unlock()
	e.Missing()
}

func (e *Enroller) instance() carobbend.Instance {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.self
}

// Missing tells that the entry was seen to be removed.
func (e *Enroller) Missing() {
	select {
	case e.missing <- struct{}{}:
	default:
	}
}

// Run announces the instance and renews its lease until ctx ends or the instance withdraws.
func (e *Enroller) Run(ctx context.Context) error {
	select {
	case <-e.enabled:
	case <-ctx.Done():
		return ctx.Err()
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	announced, failures := false, 0
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-e.missing:
			// The entry was removed or is out of date.
			announced = false
		case <-timer.C:
		}
		if e.withdrawn.Load() {
			<-ctx.Done()
			return ctx.Err()
		}
		err := e.call(ctx, announced)
		pause := e.ttl / renewals
		switch {
		case err == nil && !announced:
			e.log.Info("announced", "instance", e.instance().Name, "address", e.instance().CallerAddress, "ttl", e.ttl,
				"busy", e.instance().Busy)
			announced = true
		case err != nil && carobbend.StoreFailureOf(err) == carobbend.StoreNotFound:
			e.log.Info("lease ended, announcing again")
			announced, pause = false, 0
		}
		if err == nil {
			if failures > 0 {
				e.log.Info("store reached", "failed-calls", failures)
			}
			failures = 0
		} else if pause > 0 {
			if failures == 0 {
				e.log.Error(err, "announcement or renewal failed")
				if e.onFailure != nil {
					e.onFailure()
				}
			}
			failures++
			pause = sleeper.BackOff(failures, firstBackOff, lastBackOff)
		}
		timer.Reset(pause)
	}
}

func (e *Enroller) call(ctx context.Context, announced bool) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if announced {
		return e.enrolment.Renew(ctx)
	}
	return e.enrolment.Announce(ctx, e.instance(), e.ttl)
}

// Withdraw removes the instance from the list and lets Run renew nothing more. A failure leaves the removal to the end of
// the lease.
func (e *Enroller) Withdraw(ctx context.Context) error {
	e.withdrawn.Store(true)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return e.enrolment.Withdraw(ctx)
}
