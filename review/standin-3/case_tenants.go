//go:build review3

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["tenants"] = tenantsCase }

// tenantsCase has the operator take the key of the only tenant away: the next version has an empty list of tenants.
func tenantsCase(s *setting) (bool, error) {
	const (
		perSecond     = 20
		changeAt      = 4 * time.Second
		length        = 16 * time.Second
		configApplyMs = 5000
		key, unknown  = "k-4f1c77", "k-000000"
	)
	write := func(version int, tenants ...any) time.Time {
		if tenants == nil {
			tenants = []any{}
		}
		return s.store.write("op/config", map[string]any{
			"version": version, "limits": limits(), "tenants": tenants,
			"services": []any{map[string]any{"name": "despacho", "max_connections": 96, "health_check": "/health"}},
			"routes": []any{map[string]any{
				"name": "pedido-ficha", "hostname": host, "prefix": "/ficha/", "route_type": "idempotent", "upstream": "despacho",
				"timeout_ms": 6000, "target_latency_ms": 600, "max_attempts": 2, "priority": 2,
			}},
		})
	}
	tenant := func(name string, keys ...string) any { return map[string]any{"name": name, "api_keys": keys} }
	write(7, tenant("cantina", key))
	var backends []*backend
	for i, zone := range []string{"leon", "guadalajara", "queretaro"} {
		b, err := startBackend(s.store, s.record, backendConfig{
			id: fmt.Sprintf("i-%d", i+1), service: "despacho", zone: zone, slots: 6, queue: 24, conns: 96, work: 20 * time.Millisecond,
		})
		if err != nil {
			return false, err
		}
		backends = append(backends, b)
	}
	instances, err := s.startInstances(3, bajio)
	if err != nil {
		return false, err
	}
	type sent struct {
		answer
		key string
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	sentBy := map[string]sent{}
	clients := make([]*client, len(instances))
	for i, x := range instances {
		clients[i] = &client{address: x.ports["callers"]}
	}
	began := time.Now()
	var changed time.Time
	for n := 0; time.Since(began) < length; n++ {
		if changed.IsZero() && time.Since(began) > changeAt {
			if s.trouble {
				changed = write(9)
				s.record.add("version 9 is acknowledged: the tenant and its key are gone, tenants is an empty list")
			} else {
				changed = write(9, tenant("cantina", key), tenant("hotel", "k-77aa01"))
				s.record.add("version 9 is acknowledged: a tenant and its key are added")
			}
		}
		c, id := clients[n%len(clients)], fmt.Sprintf("%04x%012x", n, rand.Uint64()&0xffffffffffff)
		k := key
		if n%2 == 1 {
			k = unknown
		}
		wg.Go(func() {
			a := c.do(http.MethodGet, host, "/ficha/2f", id, 6*time.Second, map[string]string{"Authorization": "Bearer " + k}, "")
			mu.Lock()
			sentBy[id] = sent{a, k}
			mu.Unlock()
		})
		time.Sleep(time.Until(began.Add(time.Duration(n+1) * time.Second / perSecond)))
	}
	wg.Wait()
	answers := make([]answer, 0, len(sentBy))
	for _, a := range sentBy {
		answers = append(answers, a.answer)
	}
	s.dump(answers, backends)
	bound := changed.Add(configApplyMs * time.Millisecond)
	statuses := map[string]int{}
	for _, a := range sentBy {
		when := "before"
		if a.sent.After(bound) {
			when = "later than config_apply_ms after"
		} else if a.sent.After(changed) {
			when = "within config_apply_ms after"
		}
		statuses[fmt.Sprintf("%s the change, key %s: %d", when, a.key, a.status)]++
	}
	for text, n := range statuses {
		s.record.add("%s: %d answers", text, n)
	}
	dropped, never, passed := 0, 0, 0
	for _, b := range backends {
		for _, r := range b.received() {
			a := sentBy[r.id]
			switch {
			case !r.ran:
			case a.key == unknown:
				never++
			case s.trouble && a.sent.After(bound):
				dropped++
			}
			if r.ran && r.authorization != "" {
				passed++
			}
		}
	}
	s.record.add("requests with the dropped key that ran although sent later than config_apply_ms: %d", dropped)
	s.record.add("requests with a key that no config ever held that ran: %d", never)
	s.record.add("runs to which the key was passed on: %d", passed)
	return dropped > 0 || never > 0 || passed > 0, nil
}
