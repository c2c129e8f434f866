//go:build review3

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["drain"] = drainCase }

const (
	drainMs = 3000
	// tolerance is left to the clocks and the scheduling of the stand-ins.
	tolerance = 100 * time.Millisecond
)

// drainCase has the backends of a service turn slow, and then one of them drain.
func drainCase(s *setting) (bool, error) {
	const (
		perSecond = 40
		slowX     = 12
		slowAt    = 6 * time.Second
		slowFor   = 8 * time.Second
		drainAt   = 9 * time.Second
		length    = 20 * time.Second
	)
	s.store.write("op/config", map[string]any{
		"version": 7, "limits": limits(),
		"services": []any{map[string]any{"name": "despacho", "max_connections": 30, "health_check": "/health"}},
		"routes": []any{map[string]any{
			"name": "pedido-ficha", "hostname": host, "prefix": "/ficha/", "route_type": "non_idempotent", "upstream": "despacho",
			"timeout_ms": 6000, "target_latency_ms": 600, "max_attempts": 2, "priority": 2,
		}},
	})
	zones := []string{"leon", "guadalajara", "queretaro"}
	var backends []*backend
	for i := range 3 {
		b, err := startBackend(s.store, s.record, backendConfig{
			id: fmt.Sprintf("i-%d", i+1), service: "despacho", zone: zones[i%3], slots: 3, queue: 18, conns: 30, work: 160 * time.Millisecond,
		})
		if err != nil {
			return false, err
		}
		backends = append(backends, b)
	}
	instances, err := s.startInstances(6, bajio)
	if err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	clients := make([]*client, len(instances))
	for i, x := range instances {
		clients[i] = &client{address: x.ports["callers"]}
	}
	began := time.Now()
	drained := map[string]time.Time{}
	var slow, restore sync.Once
	setSlow := func(factor float64) {
		for _, b := range backends {
			b.setFactor(factor)
			s.record.add("work of backend %s takes %v times as long", b.id, factor)
		}
	}
	next := began
	for n := 0; time.Since(began) < length; n++ {
		at := time.Since(began)
		if s.trouble && at > slowAt && at < slowAt+slowFor {
			slow.Do(func() { setSlow(slowX) })
		}
		if s.trouble && at > slowAt+slowFor {
			restore.Do(func() { setSlow(1) })
		}
		if at > drainAt && len(drained) == 0 {
			b := backends[0]
			drained[b.id] = b.drain()
			s.record.add("backend %s is draining, acknowledged", b.id)
		}
		c, id := clients[rand.IntN(len(clients))], fmt.Sprintf("%04x%012x", n, rand.Uint64()&0xffffffffffff)
		wg.Go(func() {
			a := c.do(http.MethodPost, host, "/ficha/2f", id, 6*time.Second, nil, "order "+id)
			mu.Lock()
			answers = append(answers, a)
			mu.Unlock()
		})
		next = next.Add(time.Second / perSecond)
		time.Sleep(time.Until(next))
	}
	wg.Wait()
	statuses := map[int]int{}
	for _, a := range answers {
		statuses[a.status]++
	}
	s.record.add("answers by status, 0 for a closed connection: %v", statuses)
	s.dump(answers, backends)
	late := 0
	for _, b := range backends {
		ran := 0
		for _, r := range b.received() {
			if r.ran {
				ran++
			}
		}
		s.record.add("backend %s received %d requests and ran %d", b.id, len(b.received()), ran)
	}
	for _, b := range backends {
		acknowledged, ok := drained[b.id]
		if !ok {
			continue
		}
		for _, r := range b.received() {
			if d := r.at.Sub(acknowledged); d > drainMs*time.Millisecond+tolerance {
				late++
				s.record.add("request %s reached %s %d ms after the acknowledgement, at %.3f, ran: %v", r.id, r.backend, d.Milliseconds(), s.record.at(r.at), r.ran)
			}
		}
	}
	s.record.add("requests later than drain_ms: %d", late)
	return late > 0, nil
}
