package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// recovery is the bound of the deployment, and recoveryChecked the time after it in which requests are counted.
	recovery        = 15 * time.Second
	recoveryChecked = 30 * time.Second
	// The limit of each tenant, and what it sends.
	ownersLimit, ownersPerSecond = 40.0, 20
)

// lostOwners plays tenants that send half of what their limits allow. With the disruption, all machines are lost for good, and
// others take their place under other names and addresses.
func lostOwners(p *Play) (bool, error) {
	for i := range 4 {
		p.Backend("ledger-archive", fmt.Sprintf("i-l-%d", i), 5*time.Millisecond)
	}
	cfg := &Config{
		Version: 3, Services: []string{"ledger-archive"}, MaxConns: 520,
		Routes: []map[string]any{Route("/ledger/", "idempotent", 6000, 800, 2, "ledger-archive")},
	}
	for i := range limitTenants {
		cfg.Tenants = append(cfg.Tenants, map[string]any{
			"name": fmt.Sprintf("grower-%d", i), "api_keys": []string{fmt.Sprintf("key-%d", i)}, "rate_per_s": ownersLimit, "burst_size": ownersLimit,
		})
	}
	cfg.Put(p.Store)
	start := func(first, n int) ([]*Instance, error) {
		var xs []*Instance
		for i := range n {
			x, err := p.Instance(fmt.Sprintf("edge-%d", first+i), Options{Cores: 0.8, More: allotmentSettings, Later: first > 1})
			if err != nil {
				return nil, err
			}
			xs = append(xs, x)
		}
		for _, x := range xs {
			if err := x.WaitReady(20 * time.Second); err != nil {
				return nil, err
			}
		}
		return xs, nil
	}
	xs, err := start(1, 4)
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	load := newLimitLoad(xs)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range limitTenants {
		wg.Go(func() { load.run(i, ownersPerSecond, stop) })
	}
	began := time.Now()
	time.Sleep(10 * time.Second)
	lost := time.Now()
	if p.Trouble {
		for _, x := range xs {
			x.Kill()
		}
		p.Log("all 4 machines are lost for good")
		time.Sleep(time.Second)
		others, err := start(5, 4)
		if err != nil {
			close(stop)
			wg.Wait()
			return false, err
		}
		load.setInstances(others)
		p.Log("4 other machines have taken their place and are ready")
	}
	back := time.Now()
	time.Sleep(recovery + recoveryChecked)
	close(stop)
	wg.Wait()

	before, servedBefore := load.count(began, lost)
	after, servedAfter := load.count(back.Add(recovery), back.Add(recovery+recoveryChecked))
	p.Log("requests sent before: %d, served %d", before, servedBefore)
	for at := time.Duration(0); at < recovery+recoveryChecked; at += 5 * time.Second {
		n, served := load.count(back.Add(at), back.Add(at+5*time.Second))
		p.Log("requests sent %v to %v after the machines were back: %d, served %d", at, at+5*time.Second, n, served)
	}
	p.Log("requests sent more than %v after the machines were back: %d, served %d", recovery, after, servedAfter)
	return 4*servedBefore >= before && 4*servedAfter < after, nil
}
