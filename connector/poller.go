package connector

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"carobbend.example/carobbend/sleeper"

	"github.com/joomcode/errorx"
)

// poll reads the status of one upstream until ctx is done, at the status interval with ±25% jitter.
func (c *Connector) poll(ctx context.Context, p *pool) {
	for {
		status, err := c.readStatus(ctx, p)
		if ctx.Err() != nil {
			return
		}
		now := time.Now()
		if err != nil {
			c.catalog.StatusFailed(p.up.ID)
		} else {
			c.catalog.StatusRead(now, p.up.ID, status.Holdings)
			p.setReportedLeaving(now, status.Leaving)
		}
		if !sleeper.Sleep(ctx, c.statusInterval*3/4+rand.N(c.statusInterval/2)) {
			return
		}
	}
}

func (c *Connector) readStatus(ctx context.Context, p *pool) (StatusReply, error) {
	var s StatusReply
	ctx, cancel := context.WithTimeout(ctx, c.connectTimeout+c.progressTimeout)
	defer cancel()
	if !p.acquireRequest() {
		return s, errShareExhausted
	}
	defer p.releaseRequest()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.up.Address+StatusPath, nil)
	if err != nil {
		return s, errorx.Decorate(err, "build status request")
	}
	resp, err := p.transport.RoundTrip(r)
	if err != nil {
		return s, errorx.Decorate(err, "read status")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return s, fmt.Errorf("read status: status %d", resp.StatusCode)
	}
	body, err := readBody(resp)
	if err != nil {
		return s, errorx.Decorate(err, "read status")
	}
	if err := json.Unmarshal(body, &s); err != nil {
		return s, errorx.Decorate(err, "decode status")
	}
	return s, nil
}
