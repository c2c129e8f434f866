package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// pauseAsked is the Retry-After of the backend.
	pauseAsked    = 45 * time.Second
	pausePerSec   = 4
	pauseObserved = 46 * time.Second
)

// longPause plays a backend, the only one of its service, that turns one request away with 503 and Retry-After, and serves again
// afterwards. Without the disruption it asks for 20 s.
func longPause(p *Play) (bool, error) {
	asked := pauseAsked
	if !p.Trouble {
		asked = 20 * time.Second
	}
	b := p.Backend("supplier-feed", "i-s-0", 20*time.Millisecond)
	cfg := &Config{
		Version: 3, Services: []string{"supplier-feed"}, MaxConns: 96,
		Routes: []map[string]any{Route("/part/", "idempotent", 3000, 500, 2, "supplier-feed")},
	}
	cfg.Put(p.Store)
	x, err := p.Instance("edge-1", Options{Cores: 0.4})
	if err == nil {
		err = x.WaitReady(20 * time.Second)
	}
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	var mu sync.Mutex
	var refusedAt time.Time
	b.Serve = func(b *Backend, x *Exchange) bool {
		mu.Lock()
		first := refusedAt.IsZero()
		if first {
			refusedAt = time.Now()
		}
		mu.Unlock()
		if !first {
			return b.Answer(x)
		}
		b.Record(x, nil, false)
		headers := fmt.Sprintf("X-Not-Executed: 1\r\nRetry-After: %d\r\n", int(asked.Seconds()))
		_, err := x.Conn.Write(b.Reply(x, 503, headers, nil))
		p.Log("backend answered id=%s with 503 and Retry-After: %d", x.ID, int(asked.Seconds()))
		return err == nil
	}
	statuses := map[int]int{}
	began := time.Now()
	var wg sync.WaitGroup
	for time.Since(began) < pauseObserved {
		wg.Go(func() {
			a := Get(x.Callers, "/part/2f", 3000)
			mu.Lock()
			statuses[a.Status]++
			mu.Unlock()
		})
		time.Sleep(time.Second / pausePerSec)
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	early := 0
	for _, r := range runs.All() {
		if since := r.At.Sub(refusedAt); since > 500*time.Millisecond && since < asked {
			early++
			if early <= 5 {
				p.Log("run id=%s reached the backend %.1f s after its refusal", r.ID, since.Seconds())
			}
		}
	}
	p.Log("answers to clients by status %v; requests that reached the backend in the time that it had asked for: %d", statuses, early)
	return early > 2, nil
}
