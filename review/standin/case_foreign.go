package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["foreign"] = playForeign }

const (
	foreignBackends = 3
	// foreignAfter, lapseAfter and exitAfter count from the removal of the backend's entry.
	foreignAfter = 2 * time.Second
	lapseAfter   = foreignAfter + 3*heartbeat
	exitAfter    = 5400 * time.Millisecond
	foreignTime  = 8 * time.Second
	drainTime    = 3 * time.Second
	workTime     = 300 * time.Millisecond
)

// playForeign takes a backend out of the store, as one that never reports draining, and lets another writer put an entry under
// its id in which fields are missing. Later than the bound, the backend must get no order.
func playForeign(e *env) (bool, error) {
	s, err := startStore(e.ctx, e.rec)
	if err != nil {
		return false, err
	}
	var removed atomic.Int64
	var mu sync.Mutex
	late := map[string]bool{}
	backends := make([]*backend, foreignBackends)
	for i := range backends {
		backends[i], err = startBackend(e.ctx, e.rec, s, fmt.Sprintf("i-despacho-%d", i), "despacho", workTime, func(b *backend) {
			if i != 0 {
				return
			}
			b.onRun = func(r run) {
				at := removed.Load()
				if at == 0 {
					return
				}
				age := time.Since(time.UnixMilli(at))
				e.rec.printf("order %s runs at %s, %.3f s after its entry was removed", r.id, r.backend, age.Seconds())
				if age > drainTime {
					mu.Lock()
					late[r.id] = true
					mu.Unlock()
				}
			}
		})
		if err != nil {
			return false, err
		}
	}
	s.put("op/config", config{Version: 5, Routes: []route{orderRoute("/order/", "despacho")}, Services: services("despacho"), Limits: defaultLimits})
	instances := make([]*instance, 0, 2)
	for i := range 2 {
		x, err := e.startInstance(fmt.Sprintf("edge-leon-%d", i+1), s.address)
		if err != nil {
			return false, err
		}
		instances = append(instances, x)
	}
	e.sleep(stableTime + time.Second)
	gone := backends[0]
	key := "servers/" + gone.id
	gone.leave()
	removed.Store(time.Now().UnixMilli())
	e.rec.printf("%s leaves: its entry is removed, it serves on for %v", gone.id, exitAfter)
	time.AfterFunc(exitAfter, func() {
		_ = gone.srv.Close()
		e.rec.printf("%s exits", gone.id)
	})
	if e.trouble {
		time.AfterFunc(foreignAfter, func() {
			s.put(key, map[string]any{"upstream": gone.service, "address": gone.address, "zone": backendZone, "state": "ready"})
			e.rec.printf("another writer puts %s with its version, capacity, warmup_left_ms, sequence and born missing", key)
		})
		time.AfterFunc(lapseAfter, func() {
			s.remove(key)
			e.rec.printf("the entry of the other writer lapses")
		})
	}
	var wg sync.WaitGroup
	var sent, lost atomic.Int64
	clients := []*client{newClient(), newClient(), newClient(), newClient()}
	for n, began := 0, time.Now(); time.Since(began) < foreignTime && e.ctx.Err() == nil; n++ {
		wg.Go(func() {
			id := newID()
			sent.Add(1)
			x := instances[n%len(instances)]
			a := clients[n%len(clients)].send(e.ctx, "POST", x.callers, host, "/order/1", id, []byte("two stools"), orderDeadline)
			mu.Lock()
			wasLate := late[id]
			mu.Unlock()
			if wasLate && a.status != http.StatusOK {
				lost.Add(1)
			}
			if wasLate || a.status != http.StatusOK {
				e.rec.printf("order %s at %s: answered %d", id, x.name, a.status)
			}
		})
		e.sleep(orderGap)
	}
	wg.Wait()
	e.rec.printf("%d orders sent; %d reached the backend later than %v after its removal was acknowledged; %d of these weren't served",
		sent.Load(), len(late), drainTime, lost.Load())
	return len(late) == 0, nil
}
