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

// upstreamList reads which upstreams the instance list marks as leaving.
type upstreamList struct {
	list      *storeclient.List
	every     time.Duration
	connector *connector.Connector
	log       logger.Logger
}

// run reads the list until ctx is done. While the list can't be read, the last marks stay.
func (u *upstreamList) run(ctx context.Context) error {
	failing := false
	for ctx.Err() == nil {
		leaving, err := u.read(ctx)
		if err == nil {
			u.connector.SetListed(time.Now(), leaving)
		} else if !failing && ctx.Err() == nil {
			u.log.Error(err, "the list of upstreams was not read")
		}
		failing = err != nil
		sleeper.Sleep(ctx, u.every)
	}
	return nil
}

func (u *upstreamList) read(ctx context.Context) (map[carobbend.UpstreamID]bool, error) {
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
