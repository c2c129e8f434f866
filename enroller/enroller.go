// Package enroller keeps an instance registered in the instance list.
//
// The entry is bound to a lease that is renewed while the instance runs, so that the entry of a crashed or unresponsive
// instance expires. After a lost lease or a removed entry the instance is announced again; before it stops, it ends the
// lease.
//
// # Usage
//
//	e := enroller.New(enrolment, self, ttl)
//	go e.Run(ctx)
//	e.Enable()     // the instance can serve
//	e.Reannounce() // the entry is no longer in the list
//	e.Disable(ctx) // the instance doesn't serve until the next Enable
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
	// renewalsPerTTL is the number of renewals within the TTL of a lease.
	renewalsPerTTL = 3
	// callTimeout bounds a call to the store.
	callTimeout = time.Second
	// minBackOff and maxBackOff bound the pause after a failed call.
	minBackOff = 100 * time.Millisecond
	maxBackOff = time.Second
)

// Enroller keeps one instance in the list.
type Enroller struct {
	enrolment  carobbend.Enrolment
	ttl        time.Duration
	log        logger.Logger
	reannounce chan struct{}
	enabled    chan struct{}
	enable     sync.Once
	disabled   atomic.Bool
	withdrawn  atomic.Bool
	onFailure  func()

	mu   sync.Mutex
	self carobbend.Instance
}

// New returns an enroller; the lease expires ttl after its last renewal.
func New(e carobbend.Enrolment, self carobbend.Instance, ttl time.Duration) *Enroller {
	return &Enroller{
		enrolment: e, self: self, ttl: ttl, log: logger.New("enroller"),
		reannounce: make(chan struct{}, 1), enabled: make(chan struct{}),
	}
}

// OnFailure sets a function that is called at the first of several failed calls in a row. It must be set before Run.
func (e *Enroller) OnFailure(f func()) { e.onFailure = f }

// Enable lets Run announce the instance; until then nothing is written.
func (e *Enroller) Enable() {
	e.enable.Do(func() { close(e.enabled) })
	if e.disabled.Swap(false) {
		e.Reannounce()
	}
}

// Disable removes the instance from the list until Enable is called again. If the removal fails, the entry disappears when
// the lease expires.
func (e *Enroller) Disable(ctx context.Context) error {
	e.disabled.Store(true)
	return e.endLease(ctx)
}

// Update changes the instance's announced state and announces it again.
func (e *Enroller) Update(self carobbend.Instance) {
	e.mu.Lock()
	e.self = self
	e.mu.Unlock()
	e.Reannounce()
}

func (e *Enroller) instance() carobbend.Instance {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.self
}

// Reannounce makes Run announce the instance again. It is for when the entry is, or may be, no longer in the list.
func (e *Enroller) Reannounce() {
	select {
	case e.reannounce <- struct{}{}:
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
		case <-e.reannounce:
			// The entry was removed, or Update changed the instance.
			announced = false
		case <-timer.C:
		}
		if e.withdrawn.Load() {
			<-ctx.Done()
			return ctx.Err()
		}
		if e.disabled.Load() {
			announced = false
			timer.Reset(e.ttl)
			continue
		}
		err := e.announceOrRenew(ctx, announced)
		pause := e.ttl / renewalsPerTTL
		switch {
		case err == nil && !announced:
			e.log.Info("announced", "instance", e.instance().Name, "address", e.instance().CallerAddress, "ttl", e.ttl,
				"busy", e.instance().Busy)
			announced = true
		case err != nil && carobbend.StoreFailureOf(err) == carobbend.StoreNotFound:
			e.log.Info("lease expired; announcing again")
			announced, pause = false, 0
		}
		if err == nil {
			if failures > 0 {
				e.log.Info("store reachable", "failed-calls", failures)
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
			pause = sleeper.BackOff(failures, minBackOff, maxBackOff)
		}
		timer.Reset(pause)
	}
}

func (e *Enroller) announceOrRenew(ctx context.Context, announced bool) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if announced {
		return e.enrolment.Renew(ctx)
	}
	return e.enrolment.Announce(ctx, e.instance(), e.ttl)
}

// Withdraw removes the instance from the list and stops the renewals of Run. If the removal fails, the entry disappears
// when the lease expires.
func (e *Enroller) Withdraw(ctx context.Context) error {
	e.withdrawn.Store(true)
	return e.endLease(ctx)
}

func (e *Enroller) endLease(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return e.enrolment.Withdraw(ctx)
}
