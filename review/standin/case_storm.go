package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["storm"] = playStorm }

const (
	// growthSteps changes of growthRoutes routes each make the config large before the storm.
	growthSteps  = 6
	growthRoutes = 350
	growthGap    = time.Second
	shards       = 10
	stormChanges = 12
	stormGap     = 330 * time.Millisecond
	freezeTime   = 4 * time.Second
	stableTime   = 4 * time.Second
	applyTime    = 3 * time.Second
	watchedTime  = 12 * time.Second
)

// playStorm freezes one of two instances for the length of a config storm. Each version moves the order route to the other of
// two services. Later than the bound, both instances must send orders by the last version.
func playStorm(e *env) (bool, error) {
	s, err := startStore(e.ctx, e.rec)
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	ranBy := map[string]string{}
	for _, name := range []string{"despacho", "liquidaciones"} {
		for i := range 3 {
			_, err := startBackend(e.ctx, e.rec, s, fmt.Sprintf("i-%s-%d", name, i), name, 20*time.Millisecond, func(b *backend) {
				b.onRun = func(r run) {
					mu.Lock()
					defer mu.Unlock()
					ranBy[r.id] = r.service
				}
			})
			if err != nil {
				return false, err
			}
		}
	}
	cfg := config{Version: 5, Services: services("despacho", "liquidaciones"), Limits: defaultLimits}
	cfg.Routes = append(cfg.Routes, orderRoute("/order/", "despacho"))
	s.put("op/config", cfg)
	frozen, err := e.startInstance("edge-leon-1", s.address)
	if err != nil {
		return false, err
	}
	calm, err := e.startInstance("edge-leon-2", s.address)
	if err != nil {
		return false, err
	}
	for step := range growthSteps {
		e.sleep(growthGap)
		cfg.Version += 2
		for i := range growthRoutes {
			cfg.Routes = append(cfg.Routes, searchRoute(fmt.Sprintf("/catalogue-%04d/", step*growthRoutes+i), shardNames(shards)))
		}
		s.put("op/config", cfg)
		e.rec.printf("config %d acknowledged: %d routes, %d bytes", cfg.Version, len(cfg.Routes), s.size("op/config"))
	}
	e.sleep(growthGap)
	if e.trouble {
		frozen.signal(syscall.SIGSTOP)
		e.rec.printf("edge-leon-1 is frozen")
	}
	frozenAt := time.Now()
	upstreams := []string{"despacho", "liquidaciones"}
	for i := range stormChanges {
		e.sleep(stormGap)
		cfg.Version += 3
		cfg.Routes[0].Upstream = upstreams[(i+1)%2]
		if i == stormChanges-1 {
			cfg.Routes[0].Upstream = "liquidaciones"
		}
		rev := s.put("op/config", cfg)
		e.rec.printf("config %d acknowledged at revision %d: orders go to %s", cfg.Version, rev, cfg.Routes[0].Upstream)
	}
	acknowledged := time.Now()
	e.sleep(time.Until(frozenAt.Add(freezeTime)))
	if e.trouble {
		frozen.signal(syscall.SIGCONT)
		e.rec.printf("edge-leon-1 wakes")
	}
	inTouch := time.Now().Add(stableTime)
	due := acknowledged.Add(applyTime)
	if inTouch.After(due) {
		due = inTouch
	}
	c := newClient()
	wrong, judged := 0, 0
	for time.Since(inTouch) < watchedTime && e.ctx.Err() == nil {
		for _, x := range []*instance{frozen, calm} {
			id, sent := newID(), time.Now()
			a := c.send(e.ctx, "POST", x.callers, host, "/order/1", id, []byte("two stools"), 6*time.Second)
			mu.Lock()
			by := ranBy[id]
			mu.Unlock()
			late := sent.After(due)
			if late {
				judged++
				if by == "despacho" {
					wrong++
				}
			}
			e.rec.printf("order %s at %s: answered %d, run by %q, counts: %v", id, x.name, a.status, by, late)
		}
		e.sleep(200 * time.Millisecond)
	}
	e.rec.printf("%d of %d orders that count were run by the service of an older version", wrong, judged)
	e.rec.printf("log of edge-leon-1:\n%s", tail(e.log(frozen), 40))
	if judged == 0 {
		return false, fmt.Errorf("no order counts")
	}
	return wrong == 0, nil
}
