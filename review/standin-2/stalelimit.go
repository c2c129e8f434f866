package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	limitTenants = 6
	// The limits before and after the change, and what each tenant sends.
	limitBefore, limitAfter = 40.0, 1.0
	limitPerSecond          = 12
	// The bounds of the deployment.
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20.0
	configApply  = 5 * time.Second
	// allotmentSettings are what the deploy template makes of these bounds.
	allotmentSettings = "allotments:\n  window: 5s\n  overage: 0.1\n  slack: 20\n"
)

// staleLimit plays instances of two sizes. With the disruption, all of them lose power and start again, so that the smaller ones serve
// for some seconds; then tenants with limits come, and once the smaller instances have returned to the reserve, the limits are lowered.
func staleLimit(p *Play) (bool, error) {
	for i := range 4 {
		p.Backend("ledger-archive", fmt.Sprintf("i-l-%d", i), 5*time.Millisecond)
	}
	cfg := &Config{
		Version: 3, Services: []string{"ledger-archive"}, MaxConns: 520,
		Routes: []map[string]any{Route("/ledger/", "idempotent", 6000, 800, 2, "ledger-archive")},
	}
	cfg.Put(p.Store)
	var large, all []*Instance
	for i := range 8 {
		cores := 0.8
		if i >= 4 {
			cores = 0.448
		}
		x, err := p.Instance(fmt.Sprintf("edge-%d", i+1), Options{Cores: cores, More: allotmentSettings})
		if err != nil {
			return false, err
		}
		all = append(all, x)
		if i < 4 {
			large = append(large, x)
		}
	}
	for _, x := range large {
		if err := x.WaitReady(20 * time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	if p.Trouble {
		for _, x := range all {
			x.Kill()
		}
		p.Log("all instances killed")
		time.Sleep(time.Second)
		for _, x := range all {
			if err := x.Start(false); err != nil {
				return false, err
			}
		}
		p.Log("all instances started again")
		for _, x := range large {
			if err := x.WaitReady(20 * time.Second); err != nil {
				return false, err
			}
		}
		time.Sleep(time.Second)
	}

	setLimit := func(limit float64) time.Time {
		cfg.Version += 4
		cfg.Tenants = nil
		for i := range limitTenants {
			cfg.Tenants = append(cfg.Tenants, map[string]any{
				"name": fmt.Sprintf("grower-%d", i), "api_keys": []string{fmt.Sprintf("key-%d", i)}, "rate_per_s": limit, "burst_size": limit,
			})
		}
		cfg.Put(p.Store)
		p.Log("config version %d acknowledged: each tenant has rate_per_s %v and burst_size %v", cfg.Version, limit, limit)
		return time.Now()
	}
	setLimit(limitBefore)
	time.Sleep(time.Second)
	stop := make(chan struct{})
	load := newLimitLoad(large)
	var wg sync.WaitGroup
	for i := range limitTenants {
		wg.Go(func() { load.run(i, limitPerSecond, stop) })
	}
	if p.Trouble {
		returned := 0
		for end := time.Now().Add(30 * time.Second); returned < 4 && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			returned = 0
			for _, x := range all[4:] {
				if x.LogContains("returned to the reserve") {
					returned++
				}
			}
		}
		p.Log("smaller instances that have returned to the reserve: %d of 4", returned)
		if returned < 4 {
			close(stop)
			wg.Wait()
			return false, errors.New("the smaller instances serve on")
		}
	} else {
		time.Sleep(5 * time.Second)
	}
	lowered := setLimit(limitAfter)
	time.Sleep(22 * time.Second)
	close(stop)
	wg.Wait()
	return load.check(p, lowered), nil
}

// limitLoad are the clients of all tenants.
type limitLoad struct {
	instances []*Instance
	mu        sync.Mutex
	addresses []string
	sent      map[string]time.Time
	served    map[string]bool
	statuses  map[int]int
}

func newLimitLoad(instances []*Instance) *limitLoad {
	return &limitLoad{instances: instances, sent: map[string]time.Time{}, served: map[string]bool{}, statuses: map[int]int{}}
}

// resolve asks an instance which addresses to use.
func (l *limitLoad) resolve() {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	l.mu.Lock()
	asked := l.instances[rand.IntN(len(l.instances))].Addresses
	l.mu.Unlock()
	resp, err := c.Get("http://" + asked + "/resolve?name=leno12.example&region=r&zone=dyfed-a")
	if err != nil {
		return
	}
	defer resp.Body.Close()
	var a struct {
		Addrs []string `json:"addrs"`
	}
	if json.NewDecoder(resp.Body).Decode(&a) == nil && len(a.Addrs) > 0 {
		l.mu.Lock()
		l.addresses = a.Addrs
		l.mu.Unlock()
	}
}

// run sends the requests of one tenant, at even intervals, until stop is closed.
func (l *limitLoad) run(tenant, perSecond int, stop chan struct{}) {
	l.resolve()
	t := time.NewTicker(time.Second / time.Duration(perSecond))
	defer t.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 1; ; n++ {
		select {
		case <-t.C:
		case <-stop:
			return
		}
		if n%(4*perSecond) == 0 {
			wg.Go(l.resolve)
		}
		wg.Go(func() { l.send(tenant) })
	}
}

func (l *limitLoad) send(tenant int) {
	a := &Answer{ID: NewID(), Sent: time.Now()}
	l.mu.Lock()
	l.sent[a.ID] = a.Sent
	addr := ""
	if len(l.addresses) > 0 {
		addr = l.addresses[rand.IntN(len(l.addresses))]
	}
	l.mu.Unlock()
	if c, err := net.DialTimeout("tcp4", addr, time.Second); err == nil {
		defer c.Close()
		_, _ = io.WriteString(c, Head("GET", "/ledger/2f", a.ID, 2000, fmt.Sprintf("Authorization: Bearer key-%d\r\n", tenant)))
		ReadAnswer(c, bufio.NewReader(c), "GET", a, 3*time.Second)
	}
	l.mu.Lock()
	l.statuses[a.Status]++
	l.served[a.ID] = a.Status == 200 && a.Err == nil && a.Header.Get("X-Response-Seal") != ""
	l.mu.Unlock()
}

// setInstances names the instances that are asked for addresses from now on.
func (l *limitLoad) setInstances(instances []*Instance) {
	l.mu.Lock()
	l.instances = instances
	l.mu.Unlock()
	l.resolve()
}

// count returns the number of requests that were sent in a time, and of those that were served.
func (l *limitLoad) count(from, to time.Time) (sent, served int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, at := range l.sent {
		if !at.Before(from) && at.Before(to) {
			sent++
			if l.served[id] {
				served++
			}
		}
	}
	return sent, served
}

// check counts, for each tenant, the requests that were sent and run in windows that begin once the lower limit binds.
func (l *limitLoad) check(p *Play, lowered time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.Log("requests sent %d, by status of the answer (0: none) %v", len(l.sent), l.statuses)
	bound := (limitAfter*quotaWindow.Seconds()+limitAfter)*(1+quotaOverage) + quotaSlack
	binds := lowered.Add(configApply + quotaWindow)
	list := runs.All()
	broken := false
	for i := range limitTenants {
		name := fmt.Sprintf("grower-%d", i)
		perSecond := make([]int, 23)
		for _, r := range list {
			if s := int(r.At.Sub(lowered).Seconds()); r.Tenant == name && r.Executed && !r.At.Before(lowered) && s < len(perSecond) {
				perSecond[s]++
			}
		}
		p.Log("%s: requests run in each second after the change %s", name, strings.Trim(fmt.Sprint(perSecond), "[]"))
		most, at := 0, time.Time{}
		for from := binds; from.Before(lowered.Add(22 * time.Second).Add(-quotaWindow)); from = from.Add(100 * time.Millisecond) {
			seen := map[string]bool{}
			for _, r := range list {
				if s, ok := l.sent[r.ID]; ok && r.Tenant == name && r.Executed && !s.Before(from) && r.At.Before(from.Add(quotaWindow)) {
					seen[r.ID] = true
				}
			}
			if len(seen) > most {
				most, at = len(seen), from
			}
		}
		p.Log("%s: at most %d requests in a window of 5 s (from %.1f s after the change); the bound is %.1f", name, most, at.Sub(lowered).Seconds(), bound)
		broken = broken || float64(most) > bound
	}
	return broken
}
