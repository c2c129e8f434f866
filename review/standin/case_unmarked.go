package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["unmarked"] = playUnmarked }

const (
	unmarkedBackends = 10
	failShare        = 0.45
	failTime         = 6 * time.Second
	orderGap         = 22 * time.Millisecond
	orderDeadline    = 6 * time.Second
)

// promises are the statuses that say that a request has not run and never will.
var promises = map[int]bool{
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true, http.StatusRequestTimeout: true,
	http.StatusMisdirectedRequest: true,
}

// playUnmarked lets one of ten backends fail part of the orders that it has run. Its failures don't state that the order didn't
// run. No order that ran may be answered by a status that promises that it didn't.
func playUnmarked(e *env) (bool, error) {
	s, err := startStore(e.ctx, e.rec)
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	ran := map[string]int{}
	var failing atomic.Bool
	for i := range unmarkedBackends {
		_, err := startBackend(e.ctx, e.rec, s, fmt.Sprintf("i-despacho-%d", i), "despacho", 50*time.Millisecond, func(b *backend) {
			b.onRun = func(r run) {
				mu.Lock()
				defer mu.Unlock()
				ran[r.id]++
			}
			if i != 0 {
				return
			}
			b.answer = func(w http.ResponseWriter, r *http.Request, _ []byte) {
				if failing.Load() && rand.Float64() < failShare {
					w.WriteHeader(http.StatusServiceUnavailable)
					_, _ = io.WriteString(w, "the ledger behind this backend failed after the order was taken\n")
					return
				}
				_, _ = io.WriteString(w, answerOf(b.service, r.Header.Get("X-Request-Id")))
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
	e.sleep(2 * time.Second)
	failing.Store(e.trouble)
	if e.trouble {
		e.rec.printf("i-despacho-0 fails %v of its orders after it ran them", failShare)
	}
	var wg sync.WaitGroup
	var sent, refused, broken atomic.Int64
	clients := []*client{newClient(), newClient(), newClient(), newClient()}
	for n, began := 0, time.Now(); time.Since(began) < failTime && e.ctx.Err() == nil; n++ {
		wg.Go(func() {
			id := newID()
			sent.Add(1)
			x := instances[n%len(instances)]
			a := clients[n%len(clients)].send(e.ctx, "POST", x.callers, host, "/order/1", id, []byte("two stools"), orderDeadline)
			mu.Lock()
			runs := ran[id]
			mu.Unlock()
			if promises[a.status] {
				refused.Add(1)
				if runs > 0 {
					broken.Add(1)
				}
			}
			if a.status != http.StatusOK || n%50 == 0 {
				e.rec.printf("order %s at %s: answered %d, X-Not-Executed %q, X-Response-Seal %q, ran %d times", id, x.name, a.status,
					a.header.Get("X-Not-Executed"), a.header.Get("X-Response-Seal"), runs)
			}
		})
		e.sleep(orderGap)
	}
	wg.Wait()
	e.rec.printf("%d orders sent; %d answered by a status that promises that they didn't run; %d of these had run", sent.Load(), refused.Load(), broken.Load())
	return broken.Load() == 0, nil
}
