package main

import (
	"context"
	"time"

	"carobbend.example/carobbend/sleeper"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/connector"
	"carobbend.example/carobbend/logger"
	"carobbend.example/carobbend/storeclient"
)

// leavingUpstreamPoller polls the instance list for the upstreams that it marks as leaving.
type leavingUpstreamPoller struct {
	list      *storeclient.List
	interval  time.Duration
	connector *connector.Connector
	log       logger.Logger
}

// run polls the list until ctx is done. While the list can't be read, the last marks remain in effect.
func (u *leavingUpstreamPoller) run(ctx context.Context) error {
	failing := false
	for ctx.Err() == nil {
		leaving, err := u.read(ctx)
		if err == nil {
			u.connector.SetListedLeaving(time.Now(), leaving)
		} else if !failing && ctx.Err() == nil {
			u.log.Error(err, "reading the upstream list failed")
		}
		failing = err != nil
		sleeper.Sleep(ctx, u.interval)
	}
	return nil
}

func (u *leavingUpstreamPoller) read(ctx context.Context) (map[carobbend.UpstreamID]bool, error) {
	regs, err := u.list.Instances(ctx)
	if err != nil {
		return nil, err
	}
	leaving := map[carobbend.UpstreamID]bool{}
	for _, r := range regs {
		if r.Instance.Leaving {
			leaving[carobbend.UpstreamID(r.Instance.Name)] = true
		}
	}
	return leaving, nil
}
