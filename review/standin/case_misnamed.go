package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["misnamed"] = playMisnamed }

const (
	backendsOfService = 3
	misnamedTime      = 5 * time.Second
	misnamedAfter     = 2 * time.Second
)

// playMisnamed lets another writer put one entry under the id of a backend, in which fields are missing and which names another
// service. No request may be run by a service that no config names for its route.
func playMisnamed(e *env) (bool, error) {
	s, err := startStore(e.ctx, e.rec)
	if err != nil {
		return false, err
	}
	prefixes := map[string]string{"despacho": "/order/", "liquidaciones": "/settlement/"}
	var wrongRuns atomic.Int64
	var first *backend
	for name, prefix := range prefixes {
		for i := range backendsOfService {
			b, err := startBackend(e.ctx, e.rec, s, fmt.Sprintf("i-%s-%d", name, i), name, 50*time.Millisecond, func(b *backend) {
				b.onRun = func(r run) {
					if !strings.HasPrefix(r.uri, prefix) {
						wrongRuns.Add(1)
						e.rec.printf("request %s to %s is run by %s of service %s", r.id, r.uri, r.backend, r.service)
					}
				}
			})
			if err != nil {
				return false, err
			}
			if name == "despacho" && i == 0 {
				first = b
			}
		}
	}
	s.put("op/config", config{
		Version: 5, Services: services("despacho", "liquidaciones"), Limits: defaultLimits,
		Routes: []route{orderRoute("/order/", "despacho"), orderRoute("/settlement/", "liquidaciones")},
	})
	instances := make([]*instance, 0, 2)
	for i := range 2 {
		x, err := e.startInstance(fmt.Sprintf("edge-leon-%d", i+1), s.address)
		if err != nil {
			return false, err
		}
		instances = append(instances, x)
	}
	e.sleep(stableTime)
	if e.trouble {
		time.AfterFunc(misnamedAfter, func() {
			// Right after a heartbeat, so that the entry stands until the next one.
			first.awaitBeat()
			s.put("servers/"+first.id, map[string]any{"upstream": "liquidaciones", "address": first.address, "zone": backendZone, "state": "ready"})
			e.rec.printf("another writer puts servers/%s with service liquidaciones; its version, capacity, warmup_left_ms, sequence and born are missing", first.id)
		})
	}
	var wg sync.WaitGroup
	var sent, foreign atomic.Int64
	clients := []*client{newClient(), newClient(), newClient(), newClient()}
	for n, began := 0, time.Now(); time.Since(began) < misnamedTime && e.ctx.Err() == nil; n++ {
		wg.Go(func() {
			id, name := newID(), "liquidaciones"
			if n/2%2 == 0 {
				name = "despacho"
			}
			sent.Add(1)
			x := instances[n%len(instances)]
			a := clients[n%len(clients)].send(e.ctx, "POST", x.callers, host, prefixes[name]+"1", id, []byte("two stools"), orderDeadline)
			if a.status == 200 && a.body != answerOf(name, id) {
				foreign.Add(1)
				e.rec.printf("request %s to %s1 at %s: answered %d, %q", id, prefixes[name], x.name, a.status, a.body)
			}
		})
		e.sleep(orderGap)
	}
	wg.Wait()
	e.rec.printf("%d requests sent; %d run by a service that no config names for them; %d callers got that service's answer", sent.Load(),
		wrongRuns.Load(), foreign.Load())
	return wrongRuns.Load() == 0, nil
}
