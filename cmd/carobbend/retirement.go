package main

import (
	"context"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/steerer"
)

// setStoreState receives the state of the store from the follower.
func (x *forwardInstance) setStoreState(revision uint64, storeLost bool) {
	x.storeLost.Store(storeLost)
	x.relay.SetStoreState(revision, storeLost)
}

// need returns how urgently this instance must serve in addition to the enrolled ones; x.mu must be held.
func (x *forwardInstance) need(enrolled map[string]carobbend.Instance) steerer.Need {
	if x.retired {
		return steerer.NeedOfRetired(enrolled)
	}
	return steerer.NeedOf(x.self, enrolled)
}

// retireIfLeftOut returns this instance to the reserve once callers are no longer sent to it.
func (x *forwardInstance) retireIfLeftOut(ctx context.Context, now time.Time) {
	if !x.active.Load() || x.isDraining() {
		return
	}
	x.mu.Lock()
	used := x.forwarder.Requests() > x.requestsBefore
	stage := x.retirement.Next(now, x.selector.LeftOut(), !x.storeLost.Load(), used)
	x.retiring.Store(stage != steerer.Serving)
	if stage != steerer.Retired || x.forwarder.InFlight() > 0 {
		x.mu.Unlock()
		return
	}
	x.retirement, x.retired = steerer.Retirement{}, true
	x.requestsBefore = x.forwarder.Requests()
	x.active.Store(false)
	x.allotments.Resign()
	x.retiring.Store(false)
	x.selector.SetSelf(x.self, false)
	x.relay.Invalidate()
	x.follower.SetScope(carobbend.ScopeInstances)
	// A request that arrives from here on activates this instance and waits for the state to be read again.
	x.router.Suspend()
	x.routingReady, x.routingKnown = make(chan struct{}), false
	x.mu.Unlock()
	x.log.Info("returned to the reserve", "instances", x.selector.InstanceCount())
	if err := x.enroller.Disable(ctx); err != nil {
		x.log.Error(err, "removal from the list failed, the entry stays until its lease expires")
	}
}
